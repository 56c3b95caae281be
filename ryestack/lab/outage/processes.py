"""An outage play with real relay processes, a partner behind a proxy, and signals, all on loopback.

The partner's book judges it, with the same rule as in simulated time.
"""

import asyncio
import signal
import time
from collections import defaultdict
from pathlib import Path
from random import Random

import msgspec

from ...standins.books import Books
from ...standins.stage import Endpoint, Pace, Platform, Stage
from ..ports import PortRange
from ..soak.processes import Proxy, StandIn
from ..trial import RelayProcess, platform_config
from .budget import ReceivedCall, judge
from .client import Client
from .partner import Away
from .process_model import DESTINATION, TOPICS, ProcessPlay, ProcessResult

ENDPOINTS = ("p-a", "p-b")
UNREACHABLE_FALL_FACTOR = 100.0  # the partner must not fall: the judge counts how far calls exceed the bound
STARTS_AT_ONCE = 10  # relays that start at the same time
RESTART_S = 0.6  # from a kill to the next start
WAIT_STEP_S = 0.1  # between two changes of a told wait that ends with the outage
SHORT_WAIT_S, MAX_WAIT_S = 1.45, 2.0
UNRECORDED = (Away.NO_CONNECTION, Away.RESETS, Away.VANISHES)  # calls that the partner's book lacks
LINK_MODES = {Away.RESETS: "reset", Away.VANISHES: "hole"}
PARTNER_MODES = {
    Away.REFUSES: {"mode": "full"},
    Away.REFUSES_WITH_WAIT: {"mode": "full", "wait": SHORT_WAIT_S},
    Away.REFUSES_UNTIL_RETURN: {"mode": "full", "wait": MAX_WAIT_S},
    Away.REFUSES_MOST: {"mode": "full", "part": 0.8},
    Away.ERRORS: {"mode": "error"},
    Away.FAILS_MOST: {"mode": "error", "part": 0.8},
    Away.NO_CONNECTION: {"mode": "refuse"},
    Away.HANGS: {"mode": "silent"},
}


class Fleet:
    """All processes of one play."""

    def __init__(self, play: ProcessPlay, folder: Path):
        self.play, self.folder, self.rng = play, folder, Random(f"processes {play.seed}")
        self.ports = PortRange()
        self.relays: list[RelayProcess] = []
        self.restarting: set[int] = set()
        self.returned_at = 0.0  # wall-clock time
        self.client: Client | None = None
        self.partner: StandIn | None = None
        self.proxy: Proxy | None = None
        self.platform: StandIn | None = None

    async def run(self) -> ProcessResult:
        """Plays to the end; all processes have ended then."""
        try:
            await self.start()
            begin = time.time()
            self.client = Client(self.play, [relay.address for relay in self.relays])
            await asyncio.gather(self.client.run(begin), self.outage(begin), self.signals(begin))
            await asyncio.sleep(max(0.0, begin + self.play.end + self.play.slow_start.seconds - time.time()))
            return await self.result(begin)
        finally:
            helpers = [each for each in (self.proxy, self.partner, self.platform) if each]
            await asyncio.gather(*(each.close() for each in [*self.relays, *helpers]), return_exceptions=True)
            self.ports.close()

    async def start(self) -> None:
        """Starts the partner, its proxy, the platform and the relays."""
        play, rules = self.play, self.play.slow_start
        endpoints = [
            Endpoint(
                name, DESTINATION, self.ports.address(), weight=play.capacity, slots=200,
                pace=Pace(mean=0.04), cold_time=rules.seconds, cold_share=rules.share,
                fall_factor=UNREACHABLE_FALL_FACTOR, fall_time=rules.window,
            )
            for name in ENDPOINTS
        ]  # fmt: skip
        stage = Stage(endpoint=endpoints, control=self.ports.address(), seed=play.seed)
        table = msgspec.to_builtins(stage)
        self.partner = StandIn("partner", table, stage.control, self.folder, "partner")
        await self.partner.start()
        self.proxy = Proxy(play.seed, [each.address for each in endpoints], self.folder, "proxy")
        await self.proxy.start()
        linked = [
            msgspec.structs.replace(each, address=address)
            for each, address in zip(endpoints, self.proxy.addresses, strict=True)
        ]
        stage = Stage(
            endpoint=linked,
            platform=Platform(self.ports.address(), self.ports.address()),
            control=self.ports.address(),
        )
        table = msgspec.to_builtins(stage)
        self.platform = StandIn("platform", table, stage.platform.control, self.folder, "platform")
        await self.platform.start()
        rows = [self.row(each) for each in linked]
        known = {"index": 1, "snapshot": True, "endpoints": rows}
        for number in range(play.relays):
            config = self.config(number, stage.platform.address, known)
            self.relays.append(RelayProcess(config, self.folder / f"relay-{number}"))
            if not play.keeps_learned:  # a folder in the place of the file that is to be written
                (self.folder / f"relay-{number}" / "state" / "learnt.new").mkdir(parents=True)
        for first in range(0, play.relays, STARTS_AT_ONCE):
            await asyncio.gather(*(relay.start() for relay in self.relays[first : first + STARTS_AT_ONCE]))

    @staticmethod
    def row(endpoint: Endpoint) -> dict:
        """The endpoint as the registry lists it."""
        return {
            "name": endpoint.name, "address": endpoint.address, "zone": "here", "type": "shop",
            "group": DESTINATION, "status": "up", "weight": endpoint.weight, "since_ms": 0,
        }  # fmt: skip

    def config(self, number: int, discovery: str, known: dict) -> dict:
        """The configuration of a relay."""
        play, rules = self.play, self.play.slow_start
        seed = play.seed * 1000 + number
        config = platform_config(self.ports.address(), discovery, known, list(TOPICS), seed)
        config["name"] = f"r{number}"
        settings = config["settings"]
        settings["balancers"], settings["weights"] = play.relays, "rough"
        settings["rules"] = {
            "coldShare": rules.share, "coldMs": rules.seconds * 1000.0,
            "overloadFactor": rules.factor, "fallMs": rules.window * 1000.0,
        }  # fmt: skip
        return config

    async def outage(self, begin: float) -> None:
        """The partner goes away and comes back cold."""
        play = self.play
        await asyncio.sleep(max(0.0, begin + play.begin - time.time()))
        if play.away in LINK_MODES:
            await self.proxy.set_mode(LINK_MODES[play.away])
        while (left := begin + play.end - time.time()) > 0.0 and play.away not in LINK_MODES:
            mode = dict(PARTNER_MODES[play.away])
            if play.away is Away.REFUSES_UNTIL_RETURN:
                mode["wait"] = round(max(0.001, min(MAX_WAIT_S, left)), 3)
            await self.partner.apply(mode)
            last = play.away is not Away.REFUSES_UNTIL_RETURN
            await asyncio.sleep(max(0.0, left if last else min(left, WAIT_STEP_S)))
        await asyncio.sleep(max(0.0, begin + play.end - time.time()))
        await self.partner.apply({"mode": "cold"})
        if play.away in LINK_MODES:
            await self.proxy.set_mode("ok")
        self.returned_at = time.time()

    async def signals(self, begin: float) -> None:
        """Kills and reloads some relays in the outage."""
        play = self.play
        chosen = self.rng.sample(range(play.relays), play.killed + play.reloaded)
        times = sorted(self.rng.uniform(play.begin + 0.5, play.end - 1.0) for _ in chosen)
        if play.killed_after is not None:
            times = [play.end + play.killed_after] * len(chosen)
        tasks = []
        for place, (relay, when) in enumerate(zip(chosen, times, strict=True)):
            await asyncio.sleep(max(0.0, begin + when - time.time()))
            killed = place < play.killed if play.killed_after is not None else place % 2 == 0 and play.killed
            action = self.restart(relay) if killed else self.reload(relay)
            tasks.append(asyncio.ensure_future(action))
        await asyncio.gather(*tasks)

    async def restart(self, relay: int) -> None:
        """Kills the relay's process and starts another one with its folder."""
        await self.relays[relay].kill()
        self.client.connections.pop(relay, None)
        await asyncio.sleep(RESTART_S)
        await self.relays[relay].start()

    async def reload(self, relay: int) -> None:
        """Has the relay read its configuration again."""
        self.relays[relay].process.send_signal(signal.SIGHUP)

    async def result(self, begin: float) -> ProcessResult:
        """Judges the partner's book."""
        books, play = await self.partner.books(), self.play
        arrivals = sorted(books.arrivals, key=lambda row: row.at)
        outage = [row for row in arrivals if begin + play.begin <= row.at < self.returned_at]
        ran = self.delivered_ids(books)
        notified = {relay_of(row.id) for row in outage if row.id not in ran or row.how != "run"}
        if play.away in UNRECORDED:  # any of them may have been notified
            notified = set(range(play.relays))
        calls = [
            ReceivedCall(row.at - self.returned_at, relay_of(row.id), relay_of(row.id) in notified)
            for row in arrivals
            if row.at >= self.returned_at
        ]
        overload = judge(calls, play.capacity, play.slow_start)
        return ProcessResult(
            overload,
            len(self.client.taken),
            len(self.client.taken & ran),
            len(arrivals),
            len(notified),
            self.problems(),
        )

    @staticmethod
    def delivered_ids(books: Books) -> set[str]:
        """The messages that ran."""
        return {run.id for run in books.runs}

    def problems(self) -> list[str]:
        """Relays that ended by themselves, and faults in the relays' logs."""
        found = []
        for number, relay in enumerate(self.relays):
            log = (relay.folder / "relay.log").read_text(errors="replace")
            counts: defaultdict[str, int] = defaultdict(int)
            for mark in ("Traceback (most recent call last)", "invariant.violated", "loop.error"):
                counts[mark] += log.count(mark)
            found += [f"relay {number}: {mark}, {count} times" for mark, count in counts.items() if count]
            if relay.process.returncode is not None:
                found.append(f"relay {number} ended by itself with {relay.process.returncode}")
        return found


def relay_of(name: str) -> int:
    """The number of the relay that a message was handed in to, from the message's id."""
    return int(name.partition("-")[0][1:])


async def play(plan: ProcessPlay, folder: Path) -> ProcessResult:
    """Runs one play in the folder."""
    return await Fleet(plan, folder).run()

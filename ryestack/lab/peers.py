"""Trials of several relays that replicate to each other, under load and with faults between them.

Results are judged from the books of partners and platform alone.
"""

import asyncio
import shutil
import signal
import time
from collections.abc import Callable
from datetime import datetime
from pathlib import Path

import tomli_w

from ..standins.links import Net
from ..standins.partner import Partner
from ..standins.platform import Platform
from ..standins.stage import Change, Endpoint, Pace, Stage
from ..standins.stage import Platform as PlatformStage
from .child_process import send_signal
from .load import Load, Plan, Topic, settled
from .oracle import Judged
from .peer_stories import LEASE, STORIES, ZONES
from .ports import free_port
from .trial import RelayProcess, platform_config

TOPICS = [
    Topic("balance", "repeatable", 9.0),
    Topic("points", "collapsible", 9.0),
    Topic("charge", "once-only", 9.0),
]
WINDOW = 5.0  # seconds, of the collapsible topic type
DOWN, UP = 1.0, 4.5  # seconds from the first request; a partner refuses meanwhile, so that relays hold work


def stage(seed: int) -> Stage:
    """One partner without faults, one that refuses connections for some seconds."""
    base = {"address": "127.0.0.1:0", "kind": "shop", "pace": Pace(mean=0.03)}
    rows = [Endpoint("well-a", 1, **base), Endpoint("away-a", 2, cold_time=1.0, weight=80.0, **base)]
    changes = [
        Change(after=DOWN, endpoint="away-a", mode="refuse"),
        Change(after=UP, endpoint="away-a", mode="ok"),
    ]
    platform = PlatformStage("127.0.0.1:0", "127.0.0.1:0")
    return Stage(endpoint=rows, at=changes, platform=platform, control="127.0.0.1:0", seed=seed)


class Cluster:
    """Relays r0, r1, ... with a link for each direction between two of them."""

    def __init__(self, folder: Path, count: int, seed: int, alone: str = "serve"):
        self.folder, self.seed, self.alone, self.say = folder, seed, alone, []
        self.killed: list[tuple[float, str]] = []  # wall time and relay of each kill
        self.names = [f"r{i}" for i in range(count)]
        self.zones = {name: ZONES[i % len(ZONES)] for i, name in enumerate(self.names)}
        self.peers = {name: f"127.0.0.1:{free_port()}" for name in self.names}
        self.net, self.relays = Net(self.peers, seed), {}
        self.partner, self.platform = Partner(stage(seed)), None

    async def start(self) -> None:
        """Starts the stand-ins, the links and all relays."""
        await self.partner.start()
        addresses = {name: place.address for name, place in self.partner.places.items()}
        self.platform = Platform(self.partner.stage, addresses)
        await self.platform.start()
        await self.net.start()
        for name in self.names:
            listen = f"127.0.0.1:{free_port()}"
            config = platform_config(
                listen, self.platform.address, self.platform.listing(), TOPICS, self.seed
            )
            config["name"] = name
            config["settings"]["balancers"] = len(self.names)
            config["settings"]["allowed"]["connectTimeoutMs"] = 400.0
            config["settings"]["grades"] = [
                {**grade, "windowMs": WINDOW * 1000.0} for grade in config["settings"]["grades"]
            ]
            folder = self.folder / name
            folder.mkdir(parents=True, exist_ok=True)
            operator = folder / "operator.toml"
            operator.write_text(tomli_w.dumps(self.operator(name)))
            process = RelayProcess(config, folder, environment={"RYESTACK_OPERATOR": str(operator)})
            self.relays[name] = process
        await asyncio.gather(*(relay.start() for relay in self.relays.values()))

    def operator(self, name: str) -> dict:
        """The operator file of a relay; it reaches each peer through a link."""
        addresses = {n: self.peers[n] if n == name else self.net.links[name, n].address for n in self.names}
        relays = [{"name": n, "address": addresses[n], "zone": self.zones[n]} for n in self.names]
        peers = {"cluster": "trial", "name": name, "guards": 2, "lease": LEASE, "alone": self.alone}
        return {"format": 1, "log": {"repeat": 0.0, "level": "DEBUG"}, "peers": {**peers, "relays": relays}}

    def heir(self, name: str) -> RelayProcess:
        """A new process of a relay in the same folder, with its own operations address; not started."""
        current = self.relays[name]
        successor = RelayProcess(current.config, current.folder, environment=current.environment)
        successor.ops = f"127.0.0.1:{free_port()}"
        return successor

    def twin(self, name: str) -> RelayProcess:
        """Another relay with the same name, with a folder and addresses of its own; not started."""
        folder = self.folder / f"{name}-twin"
        folder.mkdir()
        settings, listen = self.operator(name), f"127.0.0.1:{free_port()}"
        own_entry = next(relay for relay in settings["peers"]["relays"] if relay["name"] == name)
        own_entry["address"] = f"127.0.0.1:{free_port()}"
        operator = folder / "operator.toml"
        operator.write_text(tomli_w.dumps(settings))
        config = {**self.relays[name].config, "listen": listen}
        return RelayProcess(config, folder, environment={"RYESTACK_OPERATOR": str(operator)})

    # -- actions of the stories -------------------------------------------------------------------------

    async def kill(self, name: str, wipe: bool = False) -> None:
        """Kills a relay by SIGKILL; with wipe, its state directory is emptied."""
        await self.relays[name].kill()
        self.killed.append((time.time(), name))
        if wipe:
            shutil.rmtree(self.relays[name].folder / "state")
            (self.relays[name].folder / "state").mkdir()
        self.say.append(f"killed {name}" + (" and wiped its state directory" if wipe else ""))

    async def restart(self, name: str) -> None:
        await self.relays[name].start()
        self.say.append(f"started {name}")

    def took_over(self) -> list[float]:
        """Seconds from each kill until a relay logs that it has taken over the killed relay's work."""
        durations = []
        for killed_at, name in self.killed:
            delays = []
            for relay in self.relays.values():
                for line in (relay.folder / "relay.log").read_text(errors="replace").splitlines():
                    if f"seat.acts seat={name} " in line and " owed=0 " not in line:
                        logged = datetime.fromisoformat(line.split(" ", 1)[0].replace("Z", "+00:00"))
                        delays += [logged.timestamp() - killed_at] if logged.timestamp() > killed_at else []
            durations += [min(delays)] if delays else []
        return durations

    def signal(self, name: str, number: int) -> None:
        """Sends a signal to a relay if it runs."""
        process = self.relays[name].process
        if process:
            send_signal(process, number)

    async def close(self) -> None:
        """Kills all relays, also stopped ones, and closes links and stand-ins."""
        for relay in self.relays.values():
            if relay.process:
                send_signal(relay.process, signal.SIGCONT)
            await relay.close()
        await self.net.close()
        await self.partner.close()
        if self.platform:
            await self.platform.close()


async def run(
    folder: Path, story: str, seed: int, count: int = 3, rate: float = 30.0
) -> tuple[Judged, Cluster]:
    """Runs one story on a new cluster; returns the judged result and the closed cluster.

    count: relays; rate: requests a second.
    """
    cluster = Cluster(folder, count, seed)
    try:
        await cluster.start()
        await asyncio.sleep(1.3 * LEASE)  # a relay that has just started grants no lease yet
        plan = Plan(TOPICS, [1, 2], ["acme"], rate=rate, seconds=6.0, seed=seed, window=WINDOW)
        load = Load(plan, [relay.address for relay in cluster.relays.values()])
        cluster.partner.began = cluster.platform.began = time.monotonic()
        sending = asyncio.ensure_future(load.run())
        try:
            await STORIES[story](cluster)
            await sending
        finally:
            sending.cancel()

        async def collect():
            books = cluster.partner.books, cluster.platform.books
            return books[0].runs, books[1].notices, books[0].whole and books[1].whole

        return await settled(load, collect, max(topic.ttl for topic in TOPICS) + 2.0), cluster
    finally:
        await cluster.close()


async def many(folder: Path, seconds: float, seed: int, say: Callable[[dict], None]) -> list[dict]:
    """Runs the stories in turn, each with its own seed and cluster size, for a number of seconds.

    A story that has begun is finished, and at least one is run. Returns a row for each; say gets it at once.
    """
    deadline, rows = time.monotonic() + seconds, []
    while time.monotonic() < deadline or not rows:
        number = len(rows)
        story, count = list(STORIES)[number % len(STORIES)], (3, 5, 7)[number % 3]
        story_folder = folder / f"{number}"
        result, cluster = await run(story_folder, story, seed + number, count)
        took_over = cluster.took_over()
        rows.append({
            "story": story, "seed": seed + number, "relays": count, "handed": result.handed, "taken":
            result.taken, "delivered": result.delivered, "ended": result.throttled + result.expired, "lost":
            result.lost, "twice": result.twice, "two_ends": result.two_ends, "false_ends": result.false_ends,
            "took_over_s": round(max(took_over), 2) if took_over else None, "broken": result.broken[:5],
        })  # fmt: skip
        say(rows[-1])
        shutil.rmtree(story_folder)
    return rows

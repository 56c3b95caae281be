"""End-to-end trial: a platform, partners and a relay on free ports, under load and faults, judged."""

import asyncio
import json
import os
import signal
import sys
import time
from collections.abc import Callable
from functools import partial
from pathlib import Path

import aiohttp

from ..standins.partner import Partner
from ..standins.platform import Platform
from ..standins.stage import Change, Endpoint, Pace, Stage
from ..standins.stage import Platform as PlatformStage
from .child_process import send_signal
from .load import Load, Plan, Topic, settled
from .oracle import Judged
from .ports import free_port

TOPICS = [
    Topic("balance", "repeatable", 12.0),
    Topic("points", "collapsible", 12.0),
    Topic("charge", "once-only", 12.0),
]
WINDOW = 6.0  # seconds, of the collapsible topic type
LOAD = 9.0  # seconds during which requests are sent
FALLS, RETURNS, KILLED = 2.0, 5.5, 4.0  # seconds from the first request
IGNORE_HANGUP = 'trap \'\' HUP; exec "$0" "$@"'  # as in the deploy file, until the relay handles the signal
READY = 8.0  # seconds that a relay may take until it serves


class TrialFailed(Exception):
    """The trial could not be carried out; the message gives the reason."""


def stage(seed: int) -> Stage:
    """Three partners: one that fails and returns cold, one with a rate limit, one without faults."""
    base = {"address": "127.0.0.1:0", "kind": "shop", "pace": Pace(mean=0.04)}
    rows = [
        Endpoint("falls-a", 1, weight=40.0, cold_time=3.0, **base),
        Endpoint("falls-b", 1, weight=40.0, cold_time=3.0, **base),
        Endpoint("limited-a", 2, weight=30.0, limit=30.0, **base),
        Endpoint("well-a", 3, **base),
        Endpoint("well-b", 3, **base),
    ]
    changes = [Change(after=FALLS, endpoint=name, mode="refuse") for name in ("falls-a", "falls-b")] + [
        Change(after=RETURNS, endpoint=name, mode="cold") for name in ("falls-a", "falls-b")
    ]
    platform = PlatformStage("127.0.0.1:0", "127.0.0.1:0")
    return Stage(endpoint=rows, at=changes, platform=platform, control="127.0.0.1:0", seed=seed)


def platform_config(listen: str, discovery: str, known: dict, topics: list[Topic], seed: int) -> dict:
    """A relay configuration in the platform's format, for a stage."""
    effects = {"repeatable": "safe", "collapsible": "keyed", "once-only": "unsafe"}
    grades = [
        {
            "name": topic.name, "effect": effects[topic.effect],
            "targetMs": 2000.0, "deadlineMs": topic.ttl * 1000.0,
            "windowMs": WINDOW * 1000.0, "credit": 1.0, "lateShare": 0.4,
        }
        for topic in topics
    ]  # fmt: skip
    return {
        "name": "n0", "listen": listen, "discovery": discovery, "seed": f"{seed:x}",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": 3},
        "known": known,
        "settings": {
            "balancers": 1, "kinds": ["shop"], "weights": "nominal", "quantumMs": 5.0,
            "specifics": {"callSlots": 32, "kindBatch": [1], "routesApart": [False], "late": "line"},
            "allowed": {
                "connIdleMs": 15000.0, "connectTimeoutMs": 1000.0, "maxAttempts": 12, "maxOpen": 1000,
                "maxRetryAfterMs": 2000.0, "mayCancel": True, "retryAfter": True,
            },
            "grades": grades,
            "projects": [{"name": "acme", "quotaPerS": 1000.0}],
            "overShareWorth": 0.1,
            "rules": {"coldShare": 0.3, "coldMs": 3000.0, "overloadFactor": 1.5, "fallMs": 1000.0},
        },
    }  # fmt: skip


class RelayProcess:
    """A relay as a child process in its own session, so that it gets no signals meant for the parent.

    close() kills it if it still runs.
    """

    ready_within = READY

    def __init__(
        self,
        config: dict,
        folder: Path,
        command: list[str] | None = None,
        cwd: Path | None = None,
        environment: dict[str, str] | None = None,
    ):
        self.config, self.folder, self.cwd, self.ops = config, folder, cwd, None
        self.environment = environment or {}
        self.command = command or ["sh", "-c", IGNORE_HANGUP, sys.executable, "-m", "ryestack"]
        self.address, self.process = config["listen"], None
        (folder / "state").mkdir(parents=True, exist_ok=True)
        (folder / "config.json").write_text(json.dumps(config))

    async def start(self) -> float:
        """Starts the process; returns the seconds until it served. Raises TrialFailed if it does not."""
        base = {key: value for key, value in os.environ.items() if not key.startswith("RYESTACK_")}
        env = {**base, "LB_CONFIG": str(self.folder / "config.json"), "LB_STATE": str(self.folder / "state")}
        env |= self.environment
        if self.ops:
            env["LB_OPS"] = self.ops
        started_at = time.monotonic()
        with open(self.folder / "relay.log", "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *self.command, env=env, stdout=log, stderr=log, cwd=self.cwd, start_new_session=True
            )
        while time.monotonic() < started_at + self.ready_within:
            if self.process.returncode is not None:
                raise TrialFailed(f"the relay exited with status {self.process.returncode}:\n{self.tail()}")
            if await (self.ready() if self.ops else self.healthy()):
                return time.monotonic() - started_at
            await asyncio.sleep(0.01)
        raise TrialFailed(f"the relay did not serve within {self.ready_within:g} s:\n{self.tail()}")

    async def healthy(self) -> bool:
        """Whether a relay serves at the clients' address; it need not be this process."""
        return await self.ask("GET", self.address, "/_health") == 200

    async def ready(self) -> bool:
        """Whether this very process is ready: another one may serve at the clients' address."""
        return await self.ask("GET", self.ops, "/-/ready") == 200

    async def ask(self, method: str, address: str, path: str) -> int:
        """Sends a request; returns the HTTP status of the answer, or 0 if there is none within 0.5 s."""
        try:
            timeout = aiohttp.ClientTimeout(total=0.5)
            async with aiohttp.request(method, f"http://{address}{path}", timeout=timeout) as answer:
                return answer.status
        except (aiohttp.ClientError, OSError, TimeoutError):
            return 0

    def tail(self) -> str:
        """The last lines of the relay's log."""
        return "\n".join((self.folder / "relay.log").read_text(errors="replace").splitlines()[-8:])

    async def kill(self, number: int = signal.SIGKILL) -> int:
        """Sends a signal and waits for the exit; returns the exit status, 0 if it was never started."""
        if self.process:
            send_signal(self.process, number)
        return await self.process.wait() if self.process else 0

    async def close(self) -> None:
        """Kills the process if it still runs, and waits for its exit."""
        if self.process:
            send_signal(self.process, signal.SIGKILL)
            await self.process.wait()


async def killed(relay: RelayProcess, say: Callable[[str], None]) -> tuple[RelayProcess, dict]:
    """The default story: the relay gets SIGKILL while a partner is down, and is started again."""
    await asyncio.sleep(KILLED)
    status = await relay.kill()
    say(f"killed the relay {KILLED:g} s after the first request (status {status}), its state directory stays")
    restart_seconds = await relay.start()
    say(f"it serves again after {restart_seconds:.2f} s; destination 1 returns {RETURNS:g} s after the first")
    return relay, {"restart_s": restart_seconds}


async def run(
    folder: Path,
    rate: float,
    seed: int,
    say: Callable[[str], None],
    note: Callable[[int], None],
    story=killed,
    seconds: float = LOAD,
) -> tuple[Judged, dict]:
    """Runs a whole trial; returns the judged result and a few facts of the run.

    rate: requests a second; say: prints a line; note: gets the number of requests sent so far.
    story(relay, say): acts on the relay while it is under load; returns the relay that runs then, and facts.
    """
    partner = Partner(stage(seed))
    platform = relay = None
    try:
        await partner.start()
        addresses = {name: place.address for name, place in partner.places.items()}
        platform = Platform(partner.stage, addresses)
        await platform.start()
        listen = f"127.0.0.1:{free_port()}"
        relay = RelayProcess(
            platform_config(listen, platform.address, platform.listing(), TOPICS, seed), folder
        )
        start_seconds = await relay.start()
        say(f"relay on {listen}, platform on {platform.address}, {len(addresses)} endpoints of 3 partners")
        plan = Plan(TOPICS, [1, 2, 3], ["acme"], rate=rate, seconds=seconds, seed=seed, window=WINDOW)
        load = Load(plan, [listen], note)
        partner.began = platform.began = (
            time.monotonic()
        )  # the stage's changes are timed from the start of the load
        relay, story_facts = await under_load(load, story(relay, say))
        result = await settled(
            load, partial(entries, partner, platform), max(topic.ttl for topic in TOPICS) + 2.0
        )
        status = await relay.kill(signal.SIGTERM)
        say(f"stopped the relay by SIGTERM: status {status}")
        return result, {"start_s": start_seconds, **story_facts, **facts_of(partner, status)}
    finally:
        for part in (relay, partner, platform):
            if part:
                await part.close()


async def under_load(load: Load, story):
    """Returns the story's result once all requests are sent; stops sending if the story fails."""
    sending = asyncio.ensure_future(load.run())
    try:
        result = await story
        await sending
    finally:
        sending.cancel()
    return result


async def entries(partner: Partner, platform: Platform) -> tuple[list, list, bool]:
    """The executions and notices in the books, and whether both books are complete."""
    return partner.books.runs, platform.books.notices, partner.books.whole and platform.books.whole


def facts_of(partner: Partner, status: int) -> dict:
    """Calls that partners answered "full", and the relay's exit status."""
    refused = sum(count for call, count in partner.books.calls.items() if call.endswith(" full"))
    return {"turned_away_by_partners": refused, "stop_status": status}

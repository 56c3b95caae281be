"""Starts hostile clients against a relay of a soak test, and watches the memory of its processes."""

import asyncio
import time
from collections.abc import Callable
from pathlib import Path

import msgspec

from ...observe.process_memory import resident_bytes
from .abusive_clients import AbusePlan
from .http_client import ClientTopic
from .model import Crowded, MemoryPeak, RelayMemoryPeak, Style, Trouble
from .processes import Helper
from .relay import SoakRelay
from .returning_clients import ReturningPlan
from .returning_model import ReturnedRequest

ABUSIVE_CLIENTS = 340  # more than a relay has connections for
FULL_SPEED_CLIENTS = 8  # of styles that send small requests without a pause
RETURNING_CLIENTS = 3
SAMPLE_INTERVAL_S = 0.05  # between readings of the relays' memory
MEGABYTE = 1_000_000
PLATFORM_MEMORY_MB = 192  # for all processes of a relay together, as in examples/config.json
EXIT_MARGIN_S = 5.0  # for hostile clients to end after their time
FULL_SPEED = (Style.DEAF, Style.NONSENSE)


class MemoryWatch:
    """Reads the memory of the relays' processes.

    peaks: the most that each process had, by relay and process id, in bytes; sums: the most that all of a
    relay had at one time, by relay.
    """

    def __init__(self, relays: list[SoakRelay]):
        self.relays = relays
        self.peaks: dict[tuple[int, int], int] = {}
        self.sums: dict[int, int] = {}

    async def run(self) -> None:
        """Sample until cancelled."""
        while True:
            self.sample()
            await asyncio.sleep(SAMPLE_INTERVAL_S)

    def sample(self) -> None:
        for relay in self.relays:
            processes = relay.running()
            for process in processes:
                key = relay.number, process.pid
                self.peaks[key] = max(self.peaks.get(key, 0), resident_bytes(process.pid, peak=True))
            now = sum(resident_bytes(process.pid) for process in processes)
            self.sums[relay.number] = max(self.sums.get(relay.number, 0), now)

    def result(self) -> list[MemoryPeak]:
        limits = {relay.number: relay.config["limits"]["memory_mb"] * MEGABYTE for relay in self.relays}
        return [MemoryPeak(*key, peak, limits[key[0]]) for key, peak in sorted(self.peaks.items())]

    def relay_sums(self) -> list[RelayMemoryPeak]:
        """Of each relay, against the platform's limit or a higher one in its configuration."""
        limits = {
            relay.number: max(PLATFORM_MEMORY_MB, relay.config["limits"]["memory_mb"]) * MEGABYTE
            for relay in self.relays
        }
        return [RelayMemoryPeak(number, peak, limits[number]) for number, peak in sorted(self.sums.items())]


class HostileClients:
    """Mixin of Scenario that injects hostile clients. Scenario sets the attributes."""

    relays: list[SoakRelay]
    crowded: list[Crowded]
    folder: Path
    log: Callable[[str], None]
    customer: str
    client_topics: list[ClientTopic]

    async def abuse(self, trouble: Trouble) -> None:
        style, begin = list(Style)[int(trouble.amount)], time.time()
        clients = FULL_SPEED_CLIENTS if style in FULL_SPEED else ABUSIVE_CLIENTS
        relay = self.relays[trouble.target]
        plan = AbusePlan(
            relay.number, relay.config["listen"], style, clients, trouble.seconds,
            self.client_topics[0].name, 1, self.customer,
        )  # fmt: skip
        counts = await self.run_clients("abusive_clients", plan, trouble)
        if style is Style.IDLE:  # new connections may be shut unread beside a crowd of idle clients only
            self.crowded.append(Crowded(trouble.target, begin, time.time()))
        self.log(f"{style.value}: {counts}")

    async def return_again(self, trouble: Trouble) -> None:
        relay = self.relays[trouble.target]
        report = str(self.folder / f"returning-{relay.number}.jsonl")
        seed = int(trouble.begin * 1e6)
        plan = ReturningPlan(
            relay.number, relay.config["listen"], RETURNING_CLIENTS, trouble.seconds, seed,
            self.client_topics, self.destinations(), self.customer, report,
        )  # fmt: skip
        await self.run_clients("returning_clients", plan, trouble)

    async def run_clients(self, module: str, plan: msgspec.Struct, trouble: Trouble) -> str:
        """Run client processes to their end; returns the line that they print."""
        command = [f"ryestack.lab.soak.{module}", msgspec.json.encode(plan).decode()]
        helper = Helper(command, self.folder, f"{module}-{trouble.target}-{trouble.begin:.3f}")
        try:
            async with asyncio.timeout(trouble.seconds + EXIT_MARGIN_S):
                return await helper.start()
        finally:
            await helper.close()

    def returned_requests(self) -> list[ReturnedRequest]:
        """All that returning clients recorded."""
        lines = [
            line for path in self.folder.glob("returning-*.jsonl") for line in path.read_bytes().splitlines()
        ]
        return [msgspec.json.decode(line, type=ReturnedRequest) for line in lines]

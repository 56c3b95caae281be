"""Hollow relays: control clients without the rest of a relay, hundreds of them in one process.

A hollow relay runs the production control code (the client and its imports) with its own name, session,
version, scope, timers and sockets. It has no journal, makes no decisions and sends no pushes.

The host process is `python -m ryestack.lab.hollow FILE`: it reads commands as lines of JSON from standard
input, answers each with one line on standard output, and exits at the end of its input.
"""

import asyncio
import random
import resource
import signal
import sys
import time
from contextlib import suppress
from pathlib import Path

import msgspec

from ..control.client import ControlClient, new_session
from ..control.holdings import HoldingsSnapshot
from ..control.messages import Entry, Rejection
from ..control.order import Machine
from ..control.subscription import Identity
from .hollow_messages import Close, Command, HollowPlace, Report, Specification, Start, Stop, Watch
from .scale_book import RecordWriter, digest, value_digest
from .scale_judge import RecordKind


class HollowRelay:
    """One hollow relay: a control client whose events are recorded.

    kept: the snapshot that a real relay would have in its state folder.
    """

    def __init__(self, number: int, place: HollowPlace, host: "Host"):
        self.number, self.place, self.host = number, place, host
        self.client: ControlClient | None = None
        self.client_task: asyncio.Task | None = None
        self.kept: HoldingsSnapshot | None = None

    def start(self) -> None:
        if self.client is not None:
            return
        host, place = self.host, self.place
        host.record(self.number, RecordKind.STARTED, 0)
        if self.kept is not None:
            host.record(self.number, RecordKind.APPLIED, self.kept.version)  # in force from the start
        identity = Identity(host.specification.cluster, place.name, time.time_ns(), place.region, place.zone)
        rng = random.Random(f"{host.specification.seed} {place.name} {identity.session}")
        self.client = ControlClient(
            identity, host.machines(place.group), self.apply, self.check, hold=host.specification.hold,
            clock=time.monotonic, rng=rng, session=host.session, snapshot=self.kept,
        )  # fmt: skip
        self.client_task = asyncio.ensure_future(self.client.run())

    async def stop(self, keep: bool) -> None:
        """Stops the client; keep: whether the next start restores what was in force at this stop."""
        if self.client is None:
            return
        client, self.client = self.client, None
        self.kept = client.subscriber.holdings.snapshot() if keep else None
        self.client_task.cancel()
        await asyncio.gather(self.client_task, return_exceptions=True)
        self.host.record(self.number, RecordKind.STOPPED, 0)

    def broken(self) -> bool:
        """Whether the client ended without being stopped."""
        return self.client is not None and self.client_task.done()

    def check(self, entries: list[Entry]) -> Rejection | None:
        return None

    def apply(self, entries: list[Entry], removed: list[str], version: int) -> None:
        self.host.record(self.number, RecordKind.APPLIED, version)
        self.record_entries(RecordKind.ENTRY, entries)

    def record_entries(self, kind: RecordKind, entries: list[Entry]) -> None:
        """Records the entries whose version is above the watched one."""
        for entry in entries:
            if entry.version > self.host.watched_above:
                self.host.record(
                    self.number, kind, entry.version, digest(entry.key), value_digest(entry.value)
                )


class Host:
    """All hollow relays of one process, sharing one HTTP session."""

    def __init__(self, specification: Specification):
        self.specification, self.session = specification, None
        self.book, self.watched_above = RecordWriter(Path(specification.book)), sys.maxsize
        self.relays = {
            place.name: HollowRelay(number, place, self) for number, place in enumerate(specification.relays)
        }
        self.machines_by_group: dict[str, list[Machine]] = {}

    def record(self, number: int, kind: RecordKind, version: int, key: int = 0, value: int = 0) -> None:
        self.book.write(number, kind, version, time.monotonic(), key, value)

    def machines(self, group: str) -> list[Machine]:
        """The control machines at the addresses that a group uses; one list for all relays of the group."""
        if group not in self.machines_by_group:
            table = self.specification.tables[group]
            machines = [Machine(m.name, table[m.name], m.region) for m in self.specification.machines]
            self.machines_by_group[group] = machines
        return self.machines_by_group[group]

    async def start(self, names: list[str], over: float) -> None:
        selected = names or list(self.relays)
        for name in selected:
            self.relays[name].start()
            if over > 0.0:
                await asyncio.sleep(over / len(selected))

    async def stop(self, names: list[str], keep: bool) -> None:
        await asyncio.gather(*(self.relays[name].stop(keep) for name in names or self.relays))

    async def execute(self, command: Command) -> Report:
        match command:
            case Start(names, over):
                await self.start(names, over)
            case Stop(names, keep):
                await self.stop(names, keep)
            case Watch(above):
                self.watched_above = above
            case Close():
                await self.close()
        self.book.flush()
        return self.report()

    async def close(self) -> None:
        for relay in self.relays.values():
            if relay.client is not None:
                relay.record_entries(RecordKind.HELD, relay.client.entries())
        await self.stop([], keep=False)

    def report(self) -> Report:
        clients = [relay.client for relay in self.relays.values() if relay.client is not None]
        rusage = resource.getrusage(resource.RUSAGE_SELF)
        return Report(
            running=len(clients),
            broken=sum(relay.broken() for relay in self.relays.values()),
            lowest=min((client.version for client in clients), default=0),
            entries=sum(len(client.subscriber.holdings.by_key) for client in clients),
            requests=sum(client.requests for client in clients),
            failures=sum(client.failures for client in clients),
            cpu=rusage.ru_utime + rusage.ru_stime,
            memory=rusage.ru_maxrss * 1024,
        )

    async def serve(self, commands: asyncio.StreamReader) -> None:
        """Executes commands line by line until the input ends, then stops all relays."""
        async with new_session() as self.session:
            try:
                while line := await commands.readline():
                    report = await self.execute(msgspec.json.decode(line, type=Command))
                    sys.stdout.buffer.write(msgspec.json.encode(report) + b"\n")
                    sys.stdout.buffer.flush()
            finally:
                await self.stop([], keep=False)
                self.book.close()


async def run(path: str) -> None:
    """Runs a host until the end of its input, SIGTERM or SIGINT."""
    loop, task = asyncio.get_running_loop(), asyncio.current_task()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, task.cancel)
    commands = asyncio.StreamReader(limit=2**24)  # a command may name thousands of relays
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(commands), sys.stdin)
    await Host(msgspec.json.decode(Path(path).read_bytes(), type=Specification)).serve(commands)


if __name__ == "__main__":
    with suppress(asyncio.CancelledError, KeyboardInterrupt):
        asyncio.run(run(sys.argv[1]))

"""Operations of stories on the fleet of a scale run, and measurements of what its processes use."""

import asyncio
import random
import signal
import time
from contextlib import suppress

from . import hollow_messages as hollow
from .scale_changes import Changes
from .scale_fleet import REAL, SAMPLE, Fleet
from .scale_judge import Record, RecordKind
from .scale_links import Traffic
from .scale_processes import ChildProcesses
from .scale_report import Measurement
from .scale_stories import Lengths
from .scale_usage import Usage, usage
from .trial import TrialFailed

LEADER_TIMEOUT_S = 40.0  # until a machine reports itself as leader
STOP_TIMEOUT_S = 30.0  # for a real relay to exit after SIGTERM
POLL_INTERVAL_S = 0.2


class Operations:
    """Starts, kills and stops relays and machines; records: starts and stops of real relays."""

    def __init__(
        self, fleet: Fleet, processes: ChildProcesses, changes: Changes, lengths: Lengths, seed: int
    ):
        self.fleet, self.processes, self.changes, self.lengths = fleet, processes, changes, lengths
        self.random, self.link_table = random.Random(f"{seed} stories"), fleet.link_table
        self.real_names = [place.name for place in fleet.plan.real]
        self.hollow_names = [place.name for host in fleet.plan.hosts for place in host]
        self.places = {place.name: place for place in fleet.plan.relays}
        self.host_of = {p.name: f"host{n}" for n, host in enumerate(fleet.plan.hosts) for p in host}
        self.records: list[Record] = []
        self.measurement: Measurement | None = None
        self.empty_hosts: dict[str, Usage] = {}  # usage before any hollow relay starts

    # -- control machines and real relays ---------------------------------------------------------------

    async def leader(self) -> str:
        """Returns the leader's name; raises TrialFailed where no machine reports itself as leader in time."""
        deadline = time.monotonic() + LEADER_TIMEOUT_S
        while time.monotonic() < deadline:
            for name, machine in self.fleet.machines.items():
                status = await machine.status()
                if status and status.get("leader") == name:
                    return name
            await asyncio.sleep(POLL_INTERVAL_S)
        raise TrialFailed("no control machine reports itself as leader")

    async def start_processes(self, names: list[str]) -> None:
        """Starts the machines, relays and hosts of these names."""
        by_name = {**self.fleet.machines, **self.fleet.relays, **self.fleet.plain, **self.fleet.hosts}
        self._note(names, RecordKind.STARTED)
        await self.processes.start((name, by_name[name]) for name in names)

    async def kill_processes(self, names: list[str]) -> None:
        await asyncio.gather(*(self.processes.kill(name) for name in names))
        self._note(names, RecordKind.STOPPED)

    async def stop_real(self) -> None:
        """Stops real relays by SIGTERM, so that they save what they served; raises TrialFailed."""
        for name in self.real_names:
            self.processes.signal(name, signal.SIGTERM)
        try:
            async with asyncio.timeout(STOP_TIMEOUT_S):
                await asyncio.gather(*(self.fleet.relays[name].process.wait() for name in self.real_names))
        except TimeoutError:
            raise TrialFailed(f"a relay did not exit within {STOP_TIMEOUT_S:g} s of SIGTERM") from None
        self._note(self.real_names, RecordKind.STOPPED)

    def _note(self, names: list[str], kind: RecordKind) -> None:
        now = time.monotonic()
        self.records += [Record(name, kind, 0, now) for name in names if name in self.fleet.relays]

    # -- hollow relays ----------------------------------------------------------------------------------

    async def stop_hollow(self, names: list[str], keep: bool) -> None:
        """Stops hollow relays; keep: their next start restores what was in force."""
        await self._send_to_hosts(names, lambda mine: hollow.Stop(mine, keep))

    async def start_hollow(self, names: list[str]) -> None:
        await self._send_to_hosts(names, hollow.Start)

    async def send_to_all_hosts(self, command: hollow.Command) -> list[hollow.Report]:
        return await asyncio.gather(*(host.ask(command) for host in self.fleet.hosts.values()))

    async def _send_to_hosts(self, names: list[str], command) -> None:
        by_host: dict[str, list[str]] = {}
        for name in names:
            by_host.setdefault(self.host_of[name], []).append(name)
        asks = [self.fleet.hosts[host].ask(command(mine)) for host, mine in by_host.items()]
        await asyncio.gather(*asks)

    # -- measurements -----------------------------------------------------------------------------------

    async def measure(self, seconds: float) -> None:
        """Samples all processes and measured links twice, `seconds` apart."""
        before, traffic, began = self._usages(), self._traffic(), time.monotonic()
        await asyncio.sleep(seconds)
        length = time.monotonic() - began
        self.measurement = Measurement(length, before, self._usages(), traffic, self._traffic())

    def measure_empty_hosts(self) -> None:
        self.empty_hosts = {name: usage(self.processes.process_id(name)) for name in self.fleet.hosts}

    def _usages(self) -> dict[str, Usage]:
        found = {}
        for name in self.processes.started:
            with suppress(OSError):
                found[name] = usage(self.processes.process_id(name))
        return found

    def _traffic(self) -> dict[str, Traffic]:
        return {group: self.link_table.traffic(group) for group in (REAL, SAMPLE)}

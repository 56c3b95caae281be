"""What a story may do to the fleet of a scale run, and the looks at what its processes use."""

import asyncio
import random
import signal
import time
from contextlib import suppress

from . import hollow_messages as hollow
from .scale_changes import Changes
from .scale_fleet import REAL, SAMPLE, Fleet
from .scale_judge import Kind, Line
from .scale_links import Traffic
from .scale_processes import Children
from .scale_report import Measured
from .scale_stories import Lengths
from .scale_usage import Usage, usage
from .trial import TrialFailed

LEADS_WITHIN = 40.0  # seconds until a machine has to say that it leads
STOPS_WITHIN = 30.0  # seconds that a real relay may take to end by SIGTERM
LOOK = 0.2


class Operations:
    """Starts, kills and stops relays and machines; lines: when real relays did start and stop."""

    def __init__(self, fleet: Fleet, children: Children, changes: Changes, lengths: Lengths, seed: int):
        self.fleet, self.children, self.changes, self.lengths = fleet, children, changes, lengths
        self.random, self.roads = random.Random(f"{seed} stories"), fleet.roads
        self.real_names = [place.name for place in fleet.plan.real]
        self.hollow_names = [place.name for host in fleet.plan.hosts for place in host]
        self.places = {place.name: place for place in fleet.plan.relays}
        self.host_of = {p.name: f"host{n}" for n, host in enumerate(fleet.plan.hosts) for p in host}
        self.lines: list[Line] = []
        self.measures: Measured | None = None
        self.empty_hosts: dict[str, Usage] = {}  # before any hollow relay

    # -- control machines and real relays ---------------------------------------------------------------

    async def leader(self) -> str:
        """The machine that leads; raises TrialFailed where none says so for a while."""
        until = time.monotonic() + LEADS_WITHIN
        while time.monotonic() < until:
            for name, machine in self.fleet.machines.items():
                told = await machine.status()
                if told and told.get("leader") == name:
                    return name
            await asyncio.sleep(LOOK)
        raise TrialFailed("no control machine says that it leads")

    async def start_children(self, names: list[str]) -> None:
        """Of machines, real relays and others, those that were made under these names."""
        made = {**self.fleet.machines, **self.fleet.relays, **self.fleet.plain, **self.fleet.hosts}
        self._note(names, Kind.STARTED)
        await self.children.start((name, made[name]) for name in names)

    async def kill_children(self, names: list[str]) -> None:
        await asyncio.gather(*(self.children.kill(name) for name in names))
        self._note(names, Kind.STOPPED)

    async def stop_real(self) -> None:
        """By SIGTERM, so that their state folders tell what they served at the end; raises TrialFailed."""
        for name in self.real_names:
            self.children.signal(name, signal.SIGTERM)
        try:
            async with asyncio.timeout(STOPS_WITHIN):
                await asyncio.gather(*(self.fleet.relays[name].process.wait() for name in self.real_names))
        except TimeoutError:
            raise TrialFailed(f"a relay did not end within {STOPS_WITHIN:g} s of SIGTERM") from None
        self._note(self.real_names, Kind.STOPPED)

    def _note(self, names: list[str], kind: Kind) -> None:
        now = time.monotonic()
        self.lines += [Line(name, kind, 0, now) for name in names if name in self.fleet.relays]

    # -- hollow relays ----------------------------------------------------------------------------------

    async def stop_hollow(self, names: list[str], keep: bool) -> None:
        """keep: their next lives find what these had in force."""
        await self._tell_hosts(names, lambda mine: hollow.Stop(mine, keep))

    async def start_hollow(self, names: list[str]) -> None:
        await self._tell_hosts(names, hollow.Start)

    async def tell_all(self, command: hollow.Command) -> list[hollow.Report]:
        return await asyncio.gather(*(host.ask(command) for host in self.fleet.hosts.values()))

    async def _tell_hosts(self, names: list[str], command) -> None:
        by_host: dict[str, list[str]] = {}
        for name in names:
            by_host.setdefault(self.host_of[name], []).append(name)
        asks = [self.fleet.hosts[host].ask(command(mine)) for host, mine in by_host.items()]
        await asyncio.gather(*asks)

    # -- what all use -----------------------------------------------------------------------------------

    async def measure(self, seconds: float) -> None:
        """Two looks at all processes and measured links, so far apart."""
        before, traffic, began = self._usages(), self._traffic(), time.monotonic()
        await asyncio.sleep(seconds)
        length = time.monotonic() - began
        self.measures = Measured(length, before, self._usages(), traffic, self._traffic())

    def measure_empty_hosts(self) -> None:
        self.empty_hosts = {name: usage(self.children.process_id(name)) for name in self.fleet.hosts}

    def _usages(self) -> dict[str, Usage]:
        found = {}
        for name in self.children.started:
            with suppress(OSError):
                found[name] = usage(self.children.process_id(name))
        return found

    def _traffic(self) -> dict[str, Traffic]:
        return {group: self.roads.traffic(group) for group in (REAL, SAMPLE)}

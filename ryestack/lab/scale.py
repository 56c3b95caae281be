"""The scale run: real relays under load, hollow relays and control machines under faults, checked by rules.

`scale_plan` works out a run's requirements first. On every exit, all its processes are ended by their ids.
"""

import asyncio
import time
from collections.abc import Callable, Iterator
from itertools import chain
from pathlib import Path

from . import hollow_messages as hollow
from .load import figures
from .scale_book import read_log, read_records, read_state_folder
from .scale_changes import CHANGED_DESTINATIONS, Changes, destination_key, region_of
from .scale_fleet import CLUSTER, REPLICAS, Fleet
from .scale_judge import Record, left_behind
from .scale_load import StandIns, served_by
from .scale_operations import Operations
from .scale_plan import ScalePlan
from .scale_processes import ChildProcesses
from .scale_report import ScaleResult, Window, result_of
from .scale_scope import Scope
from .scale_stories import STORIES, Lengths, ordinary
from .scale_usage import runs
from .trial import TrialFailed

STEADY_RATE = 1.0  # changes a second throughout: seven times an ordinary day's rate at 12,000 relays
LOAD_RATE = 4.0  # requests a second at each real relay
LOAD_DESTINATIONS = 2_000  # searched for those that a real relay serves
JOINS_PER_SECOND = 100.0  # hollow relays started a second during set-up
JOIN_TIMEOUT_S = 120.0  # from the first start until all relays have their scope
CATCH_UP_TIMEOUT_S = 40.0  # after a story
POLL_INTERVAL_S = 0.2
APPLIED_EVENT = "control.applied"


class ScaleRun:
    """One run of a plan, created within a running event loop; `say` gets a line of progress for each step."""

    def __init__(
        self,
        folder: Path,
        plan: ScalePlan,
        seed: int,
        lengths: Lengths,
        say: Callable[[str], None],
        hold: float = 5.0,
    ):
        self.folder, self.plan, self.seed, self.say = folder, plan, seed, say
        self.lengths, self.hold = lengths, hold
        self.processes, self.stand_ins = ChildProcesses(), StandIns(seed)
        self.scope = Scope(plan, REPLICAS)
        self.fleet: Fleet | None = None
        self.changes: Changes | None = None
        self.operations: Operations | None = None
        self.windows: list[Window] = []
        self.loading: list[asyncio.Task] = []
        self.setup: dict[str, float] = {}

    async def run(self, stories: list[str]) -> ScaleResult:
        """Runs set-up, stories and checks; raises TrialFailed where one could not be carried out."""
        try:
            await self._make()
            await self._start_machines()
            await self._join()
            await self._play(stories)
            judged = await self.stand_ins.judged()
            running = await self._close_books()
        finally:
            await self._end()
        left = left_behind(self.processes.process_ids, runs)
        return result_of(self, figures(judged), running, left)

    async def _make(self) -> None:
        await self.stand_ins.start()
        self.fleet = Fleet(self.folder, self.plan, self.stand_ins, self.hold, self.seed)
        await self.fleet.make()
        partners = self.stand_ins.partner_addresses
        self.changes = Changes(self.plan, self.fleet.addresses, partners, self.seed)
        await self.changes.open()
        self.operations = Operations(self.fleet, self.processes, self.changes, self.lengths, self.seed)

    async def _start_machines(self) -> None:
        began = time.monotonic()
        await self.operations.start_processes(list(self.fleet.machines))
        await self.operations.leader()
        self.say(f"{len(self.fleet.machines)} control machines after {time.monotonic() - began:.1f} s")
        began = time.monotonic()
        await self.changes.load()
        self.setup["loaded_s"] = time.monotonic() - began
        self.say(f"{self.plan.destinations} destinations loaded in {self.setup['loaded_s']:.1f} s")

    async def _join(self) -> None:
        began, fleet = time.monotonic(), self.fleet
        await self.operations.start_processes([*fleet.hosts, *fleet.relays, *fleet.plain])
        # All hosts read commands once they have answered.
        await self.operations.send_to_all_hosts(hollow.Tell())
        self.operations.measure_empty_hosts()
        await self.operations.send_to_all_hosts(
            hollow.Start(over=len(self.operations.hollow_names) / JOINS_PER_SECOND)
        )
        if not await self._caught_up(JOIN_TIMEOUT_S):
            raise TrialFailed(
                f"not all relays received their scope within {JOIN_TIMEOUT_S:g} s: {self._laggards()}"
            )
        self.setup["joined_s"] = time.monotonic() - began
        await self.operations.send_to_all_hosts(hollow.Watch(self.changes.newest))
        self.say(f"{len(self.plan.relays)} relays have their scope after {self.setup['joined_s']:.1f} s")

    async def _caught_up(self, timeout: float) -> bool:
        """Waits until all relays have the newest answered version; False on timeout.

        A real relay logs only versions that change something in its scope, so it is checked for shared ones.
        """
        wanted, shared = self.changes.newest, self.changes.newest_shared
        deadline = time.monotonic() + timeout
        while time.monotonic() < deadline:
            reports = await self.operations.send_to_all_hosts(hollow.Tell())
            if any(report.broken for report in reports):
                raise TrialFailed("a hollow relay's client ended unexpectedly: see the log of its host")
            hollow_reached = all(report.lowest >= wanted for report in reports)
            if hollow_reached and all(version >= shared for version in self._real_versions().values()):
                return True
            await asyncio.sleep(POLL_INTERVAL_S)
        return False

    def _laggards(self) -> str:
        lagging = [f"{n} {v}" for n, v in self._real_versions().items() if v < self.changes.newest_shared]
        return f"wanted {self.changes.newest_shared}, real relays behind: {', '.join(lagging) or 'none'}"

    def _real_versions(self) -> dict[str, int]:
        found = dict.fromkeys(self.operations.real_names, 0)
        for name in found:
            for record in self._log_records(name):
                found[name] = record.version
        return found

    def _log_records(self, name: str) -> Iterator[Record]:
        wall_to_clock = time.monotonic() - time.time()
        return read_log(self.fleet.relays[name].folder / "relay.log", name, APPLIED_EVENT, wall_to_clock)

    async def _play(self, stories: list[str]) -> None:
        steady = asyncio.ensure_future(self.changes.steady(STEADY_RATE))
        try:
            for story in stories:
                if story != ordinary.__name__ and not self.loading:
                    self._begin_load(stories)
                await self._play_one(story)
        finally:
            for task in (steady, *self.loading):
                task.cancel()
            await asyncio.gather(steady, *self.loading, return_exceptions=True)

    async def _play_one(self, story: str) -> None:
        began = time.monotonic()
        await STORIES[story](self.operations)
        ended = time.monotonic()
        caught_up = await self._caught_up(CATCH_UP_TIMEOUT_S)
        self.windows.append(Window(story, began, ended, time.monotonic(), caught_up))
        outcome = f"{'' if caught_up else 'NOT '}caught up {time.monotonic() - ended:.1f} s after"
        self.say(f"{story}: {ended - began:.1f} s, {outcome}")

    def _begin_load(self, stories: list[str]) -> None:
        numbers = range(CHANGED_DESTINATIONS, min(self.plan.destinations, LOAD_DESTINATIONS))
        addresses = {place.name: self.fleet.listens[place.name] for place in self.plan.real}
        served = served_by(addresses, numbers, lambda number: self.scope.relays(number, region_of(number)))
        self.setup["relays_under_load"] = len(served)
        seconds = CATCH_UP_TIMEOUT_S * len(stories) + self.lengths.parted
        self.loading = self.stand_ins.begin(served, LOAD_RATE, seconds)

    async def _close_books(self) -> set[str]:
        """Returns the relays that run at the end, after saving what they hold."""
        await self._caught_up(CATCH_UP_TIMEOUT_S)
        reports = await self.operations.send_to_all_hosts(hollow.Tell())
        if sum(report.running for report in reports) != len(self.operations.hollow_names):
            raise TrialFailed("not all hollow relays are running at the end")
        await self.operations.send_to_all_hosts(hollow.Close())
        await self.operations.stop_real()
        return set(self.operations.hollow_names) | set(self.operations.real_names)

    async def _end(self) -> None:
        await self.processes.end_all()
        if self.changes:
            await self.changes.close()
        if self.fleet:
            await self.fleet.link_table.close()
        await self.stand_ins.close()

    # -- records --------------------------------------------------------------------------------------

    def records(self) -> Iterator[Record]:
        """Yields the records of all relays, in order of time for each relay."""
        for number, places in enumerate(self.plan.hosts):
            path = self.folder / f"host{number}" / "book"
            yield from read_records(path, [place.name for place in places])
        for name in self.operations.real_names:
            mine = [record for record in self.operations.records if record.relay == name]
            yield from sorted(chain(mine, self._log_records(name)), key=lambda record: record.time)
            yield from read_state_folder(self.fleet.relays[name].folder / "state", CLUSTER, name)

    def scope_of_key(self) -> Callable[[int], set[str]]:
        """Returns a function from the digest of a changed destination's key to the relays that serve it."""
        numbers = range(CHANGED_DESTINATIONS)
        return self.scope.by_digest({destination_key(n): (n, region_of(n)) for n in numbers})

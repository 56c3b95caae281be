"""The result of a scale run: typed, as JSON and as a table by size."""

from collections.abc import Iterable
from dataclasses import dataclass

import msgspec

from .scale_fleet import REAL, SAMPLE
from .scale_judge import (
    Change,
    Faults,
    InForce,
    caught_up,
    in_force,
    lost_changes,
    older_after_newer,
    percentile,
)
from .scale_links import Traffic
from .scale_usage import Usage

AGREEMENT_TOLERANCE = 0.15  # of the real relays' figure; beyond it the hollow figure is unproven
NOTIFICATION_RULES = ("lost", "twice", "two_ends", "false_ends", "after_its_end", "late")


@dataclass(frozen=True, slots=True)
class Window:
    """Times of a story: began, ended, end of the wait for all relays (settled), and whether all caught up."""

    story: str
    began: float
    ended: float
    settled: float
    caught_up: bool


@dataclass(frozen=True, slots=True)
class Measurement:
    """Two samples of all processes and measured links, `seconds` apart."""

    seconds: float
    before: dict[str, Usage]
    after: dict[str, Usage]
    traffic_before: dict[str, Traffic]
    traffic_after: dict[str, Traffic]

    def cpu(self, name: str) -> float:
        """Cores that a process used on average."""
        return (self.after[name].cpu - self.before[name].cpu) / self.seconds

    def traffic(self, group: str, what: str) -> float:
        """`carried` (bytes) or `reads` of a group's links, per second."""
        before, after = self.traffic_before[group], self.traffic_after[group]
        return (getattr(after, what) - getattr(before, what)) / self.seconds


class Delays(msgspec.Struct, frozen=True):
    """Delays in seconds over `count` cases; None without any. never: cases that did not complete."""

    count: int
    never: int
    p50: float | None
    p99: float | None
    worst: float | None


class StoryResult(msgspec.Struct, frozen=True):
    """Outcome of the changes requested during a story.

    unanswered: changes that no machine accepted in all tries; answered: from the first try to the answer;
    shared, scoped: from the answer until in force at all relays concerned;
    restarted: from a relay's start until it is current; caught_up: whether all were, a while after the story.
    """

    story: str
    seconds: float
    caught_up: bool
    caught_up_after: float
    changes: int
    unanswered: int
    answered: Delays
    shared: Delays
    scoped: Delays
    restarted: Delays
    slowest: str


class Compared(msgspec.Struct, frozen=True):
    """A figure of a hollow relay compared with that of a real one, both per second.

    proven: whether they agree within AGREEMENT_TOLERANCE; spread: standard error of `real`, if known.
    """

    hollow: float
    real: float
    ratio: float | None
    proven: bool
    spread: float | None = None


class MachineUse(msgspec.Struct, frozen=True):
    """Use of control machines during the ordinary story: cores, resident bytes."""

    cpu_mean: float
    cpu_most: float
    memory_mean: int
    memory_most: int


class ScaleResult(msgspec.Struct, frozen=True):
    """The result of a run.

    real_cpu, plain_cpu: cores that idle relays use with and without control. Memory is resident bytes; that
    of a hollow relay is its share of what its host uses above an empty host.
    """

    relays: int
    real: int
    hollow: int
    machines: int
    voters: int
    destinations: int
    seed: int
    hold: float
    setup: dict[str, float]
    needs: dict[str, int]
    stories: list[StoryResult]
    compared: dict[str, Compared]
    hollow_memory: float
    real_memory: float
    plain_memory: float
    real_cpu: float
    plain_cpu: float
    machine: MachineUse | None
    changes: int
    older_after_newer: Faults
    lost_changes: Faults
    left_behind: Faults
    notifications: dict

    def good(self) -> bool:
        """Whether no rule was broken and every change came into force."""
        kept = not (self.older_after_newer.count or self.lost_changes.count or self.left_behind.count)
        return kept and self.notifications["good"] and all(story.caught_up for story in self.stories)


def result_of(run, notifications: dict, alive: set[str], left: Faults) -> ScaleResult:
    """Builds the result of a ScaleRun that has ended; alive: relays that ran at the end."""
    plan, scope = run.plan, run.scope_of_key()
    made, measurement, fleet = run.changes.made, run.operations.measurement, run.fleet
    force = in_force(made, run.records(), scope)
    starts = caught_up(made, run.records())
    hollow_count = len(run.operations.hollow_names)
    empty = run.operations.empty_hosts
    after = measurement.after if measurement else empty
    host_memory = sum(after[name].memory - empty[name].memory for name in fleet.hosts)
    return ScaleResult(
        relays=len(plan.relays), real=len(plan.real), hollow=hollow_count, machines=len(plan.machines),
        voters=sum(machine.voter for machine in plan.machines), destinations=plan.destinations, seed=run.seed,
        hold=run.hold, setup={name: round(value, 2) for name, value in run.setup.items()}, needs=plan.needs,
        stories=[story_of(window, made, force, starts) for window in run.windows],
        compared=compare_with_real(measurement, run.operations) if measurement else {},
        hollow_memory=host_memory / max(1, hollow_count),
        real_memory=_mean_memory(measurement, fleet.relays),
        plain_memory=_mean_memory(measurement, fleet.plain),
        real_cpu=_mean_cpu(measurement, fleet.relays), plain_cpu=_mean_cpu(measurement, fleet.plain),
        machine=machine_use(measurement, fleet.machines) if measurement else None,
        changes=len(made), older_after_newer=older_after_newer(run.records()),
        lost_changes=lost_changes(made + run.changes.doubtful, run.records(), alive, scope), left_behind=left,
        notifications=notifications,
    )  # fmt: skip


def story_of(
    window: Window, made: list[Change], force: list[InForce], starts: list[tuple[float, float]]
) -> StoryResult:
    """Builds a story's result; force: all changes of the run; starts: (time, seconds until current)."""
    mine = [each for each in force if window.began <= each.change.asked < window.settled]
    asked = [change for change in made if window.began <= change.asked < window.settled]
    slowest = max(mine, key=lambda each: each.seconds or 0.0, default=None)
    restarted = [seconds for at, seconds in starts if window.began <= at < window.settled]
    return StoryResult(
        story=window.story, seconds=round(window.ended - window.began, 2), caught_up=window.caught_up,
        caught_up_after=round(window.settled - window.ended, 2), changes=len(asked),
        unanswered=sum(not change.version for change in asked),
        answered=summarize_delays([change.answered - change.asked for change in asked if change.version]),
        shared=summarize_delays([each.seconds for each in mine if each.change.shared]),
        scoped=summarize_delays([each.seconds for each in mine if not each.change.shared]),
        restarted=summarize_delays(restarted), slowest=slowest.slowest if slowest else "",
    )  # fmt: skip


def summarize_delays(seconds: list[float | None]) -> Delays:
    """Summarizes delays; None stands for a case that never completed."""
    found = [value for value in seconds if value is not None]
    parts = [percentile(found, 0.5), percentile(found, 0.99), max(found, default=None)]
    rounded = [None if part is None else round(part, 3) for part in parts]
    return Delays(len(seconds), len(seconds) - len(found), *rounded)


def compare_with_real(measurement: Measurement, operations) -> dict[str, Compared]:
    """Compares hollow with real relays: bytes, reads and processor time for control, per second."""
    fleet, count = operations.fleet, max(1, len(operations.real_names))
    found = {}
    for name in ("carried", "reads"):
        each = {group: measurement.traffic(group, name) / count for group in (REAL, SAMPLE)}
        found[name] = compare(each[SAMPLE], each[REAL])
    hosts = sum(measurement.cpu(name) for name in fleet.hosts) / max(1, len(operations.hollow_names))
    real, plain = ([measurement.cpu(name) for name in names] for names in (fleet.relays, fleet.plain))
    found["cpu"] = compare(hosts, *control_cpu(real, plain))
    return found


def control_cpu(real: list[float], plain: list[float]) -> tuple[float, float]:
    """Mean cores that idle relays use above relays without control, and the standard error."""
    if not real or not plain:
        return 0.0, 0.0
    spread = (_variance(real) / len(real) + _variance(plain) / len(plain)) ** 0.5
    return sum(real) / len(real) - sum(plain) / len(plain), spread


def compare(hollow: float, real: float, spread: float | None = None) -> Compared:
    """Compares two figures: proven if they agree and the spread, if any, is within the same tolerance."""
    ratio = hollow / real if real > 0.0 else None
    agrees = ratio is not None and abs(ratio - 1.0) <= AGREEMENT_TOLERANCE
    sharp = spread is None or spread <= AGREEMENT_TOLERANCE * real
    return Compared(hollow, real, ratio, agrees and sharp, spread)


def machine_use(measurement: Measurement, names: Iterable[str]) -> MachineUse:
    cpu = [measurement.cpu(name) for name in names]
    memory = [measurement.after[name].memory for name in names]
    return MachineUse(sum(cpu) / len(cpu), max(cpu), sum(memory) // len(memory), max(memory))


def _variance(values: list[float]) -> float:
    mean = sum(values) / len(values)
    return sum((value - mean) ** 2 for value in values) / max(1, len(values) - 1)


def _mean_cpu(measurement: Measurement | None, names: Iterable[str]) -> float:
    found = [measurement.cpu(name) for name in names] if measurement else []
    return sum(found) / len(found) if found else 0.0


def _mean_memory(measurement: Measurement | None, names: Iterable[str]) -> float:
    found = [measurement.after[name].memory for name in names] if measurement else []
    return sum(found) / len(found) if found else 0.0

"""Judges a scale run from its books: what was changed, what each relay had in force and when. Pure.

Times are seconds of one monotonic clock, the same for all processes of a computer.
"""

import enum
from array import array
from bisect import bisect_left
from collections import defaultdict
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

MOST_LINES = 20  # of faults of one kind that are told; the count is of all


class Kind(enum.IntEnum):
    """What a relay's book has a line of."""

    STARTED = 1
    STOPPED = 2
    APPLIED = 3  # a version came in force
    ENTRY = 4  # with it, the newest value of a key
    HELD = 5  # at the end of the run: the value of a key that the relay serves


@dataclass(frozen=True, slots=True)
class Line:
    """One line of a relay's book; key and value (digests) are set for ENTRY and HELD alone."""

    relay: str
    kind: Kind
    version: int
    at: float
    key: int = 0
    value: int = 0


@dataclass(frozen=True, slots=True)
class Change:
    """A change as it was handed in and answered; version 0: never answered, it may hold or not."""

    key: int
    value: int
    shared: bool
    asked: float
    answered: float
    version: int


@dataclass(slots=True)
class Faults:
    """How often one rule was broken, and the first cases."""

    count: int = 0
    lines: list[str] = field(default_factory=list)

    def add(self, line: str) -> None:
        self.count += 1
        if len(self.lines) < MOST_LINES:
            self.lines.append(line)


def older_after_newer(lines: Iterable[Line]) -> Faults:
    """Versions and values that went back, within a relay's life and over its restarts.

    lines: of each relay in order of time.
    """
    faults, versions, keys = Faults(), {}, {}
    for line in lines:
        if line.kind is Kind.APPLIED:
            if line.version < versions.get(line.relay, 0):
                faults.add(
                    f"{line.relay} at {line.at:.3f}: version {line.version} after {versions[line.relay]}"
                )
            versions[line.relay] = max(line.version, versions.get(line.relay, 0))
        elif line.kind in (Kind.ENTRY, Kind.HELD):
            place = (line.relay, line.key)
            if line.version < keys.get(place, 0):
                faults.add(f"{_about(line)} of key {line.key:x}, after {keys[place]}")
            keys[place] = max(line.version, keys.get(place, 0))
    return faults


def _about(line: Line) -> str:
    return f"{line.relay} at {line.at:.3f}: version {line.version}"


def lost_changes(
    changes: Iterable[Change], lines: Iterable[Line], alive: set[str], scope: Callable[[int], set[str]]
) -> Faults:
    """Answered changes whose value a relay in whose scope they are does not hold at the end.

    alive: relays at the end; scope(key): the relays that serve a key that is not shared.
    """
    newest: dict[int, Change] = {}
    doubtful: defaultdict[int, set[int]] = defaultdict(set)  # values that were never answered may hold
    for change in changes:
        if change.version == 0:
            doubtful[change.key].add(change.value)
        elif change.version > (newest[change.key].version if change.key in newest else 0):
            newest[change.key] = change
    held = {(line.relay, line.key): line for line in lines if line.kind is Kind.HELD}
    faults = Faults()
    for key, change in newest.items():
        for relay in sorted(alive if change.shared else alive & scope(key)):
            line = held.get((relay, key))
            if line is None:
                faults.add(f"{relay}: has nothing of key {key:x}, changed by version {change.version}")
            elif line.value != change.value and line.value not in doubtful[key]:
                faults.add(f"{relay}: holds version {line.version} of key {key:x}, not {change.version}")
    return faults


@dataclass(frozen=True, slots=True)
class InForce:
    """When a change was in force everywhere, in seconds from its answer; None: never.

    slowest: the relay that had it last; relays: how many were waited for.
    """

    change: Change
    seconds: float | None
    slowest: str
    relays: int


def in_force(
    changes: Iterable[Change], lines: Iterable[Line], scope: Callable[[int], set[str]]
) -> list[InForce]:
    """Of each answered change, over the relays in its scope that ran from its answer until they had it.

    A relay that stops before it has a change is not waited for: its restart is told by `caught_up`.
    """
    lives = _lives(lines)
    return [_in_force(change, lives, scope) for change in changes if change.version]


def caught_up(changes: Iterable[Change], lines: Iterable[Line]) -> list[tuple[float, float]]:
    """Each start of a relay but its first: when, and seconds until it had what all share and was answered
    before it.

    Starts of relays that never got so far are left out: a run that ends with such is not caught up.
    """
    answered = [(change.answered, change.version) for change in changes if change.version and change.shared]
    found = []
    for lives in _lives(lines).values():
        for life in lives[1:]:
            wanted = max((version for at, version in answered if at <= life.began), default=0)
            if (reached := life.reached(wanted)) is not None:
                found.append((life.began, max(0.0, reached - life.began)))
    return found


@dataclass(slots=True)
class _Life:
    """One process, or one start of a hollow relay: when each version came in force."""

    began: float
    ended: float = float("inf")
    times: array = field(default_factory=lambda: array("d"))
    versions: array = field(default_factory=lambda: array("Q"))

    def applied(self, at: float, version: int) -> None:
        if not self.versions or version > self.versions[-1]:
            self.times.append(at)
            self.versions.append(version)

    def reached(self, version: int) -> float | None:
        """When it first had the version or a newer one."""
        place = bisect_left(self.versions, version)
        return self.times[place] if place < len(self.times) else None


def _lives(lines: Iterable[Line]) -> dict[str, list[_Life]]:
    lives: defaultdict[str, list[_Life]] = defaultdict(list)
    for line in lines:
        if line.kind is Kind.STARTED:
            lives[line.relay].append(_Life(line.at))
        elif line.kind is Kind.STOPPED and lives[line.relay]:
            lives[line.relay][-1].ended = line.at
        elif line.kind is Kind.APPLIED and lives[line.relay]:
            lives[line.relay][-1].applied(line.at, line.version)
    return lives


def _in_force(change: Change, lives: dict[str, list[_Life]], scope) -> InForce:
    worst, slowest, waited = 0.0, "", 0
    for relay in lives if change.shared else lives.keys() & scope(change.key):
        life = next((life for life in lives[relay] if life.began <= change.answered < life.ended), None)
        if life is None:
            continue
        reached = life.reached(change.version)
        if reached is None and life.ended == float("inf"):
            return InForce(change, None, relay, waited)
        if reached is None:
            continue
        waited += 1
        if reached - change.answered >= worst:
            worst, slowest = reached - change.answered, relay
    return InForce(change, worst, slowest, waited)


def left_behind(children: dict[str, int], runs: Callable[[int], bool]) -> Faults:
    """Children (name to process id) that still run after the end."""
    faults = Faults()
    for name, process_id in children.items():
        if runs(process_id):
            faults.add(f"{name}: process {process_id} still runs")
    return faults


def percentile(values: list[float], part: float) -> float | None:
    """The value below which part (0 to 1) of all lie; None of none."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(part * len(ordered)))] if ordered else None

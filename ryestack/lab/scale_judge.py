"""Checks a scale run from its records: which changes were made, what each relay had in force and when. Pure.

Times are seconds of one monotonic clock, which all processes of a computer share.
"""

import enum
from array import array
from bisect import bisect_left
from collections import defaultdict
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

MAX_FAULT_LINES = 20  # faults of one kind that are listed; all are counted


class RecordKind(enum.IntEnum):
    """The kinds of event that are recorded of a relay."""

    STARTED = 1
    STOPPED = 2
    APPLIED = 3  # a version came into force
    ENTRY = 4  # newest value of a key, applied with that version
    HELD = 5  # value of a key that the relay holds at the end of the run


@dataclass(frozen=True, slots=True)
class Record:
    """One recorded event of a relay; key and value (digests) are set for ENTRY and HELD only."""

    relay: str
    kind: RecordKind
    version: int
    time: float
    key: int = 0
    value: int = 0


@dataclass(frozen=True, slots=True)
class Change:
    """A change as it was requested and answered; version 0: never answered, so it may be in force or not."""

    key: int
    value: int
    shared: bool
    asked: float
    answered: float
    version: int


@dataclass(slots=True)
class Faults:
    """Number of violations of one rule, and descriptions of the first ones."""

    count: int = 0
    lines: list[str] = field(default_factory=list)

    def add(self, text: str) -> None:
        self.count += 1
        if len(self.lines) < MAX_FAULT_LINES:
            self.lines.append(text)


def older_after_newer(records: Iterable[Record]) -> Faults:
    """Finds versions and values that went back, also across a relay's restarts.

    records: in order of time for each relay.
    """
    faults, versions, keys = Faults(), {}, {}
    for record in records:
        if record.kind is RecordKind.APPLIED:
            if record.version < versions.get(record.relay, 0):
                faults.add(
                    f"{record.relay} at {record.time:.3f}: "
                    f"version {record.version} after {versions[record.relay]}"
                )
            versions[record.relay] = max(record.version, versions.get(record.relay, 0))
        elif record.kind in (RecordKind.ENTRY, RecordKind.HELD):
            relay_and_key = (record.relay, record.key)
            if record.version < keys.get(relay_and_key, 0):
                faults.add(f"{_about(record)} of key {record.key:x}, after {keys[relay_and_key]}")
            keys[relay_and_key] = max(record.version, keys.get(relay_and_key, 0))
    return faults


def _about(record: Record) -> str:
    return f"{record.relay} at {record.time:.3f}: version {record.version}"


def lost_changes(
    changes: Iterable[Change], records: Iterable[Record], alive: set[str], scope: Callable[[int], set[str]]
) -> Faults:
    """Finds answered changes that a relay in their scope does not hold at the end.

    alive: relays that run at the end; scope(key): the relays that serve a key that is not shared.
    """
    newest: dict[int, Change] = {}
    doubtful: defaultdict[int, set[int]] = defaultdict(set)  # unanswered values, which may be in force
    for change in changes:
        if change.version == 0:
            doubtful[change.key].add(change.value)
        elif change.version > (newest[change.key].version if change.key in newest else 0):
            newest[change.key] = change
    held = {(record.relay, record.key): record for record in records if record.kind is RecordKind.HELD}
    faults = Faults()
    for key, change in newest.items():
        for relay in sorted(alive if change.shared else alive & scope(key)):
            record = held.get((relay, key))
            if record is None:
                faults.add(f"{relay}: has no value of key {key:x}, changed by version {change.version}")
            elif record.value != change.value and record.value not in doubtful[key]:
                faults.add(f"{relay}: holds version {record.version} of key {key:x}, not {change.version}")
    return faults


@dataclass(frozen=True, slots=True)
class InForce:
    """Seconds from a change's answer until it was in force at all relays concerned; None: never.

    slowest: the last relay to have it; relays: how many were waited for.
    """

    change: Change
    seconds: float | None
    slowest: str
    relays: int


def in_force(
    changes: Iterable[Change], records: Iterable[Record], scope: Callable[[int], set[str]]
) -> list[InForce]:
    """Measures each answered change over the relays in its scope that ran from its answer until they had it.

    A relay that stops before it has a change is not waited for: `caught_up` measures its restart.
    """
    sessions = _sessions(records)
    return [_in_force(change, sessions, scope) for change in changes if change.version]


def caught_up(changes: Iterable[Change], records: Iterable[Record]) -> list[tuple[float, float]]:
    """Returns each restart of a relay: its time, and the seconds until the relay had all shared changes that
    had been answered before it.

    Restarts that never got that far are left out: a run that ends with one has not caught up.
    """
    answered = [(change.answered, change.version) for change in changes if change.version and change.shared]
    found = []
    for sessions in _sessions(records).values():
        for session in sessions[1:]:
            wanted = max((version for time, version in answered if time <= session.began), default=0)
            if (reached := session.reached(wanted)) is not None:
                found.append((session.began, max(0.0, reached - session.began)))
    return found


@dataclass(slots=True)
class _Session:
    """One run of a relay, from start to stop: when each version came into force."""

    began: float
    ended: float = float("inf")
    times: array = field(default_factory=lambda: array("d"))
    versions: array = field(default_factory=lambda: array("Q"))

    def applied(self, time: float, version: int) -> None:
        if not self.versions or version > self.versions[-1]:
            self.times.append(time)
            self.versions.append(version)

    def reached(self, version: int) -> float | None:
        """Time at which the version or a newer one was first in force; None: never."""
        index = bisect_left(self.versions, version)
        return self.times[index] if index < len(self.times) else None


def _sessions(records: Iterable[Record]) -> dict[str, list[_Session]]:
    sessions: defaultdict[str, list[_Session]] = defaultdict(list)
    for record in records:
        if record.kind is RecordKind.STARTED:
            sessions[record.relay].append(_Session(record.time))
        elif record.kind is RecordKind.STOPPED and sessions[record.relay]:
            sessions[record.relay][-1].ended = record.time
        elif record.kind is RecordKind.APPLIED and sessions[record.relay]:
            sessions[record.relay][-1].applied(record.time, record.version)
    return sessions


def _in_force(change: Change, sessions: dict[str, list[_Session]], scope) -> InForce:
    worst, slowest, waited = 0.0, "", 0
    for relay in sessions if change.shared else sessions.keys() & scope(change.key):
        session = next(
            (session for session in sessions[relay] if session.began <= change.answered < session.ended), None
        )
        if session is None:
            continue
        reached = session.reached(change.version)
        if reached is None and session.ended == float("inf"):
            return InForce(change, None, relay, waited)
        if reached is None:
            continue
        waited += 1
        if reached - change.answered >= worst:
            worst, slowest = reached - change.answered, relay
    return InForce(change, worst, slowest, waited)


def left_behind(processes: dict[str, int], runs: Callable[[int], bool]) -> Faults:
    """Finds child processes (name to process id) that still run after the end."""
    faults = Faults()
    for name, process_id in processes.items():
        if runs(process_id):
            faults.add(f"{name}: process {process_id} still runs")
    return faults


def percentile(values: list[float], fraction: float) -> float | None:
    """The value below which the fraction (0 to 1) of all values lies; None without values."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))] if ordered else None

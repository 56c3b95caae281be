"""Which version is in force on all relays, from the reports of the control machines they poll. Pure."""

from collections.abc import Iterable

import msgspec

from .messages import MAX_MESSAGE_BYTES, BadMessage, Rejection
from .publisher import MAX_REPORTS, RelayReport

ABSENT_SECONDS = 30.0  # without a poll until a relay counts as absent
FORGET_SECONDS = 60.0  # until a machine's last report is ignored
MAX_NAMED = 100  # relays listed by name in each list of a status


class RelayState(msgspec.Struct, frozen=True, array_like=True):
    """A relay's last poll at one machine; age: seconds since then."""

    relay: str
    session: int
    applied: int
    age: float
    rejected: Rejection | None = None


class Report(msgspec.Struct, frozen=True, tag="report"):
    """A control machine's report to the leader on the relays that poll it; version: the machine's own."""

    cluster: str
    machine: str
    version: int
    relays: list[RelayState]


class LaggingRelay(msgspec.Struct, frozen=True):
    """A relay that has not applied the newest version."""

    relay: str
    applied: int


class RelaysStatus(msgspec.Struct, frozen=True):
    """The state of all relays.

    in_force: the highest version that every recently polling relay has applied; complete: whether all
    machines have reported; known: relays in the set; heard: relays that polled recently. Lists are cut off
    at MAX_NAMED, counts are not.
    """

    in_force: int
    complete: bool
    known: int
    heard: int
    lagging_count: int
    lagging: list[LaggingRelay]
    absent_count: int
    absent: list[str]
    rejections: dict[str, Rejection]


_reports = msgspec.msgpack.Decoder(Report)
_FAULTS = (msgspec.MsgspecError, UnicodeDecodeError, RecursionError, OverflowError)


def encode_report(report: Report) -> bytes:
    """Encodes a report."""
    return msgspec.msgpack.encode(report)


def decode_report(body: bytes) -> Report:
    """Decodes a report. Raises BadMessage."""
    if len(body) > MAX_MESSAGE_BYTES:
        raise BadMessage(f"{len(body)} bytes, {MAX_MESSAGE_BYTES} at most")
    try:
        report = _reports.decode(body)
    except _FAULTS as error:
        raise BadMessage(str(error)) from None
    if len(report.relays) > MAX_REPORTS:
        raise BadMessage(f"{len(report.relays)} relays, {MAX_REPORTS} at most")
    return report


def states_of(reports: dict[str, RelayReport], now: float) -> list[RelayState]:
    """The states of the relays that polled a publisher recently."""
    return [
        RelayState(name, report.session, report.applied, now - report.heard_at, report.rejected)
        for name, report in reports.items()
        if now - report.heard_at < ABSENT_SECONDS
    ]


class Reports:
    """The newest report of each machine; machines: those from which reports are accepted."""

    def __init__(self, machines: Iterable[str]):
        self._machines = frozenset(machines)
        self._received: dict[str, tuple[Report, float]] = {}

    def take(self, report: Report, now: float) -> bool:
        """Stores a report; returns False if the machine is unknown."""
        if report.machine not in self._machines:
            return False
        self._received[report.machine] = (report, now)
        return True

    def status(self, known: Iterable[str], version: int, now: float) -> RelaysStatus:
        """The combined status; known: the relays in the set; version: the newest one."""
        recent = {name: row for name, row in self._received.items() if now - row[1] < FORGET_SECONDS}
        newest = _newest_states(recent.values(), now)
        known = set(known)
        lagging = [LaggingRelay(n, state.applied) for n, state in newest.items() if state.applied < version]
        lagging.sort(key=lambda relay: (relay.applied, relay.relay))
        absent = sorted(known - newest.keys())
        rejections = {n: state.rejected for n, state in sorted(newest.items()) if state.rejected}
        return RelaysStatus(
            in_force=min((state.applied for state in newest.values()), default=version),
            complete=recent.keys() == self._machines,
            known=len(known),
            heard=len(newest),
            lagging_count=len(lagging),
            lagging=lagging[:MAX_NAMED],
            absent_count=len(absent),
            absent=absent[:MAX_NAMED],
            rejections=dict(list(rejections.items())[:MAX_NAMED]),
        )

    def versions(self, now: float) -> dict[str, int]:
        """The version of each machine that reported recently."""
        return {
            name: report.version
            for name, (report, received_at) in sorted(self._received.items())
            if now - received_at < FORGET_SECONDS
        }


def _newest_states(reports: Iterable[tuple[Report, float]], now: float) -> dict[str, RelayState]:
    """The most recent state of each relay over all machines, without absent relays."""
    newest: dict[str, tuple[tuple[int, float], RelayState]] = {}
    for report, received_at in reports:
        for state in report.relays:
            age = state.age + now - received_at
            rank = (state.session, -age)
            if age < ABSENT_SECONDS and (state.relay not in newest or newest[state.relay][0] < rank):
                newest[state.relay] = (rank, state)
    return {name: state for name, (_, state) in newest.items()}

"""Which version is in force everywhere: what the control machines tell of the relays that poll them. Pure."""

from collections.abc import Iterable

import msgspec

from .messages import MAX_MESSAGE_BYTES, BadMessage, Rejection
from .publisher import MAX_REPORTS, RelayReport

ABSENT_SECONDS = 30.0  # without a poll, after which a relay counts as absent
FORGET_SECONDS = 60.0  # after which a machine's last report is of no account
MAX_NAMED = 100  # relays in each list of a status


class RelayState(msgspec.Struct, frozen=True, array_like=True):
    """A relay as one machine last heard it; age: seconds since."""

    relay: str
    session: int
    applied: int
    age: float
    rejected: Rejection | None = None


class Report(msgspec.Struct, frozen=True, tag="report"):
    """What a control machine tells the leader of the relays that poll it; version: its own."""

    cluster: str
    machine: str
    version: int
    relays: list[RelayState]


class LaggingRelay(msgspec.Struct, frozen=True):
    relay: str
    applied: int


class RelaysStatus(msgspec.Struct, frozen=True):
    """in_force: the highest version that no relay heard lags behind; complete: whether all machines told.

    known: relays in the set; heard: those heard of late. Lists are cut off at MAX_NAMED, counts are not.
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
    return msgspec.msgpack.encode(report)


def decode_report(body: bytes) -> Report:
    """Raises BadMessage."""
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
    """What a publisher heard, without relays that have been silent for long."""
    return [
        RelayState(name, told.session, told.applied, now - told.heard_at, told.rejected)
        for name, told in reports.items()
        if now - told.heard_at < ABSENT_SECONDS
    ]


class Reports:
    """The newest report of each machine; machines: those that may report."""

    def __init__(self, machines: Iterable[str]):
        self._machines = frozenset(machines)
        self._received: dict[str, tuple[Report, float]] = {}

    def take(self, report: Report, now: float) -> bool:
        """Whether the machine may report."""
        if report.machine not in self._machines:
            return False
        self._received[report.machine] = (report, now)
        return True

    def status(self, known: Iterable[str], version: int, now: float) -> RelaysStatus:
        """known: the relays in the set; version: the newest there is."""
        told = {name: row for name, row in self._received.items() if now - row[1] < FORGET_SECONDS}
        newest = _newest_states(told.values(), now)
        known = set(known)
        lagging = [LaggingRelay(n, state.applied) for n, state in newest.items() if state.applied < version]
        lagging.sort(key=lambda relay: (relay.applied, relay.relay))
        absent = sorted(known - newest.keys())
        rejections = {n: state.rejected for n, state in sorted(newest.items()) if state.rejected}
        return RelaysStatus(
            in_force=min((state.applied for state in newest.values()), default=version),
            complete=told.keys() == self._machines,
            known=len(known),
            heard=len(newest),
            lagging_count=len(lagging),
            lagging=lagging[:MAX_NAMED],
            absent_count=len(absent),
            absent=absent[:MAX_NAMED],
            rejections=dict(list(rejections.items())[:MAX_NAMED]),
        )

    def versions(self, now: float) -> dict[str, int]:
        """The version that each machine has, of those that told of late."""
        return {
            name: report.version
            for name, (report, at) in sorted(self._received.items())
            if now - at < FORGET_SECONDS
        }


def _newest_states(told: Iterable[tuple[Report, float]], now: float) -> dict[str, RelayState]:
    """Each relay as it was heard last, by whichever machine; those silent for long are left out."""
    newest: dict[str, tuple[tuple[int, float], RelayState]] = {}
    for report, at in told:
        for state in report.relays:
            age = state.age + now - at
            rank = (state.session, -age)
            if age < ABSENT_SECONDS and (state.relay not in newest or newest[state.relay][0] < rank):
                newest[state.relay] = (rank, state)
    return {name: state for name, (_, state) in newest.items()}

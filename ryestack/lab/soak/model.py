"""What a soak test is made of: troubles and when they come, and what clients saw. Typed values only."""

from enum import Enum

import msgspec


class Kind(Enum):
    """A trouble. Those of relays strike one relay, those of partners one partner, and so on."""

    KILL = "kill"
    STOP = "stop"
    UPGRADE = "upgrade"
    RELOAD = "reload"
    PAUSE = "pause"
    CLOCK_STEP = "clock step"
    DISK_FAILS = "disk fails"
    DISK_SHORT = "disk writes short"
    ACCEPT_FAILS = "accept fails"
    CONNECT_FAILS = "connect fails"
    SOCKET_IO = "socket reads and writes short"
    CONNECTIONS_BREAK = "connections break"
    PARTNER_OUTAGE = "partner outage, back cold"
    PARTNER_HANGS = "partner hangs"
    PARTNER_RESETS = "partner resets"
    PARTNER_LIMITS = "partner turns away with a wait"
    PARTNER_ERRORS = "partner errors"
    LINK_LOST = "link silent"
    LINK_RESETS = "link resets"
    LINK_LATE = "link late"
    REGISTRY_SILENT = "registry silent"
    DRAIN = "endpoint drains and returns"


RESTARTS = (Kind.KILL, Kind.STOP, Kind.UPGRADE)
OF_RELAYS = (
    *RESTARTS, Kind.RELOAD, Kind.PAUSE, Kind.CLOCK_STEP, Kind.DISK_FAILS, Kind.DISK_SHORT, Kind.ACCEPT_FAILS,
    Kind.CONNECT_FAILS, Kind.SOCKET_IO, Kind.CONNECTIONS_BREAK,
)  # fmt: skip
OF_PARTNERS = (
    Kind.PARTNER_OUTAGE, Kind.PARTNER_HANGS, Kind.PARTNER_RESETS, Kind.PARTNER_LIMITS, Kind.PARTNER_ERRORS,
    Kind.LINK_LOST, Kind.LINK_RESETS, Kind.LINK_LATE, Kind.DRAIN,
)  # fmt: skip


class Trouble(msgspec.Struct, frozen=True):
    """begin, seconds: from the first hand-in, and how long it lasts; target: number of a relay or partner;
    amount: seconds of a clock step or pause, else the part of calls that fail."""

    kind: Kind
    begin: float
    seconds: float
    target: int
    amount: float = 0.0

    def end(self) -> float:
        return self.begin + self.seconds


class Behaviour(Enum):
    """What a client does with a connection. All but the last three send a whole request, which is owed an
    answer."""

    PLAIN = "plain"
    GARBAGE_BEHIND = "bytes that are no request behind a whole one"
    SPLIT = "a request in pieces"
    LEAVES = "goes before its answer"
    HALF_HEAD = "stops within the head"
    HALF_BODY = "stops within the body"
    NONSENSE = "bytes that are no request"


OWED_AN_ANSWER = (Behaviour.PLAIN, Behaviour.GARBAGE_BEHIND, Behaviour.SPLIT)
STOPS = (Behaviour.HALF_HEAD, Behaviour.HALF_BODY, Behaviour.NONSENSE)


class Answer(Enum):
    """How a request ended for its client. CLOSED: the connection ended in order, with no answer; RESET: it
    was reset; REFUSED: no connection came up; UNHEARD: nothing came in the time that clients wait."""

    TAKEN = "taken"
    THROTTLED = "throttled"
    EXPIRED = "expired"
    MALFORMED = "malformed"
    CLOSED = "closed"
    RESET = "reset"
    REFUSED = "refused"
    UNHEARD = "unheard"


class Attempt(msgspec.Struct):
    """One request as its client saw it. sent: when its last byte was written; fresh: on a connection of its
    own; ended: when the answer, or the end of the connection, was there. Seconds of the wall clock."""

    id: str
    relay: int
    topic: str
    effect: str
    key: str
    behaviour: Behaviour
    sent: float
    due: float
    answer: Answer = Answer.UNHEARD
    ended: float = 0.0
    fresh: bool = True


class Away(msgspec.Struct, frozen=True):
    """When a relay was ended, by SIGTERM or SIGKILL, and when it was ready again. Seconds of the wall."""

    relay: int
    begin: float
    killed: float
    ready: float


class Drained(msgspec.Struct, frozen=True):
    """An endpoint that the registry listed as draining from begin to end. Seconds of the wall clock."""

    endpoint: str
    begin: float
    end: float


class Disturbed(msgspec.Struct, frozen=True):
    """An endpoint whose link held or delayed what it carried from begin to end: what it told then was late to
    relays. Seconds of the wall clock."""

    endpoint: str
    begin: float
    end: float


class Returned(msgspec.Struct, frozen=True):
    """An endpoint that came back cold. Seconds of the wall clock."""

    endpoint: str
    at: float

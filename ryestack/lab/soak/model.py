"""Data model of the soak test: troubles (injected faults) with their times, and what clients observed."""

from enum import Enum

import msgspec


class Kind(Enum):
    """Kind of a trouble. It affects one relay, one partner, or the registry."""

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
    CROWD = "crowd of idle clients"
    PARTNER_OUTAGE = "partner outage, back cold"
    PARTNER_HANGS = "partner hangs"
    PARTNER_RESETS = "partner resets"
    PARTNER_LIMITS = "partner turns away with a wait"
    PARTNER_ERRORS = "partner errors"
    PARTNER_BUSY = "partner turns away a quarter"
    LINK_LOST = "link silent"
    LINK_RESETS = "link resets"
    LINK_LATE = "link late"
    ANSWERS_AGAIN = "answers come again, or in parts"
    REGISTRY_SILENT = "registry silent"
    PLATFORM_AGAIN = "the platform's answers come again, or in parts"
    DRAIN = "endpoint drains and returns"
    LINK_OUT = "link holds requests"
    LINK_BACK = "link holds answers"
    LINK_SLOW = "link slow"
    DISK_SLOW = "disk slow"
    LINK_HOLDS = "link holds some connections"
    ABUSE = "clients that hold memory, connections or the processor"
    RETURNS = "clients that leave and hand the same ids in again"
    PARTNER_SHUT = "partner shut, back cold"
    PARTNER_FAILS = "partner fails all calls, back cold"
    LINK_DEAD = "link dead, the partner is back cold"


RESTARTS = (Kind.KILL, Kind.STOP, Kind.UPGRADE)
OF_RELAYS = (
    *RESTARTS, Kind.RELOAD, Kind.PAUSE, Kind.CLOCK_STEP, Kind.DISK_FAILS, Kind.DISK_SHORT, Kind.ACCEPT_FAILS,
    Kind.CONNECT_FAILS, Kind.SOCKET_IO, Kind.CONNECTIONS_BREAK, Kind.CROWD, Kind.DISK_SLOW, Kind.ABUSE,
    Kind.RETURNS,
)  # fmt: skip
OF_PARTNERS = (
    Kind.PARTNER_OUTAGE, Kind.PARTNER_HANGS, Kind.PARTNER_RESETS, Kind.PARTNER_LIMITS, Kind.PARTNER_ERRORS,
    Kind.PARTNER_BUSY, Kind.LINK_LOST, Kind.LINK_RESETS, Kind.LINK_LATE, Kind.ANSWERS_AGAIN, Kind.DRAIN,
    Kind.LINK_OUT, Kind.LINK_BACK, Kind.LINK_SLOW, Kind.LINK_HOLDS, Kind.PARTNER_SHUT, Kind.PARTNER_FAILS,
    Kind.LINK_DEAD,
)  # fmt: skip
ONE_WAY_LINKS = (Kind.LINK_OUT, Kind.LINK_BACK, Kind.LINK_SLOW)  # drawn only if asked for
HOLD_UPS = (Kind.DISK_SLOW, Kind.LINK_HOLDS)  # drawn only if asked for
ABUSES = (Kind.ABUSE, Kind.RETURNS)  # drawn only if asked for
COLD_RETURNS = (Kind.PARTNER_SHUT, Kind.PARTNER_FAILS, Kind.LINK_DEAD)  # drawn only if asked for


class Trouble(msgspec.Struct, frozen=True):
    """One injected fault. begin: seconds from the start of the requests; seconds: duration; target: number
    of a relay or partner; amount: seconds of a clock step or pause, the place of an abuse in Style, else the
    fraction of calls that fail."""

    kind: Kind
    begin: float
    seconds: float
    target: int
    amount: float = 0.0

    def end(self) -> float:
        return self.begin + self.seconds


class Style(Enum):
    """What an abusive client does on its connection."""

    IDLE = "idle"
    SLOW_HEAD = "a head a byte at a time"
    SHORT_FIELDS = "a head of very short fields without end"
    STOPPED_FIELDS = "a head of very short fields that stops"
    HALF_BODY = "half of a large body, then nothing"
    SLOW_BODY = "a large body in small pieces"
    TINY_CHUNKS = "a large body in chunks of one byte"
    LARGE_BODIES = "large requests one after the other"
    PIPELINED = "eight large requests written at once"
    DEAF = "small requests at full speed, answers never read"
    NONSENSE = "unsound requests at full speed"


class Behaviour(Enum):
    """What a client does on a connection. All but the last three send a complete request, which must be
    answered unless the client leaves."""

    PLAIN = "plain"
    COPIED = "a request whose bytes come again"
    GARBAGE_BEHIND = "bytes that are no request behind a whole one"
    SPLIT = "a request in pieces"
    LEAVES = "goes before its answer"
    HALF_HEAD = "stops within the head"
    HALF_BODY = "stops within the body"
    NONSENSE = "bytes that are no request"


MUST_ANSWER = (Behaviour.PLAIN, Behaviour.COPIED, Behaviour.GARBAGE_BEHIND, Behaviour.SPLIT)
INCOMPLETE = (Behaviour.HALF_HEAD, Behaviour.HALF_BODY, Behaviour.NONSENSE)


class Answer(Enum):
    """How a request ended for its client. CLOSED: the connection was closed without an answer; RESET: it was
    reset; REFUSED: the connection failed; TIMED_OUT: no answer within the time that clients wait."""

    TAKEN = "taken"
    THROTTLED = "throttled"
    EXPIRED = "expired"
    MALFORMED = "malformed"
    CLOSED = "closed"
    RESET = "reset"
    REFUSED = "refused"
    TIMED_OUT = "unheard"


class Attempt(msgspec.Struct):
    """One request as its client saw it. sent: when its last byte was written; due: its deadline; fresh: on a
    new connection; ended: when the answer or the end of the connection arrived; answered_twice: whether a
    copy of the request got an answer of its own. Wall-clock seconds."""

    id: str
    relay: int
    topic: str
    effect: str
    key: str
    behaviour: Behaviour
    sent: float
    due: float
    answer: Answer = Answer.TIMED_OUT
    ended: float = 0.0
    fresh: bool = True
    answered_twice: bool = False


class Restart(msgspec.Struct, frozen=True):
    """A restart of a relay. begin: when the signal was sent; killed: when the process had ended; ready: when
    the next one was ready. Wall-clock seconds."""

    relay: int
    begin: float
    killed: float
    ready: float


class Drained(msgspec.Struct, frozen=True):
    """An endpoint that the registry listed as draining from begin to end, in wall-clock seconds."""

    endpoint: str
    begin: float
    end: float


class Disturbed(msgspec.Struct, frozen=True):
    """An endpoint whose link held or delayed data from begin to end, so that its answers reached relays late.
    Wall-clock seconds."""

    endpoint: str
    begin: float
    end: float


class Returned(msgspec.Struct, frozen=True):
    """An endpoint that came back cold after an outage. at: wall-clock seconds."""

    endpoint: str
    at: float


class MemoryPeak(msgspec.Struct, frozen=True):
    """The most memory that a process of a relay had, and the limit in its configuration. Bytes."""

    relay: int
    process: int
    peak: int
    limit: int


class RelayMemoryPeak(msgspec.Struct, frozen=True):
    """The most memory that all processes of a relay had at one time, and the limit for them. Bytes."""

    relay: int
    peak: int
    limit: int


class Crowded(msgspec.Struct, frozen=True):
    """A relay whose connections clients filled from begin to end, in wall-clock seconds: it may shut new
    connections unread meanwhile."""

    relay: int
    begin: float
    end: float

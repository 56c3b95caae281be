"""Events that the decision module receives and actions that it returns."""

from dataclasses import dataclass
from enum import Enum
from math import inf

from .terms import Settings, TopicType


class Result(Enum):
    """How a push ended."""

    DELIVERED = "delivered"
    ERROR = "error"
    FULL = "full"
    TIMED_OUT = "timed out"
    NO_CONNECTION = "no connection"
    BROKEN = "broken"
    CANCELLED = "cancelled"
    NOT_SENT = "not sent"


class EndpointStatus(Enum):
    """State of an endpoint in the list."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


@dataclass(frozen=True, slots=True)
class Endpoint:
    """One entry of the list; rate: calls a second that its destination (or route) takes from all relays."""

    id: str
    zone: str
    kind: str
    destination: int
    status: EndpointStatus = EndpointStatus.READY
    rate: float = 1.0


@dataclass(frozen=True, slots=True)
class ListUpdate:
    """The endpoint list, or a change to it.

    whole: endpoints that are missing are gone; failed: a request for the list failed; confirmed_at: with a
    failure, when the registry last confirmed the list, a time of the clock.
    """

    endpoints: tuple[Endpoint, ...] = ()
    whole: bool = False
    failed: bool = False
    confirmed_at: float = inf


@dataclass(frozen=True, slots=True)
class Notification:
    """A notification to deliver by due, a time of the clock.

    One that was accepted before a restart carries its history. pushes: pushes made so far; may_have_run_at:
    when the first push that may have run was sent, inf if none. terms, max_pushes: the topic type's terms
    and the push limit at acceptance, where settings may have changed since. read_delay: seconds that it had
    waited in this process before it was read; the final answer may be delayed as long, so the decisions
    leave that much time before due.
    """

    id: str
    due: float
    destination: int
    topic_type: str
    customer: str = ""
    key: str = ""
    pushes: int = 0
    may_have_run_at: float = inf
    terms: TopicType | None = None
    max_pushes: int = 0
    read_delay: float = 0.0


@dataclass(frozen=True, slots=True)
class Outcome:
    """How a push ended.

    ended: the notification has its final answer already; wait: seconds that the endpoint asked to wait, 0 if
    none; limit: the rate limit that it reported, in calls a second, 0 if none; limit_left: the share of that
    limit that is left, 1 if not reported; stale: a reused connection broke before any byte of an answer,
    which says nothing of the endpoint's health; attempted: False for a push that was never begun nor
    journalled: it does not count as one.
    """

    id: str
    push: int
    endpoint: str
    result: Result
    elapsed: float = 0.0
    ended: bool = False
    wait: float = 0.0
    limit: float = 0.0
    stale: bool = False
    limit_left: float = 1.0
    attempted: bool = True


@dataclass(frozen=True, slots=True)
class WaitRequested:
    """The head of an answer asked for a wait of so many seconds; the outcome, with the same wait, follows."""

    endpoint: str
    wait: float


@dataclass(frozen=True, slots=True)
class SiblingCall:
    """A call that another process of this relay began.

    It counts like a call of this process, and its outcomes arrive in the same way. items: id, push number and
    topic type of each notification in it.
    """

    endpoint: str
    items: tuple[tuple[str, int, TopicType], ...]


@dataclass(frozen=True, slots=True)
class SiblingKeyClaim:
    """Another process of this relay owes a notification of that ordered key, or no longer does (released).

    rests_until: time of the clock before which no push of that key may start.
    """

    key: str
    id: str
    released: bool
    rests_until: float = 0.0


@dataclass(frozen=True, slots=True)
class Withdrawn:
    """The client has withdrawn the notification."""

    id: str


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer set by SetTimer has fired."""


@dataclass(frozen=True, slots=True)
class SettingsChanged:
    """New settings apply from now on; notifications already held keep the terms of their acceptance."""

    settings: Settings


@dataclass(frozen=True, slots=True)
class ShuttingDown:
    """This process ends at that time of the clock; another process takes over the notifications it owes."""

    until: float


@dataclass(frozen=True, slots=True)
class Push:
    """Send the notification to the endpoint.

    timeout: seconds for the whole call; begin_timeout: seconds within which its first byte must be written;
    both from the time of the round.
    """

    id: str
    endpoint: str
    timeout: float
    begin_timeout: float = inf


@dataclass(frozen=True, slots=True)
class Cancel:
    """Cancel a push in flight."""

    id: str
    push: int


@dataclass(frozen=True, slots=True)
class CancelUnsent:
    """Cancel the calls to the endpoint of which nothing is written yet; they count as not sent."""

    endpoint: str


@dataclass(frozen=True, slots=True)
class CloseIdleConnections:
    """Close idle connections to the endpoint."""

    endpoint: str


@dataclass(frozen=True, slots=True)
class Throttle:
    """End the notification undelivered, where a repeat by the client is harmless.

    retry_after: seconds that the client should wait before it, 0 if not known.
    """

    id: str
    retry_after: float = 0.0


@dataclass(frozen=True, slots=True)
class Expire:
    """End the notification with an unknown effect: a push of it may have run."""

    id: str


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Deliver TimerFired after so many seconds."""

    after: float


@dataclass(frozen=True, slots=True)
class AskForList:
    """Ask the registry for changes from now on, and first for the whole list if this relay is behind."""


Event = (
    ListUpdate
    | Notification
    | Outcome
    | WaitRequested
    | Withdrawn
    | TimerFired
    | ShuttingDown
    | SettingsChanged
    | SiblingCall
    | SiblingKeyClaim
)
Action = Push | Cancel | CancelUnsent | CloseIdleConnections | Throttle | Expire | SetTimer | AskForList

"""What the decision module is told and what it asks for: events and actions, as types."""

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
    """What the list says of an endpoint."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


@dataclass(frozen=True, slots=True)
class Endpoint:
    """One line of the list; rate is the calls a second its destination (or route) takes in all."""

    id: str
    zone: str
    kind: str
    destination: int
    status: EndpointStatus = EndpointStatus.READY
    rate: float = 1.0


@dataclass(frozen=True, slots=True)
class ListUpdate:
    """The list, or a change to it; whole: what is missing is gone; failed: an asking came to nothing.

    sure_at: with a failure, when the registry's word was last had, a time of the clock.
    """

    endpoints: tuple[Endpoint, ...] = ()
    whole: bool = False
    failed: bool = False
    confirmed_at: float = inf


@dataclass(frozen=True, slots=True)
class Notification:
    """A notification to deliver by due, a time of the clock.

    One that a relay owes from before a restart brings its history: the pushes made, and when the first
    went that may have run. terms, most: the rules and the number of pushes that it was taken under, where
    settings may have changed since. late: seconds that it had waited here before it was read:
    its end may be told as late again, so that the decisions leave as much.
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

    ended: the notification has its final answer already; limit: the calls a second told, 0 if none; left: the
    share of it that is left, 1 if none is told; stale:
    it broke on what was kept open from before, without a word, which tells nothing of the endpoint's health;
    made: False for one that was never begun, nor written down: it does not count as a push.
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
    """The head of an answer told to wait so long from now on; its outcome, which tells it too, is later."""

    endpoint: str
    wait: float


@dataclass(frozen=True, slots=True)
class SiblingCall:
    """A call that another process of this relay began: it counts as ours, and its outcomes come as ours do.

    items: id, push and topic type of each notification in it.
    """

    endpoint: str
    items: tuple[tuple[str, int, TopicType], ...]


@dataclass(frozen=True, slots=True)
class SiblingKeyClaim:
    """Another process of this relay owes a notification of that key in order, or owes it no more.

    rest: until when the key rests, a time of the clock.
    """

    key: str
    id: str
    released: bool
    rests_until: float = 0.0


@dataclass(frozen=True, slots=True)
class Withdrawn:
    """The client has taken the notification back."""

    id: str


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A time asked for has come."""


@dataclass(frozen=True, slots=True)
class SettingsChanged:
    """Other settings hold from now on; what is held keeps the terms that it came with."""

    settings: Settings


@dataclass(frozen=True, slots=True)
class ShuttingDown:
    """This relay's process ends at that time of the clock; another takes over what it owes."""

    until: float


@dataclass(frozen=True, slots=True)
class Push:
    """Send the notification to the endpoint; timeout in seconds, begin: the same for its first byte."""

    id: str
    endpoint: str
    timeout: float
    begin_timeout: float = inf


@dataclass(frozen=True, slots=True)
class Cancel:
    """Stop waiting for a push."""

    id: str
    push: int


@dataclass(frozen=True, slots=True)
class CancelUnsent:
    """End the calls to the endpoint of which nothing is written yet: they count as not sent."""

    endpoint: str


@dataclass(frozen=True, slots=True)
class CloseIdleConnections:
    """Close the connections to the endpoint that stand idle."""

    endpoint: str


@dataclass(frozen=True, slots=True)
class Throttle:
    """End the notification undelivered: trying again is harmless, after come_back if that is not 0."""

    id: str
    retry_after: float = 0.0


@dataclass(frozen=True, slots=True)
class Expire:
    """End the notification; nothing is promised of its effect."""

    id: str


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Call again after so long."""

    after: float


@dataclass(frozen=True, slots=True)
class AskForList:
    """Ask the registry for changes from now on, the whole list first if this relay is behind."""


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

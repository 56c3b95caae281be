"""Plan and result of an outage play with real processes. Pure."""

from dataclasses import dataclass, field

from ..load import Topic
from .budget import Overload, SlowStart
from .partner import Away

DESTINATION = 1
CUSTOMER = "acme"
LIFETIME_S = 16.0
TOPICS = (Topic("balance", "repeatable", LIFETIME_S), Topic("charge", "once-only", LIFETIME_S))


@dataclass(frozen=True, slots=True)
class ProcessPlay:
    """One play, as OutagePlay. killed: relays that get SIGKILL; reloaded: SIGHUP; both in the outage, or
    killed_after seconds from the return; keeps_learned: whether the learned state can be written."""

    seed: int
    away: Away
    relays: int = 40
    capacity: float = 10.0
    load: float = 0.7
    even: bool = False
    begin: float = 2.0
    end: float = 10.0
    seconds: float = 16.0
    killed: int = 0
    reloaded: int = 0
    killed_after: float | None = None
    keeps_learned: bool = True
    slow_start: SlowStart = SlowStart()


@dataclass(slots=True)
class ProcessResult:
    """overload: as judged from the partner's book; taken, delivered: messages; violations: of the relays."""

    overload: Overload
    taken: int
    delivered: int
    calls: int
    notified: int
    problems: list[str] = field(default_factory=list)

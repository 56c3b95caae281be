"""The terms that a relay works under: what its settings and its list tell, as types.

Times are seconds with fractions, names are kept as they came.
"""

from dataclasses import dataclass
from enum import Enum


class Effect(Enum):
    """What a repeat of a notification does."""

    REPEATABLE = "repeatable"
    COLLAPSIBLE = "collapsible"
    ONCE_ONLY = "once-only"


class LateBenefit(Enum):
    """How benefit falls after the latency objective."""

    LINE = "line"
    HALVES = "halves"


@dataclass(frozen=True, slots=True)
class TopicType:
    """A topic type's terms; group names what a repeat of a collapsible one may reach."""

    name: str
    effect: Effect
    objective: float
    ttl: float
    benefit: float = 1.0
    late_share: float = 0.0
    group: str = "all"
    window: float = 0.0
    keep_order: bool = False


@dataclass(frozen=True, slots=True)
class Customer:
    """A customer and what the whole fleet takes of it within its share, a second."""

    name: str
    quota: float


@dataclass(frozen=True, slots=True)
class Kind:
    """A kind of destination."""

    name: str
    per_route: bool = False
    batch: int = 1


@dataclass(frozen=True, slots=True)
class Rules:
    """The figures of the six rules."""

    cold_share: float
    cold_time: float
    overload_factor: float
    fall_time: float
    key_rest: float = 0.0


@dataclass(frozen=True, slots=True)
class Settings:
    """All that a relay is told when it starts."""

    topic_types: tuple[TopicType, ...]
    kinds: tuple[Kind, ...]
    rules: Rules
    slots: int
    max_open: int
    customers: tuple[Customer, ...] = ()
    relays: int = 1
    over_share_benefit: float = 1.0
    late_benefit: LateBenefit = LateBenefit.LINE
    list_has_rates: bool = True
    rough_rates: bool = False
    max_pushes: int = 1
    may_cancel: bool = False
    max_retry_after: float = 0.0
    asks_for_list: bool = False
    connection_idle: float = 0.0
    connect_timeout: float = 0.0
    quantum: float = 0.0

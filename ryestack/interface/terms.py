"""The terms that a relay works under, from its settings and its endpoint list, as types.

Times are seconds as floats; names are kept as received.
"""

from dataclasses import dataclass
from enum import Enum


class Effect(Enum):
    """The effect of delivering a notification more than once."""

    REPEATABLE = "repeatable"
    COLLAPSIBLE = "collapsible"
    ONCE_ONLY = "once-only"


class LateBenefit(Enum):
    """How the benefit of a delivery falls after the latency objective: linearly, or by halves."""

    LINE = "line"
    HALVES = "halves"


@dataclass(frozen=True, slots=True)
class TopicType:
    """A topic type's terms.

    objective, ttl, window: seconds; window: how long after the first push a collapsible notification may be
    repeated; group: which endpoints collapse such a repeat ("all", those of one "zone", or of one "cell");
    late_share: the share of the benefit that is left at the TTL.
    """

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
    """A customer and its share cap: notifications a second that the whole fleet takes at full benefit."""

    name: str
    quota: float


@dataclass(frozen=True, slots=True)
class Kind:
    """A kind of destination.

    per_route: each route has a limit and outages of its own; batch: notifications that one call may carry.
    """

    name: str
    per_route: bool = False
    batch: int = 1


@dataclass(frozen=True, slots=True)
class Rules:
    """Parameters of the six rules.

    cold_share: the share of its capacity that a destination has just after an outage; cold_time: seconds
    until it has all of it; overload_factor, fall_time: calls above that capacity by this factor, for so many
    seconds, bring it down again; key_rest: seconds until the next notification of an ordered key, after a
    push that may still run.
    """

    cold_share: float
    cold_time: float
    overload_factor: float
    fall_time: float
    key_rest: float = 0.0


@dataclass(frozen=True, slots=True)
class Settings:
    """All settings of a relay.

    slots: calls in flight at once; max_open: notifications held at once; over_share_benefit: the share of the
    benefit past a customer's share cap; list_has_rates: the endpoint list gives rates; rough_rates: those are
    approximate; may_cancel: pushes may be cancelled; max_retry_after: the longest time to come back that a
    throttled client is given, 0 for none; asks_for_list: the list is requested from a registry, not pushed;
    connection_idle: seconds after which an idle connection closes; quantum: seconds between two rounds, at
    the minimum.
    """

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

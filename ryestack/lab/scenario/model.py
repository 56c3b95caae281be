"""The keys of a scenario as structs, each with its bounds and description.

A number that may be drawn is a value or a range [minimum, maximum], from which each seed draws.
"""

from typing import Annotated, Literal

import msgspec
from msgspec import Meta

UNIT_FAULTS = (
    "vanish", "refuse", "hang", "shut", "reset-before", "error", "lost", "reset-after", "slow", "tail",
)  # fmt: skip
FLEET_FAULTS = ("kill", "roll", "pause", "skew", "cut", "stale", "replace", "clump", "handshake")
FAULTS = UNIT_FAULTS + FLEET_FAULTS
Range = float | list[float]


def _doc(text: str, **more) -> Meta:
    return Meta(description=text, **more)


def _default(value: list):
    return msgspec.field(default_factory=lambda: list(value))


class Fleet(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The relays."""

    relays: Annotated[int, _doc("number of relays", ge=1, le=10_000)] = 3
    slots: Annotated[int, _doc("concurrent calls of a relay; 0: twice its share", ge=0, le=100_000)] = 0
    hold: Annotated[
        int, _doc("open notifications of a relay; 0: ten seconds of its share", ge=0, le=10_000_000)
    ] = 0
    quantum: Annotated[float, _doc("minimum seconds between rounds", ge=0.0, le=10.0)] = 0.005
    cpu_round: Annotated[float, _doc("seconds of CPU that a round takes", ge=0.0, le=1.0)] = 0.0
    cpu_event: Annotated[float, _doc("seconds of CPU that each event and push takes", ge=0.0, le=1.0)] = 0.0
    max_pushes: Annotated[int, _doc("maximum pushes of a notification", ge=1, le=1000)] = 12
    may_cancel: Annotated[bool, _doc("calls may be cancelled")] = True
    max_come_back: Annotated[float, _doc("maximum retry-after to clients, in seconds", ge=0.0, le=3600.0)] = (
        2.0
    )
    notice: Annotated[Range, _doc("seconds until the load balancer detects a dead relay")] = 2.0


class Service(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Service times of calls at a destination with full capacity."""

    shape: Annotated[
        Literal["fixed", "exponential", "lognormal", "heavy", "empirical"], _doc("distribution")
    ] = "lognormal"
    mean: Annotated[Range, _doc("seconds; from a range each destination draws its own")] = 0.2
    cv: Annotated[float, _doc("standard deviation over mean, for lognormal and heavy", ge=0.0, le=20.0)] = 0.5
    values: Annotated[list[float], _doc("seconds to draw from, for empirical")] = []


class Limit(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The limit of a destination for all relays together."""

    how: Annotated[
        Literal["none", "rate", "window"], _doc("no limit except capacity, a rate, or a count in a window")
    ] = "none"
    span: Annotated[float, _doc("seconds of a window", gt=0.0, le=3600.0)] = 2.0
    tells: Annotated[float, _doc("share of refusals that request a wait", ge=0.0, le=1.0)] = 0.5
    refused_count: Annotated[bool, _doc("refused calls count against the limit")] = False
    report: Annotated[bool, _doc("responses report the limit")] = False
    spare: Annotated[float, _doc("capacity over the limit, as a factor", ge=1.0, le=100.0)] = 1.4


class Cold(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """How a destination recovers from an outage."""

    share: Annotated[Range, _doc("share of its capacity just after the outage")] = 0.3
    time: Annotated[Range, _doc("seconds until it has its full capacity")] = 8.0
    fall: Annotated[float, _doc("seconds that it is down after an overload", ge=0.0, le=86_400.0)] = 20.0


class Group(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A group of similar destinations."""

    name: Annotated[str, _doc("the kind of its endpoints in the list", min_length=1, max_length=64)] = (
        "partner"
    )
    count: Annotated[int, _doc("number of destinations", ge=1, le=100_000)] = 10
    routes: Annotated[Range, _doc("endpoints of each destination")] = 2.0
    share: Annotated[float, _doc("share of the traffic, relative to the other groups", gt=0.0, le=1e6)] = 1.0
    zipf: Annotated[
        float, _doc("exponent of the Zipf distribution of traffic within the group; 0: even", ge=0.0, le=4.0)
    ] = 0.0
    apart: Annotated[bool, _doc("each endpoint has its own limit and outages")] = False
    batch: Annotated[int, _doc("maximum notifications in a call", ge=1, le=10_000)] = 1
    item_cost: Annotated[
        float, _doc("work of each further notification in a call, relative to the first", ge=0.0, le=1.0)
    ] = 0.1
    headroom: Annotated[Range, _doc("accepted rate over the requested rate at load 1, as a factor")] = 1.5
    least: Annotated[Range, _doc("minimum accepted rate, in calls a second")] = 3.0
    depth: Annotated[float, _doc("queue length, in seconds of capacity", ge=0.0, le=3600.0)] = 0.5
    rough: Annotated[float, _doc("maximum error of the reported rate; 0: exact", ge=0.0, le=10.0)] = 0.0
    conns: Annotated[int, _doc("maximum connections of an endpoint; 0: unlimited", ge=0, le=1_000_000)] = 0
    cancels: Annotated[Literal["none", "queued"], _doc("abandoned calls that endpoints drop")] = "none"
    service: Service = Service()
    limit: Limit = Limit()
    cold: Cold = Cold()


class Topic(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A topic type."""

    name: Annotated[str, _doc("name", min_length=1, max_length=64)] = "update"
    share: Annotated[float, _doc("share of the traffic", gt=0.0, le=1e6)] = 1.0
    effect: Annotated[Literal["repeatable", "collapsible", "once-only"], _doc("what a repeat does")] = (
        "repeatable"
    )
    objective: Annotated[float, _doc("latency objective, in seconds", gt=0.0, le=86_400.0)] = 2.0
    ttl: Annotated[float, _doc("TTL in seconds", gt=0.0, le=86_400.0)] = 16.0
    benefit: Annotated[float, _doc("benefit of a delivery within the objective", ge=0.0, le=1e6)] = 1.0
    late_share: Annotated[float, _doc("share of the benefit left at the TTL", ge=0.0, le=1.0)] = 0.4
    window: Annotated[
        float, _doc("seconds in which repeats of a collapsible notification are dropped", ge=0.0, le=86_400.0)
    ] = 6.0
    work: Annotated[float, _doc("multiplies the service time", gt=0.0, le=1000.0)] = 1.0
    keep_order: Annotated[bool, _doc("notifications of one key are pushed in order")] = False


class Customer(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A customer; notifications over its quota have a reduced benefit."""

    name: Annotated[str, _doc("name", min_length=1, max_length=64)] = "all"
    share: Annotated[float, _doc("share of the traffic", gt=0.0, le=1e6)] = 1.0
    quota: Annotated[float, _doc("quota relative to its share of load 1; 0: none", ge=0.0, le=100.0)] = 0.0


class Traffic(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What clients submit."""

    rate: Annotated[float, _doc("notifications a second at load 1", gt=0.0, le=1e6)] = 60.0
    load: Annotated[Range, _doc("multiplies the rate")] = 0.7
    shape: Annotated[Literal["steady", "bursty", "ramp", "wave"], _doc("how the load changes")] = "steady"
    swing: Annotated[float, _doc("amplitude of the change, relative to the mean", ge=0.0, le=1.0)] = 0.3
    clumps: Annotated[float, _doc("share that arrives in clumps for one destination", ge=0.0, le=1.0)] = 0.0
    clump: Annotated[
        float, _doc("size of a clump, in seconds of the accepted rate of its destination", ge=0.0, le=600.0)
    ] = 1.5
    keys: Annotated[int, _doc("number of keys of ordered topic types", ge=1, le=1_000_000)] = 50
    late: Annotated[Literal["line", "halves"], _doc("decrease of the benefit after the objective")] = "line"
    over_share: Annotated[float, _doc("share of the benefit over a customer's quota", ge=0.0, le=1.0)] = 0.1


class Clients(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The behaviour of clients."""

    again: Annotated[int, _doc("maximum resubmissions after throttling", ge=0, le=100)] = 1
    backoff: Annotated[Range, _doc("seconds before a resubmission")] = _default([0.3, 1.5])
    honour: Annotated[float, _doc("share of clients that honour a retry-after", ge=0.0, le=1.0)] = 0.7
    patience: Annotated[float, _doc("seconds before trying another relay", gt=0.0, le=60.0)] = 0.4
    orphans: Annotated[Range, _doc("seconds until notifications of a lost folder come again")] = _default(
        [1.0, 2.0]
    )


class Network(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The network between relays and endpoints."""

    buildings: Annotated[int, _doc("number of buildings with relays and endpoints", ge=1, le=100)] = 2
    delay: Annotated[Range, _doc("seconds one way, by pair of buildings")] = _default([0.005, 0.015])
    jitter: Annotated[float, _doc("random part, relative to the delay", ge=0.0, le=10.0)] = 0.2
    handshake: Annotated[float, _doc("round trips of a new connection", ge=0.0, le=20.0)] = 1.0
    setup: Annotated[float, _doc("slot seconds that a new connection takes", ge=0.0, le=10.0)] = 0.0
    idle: Annotated[float, _doc("seconds after which idle connections close", gt=0.0, le=86_400.0)] = 15.0
    connect_timeout: Annotated[float, _doc("seconds", gt=0.0, le=600.0)] = 1.5


class Directory(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """How relays learn of endpoints."""

    lag: Annotated[Range, _doc("seconds until a change reaches a relay")] = _default([1.0, 4.0])
    told_rates: Annotated[bool, _doc("the list reports rates")] = True


class Rules(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Parameters of the six rules."""

    grace: Annotated[float, _doc("seconds after a drain was reported", ge=0.0, le=600.0)] = 2.0
    factor: Annotated[float, _doc("push limit of a cold destination, over capacity", gt=0.0, le=100.0)] = 1.5
    window: Annotated[float, _doc("seconds over which those pushes are counted", gt=0.0, le=600.0)] = 1.5
    key_rest: Annotated[float, _doc("seconds that a key rests", ge=0.0, le=600.0)] = 1.0


class Goal(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Weights of the score's components, scaled to sum 1, and prices in points of the score."""

    whole: Annotated[float, _doc("benefit over the whole day", ge=0.0, le=1e3)] = 1.0
    worst_window: Annotated[float, _doc("benefit of the worst ten seconds", ge=0.0, le=1e3)] = 0.0
    worst_topic: Annotated[float, _doc("benefit of the worst topic type", ge=0.0, le=1e3)] = 0.0
    worst_customer: Annotated[float, _doc("benefit of the worst customer", ge=0.0, le=1e3)] = 0.0
    connection: Annotated[float, _doc("price: new connections a notification", ge=0.0, le=10.0)] = 0.0
    refused: Annotated[float, _doc("price: refused calls a notification", ge=0.0, le=10.0)] = 0.0
    waste: Annotated[float, _doc("price: runs without benefit a notification", ge=0.0, le=10.0)] = 0.0


class TimelineFault(msgspec.Struct, frozen=True, forbid_unknown_fields=True, rename={"span": "for"}):
    """One fault on the timeline."""

    kind: Annotated[Literal[FAULTS], _doc("kind of fault")]
    at: Annotated[Range, _doc("seconds from the start")] = 10.0
    span: Annotated[Range, _doc("seconds that it lasts")] = 10.0
    part: Annotated[Range, _doc("share of the traffic (for faults of destinations) or of the relays")] = 0.3
    destinations: Annotated[list[int], _doc("numbers of the destinations, in place of a share")] = []
    by: Annotated[Literal["any", "building", "group"], _doc("how destinations are chosen")] = "any"
    group: Annotated[str, _doc("only destinations of this group")] = ""
    topic: Annotated[str, _doc("only calls of this topic type")] = ""
    calls: Annotated[Range, _doc("share of calls that it affects")] = 1.0
    size: Annotated[Range, _doc("factor of time or traffic, seconds of lag; for `roll`: batch share")] = 5.0
    tells: Annotated[bool, _doc("a shut destination reports when it opens")] = False
    folder: Annotated[bool, _doc("restarted relays keep their folder")] = True
    planned: Annotated[bool, _doc("a restart begins with a shutdown request")] = False
    down: Annotated[Range, _doc("seconds that a restarted relay is down")] = 1.0


class Random(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Faults that each seed draws, in addition to those on the timeline."""

    faults: Annotated[list[int], _doc("minimum, maximum", min_length=2, max_length=2)] = _default([0, 0])
    kinds: Annotated[list[Literal[FAULTS]], _doc("kinds to draw from")] = _default(list(FAULTS))


class Scenario(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The whole file."""

    format: Annotated[Literal[1], _doc("the version of this format; a file must name it")]
    name: Annotated[str, _doc("for tables and plots", max_length=64)] = "day"
    seconds: Annotated[float, _doc("seconds in which clients submit", gt=0.0, le=86_400.0)] = 40.0
    warm: Annotated[float, _doc("seconds at the start that are not scored", ge=0.0, le=86_400.0)] = 1.0
    fleet: Fleet = Fleet()
    group: list[Group] = _default([Group()])
    topic: list[Topic] = _default([Topic()])
    customer: list[Customer] = _default([Customer()])
    traffic: Traffic = Traffic()
    clients: Clients = Clients()
    network: Network = Network()
    directory: Directory = Directory()
    rules: Rules = Rules()
    goal: Goal = Goal()
    fault: list[TimelineFault] = []
    random: Random = Random()

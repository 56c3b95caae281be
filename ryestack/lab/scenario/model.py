"""What a scenario says, as structs: each key with its bounds and its description.

A number that may be drawn is a value or a range [least, most]; each seed draws its own.
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


def _of(text: str, **more) -> Meta:
    return Meta(description=text, **more)


def _default(value: list):
    return msgspec.field(default_factory=lambda: list(value))


class Fleet(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The relays."""

    relays: Annotated[int, _of("how many", ge=1, le=10_000)] = 3
    slots: Annotated[
        int, _of("calls out at once, of each; 0: enough for its part, twice over", ge=0, le=100_000)
    ] = 0
    hold: Annotated[
        int, _of("notifications held, of each; 0: ten seconds of its part", ge=0, le=10_000_000)
    ] = 0
    quantum: Annotated[float, _of("seconds between rounds at least", ge=0.0, le=10.0)] = 0.005
    cpu_round: Annotated[float, _of("seconds of CPU that a round takes", ge=0.0, le=1.0)] = 0.0
    cpu_event: Annotated[float, _of("seconds of CPU that each event and push takes", ge=0.0, le=1.0)] = 0.0
    max_pushes: Annotated[int, _of("pushes of one notification at most", ge=1, le=1000)] = 12
    may_cancel: Annotated[bool, _of("calls may be called off")] = True
    max_come_back: Annotated[float, _of("seconds that a throttled client may be told", ge=0.0, le=3600.0)] = (
        2.0
    )
    notice: Annotated[Range, _of("seconds for which the front goes on sending to a dead relay")] = 2.0


class Service(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """How long a call runs at a destination of full capacity."""

    shape: Annotated[
        Literal["fixed", "exponential", "lognormal", "heavy", "empirical"], _of("the distribution")
    ] = "lognormal"
    mean: Annotated[Range, _of("seconds; a range differs by destination")] = 0.2
    cv: Annotated[float, _of("standard deviation over mean, of lognormal and heavy", ge=0.0, le=20.0)] = 0.5
    values: Annotated[list[float], _of("seconds to draw from, of empirical")] = []


class Limit(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What a destination takes from all relays together."""

    how: Annotated[
        Literal["none", "rate", "window"], _of("no limit but capacity, a rate, or a count in a span")
    ] = "none"
    span: Annotated[float, _of("seconds, of a window", gt=0.0, le=3600.0)] = 2.0
    tells: Annotated[float, _of("the part of refusals that tell a wait", ge=0.0, le=1.0)] = 0.5
    refused_count: Annotated[bool, _of("refused calls use it up too")] = False
    report: Annotated[bool, _of("answers tell the limit")] = False
    spare: Annotated[float, _of("capacity over the limit", ge=1.0, le=100.0)] = 1.4


class Cold(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """How a destination comes back from an outage."""

    share: Annotated[Range, _of("of its capacity just after")] = 0.3
    time: Annotated[Range, _of("seconds until it has all of it")] = 8.0
    fall: Annotated[float, _of("seconds down when it is pushed over", ge=0.0, le=86_400.0)] = 20.0


class Group(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Destinations that are alike."""

    name: Annotated[str, _of("the kind that relays are told", min_length=1, max_length=64)] = "partner"
    count: Annotated[int, _of("how many destinations", ge=1, le=100_000)] = 10
    routes: Annotated[Range, _of("endpoints of each")] = 2.0
    share: Annotated[float, _of("of the traffic, beside the other groups", gt=0.0, le=1e6)] = 1.0
    zipf: Annotated[float, _of("how unevenly it falls within the group; 0: evenly", ge=0.0, le=4.0)] = 0.0
    apart: Annotated[bool, _of("endpoints are routes apart, each with limit and outages of its own")] = False
    batch: Annotated[int, _of("notifications in a call", ge=1, le=10_000)] = 1
    item_cost: Annotated[float, _of("work of each further one in a call", ge=0.0, le=1.0)] = 0.1
    headroom: Annotated[Range, _of("what it takes over what it is asked for at load 1")] = 1.5
    least: Annotated[Range, _of("calls a second that it takes at least")] = 3.0
    depth: Annotated[float, _of("seconds of its capacity that it queues", ge=0.0, le=3600.0)] = 0.5
    rough: Annotated[float, _of("how far the told rate is off at most; 0: not at all", ge=0.0, le=10.0)] = 0.0
    conns: Annotated[int, _of("connections an endpoint takes; 0: any number", ge=0, le=1_000_000)] = 0
    cancels: Annotated[Literal["none", "queued"], _of("which calls a relay's giving up stops")] = "none"
    service: Service = Service()
    limit: Limit = Limit()
    cold: Cold = Cold()


class Topic(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A topic type."""

    name: Annotated[str, _of("its name", min_length=1, max_length=64)] = "update"
    share: Annotated[float, _of("of the traffic", gt=0.0, le=1e6)] = 1.0
    effect: Annotated[Literal["repeatable", "collapsible", "once-only"], _of("what a repeat does")] = (
        "repeatable"
    )
    objective: Annotated[float, _of("seconds for full benefit", gt=0.0, le=86_400.0)] = 2.0
    ttl: Annotated[float, _of("seconds until it is over", gt=0.0, le=86_400.0)] = 16.0
    benefit: Annotated[float, _of("of one in time", ge=0.0, le=1e6)] = 1.0
    late_share: Annotated[float, _of("of it at the TTL", ge=0.0, le=1.0)] = 0.4
    window: Annotated[
        float, _of("seconds in which repeats of a collapsible one are dropped", ge=0.0, le=86_400.0)
    ] = 6.0
    work: Annotated[float, _of("times the destination's pace", gt=0.0, le=1000.0)] = 1.0
    keep_order: Annotated[bool, _of("those of one key go in turn")] = False


class Customer(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A customer; over its quota what it hands in is worth little."""

    name: Annotated[str, _of("its name", min_length=1, max_length=64)] = "all"
    share: Annotated[float, _of("of the traffic", gt=0.0, le=1e6)] = 1.0
    quota: Annotated[float, _of("times its share of load 1; 0: none", ge=0.0, le=100.0)] = 0.0


class Traffic(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What clients hand in."""

    rate: Annotated[float, _of("notifications a second at load 1", gt=0.0, le=1e6)] = 60.0
    load: Annotated[Range, _of("times that")] = 0.7
    shape: Annotated[Literal["steady", "bursty", "ramp", "wave"], _of("how it changes over the day")] = (
        "steady"
    )
    swing: Annotated[float, _of("how far it goes up and down", ge=0.0, le=1.0)] = 0.3
    clumps: Annotated[float, _of("the part that comes in clumps for one destination", ge=0.0, le=1.0)] = 0.0
    clump: Annotated[
        float, _of("a clump's size, in seconds of what its destination takes", ge=0.0, le=600.0)
    ] = 1.5
    keys: Annotated[int, _of("keys that ordered topic types have", ge=1, le=1_000_000)] = 50
    late: Annotated[Literal["line", "halves"], _of("how benefit falls after the objective")] = "line"
    over_share: Annotated[float, _of("of the benefit, past a customer's quota", ge=0.0, le=1.0)] = 0.1


class Clients(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """How clients behave."""

    again: Annotated[int, _of("hand-ins again after throttling", ge=0, le=100)] = 1
    backoff: Annotated[Range, _of("seconds before that")] = _default([0.3, 1.5])
    honour: Annotated[float, _of("the part that heeds a time to come back", ge=0.0, le=1.0)] = 0.7
    patience: Annotated[float, _of("seconds for an answer, then another relay", gt=0.0, le=60.0)] = 0.4
    orphans: Annotated[Range, _of("seconds until what a relay lost without its folder comes again")] = (
        _default([1.0, 2.0])
    )


class Network(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Between relays and endpoints."""

    buildings: Annotated[int, _of("places that both stand in", ge=1, le=100)] = 2
    delay: Annotated[Range, _of("seconds one way, by pair of buildings")] = _default([0.005, 0.015])
    jitter: Annotated[float, _of("of the delay, at random", ge=0.0, le=10.0)] = 0.2
    handshake: Annotated[float, _of("round trips of a new connection", ge=0.0, le=20.0)] = 1.0
    setup: Annotated[float, _of("seconds of an endpoint's slot that one takes", ge=0.0, le=10.0)] = 0.0
    idle: Annotated[float, _of("seconds after which idle connections close", gt=0.0, le=86_400.0)] = 15.0
    connect_timeout: Annotated[float, _of("seconds", gt=0.0, le=600.0)] = 1.5


class Directory(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """How relays learn of endpoints."""

    lag: Annotated[Range, _of("seconds until a relay is told of a change")] = _default([1.0, 4.0])
    told_rates: Annotated[bool, _of("the list tells rates")] = True


class Rules(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The figures of the six rules."""

    grace: Annotated[float, _of("seconds after a drain was told", ge=0.0, le=600.0)] = 2.0
    factor: Annotated[float, _of("times what a cold destination can do", gt=0.0, le=100.0)] = 1.5
    window: Annotated[float, _of("seconds over which that counts", gt=0.0, le=600.0)] = 1.5
    key_rest: Annotated[float, _of("seconds that a key rests", ge=0.0, le=600.0)] = 1.0


class Goal(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Weights of what is scored, scaled to sum 1, and prices in points of it."""

    whole: Annotated[float, _of("benefit over the whole day", ge=0.0, le=1e3)] = 1.0
    worst_window: Annotated[float, _of("of the worst ten seconds", ge=0.0, le=1e3)] = 0.0
    worst_topic: Annotated[float, _of("of the worst topic type", ge=0.0, le=1e3)] = 0.0
    worst_customer: Annotated[float, _of("of the worst customer", ge=0.0, le=1e3)] = 0.0
    connection: Annotated[float, _of("price: new connections a notification", ge=0.0, le=10.0)] = 0.0
    refused: Annotated[float, _of("price: refused calls a notification", ge=0.0, le=10.0)] = 0.0
    waste: Annotated[float, _of("price: runs that served nobody, a notification", ge=0.0, le=10.0)] = 0.0


class TimelineFault(msgspec.Struct, frozen=True, forbid_unknown_fields=True, rename={"span": "for"}):
    """One fault on the timeline."""

    kind: Annotated[Literal[FAULTS], _of("what goes wrong")]
    at: Annotated[Range, _of("seconds from the start")] = 10.0
    span: Annotated[Range, _of("seconds that it lasts")] = 10.0
    part: Annotated[Range, _of("of the traffic (destinations struck) or of the relays")] = 0.3
    destinations: Annotated[list[int], _of("destinations struck, by number, in place of a part")] = []
    by: Annotated[Literal["any", "building", "group"], _of("whether those struck stand together")] = "any"
    group: Annotated[str, _of("only destinations of this group")] = ""
    topic: Annotated[str, _of("only calls of this topic type")] = ""
    calls: Annotated[Range, _of("the part of calls that meet it")] = 1.0
    size: Annotated[Range, _of("how many times slower, larger, later; for `roll` the part in one batch")] = (
        5.0
    )
    tells: Annotated[bool, _of("a shut destination tells when it opens")] = False
    folder: Annotated[bool, _of("restarted relays find their folder")] = True
    planned: Annotated[bool, _of("a restart begins with a word to leave")] = False
    down: Annotated[Range, _of("seconds that a restarted relay is down")] = 1.0


class Random(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Faults that each seed draws, beside those on the timeline."""

    faults: Annotated[list[int], _of("how many: least, most", min_length=2, max_length=2)] = _default([0, 0])
    kinds: Annotated[list[Literal[FAULTS]], _of("of which kinds")] = _default(list(FAULTS))


class Scenario(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The whole file."""

    format: Annotated[Literal[1], _of("the version of this format; a file must name it")]
    name: Annotated[str, _of("for tables and plots", max_length=64)] = "day"
    seconds: Annotated[float, _of("in which clients hand in", gt=0.0, le=86_400.0)] = 40.0
    warm: Annotated[float, _of("seconds that are not scored", ge=0.0, le=86_400.0)] = 1.0
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

"""Faults of a day: those on its timeline and those that its seed draws, each with what it strikes."""

from dataclasses import dataclass, field

import numpy as np

from ..scenario import UNIT_FAULTS, Scenario, TimelineFault
from .random_streams import RandomStreams

# What a drawn fault is like: kind -> (seconds it lasts, part of the traffic or of the relays, size).
DRAWN = {
    "vanish": ((6.0, 18.0), (0.05, 0.3), (1.0, 1.0)),
    "refuse": ((6.0, 18.0), (0.05, 0.3), (1.0, 1.0)),
    "hang": ((6.0, 18.0), (0.05, 0.3), (1.0, 1.0)),
    "shut": ((6.0, 18.0), (0.05, 0.3), (1.0, 1.0)),
    "reset-before": ((6.0, 18.0), (0.05, 0.3), (1.0, 1.0)),
    "error": ((6.0, 18.0), (0.05, 0.3), (1.0, 1.0)),
    "lost": ((6.0, 18.0), (0.05, 0.3), (1.0, 1.0)),
    "reset-after": ((6.0, 18.0), (0.05, 0.3), (1.0, 1.0)),
    "slow": ((6.0, 18.0), (0.05, 0.3), (4.0, 20.0)),
    "tail": ((8.0, 20.0), (0.3, 1.0), (5.0, 30.0)),
    "kill": ((1.0, 1.0), (0.1, 0.5), (1.0, 1.0)),
    "roll": ((10.0, 25.0), (0.5, 1.0), (0.1, 0.3)),
    "pause": ((0.1, 0.6), (0.1, 0.6), (1.0, 1.0)),
    "skew": ((8.0, 20.0), (0.05, 0.3), (2.0, 6.0)),
    "cut": ((3.0, 12.0), (0.3, 0.5), (1.0, 1.0)),
    "stale": ((8.0, 20.0), (1.0, 1.0), (3.0, 10.0)),
    "replace": ((15.0, 30.0), (0.3, 1.0), (1.0, 1.0)),
    "clump": ((1.0, 1.0), (0.02, 0.1), (3.0, 15.0)),
    "handshake": ((8.0, 20.0), (1.0, 1.0), (5.0, 40.0)),
}
CALLS = {"error": (0.5, 1.0), "lost": (0.3, 1.0), "reset-after": (0.2, 1.0), "reset-before": (0.3, 1.0)}


@dataclass(slots=True)
class Struck:
    """A fault with all that was open in it drawn. destinations, relays: numbers; calls: the part that meets
    it."""

    kind: str
    at: float
    span: float
    part: float
    size: float
    calls: float
    down: float
    fault: TimelineFault
    destinations: list[int] = field(default_factory=list)
    relays: list[int] = field(default_factory=list)


def pick(value, gen: np.random.Generator) -> float:
    """A number, or one drawn evenly from its range."""
    return float(gen.uniform(value[0], value[1])) if isinstance(value, list) else float(value)


def plan(
    day: Scenario, shares: np.ndarray, groups: np.ndarray, buildings: np.ndarray, chance: RandomStreams
) -> list[Struck]:
    """All faults of a day, by time.

    shares, groups, buildings: by destination, of the traffic, the group's number, where most of it stands.
    """
    gen = chance.of("faults")
    drawn = [
        _drawn(day, gen) for _ in range(int(gen.integers(day.random.faults[0], day.random.faults[1] + 1)))
    ]
    found = []
    for number, fault in enumerate([*day.fault, *drawn]):
        own = chance.of("fault", number, fault.kind)
        part = pick(fault.part, own)
        struck = Struck(
            fault.kind, pick(fault.at, own), pick(fault.span, own), part, pick(fault.size, own),
            pick(fault.calls, own), pick(fault.down, own), fault,
        )  # fmt: skip
        if fault.kind in UNIT_FAULTS or fault.kind in ("clump", "replace"):
            struck.destinations = fault.destinations or _strike(
                day, fault, part, shares, groups, buildings, own
            )
        if fault.kind in ("kill", "roll", "pause", "skew"):
            count = max(1, round(part * day.fleet.relays))
            struck.relays = own.permutation(day.fleet.relays)[:count].tolist()
        found.append(struck)
    return sorted(found, key=lambda s: s.at)


def _drawn(day: Scenario, gen: np.random.Generator) -> TimelineFault:
    kind = day.random.kinds[int(gen.integers(len(day.random.kinds)))]
    spans, parts, sizes = DRAWN[kind]
    return TimelineFault(
        kind=kind,
        at=float(gen.uniform(0.1, 0.6) * day.seconds),
        span=float(min(gen.uniform(*spans), day.seconds * 0.5)),
        part=float(gen.uniform(*parts)),
        by=("any", "any", "building")[int(gen.integers(3))],
        calls=float(gen.uniform(*CALLS.get(kind, (1.0, 1.0)))),
        size=float(gen.uniform(*sizes)),
        tells=bool(gen.integers(2)),
        folder=bool(gen.integers(2)),
        planned=bool(gen.integers(2)),
        down=float(gen.uniform(0.2, 1.5)),
    )


def _strike(day, fault: TimelineFault, part: float, shares, groups, buildings, gen) -> list[int]:
    """Destinations that get about that part of the traffic; one at least."""
    order = gen.permutation(len(shares))
    if fault.group:
        number = [g.name for g in day.group].index(fault.group)
        order = order[groups[order] == number]
    if fault.by != "any":
        where = buildings if fault.by == "building" else groups
        order = order[np.argsort(where[order] != where[order[0]], kind="stable")]
    reached = np.cumsum(shares[order])
    return order[: max(1, int(np.searchsorted(reached, part * shares.sum() + 1e-12)))].tolist()

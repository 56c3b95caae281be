"""Faults of a day: those on its timeline and those drawn by its seed, each with the targets it hits."""

from dataclasses import dataclass, field

import numpy as np

from ..scenario import UNIT_FAULTS, Scenario, TimelineFault
from .random_streams import RandomStreams

# Ranges of a drawn fault: kind -> (duration in seconds, share of the traffic or of the relays, size).
DRAWN_FAULT_RANGES = {
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
DRAWN_CALL_SHARES = {
    "error": (0.5, 1.0),
    "lost": (0.3, 1.0),
    "reset-after": (0.2, 1.0),
    "reset-before": (0.3, 1.0),
}


@dataclass(slots=True)
class ScheduledFault:
    """A fault with every range of its specification resolved to a value.

    destinations, relays: numbers of its targets; calls: share of the calls that it affects; spec: the fault
    in the scenario.
    """

    kind: str
    at: float
    span: float
    part: float
    size: float
    calls: float
    down: float
    spec: TimelineFault
    destinations: list[int] = field(default_factory=list)
    relays: list[int] = field(default_factory=list)


def draw_value(value, rng: np.random.Generator) -> float:
    """The number itself, or one drawn uniformly from a range."""
    return float(rng.uniform(value[0], value[1])) if isinstance(value, list) else float(value)


def plan(
    day: Scenario, shares: np.ndarray, groups: np.ndarray, buildings: np.ndarray, streams: RandomStreams
) -> list[ScheduledFault]:
    """All faults of a day, ordered by time.

    shares, groups, buildings: by destination, its share of the traffic, its group's number, its home
    building.
    """
    rng = streams.generator("faults")
    drawn = [
        _draw_fault(day, rng)
        for _ in range(int(rng.integers(day.random.faults[0], day.random.faults[1] + 1)))
    ]
    found = []
    for number, spec in enumerate([*day.fault, *drawn]):
        fault_rng = streams.generator("fault", number, spec.kind)
        part = draw_value(spec.part, fault_rng)
        scheduled = ScheduledFault(
            spec.kind, draw_value(spec.at, fault_rng), draw_value(spec.span, fault_rng), part,
            draw_value(spec.size, fault_rng), draw_value(spec.calls, fault_rng),
            draw_value(spec.down, fault_rng), spec,
        )  # fmt: skip
        if spec.kind in UNIT_FAULTS or spec.kind in ("clump", "replace"):
            scheduled.destinations = spec.destinations or _choose_destinations(
                day, spec, part, shares, groups, buildings, fault_rng
            )
        if spec.kind in ("kill", "roll", "pause", "skew"):
            count = max(1, round(part * day.fleet.relays))
            scheduled.relays = fault_rng.permutation(day.fleet.relays)[:count].tolist()
        found.append(scheduled)
    return sorted(found, key=lambda s: s.at)


def _draw_fault(day: Scenario, rng: np.random.Generator) -> TimelineFault:
    kind = day.random.kinds[int(rng.integers(len(day.random.kinds)))]
    spans, parts, sizes = DRAWN_FAULT_RANGES[kind]
    return TimelineFault(
        kind=kind,
        at=float(rng.uniform(0.1, 0.6) * day.seconds),
        span=float(min(rng.uniform(*spans), day.seconds * 0.5)),
        part=float(rng.uniform(*parts)),
        by=("any", "any", "building")[int(rng.integers(3))],
        calls=float(rng.uniform(*DRAWN_CALL_SHARES.get(kind, (1.0, 1.0)))),
        size=float(rng.uniform(*sizes)),
        tells=bool(rng.integers(2)),
        folder=bool(rng.integers(2)),
        planned=bool(rng.integers(2)),
        down=float(rng.uniform(0.2, 1.5)),
    )


def _choose_destinations(day, spec: TimelineFault, part: float, shares, groups, buildings, rng) -> list[int]:
    """Destinations that together receive about that share of the traffic; at least one."""
    order = rng.permutation(len(shares))
    if spec.group:
        number = [g.name for g in day.group].index(spec.group)
        order = order[groups[order] == number]
    if spec.by != "any":
        location = buildings if spec.by == "building" else groups
        order = order[np.argsort(location[order] != location[order[0]], kind="stable")]
    cumulative_shares = np.cumsum(shares[order])
    return order[: max(1, int(np.searchsorted(cumulative_shares, part * shares.sum() + 1e-12)))].tolist()

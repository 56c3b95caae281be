"""Spreads the replicas of a region's shards over its zones, then assigns those of each zone to its relays."""

import math
from collections.abc import Mapping, Sequence

import msgspec

from ryestack.control.bounded_load import Probes, assign_replicas, fair_shares
from ryestack.control.stable_hash import as_fraction, hash_table

MIN_EXTRA_WEIGHT = 1e-9
"""Weight of a zone that already has more than its share, for the extra replicas of a shard."""

Zones = Mapping[str, Mapping[str, float]]
"""The relays of one region: zone to name to weight."""


class ReplicaPlan(msgspec.Struct, frozen=True):
    """How the replicas of a shard are spread over the zones of a region.

    base: the replicas that every shard has in a zone; extra: the remaining replicas, at most one per zone,
    whose zones differ from shard to shard; extra_weights: the weights of the zones for these.
    """

    base: dict[str, int]
    extra: int
    extra_weights: dict[str, float]

    def replicas(self, numbers: Sequence[int]) -> dict[str, dict[int, int]]:
        """Zone to shard number to number of replicas."""
        replicas = {zone: dict.fromkeys(numbers, count) for zone, count in self.base.items()}
        if not self.extra:
            return replicas
        scores = [_rendezvous_scores(zone, weight, numbers) for zone, weight in self.extra_weights.items()]
        zones = list(self.extra_weights)
        for number, row in zip(numbers, zip(*scores, strict=True), strict=True):
            for rank in sorted(range(len(row)), key=row.__getitem__)[: self.extra]:
                replicas[zones[rank]][number] += 1
        return replicas


def _rendezvous_scores(zone: str, weight: float, numbers: Sequence[int]) -> list[float]:
    """Exponential draws: a zone has the lowest score with a probability proportional to its weight."""
    draws = hash_table(f"zone|{zone}", max(numbers, default=-1) + 1, 1)
    return [-math.log(as_fraction(draws[number][0])) / weight for number in numbers]


def plan_replicas(zones: Zones, replicas: int) -> ReplicaPlan:
    """Places replicas in rounds, one in each zone that has relays left; the last round may be partial."""
    base = dict.fromkeys(sorted(zones), 0)
    remaining = replicas
    eligible = list(base)
    while eligible and remaining >= len(eligible):
        remaining -= len(eligible)
        for zone in eligible:
            base[zone] += 1
        eligible = [zone for zone in eligible if len(zones[zone]) > base[zone]]
    weights = {zone: math.fsum(zones[zone].values()) for zone in base}
    limits = {zone: float(len(zones[zone])) for zone in base}
    shares = fair_shares(replicas, weights, limits)
    extra_weights = {zone: max(MIN_EXTRA_WEIGHT, min(1.0, shares[zone] - base[zone])) for zone in eligible}
    return ReplicaPlan(base=base, extra=remaining if eligible else 0, extra_weights=extra_weights)


def assign_in_region(
    zones: Zones, numbers: Sequence[int], replicas: int, slack: float, probes: Probes
) -> dict[int, list[str]]:
    """Shard number to relays of one region: `replicas` each, or all its relays if it has fewer."""
    assigned: dict[int, list[str]] = {number: [] for number in numbers}
    for zone, replica_counts in plan_replicas(zones, replicas).replicas(numbers).items():
        for number, relays in assign_replicas(zones[zone], replica_counts, slack, probes).items():
            assigned[number] += relays
    return assigned

"""Spreads the seats of a region's shards over its zones, then deals those of each zone to its relays."""

import math
from collections.abc import Iterable, Mapping

import msgspec

from ryestack.control.bounded_load import SeatsWanted, deal_seats, fair_shares, hash_fraction

LEAST_EXTRA_WEIGHT = 1e-9
"""Weight of a zone that already has more than its share, when one of the last seats of a shard is placed."""

Zones = Mapping[str, Mapping[str, float]]
"""The relays of one region: zone to name to weight."""


class SeatPlan(msgspec.Struct, frozen=True):
    """How the seats of a shard are spread over the zones of a region."""

    base: dict[str, int]
    """Seats that every shard has in a zone."""
    extra: int
    """Seats that are left, at most one a zone; which zones have them differs from shard to shard."""
    extra_weights: dict[str, float]

    def seats(self, shard: str) -> dict[str, int]:
        """Zone to seats of this shard; extra seats by weighted rendezvous hashing."""
        if not self.extra:
            return self.base
        scores = {
            zone: -math.log(hash_fraction(f"zone|{zone}|{shard}")) / weight
            for zone, weight in self.extra_weights.items()
        }
        chosen = sorted(scores, key=lambda zone: (scores[zone], zone))[: self.extra]
        return {zone: count + (zone in chosen) for zone, count in self.base.items()}


def plan_seats(zones: Zones, seats: int) -> SeatPlan:
    """Deals seats to zones in rounds, one each while it has relays left; the last round may be partial."""
    base = dict.fromkeys(sorted(zones), 0)
    remaining = seats
    eligible = list(base)
    while eligible and remaining >= len(eligible):
        remaining -= len(eligible)
        for zone in eligible:
            base[zone] += 1
        eligible = [zone for zone in eligible if len(zones[zone]) > base[zone]]
    weights = {zone: math.fsum(zones[zone].values()) for zone in base}
    limits = {zone: float(len(zones[zone])) for zone in base}
    shares = fair_shares(seats, weights, limits)
    extra_weights = {zone: max(LEAST_EXTRA_WEIGHT, min(1.0, shares[zone] - base[zone])) for zone in eligible}
    return SeatPlan(base=base, extra=remaining if eligible else 0, extra_weights=extra_weights)


def deal_in_region(zones: Zones, shards: Iterable[str], seats: int, slack: float) -> dict[str, list[str]]:
    """Shard to relays of one region: `seats` each, or all relays of the region if it has fewer."""
    plan = plan_seats(zones, seats)
    wanted: dict[str, list[SeatsWanted]] = {zone: [] for zone in plan.base}
    dealt: dict[str, list[str]] = {}
    for shard in shards:
        dealt[shard] = []
        for zone, count in plan.seats(shard).items():
            wanted[zone].append(SeatsWanted(shard, count))
    for zone, wants in wanted.items():
        for shard, relays in deal_seats(zones[zone], wants, slack).items():
            dealt[shard] += relays
    return dealt

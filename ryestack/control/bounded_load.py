"""Consistent hashing with bounded loads: assigns replicas of shards to relays, none above its bound.

After Mirrokni, Thorup and Zadimoghaddam (2018), with independent probes in place of linear probing on the
ring (Chen, Coleman and Shrivastava, 2021), so that the overflow of a full relay does not pile up on the next
one. The result depends only on the relays and the replica counts, not on the order of joining nor on earlier
assignments.
"""

import math
from bisect import bisect
from collections.abc import Mapping, Sequence
from functools import lru_cache
from itertools import chain, islice

from ryestack.control.stable_hash import as_fraction, hash_table, hash_u64, hash_u64s

RING_POSITIONS = 32
"""Ring positions of a relay of weight 1: more give a more even distribution but a slower sort."""
PROBES = 8
"""Independent positions tried for a shard before the ring is scanned from the last of them."""
INDEX_BITS = 20
"""Low bits of a ring entry that hold the relay's index; the high bits hold the position."""
MAXIMUM_RELAYS = 1 << INDEX_BITS
ROUNDING = 1e-9
"""Shares closer than this to a whole number count as whole."""

_INDEX_MASK = MAXIMUM_RELAYS - 1

Probes = Sequence[tuple[int, ...]]
"""By shard number: the ring positions at which to look for relays, in order of preference."""


@lru_cache(maxsize=1)
def shard_probes(shard_count: int) -> Probes:
    """The probes of shards 0 to `shard_count` - 1."""
    return hash_table("probes", shard_count, PROBES)


def fair_shares(total: float, weights: Mapping[str, float], limits: Mapping[str, float]) -> dict[str, float]:
    """Splits `total` in proportion to the weights; what exceeds a limit is split among the others."""
    shares: dict[str, float] = {}
    open_names = sorted(weights)
    remaining = total
    while open_names:
        rate = remaining / math.fsum(weights[name] for name in open_names)
        limited = [name for name in open_names if weights[name] * rate >= limits[name]]
        if not limited:
            shares.update((name, weights[name] * rate) for name in open_names)
            break
        shares.update((name, limits[name]) for name in limited)
        remaining = max(0.0, remaining - math.fsum(limits[name] for name in limited))
        open_names = [name for name in open_names if name not in shares]
    return shares


def load_bound(fair_share: float, slack: float, shard_count: int) -> int:
    """The maximum number of replicas for a relay with this fair share: ceil((1 + slack) x fair share)."""
    return min(shard_count, math.ceil((1 + slack) * fair_share - ROUNDING))


def capacity(name: str, fair_share: float, slack: float, shard_count: int) -> int:
    """A relay's capacity in replicas, never above `load_bound` and never below its fair share.

    A hash of the name decides whether (1 + slack) x fair share is rounded up or down. So when the number of
    relays changes, the capacities change for one relay after another and not for all at once.
    """
    rounded = math.floor((1 + slack) * fair_share + as_fraction(hash_u64(f"capacity|{name}")))
    minimum = math.ceil(fair_share - ROUNDING)
    return min(load_bound(fair_share, slack, shard_count), max(minimum, rounded))


class ReplicaAssigner:
    """Assigns replicas to the relays of one group, shard by shard, with a hash ring."""

    def __init__(self, weights: Mapping[str, float], replica_counts: Mapping[int, int], slack: float) -> None:
        if len(weights) > MAXIMUM_RELAYS:
            raise ValueError(f"{len(weights)} relays in one group, {MAXIMUM_RELAYS} at most")
        shares = fair_shares(
            sum(replica_counts.values()), weights, dict.fromkeys(weights, len(replica_counts))
        )
        self._free_capacity = {
            name: capacity(name, shares[name], slack, len(replica_counts)) for name in weights
        }
        self._replica_counts = replica_counts
        self._assigned: dict[int, list[str]] = {}
        self._ring = _sorted_ring(weights)
        names = sorted(weights)
        self._owners = [names[entry & _INDEX_MASK] for entry in self._ring]
        self._owners += self._owners[:1]  # positions after the last entry wrap around to the first

    def assign(self, probes: Probes) -> dict[int, list[str]]:
        """Returns the relays of each shard number."""
        for number, replicas in self._replica_counts.items():
            self._assigned[number] = self._assign_shard(replicas, probes[number]) if replicas else []
        return self._assigned

    def _assign_shard(self, replicas: int, probes: tuple[int, ...]) -> list[str]:
        ring, owners, free_capacity = self._ring, self._owners, self._free_capacity
        chosen: list[str] = []
        for probe in probes:
            name = owners[bisect(ring, probe)]
            if free_capacity[name] and name not in chosen:
                free_capacity[name] -= 1
                chosen.append(name)
                if len(chosen) == replicas:
                    return chosen
        self._scan_ring(bisect(ring, probes[-1]), replicas, chosen)
        while len(chosen) < replicas:
            chosen.append(self._free_by_swap(chosen))
        return chosen

    def _scan_ring(self, start: int, replicas: int, chosen: list[str]) -> None:
        """Adds the next relays on the ring with free capacity, until there are enough or all were visited."""
        for name in chain(islice(self._owners, start, None), islice(self._owners, start)):
            if self._free_capacity[name] and name not in chosen:
                self._free_capacity[name] -= 1
                chosen.append(name)
                if len(chosen) == replicas:
                    return

    def _free_by_swap(self, chosen: list[str]) -> str:
        """Frees a relay for a shard that already has every relay with free capacity, and returns it.

        An earlier shard that lacks a relay with free capacity swaps one of its relays for it. Such a shard
        always exists: if all earlier shards had all relays with free capacity, the free capacity would be
        less than the replicas still to be assigned, but the total capacity is never less than the total
        number of replicas.
        """
        for candidate in chosen:
            if not self._free_capacity[candidate]:
                continue
            for relays in self._assigned.values():
                spare = [name for name in relays if name not in chosen]
                if spare and candidate not in relays:
                    relays[relays.index(spare[0])] = candidate
                    self._free_capacity[candidate] -= 1
                    return spare[0]
        raise AssertionError("total capacity is less than the number of replicas")


def _sorted_ring(weights: Mapping[str, float]) -> list[int]:
    """Ring entries, with a position in the high bits and the index of its relay (by name) in the low bits.

    The number of positions of a relay is proportional to its weight.
    """
    return sorted(
        position & ~_INDEX_MASK | index
        for index, name in enumerate(sorted(weights))
        for position in hash_u64s(name, max(1, round(RING_POSITIONS * weights[name])))
    )


def assign_replicas(
    weights: Mapping[str, float], replica_counts: Mapping[int, int], slack: float, probes: Probes
) -> dict[int, list[str]]:
    """Assigns relays named in `weights` to shards, distinct relays within a shard.

    replica_counts: shard number to replicas. No relay gets more than ceil((1 + slack) x fair share) replicas;
    fair shares are proportional to weights, and none exceeds the number of shards. No shard may have more
    replicas than there are relays, and the replica counts of two shards may differ by at most one.
    """
    return ReplicaAssigner(weights, replica_counts, slack).assign(probes)

"""Consistent hashing with bounded loads: deals the seats of shards to relays, none above its bound.

After Mirrokni, Thorup and Zadimoghaddam (2018), with independent probes in place of a walk to the next
position (Chen, Coleman and Shrivastava, 2021), which keeps an overflow from piling up behind one full
relay. The result is a function of the relays and the seats wanted alone: neither the order of joining nor
what was dealt before counts.
"""

import math
import struct
from bisect import bisect
from collections.abc import Iterator, Mapping, Sequence
from hashlib import blake2b, shake_128

import msgspec

RING_POSITIONS = 64
"""Positions on the ring of a relay of weight 1: more make its arcs evener and the ring slower to sort."""
PROBES = 8
"""Independent positions tried for a shard before the ring is walked from the last of them."""
INDEX_BITS = 20
"""Low bits of a ring entry that hold the relay's index; the position is above them."""
MAXIMUM_RELAYS = 1 << INDEX_BITS
ROUNDING = 1e-9
"""Shares closer than this to a whole number count as whole."""

_INDEX_MASK = MAXIMUM_RELAYS - 1
_PROBE_FORMAT = struct.Struct(f"<{PROBES}Q")


class SeatsWanted(msgspec.Struct, frozen=True):
    """How many distinct relays of a group a shard takes."""

    shard: str
    seats: int


def hash_words(text: str) -> tuple[int, ...]:
    """Eight words of 64 bits, the same in each process and release."""
    return _PROBE_FORMAT.unpack(blake2b(text.encode()).digest())


def hash_fraction(text: str) -> float:
    """A number above 0 and below 1, the same in each process and release."""
    return ((hash_words(text)[0] >> 12) + 0.5) / (1 << 52)


def fair_shares(total: float, weights: Mapping[str, float], limits: Mapping[str, float]) -> dict[str, float]:
    """Splits `total` in proportion to the weights; what a limit cuts off goes to the others likewise."""
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
    """The most seats that a relay with this fair share is ever dealt: ceil((1 + slack) x fair share)."""
    return min(shard_count, math.ceil((1 + slack) * fair_share - ROUNDING))


def capacity(name: str, fair_share: float, slack: float, shard_count: int) -> int:
    """A relay's capacity in seats, never above `load_bound` and never below its fair share.

    Between the two whole numbers around (1 + slack) x fair share, a hash of the name decides. When the
    number of relays changes, capacities so step one relay after another and not all at once.
    """
    stepped = math.floor((1 + slack) * fair_share + hash_fraction(f"capacity|{name}"))
    least = math.ceil(fair_share - ROUNDING)
    return min(load_bound(fair_share, slack, shard_count), max(least, stepped))


class Ring:
    """Relays on a circle of hash positions, more positions for more weight."""

    def __init__(self, weights: Mapping[str, float]) -> None:
        if len(weights) > MAXIMUM_RELAYS:
            raise ValueError(f"{len(weights)} relays in one group, {MAXIMUM_RELAYS} at most")
        self.names = sorted(weights)
        self._entries = sorted(
            position >> INDEX_BITS << INDEX_BITS | index
            for index, name in enumerate(self.names)
            for position in _ring_positions(name, weights[name])
        )

    def candidates(self, shard: str) -> Iterator[int]:
        """Indices of relays in the order in which the shard prefers them; each comes at least once."""
        entries = self._entries
        count = len(entries)
        place = 0
        for probe in hash_words(shard):
            place = bisect(entries, probe) % count
            yield entries[place] & _INDEX_MASK
        for step in range(1, count):
            yield entries[(place + step) % count] & _INDEX_MASK


def _ring_positions(name: str, weight: float) -> tuple[int, ...]:
    count = max(1, round(RING_POSITIONS * weight))
    return struct.unpack(f"<{count}Q", shake_128(name.encode()).digest(8 * count))


class Dealer:
    """Deals seats one shard after another to relays with room."""

    def __init__(self, weights: Mapping[str, float], wanted: Sequence[SeatsWanted], slack: float) -> None:
        total = sum(want.seats for want in wanted)
        shares = fair_shares(total, weights, dict.fromkeys(weights, len(wanted)))
        self._ring = Ring(weights)
        self._room = [capacity(name, shares[name], slack, len(wanted)) for name in self._ring.names]
        self._dealt: dict[str, list[int]] = {}
        self._wanted = wanted

    def deal(self) -> dict[str, list[str]]:
        """The relays of each shard."""
        for want in self._wanted:
            self._dealt[want.shard] = self._take(want)
        names = self._ring.names
        return {shard: [names[index] for index in relays] for shard, relays in self._dealt.items()}

    def _take(self, want: SeatsWanted) -> list[int]:
        room = self._room
        taken: list[int] = []
        if not want.seats:
            return taken
        for index in self._ring.candidates(want.shard):
            if room[index] and index not in taken:
                room[index] -= 1
                taken.append(index)
                if len(taken) == want.seats:
                    return taken
        while len(taken) < want.seats:
            taken.append(self._swap(taken))
        return taken

    def _swap(self, taken: list[int]) -> int:
        """Frees a relay for a shard that holds a seat of every relay with room, and returns the relay.

        An earlier shard without the relay that has room gives up one of its own relays for it. There always
        is one: if all earlier shards held all relays with room, the room left would be less than the seats
        still to be dealt, while capacities together are never less than the seats wanted.
        """
        for roomy in taken:
            if not self._room[roomy]:
                continue
            for relays in self._dealt.values():
                spare = [index for index in relays if index not in taken]
                if spare and roomy not in relays:
                    relays[relays.index(spare[0])] = roomy
                    self._room[roomy] -= 1
                    return spare[0]
        raise AssertionError("capacities are less than the seats wanted")


def deal_seats(
    weights: Mapping[str, float], wanted: Sequence[SeatsWanted], slack: float
) -> dict[str, list[str]]:
    """Deals each shard its seats among the relays named in `weights`, distinct within a shard.

    No relay gets more than ceil((1 + slack) x fair share) seats, where fair shares are in proportion to
    weights and none exceeds the number of shards. No shard may want more seats than there are relays, and
    seats wanted by two shards may differ by one at most.
    """
    return Dealer(weights, wanted, slack).deal()

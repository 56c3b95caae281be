"""Assignment of destinations to relays: a pure function of the set of relays.

A stable hash groups destinations into shards, with a fixed number of shards per home region. Each shard is
served by `replicas` distinct relays, preferably in its home region, spread over the zones there and within
the load bound of `bounded_load`. All machines that know the same relays compute the same assignment.
"""

import math
from collections import defaultdict
from collections.abc import Iterable, Mapping, Sequence, Set
from copy import copy

import msgspec

from ryestack.control.bounded_load import shard_probes
from ryestack.control.stable_hash import as_fraction, hash_u64
from ryestack.control.zone_spread import Zones, assign_in_region

REPLICAS = 3
SHARDS_PER_REGION = 8192
SLACK = 0.1
MAXIMUM_DIGITS = 9
"""Maximum number of digits of the number in a shard's name."""
MAXIMUM_WEIGHT = 100.0


class UnknownShard(KeyError):
    """The shard's region is unknown, or its number is out of range."""


class RelayMember(msgspec.Struct, frozen=True):
    """A relay that serves destinations. `weight` is its capacity relative to the other relays."""

    name: str
    region: str
    zone: str
    weight: float = 1.0

    def __post_init__(self) -> None:
        if not 0 < self.weight <= MAXIMUM_WEIGHT:
            allowed = f"above 0 and at most {MAXIMUM_WEIGHT} is allowed"
            raise ValueError(f"weight of relay {self.name!r}: {self.weight} found, {allowed}")


def shard_key(region: str, number: int) -> str:
    """The name of a shard as used on the wire: `eu-1/123`."""
    return f"{region}/{number}"


def shard_of(region: str, destination: str, shards_per_region: int = SHARDS_PER_REGION) -> str:
    """The shard of a destination with this home region."""
    return shard_key(region, hash_u64(destination) % shards_per_region)


class HomeLayout(msgspec.Struct, frozen=True):
    """The relays of all shards of one home region."""

    relays: tuple[tuple[str, ...], ...]
    """By shard number."""
    numbers: dict[str, tuple[int, ...]]
    """Relay to the numbers of its shards, ascending."""


class Assignment:
    """The relays of every shard, for one set of relays. Immutable; `with_changes` returns a new one.

    `homes` are the home regions of destinations, including those that currently have no relay: their shards
    are served from other regions. Regions of relays need not be listed.

    Load bound: of the shards of its own region, a relay has at most ceil((1 + slack) x fair share) replicas.
    Its fair share is its part, by weight, of the replicas placed in its zone. Shards that a region without
    enough relays leaves to other regions are assigned separately, with the same bound.
    """

    def __init__(
        self,
        members: Iterable[RelayMember],
        replicas: int = REPLICAS,
        shards_per_region: int = SHARDS_PER_REGION,
        slack: float = SLACK,
        homes: Iterable[str] = (),
    ) -> None:
        if replicas < 1 or shards_per_region < 1 or not slack > 0:
            raise ValueError("replicas and shards_per_region have to be 1 or more, slack above 0")
        self.replicas = replicas
        self.shards_per_region = shards_per_region
        self.slack = slack
        self.homes = frozenset(homes)
        self.members = _by_name(members)
        self._compute_layouts({})

    def relays_of(self, shard: str) -> tuple[str, ...]:
        """The relays that serve a shard, in no particular order. Raises UnknownShard."""
        region, _, digits = shard.rpartition("/")
        layout = self._layouts.get(region)
        number = int(digits) if len(digits) <= MAXIMUM_DIGITS and digits.isdecimal() else None
        if (
            layout is None
            or number not in range(self.shards_per_region)
            or shard != shard_key(region, number)
        ):
            raise UnknownShard(f"shard {shard!r}: {self.shards_per_region} each in {sorted(self._layouts)}")
        return layout.relays[number]

    def shards_of(self, relay: str) -> tuple[str, ...]:
        """The shards that a relay serves, ordered by home region and number; empty for an unknown relay."""
        return tuple(
            shard_key(home, number)
            for home, layout in sorted(self._layouts.items())
            for number in layout.numbers.get(relay, ())
        )

    def with_changes(
        self,
        joined: Iterable[RelayMember] = (),
        left: Iterable[str] = (),
        homes: Iterable[str] | None = None,
    ) -> "Assignment":
        """The assignment of the changed set, equal to one computed from scratch.

        A joining relay replaces one of the same name. `homes`, if given, replaces the previous home regions.
        """
        changed = copy(self)
        changed.members = dict(self.members)
        removed = [changed.members.pop(name, None) for name in left]
        added = _by_name(joined)
        removed += [changed.members.get(name) for name in added]
        changed.members.update(added)
        if homes is not None:
            changed.homes = frozenset(homes)
        touched = {member.region for member in (*removed, *added.values()) if member is not None}
        changed._compute_layouts(self._reusable(touched))
        return changed

    def _reusable(self, touched: Set[str]) -> dict[str, HomeLayout]:
        """The layouts that are not affected by changes in the touched regions."""
        return {
            home: layout
            for home, layout in self._layouts.items()
            if home not in touched and self._serves_itself(home)
        }

    def _serves_itself(self, home: str) -> bool:
        """Whether the region has enough relays for all replicas of its shards."""
        return _relay_count(self._regions.get(home, {})) >= self.replicas

    def _compute_layouts(self, reusable: Mapping[str, HomeLayout]) -> None:
        self._regions = _by_region(self.members.values())
        self._region_weights = {
            region: math.fsum(weight for relays in zones.values() for weight in relays.values())
            for region, zones in self._regions.items()
        }
        self._layouts = {
            home: reusable.get(home) or self._layout(home)
            for home in sorted(self.homes | self._regions.keys())
        }

    def _layout(self, home: str) -> HomeLayout:
        relays: list[list[str]] = [[] for _ in range(self.shards_per_region)]
        probes = shard_probes(self.shards_per_region)
        for (region, count), numbers in self._serving_groups(home).items():
            assigned = assign_in_region(self._regions[region], numbers, count, self.slack, probes)
            for number, names in assigned.items():
                relays[number] += names
        numbers_of: defaultdict[str, list[int]] = defaultdict(list)
        for number, names in enumerate(relays):
            for name in names:
                numbers_of[name].append(number)
        return HomeLayout(
            relays=tuple(map(tuple, relays)),
            numbers={name: tuple(numbers) for name, numbers in numbers_of.items()},
        )

    def _serving_groups(self, home: str) -> Mapping[tuple[str, int], Sequence[int]]:
        """(serving region, replicas there) to the numbers of the home region's shards."""
        numbers = range(self.shards_per_region)
        if self._serves_itself(home):
            return {(home, self.replicas): numbers}
        groups: defaultdict[tuple[str, int], list[int]] = defaultdict(list)
        for number in numbers:
            remaining = self.replicas
            for region in self._region_order(home, number):
                count = min(remaining, _relay_count(self._regions[region]))
                if count:
                    groups[region, count].append(number)
                    remaining -= count
        return groups

    def _region_order(self, home: str, number: int) -> list[str]:
        """The home region, then the others in the order of weighted rendezvous hashing."""
        shard = shard_key(home, number)

        def score(region: str) -> tuple[bool, float, str]:
            draw = -math.log(as_fraction(hash_u64(f"region|{region}|{shard}"))) / self._region_weights[region]
            return region != home, draw, region

        return sorted(self._regions, key=score)


def _relay_count(zones: Zones) -> int:
    return sum(len(relays) for relays in zones.values())


def _by_name(members: Iterable[RelayMember]) -> dict[str, RelayMember]:
    by_name: dict[str, RelayMember] = {}
    for member in members:
        if by_name.setdefault(member.name, member) != member:
            raise ValueError(f"two relays are named {member.name!r}: {by_name[member.name]} and {member}")
    return by_name


def _by_region(members: Iterable[RelayMember]) -> dict[str, dict[str, dict[str, float]]]:
    """Region to zone to relay to weight."""
    regions: defaultdict[str, dict[str, dict[str, float]]] = defaultdict(dict)
    for member in members:
        regions[member.region].setdefault(member.zone, {})[member.name] = member.weight
    return dict(regions)

"""Which relay of a plan has to hold which destination: what a run is judged by. Pure.

It asks the assignment alone, never a machine or a relay.
"""

from collections.abc import Callable

from ..control.assignment import Assignment, RelayMember, shard_of
from .scale_book import digest
from .scale_plan import REGIONS, ScalePlan


class Scope:
    """The assignment of a plan's relays; `replicas` as at the machines."""

    def __init__(self, plan: ScalePlan, replicas: int):
        members = [RelayMember(place.name, place.region, place.zone) for place in plan.relays]
        self._assignment = Assignment(members, replicas, homes=REGIONS)

    def shards(self, relay: str) -> set[str]:
        return set(self._assignment.shards_of(relay))

    def relays(self, destination: int, region: str) -> set[str]:
        return set(self._assignment.relays_of(shard_of(region, str(destination))))

    def by_digest(self, keys: dict[str, tuple[int, str]]) -> Callable[[int], set[str]]:
        """keys: key to its destination and home region. Gives a function of a key's digest."""
        relays = {digest(key): self.relays(*about) for key, about in keys.items()}
        return lambda key: relays.get(key, set())

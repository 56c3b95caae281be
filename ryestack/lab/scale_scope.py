"""Which relay of a plan has to hold which destination: the reference that a run is checked against. Pure.

It is computed from the assignment, never from what a machine or a relay reports.
"""

from collections.abc import Callable

from ..control.assignment import Assignment, RelayMember, shard_of
from .scale_book import digest
from .scale_plan import REGIONS, ScalePlan


class Scope:
    """The assignment of a plan's relays; `replicas`: as the control machines are configured."""

    def __init__(self, plan: ScalePlan, replicas: int):
        members = [RelayMember(place.name, place.region, place.zone) for place in plan.relays]
        self._assignment = Assignment(members, replicas, homes=REGIONS)

    def shards(self, relay: str) -> set[str]:
        """The shards that a relay holds."""
        return set(self._assignment.shards_of(relay))

    def relays(self, destination: int, region: str) -> set[str]:
        """The relays that hold a destination of a home region."""
        return set(self._assignment.relays_of(shard_of(region, str(destination))))

    def by_digest(self, keys: dict[str, tuple[int, str]]) -> Callable[[int], set[str]]:
        """Returns a function from a key's digest to its relays; keys: key to destination and home region."""
        relays = {digest(key): self.relays(*location) for key, location in keys.items()}
        return lambda key: relays.get(key, set())

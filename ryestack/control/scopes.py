"""Which shards each relay holds, derived from the `relay/` entries. Pure.

Computing an assignment over all relays is expensive, so membership changes within a short window are batched.
"""

from collections.abc import Iterable
from math import inf

import msgspec

from .assignment import SHARDS_PER_REGION, Assignment, RelayMember, UnknownShard
from .messages import CONTROL_SHARD, SHARED_SHARD, Entry, scope_digest

RELAY_PREFIX = "relay/"
BATCH_WINDOW_SECONDS = 0.5  # from the first membership change until the assignment is recomputed


class Scope(msgspec.Struct, frozen=True):
    """The shards of one relay including the shared one, and their digest."""

    shards: tuple[str, ...]
    digest: str


class RelayValue(msgspec.Struct):
    """The value of a `relay/` entry."""

    region: str
    zone: str
    weight: float = 1.0


class Scopes:
    """The assignment in force, and the pending changes for the next one."""

    def __init__(self, replicas: int, shards_per_region: int = SHARDS_PER_REGION) -> None:
        self._replicas, self._shards_per_region = replicas, shards_per_region
        self._joined: dict[str, RelayMember] = {}
        self._left: set[str] = set()
        self._new_homes: set[str] = set()
        self._assignment = Assignment((), replicas, shards_per_region)
        self._cached: dict[str, Scope] = {}
        self.due_at = inf  # when pending changes are applied; inf if there are none

    def note_changes(self, entries: Iterable[Entry], now: float) -> None:
        """Records changes of the set of relays and new home regions of destinations."""
        for entry in entries:
            if entry.shard == CONTROL_SHARD and entry.key.startswith(RELAY_PREFIX):
                self._record_relay(entry)
                self.due_at = min(self.due_at, now + BATCH_WINDOW_SECONDS)
            elif entry.value is not None and entry.shard not in (SHARED_SHARD, CONTROL_SHARD):
                home = entry.shard.rpartition("/")[0]
                if home not in self._assignment.homes and home not in self._new_homes:
                    self._new_homes.add(home)
                    self.due_at = min(self.due_at, now + BATCH_WINDOW_SECONDS)

    def refresh(self, now: float) -> bool:
        """Recomputes the assignment if changes are due; returns whether it did."""
        if now < self.due_at:
            return False
        if self._new_homes:
            members = {**self._assignment.members, **self._joined}
            for name in self._left:
                members.pop(name, None)
            homes = self._assignment.homes | self._new_homes
            self._assignment = Assignment(
                members.values(), self._replicas, self._shards_per_region, homes=homes
            )
        else:
            self._assignment = self._assignment.with_changes(self._joined.values(), self._left)
        self._joined, self._left, self._new_homes = {}, set(), set()
        self._cached.clear()
        self.due_at = inf
        return True

    def of(self, relay: str) -> Scope:
        """The scope of a relay; one that is not in the set has only the shared shard."""
        scope = self._cached.get(relay)
        if scope is None:
            shards = (SHARED_SHARD, *self._assignment.shards_of(relay))
            scope = Scope(shards, scope_digest(shards))
            if relay in self._assignment.members:
                self._cached[relay] = scope
        return scope

    def relays_of(self, shard: str) -> tuple[str, ...]:
        """The relays that hold a shard of destinations; empty if it is not assigned yet."""
        try:
            return self._assignment.relays_of(shard)
        except UnknownShard:
            return ()

    def members(self) -> Iterable[str]:
        """The names of the relays in the set."""
        return self._assignment.members.keys()

    def _record_relay(self, entry: Entry) -> None:
        name = entry.key.removeprefix(RELAY_PREFIX)
        member = _member(name, entry.value)
        if member is None:
            self._joined.pop(name, None)
            self._left.add(name)
        else:
            self._left.discard(name)
            self._joined[name] = member


def _member(name: str, value: bytes | None) -> RelayMember | None:
    """None if the entry is deleted or invalid: such a relay serves no destinations."""
    if value is None:
        return None
    try:
        decoded = msgspec.json.decode(value, type=RelayValue)
        return RelayMember(name, decoded.region, decoded.zone, decoded.weight)
    except (msgspec.MsgspecError, ValueError):
        return None

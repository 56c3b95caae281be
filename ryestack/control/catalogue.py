"""The entries of a control machine by shard, and their changes since a version. Pure.

Each shard keeps its entries in version order, so the cost of a delta is proportional to the changes in its
shards. A deletion stays as a tombstone, an entry without a value, until the floor passes its version. No
delta can start below the floor.
"""

from bisect import bisect_left, bisect_right
from collections import deque
from collections.abc import Iterable, Iterator, Sequence
from itertools import takewhile

import msgspec

from .messages import ALL_SHARDS, MAX_BATCH_BYTES, Entry

MAX_TOMBSTONES = 100_000  # deletions that are kept; beyond it the oldest are dropped and the floor rises
MAX_DELTA_ENTRIES = 50_000  # sorted for one delta; a requester further behind has to refetch
ENTRY_OVERHEAD_BYTES = 16  # of an encoded entry, without its strings


class OutOfOrder(ValueError):
    """The versions of the entries are not above the catalogue's version, or not in order."""


class BelowFloor(Exception):
    """Deletions since the requested version are no longer known, or a delta would be too large."""


class Changes(msgspec.Struct, frozen=True):
    """Changes in some shards up to `version`, in version order; complete: there are no more."""

    version: int
    entries: list[Entry]
    complete: bool


class Slice(msgspec.Struct, frozen=True):
    """Entries of shards in order, the last one being `shard`; done: `shard` has no more entries."""

    shard: str
    entries: list[Entry]
    done: bool


class Snapshot(msgspec.Struct, frozen=True):
    """All entries at a version in no particular order, including tombstones above the floor."""

    version: int
    floor: int
    entries: list[Entry]


class Catalogue:
    """The versioned entries.

    version: of the newest change; floor: the lowest version from which a delta can start.
    """

    def __init__(self, max_tombstones: int = MAX_TOMBSTONES) -> None:
        self.version, self.floor = 0, 0
        self._max_tombstones = max_tombstones
        self._entries: dict[str, Entry] = {}  # by key, in version order
        # The same by shard; a moved key has a tombstone in its old shard.
        self._shards: dict[str, dict[str, Entry]] = {}
        self._shard_order: list[str] = []
        self._tombstones: deque[Entry] = deque()

    def __len__(self) -> int:
        return len(self._entries)

    def get(self, key: str) -> Entry | None:
        """The newest entry of a key; a tombstone if it was deleted and that is still known."""
        return self._entries.get(key)

    def live(self, shard: str) -> Iterator[Entry]:
        """The entries of a shard without tombstones."""
        return (entry for entry in self._shards.get(shard, {}).values() if entry.value is not None)

    def shards(self) -> Sequence[str]:
        """The shards that have entries, sorted."""
        return self._shard_order

    def apply(self, version: int, entries: Iterable[Entry]) -> set[str]:
        """Applies the changes up to `version`, in version order; returns the affected shards.

        Raises OutOfOrder and applies nothing if a version is out of order or out of range.
        """
        entries = list(entries)
        last = self.version
        for entry in entries:
            if not max(last, self.version + 1) <= entry.version <= version:
                raise OutOfOrder(
                    f"{entry.key} has version {entry.version}, expected after {last} and up to {version}"
                )
            last = entry.version
        if version < self.version:
            raise OutOfOrder(f"version {version} is below {self.version}")
        touched: set[str] = set()
        for entry in entries:
            touched |= self._apply_entry(entry)
        self.version = version
        self._compact()
        return touched

    def delta(self, shards: Sequence[str], since: int, limit_bytes: int = MAX_BATCH_BYTES) -> Changes:
        """The changes in the shards after `since`.

        A version is never split, even if it exceeds the limit. Raises BelowFloor.
        """
        if since < self.floor:
            raise BelowFloor(f"{since} is below the floor {self.floor}")
        found: list[Entry] = []
        for table in self._tables(shards):
            for entry in takewhile(lambda entry: entry.version > since, reversed(table.values())):
                found.append(entry)
                if len(found) > MAX_DELTA_ENTRIES:
                    raise BelowFloor(f"more than {MAX_DELTA_ENTRIES} changes since {since}")
        found.sort(key=lambda entry: entry.version)
        count = _whole_versions(found, limit_bytes)
        if count == len(found):
            return Changes(self.version, found, True)
        return Changes(found[count - 1].version, found[:count], False)

    def piece(self, shards: Sequence[str], after: str = "", limit_bytes: int = MAX_BATCH_BYTES) -> Slice:
        """The next entries of the shards; order and start as documented in `messages.Fetch`."""
        if list(shards) == [ALL_SHARDS]:
            return self._piece_of_all(after, limit_bytes)
        entries: list[Entry] = []
        size = 0
        for index, shard in enumerate(shards):
            for entry in sorted(self.live(shard), key=lambda entry: entry.key):
                if entry.key <= after:
                    continue
                size += entry_bytes(entry)
                if entries and size > limit_bytes:
                    partial = entries[-1].shard == shard
                    return Slice(shard if partial else shards[index - 1], entries, not partial)
                entries.append(entry)
            after = ""
        return Slice(shards[-1], entries, True)

    def snapshot(self) -> Snapshot:
        """The whole content, as input for `restore`."""
        entries = [entry for table in self._shards.values() for entry in table.values()]
        return Snapshot(self.version, self.floor, entries)

    @classmethod
    def restore(cls, snapshot: Snapshot, max_tombstones: int = MAX_TOMBSTONES) -> "Catalogue":
        """Rebuilds the catalogue from its snapshot."""
        catalogue = cls(max_tombstones)
        catalogue.version, catalogue.floor = snapshot.version, snapshot.floor
        # The tombstone in the shard that a key has left sorts before the entry in its new shard.
        for entry in sorted(snapshot.entries, key=lambda entry: (entry.version, entry.value is not None)):
            catalogue._insert(entry)
        catalogue._compact()
        return catalogue

    def _tables(self, shards: Sequence[str]) -> Iterator[dict[str, Entry]]:
        if list(shards) == [ALL_SHARDS]:
            return iter([self._entries])
        return (self._shards[shard] for shard in shards if shard in self._shards)

    def _apply_entry(self, entry: Entry) -> set[str]:
        """Applies one change; returns the affected shards.

        A deletion applies to the shard that has the key. A moved key leaves a tombstone in its old shard.
        """
        before = self._entries.get(entry.key)
        if entry.value is None:
            if before is None or before.value is None:
                return set()
            entry = Entry(entry.key, entry.version, before.shard, None)
        touched = {entry.shard}
        if before is not None and before.shard != entry.shard and before.value is not None:
            self._insert(Entry(entry.key, entry.version, before.shard, None))
            touched.add(before.shard)
        self._insert(entry)
        return touched

    def _insert(self, entry: Entry) -> None:
        """Stores the entry as the newest of its key and of its shard."""
        table = self._shards.get(entry.shard)
        if table is None:
            table = self._shards[entry.shard] = {}
            self._shard_order.insert(bisect_right(self._shard_order, entry.shard), entry.shard)
        elif table:
            entry = Entry(entry.key, entry.version, next(iter(table.values())).shard, entry.value)
        table.pop(entry.key, None)
        table[entry.key] = entry
        self._entries.pop(entry.key, None)
        self._entries[entry.key] = entry
        if entry.value is None:
            self._tombstones.append(entry)

    def _compact(self) -> None:
        while len(self._tombstones) > self._max_tombstones:
            entry = self._tombstones.popleft()
            self.floor = max(self.floor, entry.version)
            table = self._shards.get(entry.shard, {})
            if table.get(entry.key) is entry:
                del table[entry.key]
            if self._entries.get(entry.key) is entry:
                del self._entries[entry.key]

    def _piece_of_all(self, after: str, limit_bytes: int) -> Slice:
        after_shard, _, after_key = after.partition("\n")
        entries: list[Entry] = []
        size = 0
        for shard in self._shard_order[bisect_left(self._shard_order, after_shard) :]:
            for entry in sorted(self.live(shard), key=lambda entry: entry.key):
                if shard == after_shard and entry.key <= after_key:
                    continue
                size += entry_bytes(entry)
                if entries and size > limit_bytes:
                    return Slice(ALL_SHARDS, entries, False)
                entries.append(entry)
        return Slice(ALL_SHARDS, entries, True)


def entry_bytes(entry: Entry) -> int:
    """The approximate size of an entry in a message, in bytes."""
    return len(entry.key) + len(entry.shard) + len(entry.value or b"") + ENTRY_OVERHEAD_BYTES


def _whole_versions(entries: list[Entry], limit_bytes: int) -> int:
    """How many of the entries fit into the limit without splitting a version; at least one version."""
    size, whole = 0, 0
    for index, entry in enumerate(entries):
        if index and entry.version != entries[index - 1].version:
            whole = index
        size += entry_bytes(entry)
        if size > limit_bytes and whole:
            return whole
    return len(entries)

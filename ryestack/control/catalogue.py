"""The entries of a control machine by shard, and what changed of them behind a version. Pure.

Each shard keeps its entries in the order of their versions, so that a delta costs what changed in its
shards. A deletion stays as an entry without a value until the floor passes it; nobody below the floor
can be told a delta.
"""

from bisect import bisect_left, bisect_right
from collections import deque
from collections.abc import Iterable, Iterator, Sequence
from itertools import takewhile

import msgspec

from .messages import ALL_SHARDS, MAX_BATCH_BYTES, Entry

MAX_TOMBSTONES = 100_000  # deletions that are kept: more raise the floor
MAX_DELTA_ENTRIES = 50_000  # that one delta sorts; who lies further behind fetches anew
ENTRY_OVERHEAD_BYTES = 16  # of an encoded entry, beside its texts


class OutOfOrder(ValueError):
    """Entries that are not behind all that the catalogue holds."""


class BelowFloor(Exception):
    """Deletions since the asked version are no longer known, or it lies too far behind for a delta."""


class Changes(msgspec.Struct, frozen=True):
    """What changed in some shards up to `version`, in order of version; complete: there is no more."""

    version: int
    entries: list[Entry]
    complete: bool


class Slice(msgspec.Struct, frozen=True):
    """Entries of shards in order, up to a part of the shard `shard`; done: that one is finished."""

    shard: str
    entries: list[Entry]
    done: bool


class Snapshot(msgspec.Struct, frozen=True):
    """All entries at a version, deletions above the floor among them, in no order."""

    version: int
    floor: int
    entries: list[Entry]


class Catalogue:
    """version: of the newest change; floor: the lowest version that a delta can begin at."""

    def __init__(self, max_tombstones: int = MAX_TOMBSTONES) -> None:
        self.version, self.floor = 0, 0
        self._max_tombstones = max_tombstones
        self._entries: dict[str, Entry] = {}  # by key, in order of version
        self._shards: dict[str, dict[str, Entry]] = {}  # the same by shard, but a key that moved is deleted
        self._shard_order: list[str] = []
        self._tombstones: deque[Entry] = deque()

    def __len__(self) -> int:
        return len(self._entries)

    def get(self, key: str) -> Entry | None:
        """The newest entry of a key; a deletion, while it is known, has no value."""
        return self._entries.get(key)

    def live(self, shard: str) -> Iterator[Entry]:
        """The entries of a shard that have a value."""
        return (entry for entry in self._shards.get(shard, {}).values() if entry.value is not None)

    def shards(self) -> Sequence[str]:
        """The shards that hold entries, sorted."""
        return self._shard_order

    def apply(self, version: int, entries: Iterable[Entry]) -> set[str]:
        """Take the changes up to `version`, in order of their versions; returns the shards that they
        touch.

        Raises OutOfOrder, with nothing taken, if an entry lies outside what is new.
        """
        entries = list(entries)
        last = self.version
        for entry in entries:
            if not max(last, self.version + 1) <= entry.version <= version:
                raise OutOfOrder(f"{entry.key} at {entry.version}: behind {last} and up to {version} only")
            last = entry.version
        if version < self.version:
            raise OutOfOrder(f"version {version} behind {self.version}")
        touched: set[str] = set()
        for entry in entries:
            touched |= self._apply_entry(entry)
        self.version = version
        self._compact()
        return touched

    def delta(self, shards: Sequence[str], since: int, limit_bytes: int = MAX_BATCH_BYTES) -> Changes:
        """What changed in the shards behind `since`; a version is told whole, also where it passes the
        limit.

        Raises BelowFloor.
        """
        if since < self.floor:
            raise BelowFloor(f"{since} lies below {self.floor}")
        found: list[Entry] = []
        for table in self._tables(shards):
            for entry in takewhile(lambda entry: entry.version > since, reversed(table.values())):
                found.append(entry)
                if len(found) > MAX_DELTA_ENTRIES:
                    raise BelowFloor(f"more than {MAX_DELTA_ENTRIES} changes behind {since}")
        found.sort(key=lambda entry: entry.version)
        count = _whole_versions(found, limit_bytes)
        if count == len(found):
            return Changes(self.version, found, True)
        return Changes(found[count - 1].version, found[:count], False)

    def piece(self, shards: Sequence[str], after: str = "", limit_bytes: int = MAX_BATCH_BYTES) -> Slice:
        """The next entries of the shards, in the order and from the place that `Fetch` tells."""
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
        """All that is held; `restore` takes it."""
        entries = [entry for table in self._shards.values() for entry in table.values()]
        return Snapshot(self.version, self.floor, entries)

    @classmethod
    def restore(cls, snapshot: Snapshot, max_tombstones: int = MAX_TOMBSTONES) -> "Catalogue":
        """The catalogue that gave the snapshot."""
        catalogue = cls(max_tombstones)
        catalogue.version, catalogue.floor = snapshot.version, snapshot.floor
        # The place that a key has left comes before the one that it has moved to.
        for entry in sorted(snapshot.entries, key=lambda entry: (entry.version, entry.value is not None)):
            catalogue._insert(entry)
        catalogue._compact()
        return catalogue

    def _tables(self, shards: Sequence[str]) -> Iterator[dict[str, Entry]]:
        if list(shards) == [ALL_SHARDS]:
            return iter([self._entries])
        return (self._shards[shard] for shard in shards if shard in self._shards)

    def _apply_entry(self, entry: Entry) -> set[str]:
        """A deletion takes its key from wherever it is; a key that moves is deleted where it was."""
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
        """As the newest of its key and of its shard."""
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
    """Roughly what an entry adds to a message, in bytes."""
    return len(entry.key) + len(entry.shard) + len(entry.value or b"") + ENTRY_OVERHEAD_BYTES


def _whole_versions(entries: list[Entry], limit_bytes: int) -> int:
    """How many of the entries, in order of version, fit: no version in part, and one at least."""
    size, whole = 0, 0
    for index, entry in enumerate(entries):
        if index and entry.version != entries[index - 1].version:
            whole = index
        size += entry_bytes(entry)
        if size > limit_bytes and whole:
            return whole
    return len(entries)

"""Stages the next version of a relay's holdings from deltas and pieces. Pure.

Two numbers make this safe across interruptions and from machines at different versions:

- `position`: all changes up to it are included, for each complete shard. Pieces read at several versions, and
  the holdings, are brought up to date from the lowest of these versions.
- `need`: the highest version of which anything may be included. Below it the content may mix versions or be
  older than the holdings, so nothing below it may be applied.
"""

from collections.abc import Iterable, Sequence

from .holdings import Holdings, Update
from .messages import MAX_FETCH_SHARDS, Delta, Entry, Piece, scope_digest

MAX_STAGED_BYTES = 64 * 1024 * 1024


class BadAnswer(Exception):
    """The answer does not match its request."""


class TooLarge(Exception):
    """The scope exceeds the memory limit of a relay; the text names the key that exceeded it."""


class Staging:
    """The staged content.

    retained: shards of the holdings that were followed without a gap since they were applied; their content
    is that of the holdings overlaid by `changed`. fresh: fetched shards. missing: shards to fetch, the first
    one after the key `after`.
    """

    def __init__(self, holdings: Holdings, limit_bytes: int = MAX_STAGED_BYTES) -> None:
        self._holdings, self._limit = holdings, limit_bytes
        self.shards = holdings.shards
        self.digest = scope_digest(holdings.shards)
        self.retained = set(holdings.shards)
        self.changed: dict[str, dict[str, Entry]] = {}
        self.fresh: dict[str, dict[str, Entry]] = {}
        self.missing: list[str] = []
        self.after = ""
        self.position: int | None = holdings.version if holdings.shards else None
        self.need = holdings.version
        self.bytes = 0

    def retarget(self, shards: Sequence[str]) -> None:
        """Changes the scope: keeps its complete shards, and marks the others as missing.

        A shard that left the scope and returns was not followed in between, so it is fetched.
        """
        self.shards, self.digest = frozenset(shards), scope_digest(shards)
        self.retained &= self.shards
        in_part = set(self.missing[:1])
        for tables in (self.changed, self.fresh):
            for shard in tables.keys() & (in_part | (tables.keys() - self.shards)):
                self.bytes -= _bytes_of(tables.pop(shard).values())
        self.missing, self.after = sorted(self.shards - self.retained - self.fresh.keys()), ""
        if not self.retained and not self.fresh:
            self.position = None

    def refetch(self) -> None:
        """Marks all shards as missing: the machine no longer knows the deletions after the position."""
        self.retained.clear()
        self.changed.clear()
        self.fresh.clear()
        self.missing, self.after = sorted(self.shards), ""
        self.position, self.bytes = None, 0

    def wanted(self) -> list[str]:
        """The shards for the next Fetch, empty if none is missing."""
        return self.missing[:MAX_FETCH_SHARDS]

    def add_piece(self, asked: Sequence[str], piece: Piece) -> None:
        """Adds a piece of the requested shards. Raises BadAnswer, TooLarge."""
        if piece.shard not in asked or (not piece.done and not piece.entries):
            raise BadAnswer(f"a piece up to {piece.shard}, of which nothing was asked")
        passed = list(asked[: asked.index(piece.shard) + 1])
        for shard in passed:
            self.fresh.setdefault(shard, {})
        for entry in piece.entries:
            if entry.shard not in passed or entry.version > piece.version:
                raise BadAnswer(f"{entry.key} at {entry.version} of {entry.shard} in a piece")
            self._put(self.fresh[entry.shard], entry)
        whole = len(passed) if piece.done else len(passed) - 1
        del self.missing[:whole]
        self.after = "" if piece.done else piece.entries[-1].key
        self.position = piece.version if self.position is None else min(self.position, piece.version)
        self.need = max(self.need, piece.version)

    def add_delta(self, delta: Delta) -> None:
        """Adds the changes of a delta. Raises BadAnswer, TooLarge."""
        progress = delta.since < delta.version < delta.target if delta.more else delta.version == delta.target
        if delta.since != (self.position or 0) or delta.version < delta.since or not progress:
            raise BadAnswer(f"a delta from {delta.since} to {delta.version} of {delta.target}")
        for entry in delta.entries:
            if not delta.since < entry.version <= delta.version:
                raise BadAnswer(f"{entry.key} at {entry.version} in a delta to {delta.version}")
            if entry.shard in self.retained:
                self._put(self.changed.setdefault(entry.shard, {}), entry)
            elif entry.shard in self.fresh:
                self._put(self.fresh[entry.shard], entry)
        self.position = delta.version
        self.need = max(self.need, delta.target)

    def complete(self) -> bool:
        """Whether the content is exactly that of version `position`, and not older than the holdings."""
        return not self.missing and self.position is not None and self.position >= self.need

    def differs(self) -> bool:
        """Whether anything besides the version may differ from the holdings."""
        return bool(self.changed or self.fresh or self.shards != self._holdings.shards)

    def update(self) -> Update:
        """The changes to the holdings; to be called only when complete."""
        before = self._holdings.by_key
        after = self._live()
        touched = {key for table in self.changed.values() for key in table}
        for shard in (*self.fresh, *(self._holdings.shards - self.shards)):
            touched |= self._holdings.tables.get(shard, {}).keys()
        removed = [key for key in touched if key in before and not self._still_there(key, after)]
        entries = [entry for entry in after.values() if before.get(entry.key) != entry]
        entries.sort(key=lambda entry: (entry.version, entry.key))
        return Update(self.position, entries, sorted(removed))

    def apply(self, update: Update) -> None:
        """The update is in force: applies it to the holdings."""
        self._holdings.replace(update.version, self.shards, update.removed, self._live().values())

    def _live(self) -> dict[str, Entry]:
        """The staged entries that have a value, by key."""
        live: dict[str, Entry] = {}
        for tables in (self.changed, self.fresh):
            for table in tables.values():
                live |= {key: entry for key, entry in table.items() if entry.value is not None}
        return live

    def _still_there(self, key: str, after: dict[str, Entry]) -> bool:
        shard = self._holdings.by_key[key].shard
        untouched = shard in self.retained and key not in self.changed.get(shard, {})
        return untouched or key in after

    def _put(self, table: dict[str, Entry], entry: Entry) -> None:
        before = table.get(entry.key)
        if before is not None and before.version >= entry.version:
            return
        table[entry.key] = entry
        self.bytes += _bytes_of([entry]) - (_bytes_of([before]) if before else 0)
        if self.bytes > self._limit:
            raise TooLarge(entry.key)


def _bytes_of(entries: Iterable[Entry]) -> int:
    """The approximate memory use of entries, in bytes."""
    return sum(100 + len(entry.key) + len(entry.value or b"") for entry in entries)

"""The entries that are in force at a relay: those of its shards at one version. Pure."""

from collections.abc import Iterable

import msgspec

from .messages import Entry


class HoldingsSnapshot(msgspec.Struct, frozen=True):
    """Holdings in the form that is saved across restarts."""

    version: int
    shards: list[str]
    entries: list[Entry]


class Update(msgspec.Struct, frozen=True):
    """The difference to the previous version: new or changed entries, and the keys that were removed."""

    version: int
    entries: list[Entry]
    removed: list[str]


class Holdings:
    """version: 0 before the first one is applied; shards: the scope; tables: shard to key to entry."""

    def __init__(self, snapshot: HoldingsSnapshot | None = None) -> None:
        self.version = snapshot.version if snapshot else 0
        self.shards = frozenset(snapshot.shards if snapshot else ())
        self.tables: dict[str, dict[str, Entry]] = {}
        self.by_key: dict[str, Entry] = {}
        for entry in snapshot.entries if snapshot else ():
            self._insert(entry)

    def snapshot(self) -> HoldingsSnapshot:
        """A copy from which `Holdings` can be restored in a later process."""
        return HoldingsSnapshot(self.version, sorted(self.shards), list(self.by_key.values()))

    def replace(
        self, version: int, shards: Iterable[str], removed: Iterable[str], live: Iterable[Entry]
    ) -> None:
        """Puts another version in force: drops the removed keys and stores entries that are new or changed.

        An entry may have moved to another shard.
        """
        self.version, self.shards = version, frozenset(shards)
        for key in removed:
            self._remove(key)
        for entry in live:
            self._insert(entry)

    def _insert(self, entry: Entry) -> None:
        self._remove(entry.key)
        self.tables.setdefault(entry.shard, {})[entry.key] = entry
        self.by_key[entry.key] = entry

    def _remove(self, key: str) -> None:
        previous = self.by_key.pop(key, None)
        if previous is None:
            return
        table = self.tables[previous.shard]
        del table[key]
        if not table:
            del self.tables[previous.shard]

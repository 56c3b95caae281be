"""The destinations that a relay serves, from the entries of its scope.

One that leaves the scope takes nothing new. Its endpoints stay until the relay owes nothing of it: what was
taken is delivered as ever.
"""

import time
from collections.abc import Collection, Iterable

import msgspec

from ... import interface
from ...control.messages import Entry
from ...wire.members import UNREADABLE, Members, read_row

PREFIX = "destination/"
GONE = "removed"  # the status of an endpoint that is no longer listed
SETTLE_SECONDS = 1.0  # for what clients handed in before a destination left to reach the ledger


class BadEntry(Exception):
    """An entry that can't be used; the text says why."""


def number_of(key: str) -> int | None:
    """The number of the destination of that key; None where it is no destination's."""
    text = key.removeprefix(PREFIX)
    return int(text) if text != key and text.isascii() and text.isdigit() else None


def read_destination(entry: Entry) -> dict[str, dict]:
    """The endpoints of a destination's entry, as rows of the list, by the name that the relay knows them by:
    their own and the destination's number, for destinations need not agree on names. Raises BadEntry."""
    number = number_of(entry.key)
    if number is None:
        raise BadEntry("a destination's key is destination/<number>")
    try:
        rows = [{"weight": 1.0, **row} for row in msgspec.json.decode(entry.value)["endpoints"]]
        named = {f"{row['name']}@{number}": {**row, "group": number} for row in rows}
        for name, row in named.items():
            row["name"] = name
            read_row(row)
    except (msgspec.MsgspecError, RecursionError, *UNREADABLE) as problem:
        raise BadEntry(f"its endpoints can't be read: {type(problem).__name__}: {problem}") from None
    if len(named) < len(rows):
        raise BadEntry("it names an endpoint twice")
    return {name: row for name, row in named.items() if row["status"] != GONE}


class ScopedMembers(Members):
    """served: the destinations in scope; leaving: those that have left it, by when, with their entries."""

    scoped = True

    def __init__(self, clock=time.monotonic) -> None:
        super().__init__(clock)
        self.served: dict[int, Entry] = {}
        self.leaving: dict[int, tuple[float, Entry]] = {}
        self._names: dict[int, set[str]] = {}

    def has(self, destination: int) -> bool:
        """Whether it is in scope, with endpoints or without."""
        return destination in self.served

    def change(self, entries: Iterable[Entry], removed: Iterable[str], version: int) -> interface.ListUpdate:
        """Put entries that `read_destination` can read in force; returns what to tell the decisions."""
        rows: list[dict] = []
        for entry in entries:
            number = number_of(entry.key)
            if number is not None:
                rows += self._rows_of(number, read_destination(entry))
                self.served[number] = entry
                self.leaving.pop(number, None)
        for number in map(number_of, removed):
            if number in self.served:
                self.leaving[number] = (self.clock(), self.served.pop(number))
        return self._tell(rows, version)

    def let_go(self, owed: Collection[int]) -> interface.ListUpdate:
        """Remove the endpoints of destinations that have left and of which nothing is owed."""
        rows: list[dict] = []
        for number, (since, _) in list(self.leaving.items()):
            if number not in owed and self.clock() >= since + SETTLE_SECONDS:
                rows += self._rows_of(number, {})
                del self.leaving[number]
        return self._tell(rows, self.index)

    def _rows_of(self, number: int, listed: dict[str, dict]) -> list[dict]:
        gone = self._names.get(number, set()) - listed.keys()
        self._names[number] = set(listed)
        if not listed:
            del self._names[number]
        return [*listed.values(), *({"name": name, "status": GONE} for name in gone)]

    def _tell(self, rows: list[dict], version: int) -> interface.ListUpdate:
        return self.learn({"index": version, "snapshot": False, "endpoints": rows})

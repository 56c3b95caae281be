"""The destinations that a relay serves, from the entries of its scope.

A destination that leaves the scope accepts no new notifications. Its endpoints stay until the relay has no
open notifications for it, so that accepted ones are still delivered, unless an endpoint of a destination in
scope comes up at their address.
"""

import time
from collections.abc import Collection, Iterable
from contextlib import suppress

import msgspec

from ... import interface
from ...control.messages import Entry
from ...wire.members import INVALID_VALUE_ERRORS, Members, read_row

PREFIX = "destination/"
GONE = "removed"  # the status of an endpoint that is no longer listed
SETTLE_SECONDS = 1.0  # for notifications handed in before a destination left to reach the ledger


class BadEntry(Exception):
    """An unusable entry; the text says why."""


def destination_number(key: str) -> int | None:
    """The number of the destination with that key; None if the key is not a destination's."""
    text = key.removeprefix(PREFIX)
    return int(text) if text != key and text.isascii() and text.isdigit() else None


def endpoint_name(name: str, destination: int) -> str:
    """The relay's name for an endpoint: two destinations may use the same name."""
    return f"{name}@{destination}"


def read_destination(entry: Entry) -> dict[str, dict]:
    """The endpoints of a destination's entry, as rows of the endpoint list, by the relay's names for them.

    Raises BadEntry.
    """
    number = destination_number(entry.key)
    if number is None:
        raise BadEntry(f"its key is {entry.key}, must be destination/<number>")
    try:
        rows = [{"weight": 1.0, **row} for row in msgspec.json.decode(entry.value)["endpoints"]]
        named = {endpoint_name(row["name"], number): {**row, "group": number} for row in rows}
        for name, row in named.items():
            row["name"] = name
            read_row(row)
    except (msgspec.MsgspecError, RecursionError, *INVALID_VALUE_ERRORS) as problem:
        raise BadEntry(f"its endpoints can't be read: {type(problem).__name__}: {problem}") from None
    if len(named) < len(rows):
        raise BadEntry("it names an endpoint twice")
    return {name: row for name, row in named.items() if row["status"] != GONE}


def endpoint_rows(entries: Iterable[Entry]) -> dict[str, dict]:
    """The endpoints of all destinations among the entries, as `read_destination` gives them.

    Entries that cannot be read are passed over: another version may have written them.
    """
    rows: dict[str, dict] = {}
    for entry in entries:
        with suppress(BadEntry):
            rows |= read_destination(entry)
    return rows


def without_endpoints(entry: Entry, names: Collection[str]) -> Entry:
    """A destination that `read_destination` accepts, without these endpoints. names: the relay's names."""
    number, document = destination_number(entry.key), msgspec.json.decode(entry.value)
    rows = document["endpoints"]
    document["endpoints"] = [row for row in rows if endpoint_name(row["name"], number) not in names]
    return msgspec.structs.replace(entry, value=msgspec.json.encode(document))


class ScopedMembers(Members):
    """The endpoints of a relay with a scope.

    served: the destinations in scope; leaving: those that left it, with the time and their entries.
    """

    scoped = True

    def __init__(self, clock=time.monotonic) -> None:
        super().__init__(clock)
        self.served: dict[int, Entry] = {}
        self.leaving: dict[int, tuple[float, Entry]] = {}
        self._names: dict[int, set[str]] = {}

    def has(self, destination: int) -> bool:
        """Whether the destination is in scope, with or without endpoints."""
        return destination in self.served

    def change(self, entries: Iterable[Entry], removed: Iterable[str], version: int) -> interface.ListUpdate:
        """Apply entries that `read_destination` accepts; returns the update for the decision module."""
        rows: list[dict] = []
        for entry in entries:
            number = destination_number(entry.key)
            if number is not None:
                rows += self._rows_of(number, read_destination(entry))
                self.served[number] = entry
                self.leaving.pop(number, None)
        for number in map(destination_number, removed):
            if number in self.served:
                self.leaving[number] = (self.clock(), self.served.pop(number))
        self.displaced -= {row["name"] for row in rows}  # they are listed anew
        return self._tell(rows, version)

    def may_be_displaced(self, name: str) -> bool:
        """Only where its destination has left the scope: those in scope may share an address."""
        return int(self.rows[name]["group"]) in self.leaving

    def leaving_entries(self) -> list[Entry]:
        """The destinations that left the scope, with the endpoints that may still be called."""
        return [without_endpoints(entry, self.displaced) for _, entry in self.leaving.values()]

    def remove_drained(self, owed: Collection[int]) -> interface.ListUpdate:
        """Remove the endpoints of destinations that left the scope. owed: destinations of open notifications,
        which are kept."""
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
        return self.apply_list({"index": version, "snapshot": False, "endpoints": rows})

"""The registry's list of endpoints: its JSON format, and the addresses in it."""

import time
import zlib
from collections import Counter
from dataclasses import replace
from math import isfinite

from .. import interface
from ..membership.address_owners import AddressOwners, Target
from ..observe.log import event

LISTED_BY_STATUS = {
    "up": interface.EndpointStatus.READY,
    "draining": interface.EndpointStatus.DRAINING,
    "removed": interface.EndpointStatus.GONE,
}
# What is kept of a row; registries may tell more.
ROW_FIELDS = ("name", "address", "zone", "type", "group", "status", "weight")
EMPTY_DESTINATION_TTL_S = 60.0  # that a destination without endpoints stays known
# Raised by a value of the wrong type.
INVALID_VALUE_ERRORS = (KeyError, TypeError, ValueError, ArithmeticError)


class BadList(Exception):
    """A list that cannot be read."""


def read_version(data: dict) -> tuple[int, bool]:
    """The version of a list, and whether it is whole; raises BadList."""
    try:
        return int(data["index"]), data["snapshot"] is True
    except INVALID_VALUE_ERRORS as error:
        raise BadList(f"{type(error).__name__}: {error}") from None


def read_list(data: dict, known: dict[str, dict]) -> tuple[int, interface.ListUpdate, dict[str, dict]]:
    """The version, the update for the decision module, and the rows by name; raises BadList.

    A row may leave out fields that are known; one that cannot be read is skipped, so that the others still
    count.
    """
    rows, endpoints = {}, []
    index, complete = read_version(data)
    try:
        entries = list(data["endpoints"])
    except INVALID_VALUE_ERRORS as error:
        raise BadList(f"{type(error).__name__}: {error}") from None
    for entry in entries:
        try:
            name = str(entry["name"])
            told = {**known.get(name, {}), **entry, "name": name}
            row = {key: told[key] for key in ROW_FIELDS if key in told}
            if row["status"] == "removed" and name not in known:
                continue  # never listed, or removed before
            endpoints.append(read_row(row))
            rows[name] = row
        except INVALID_VALUE_ERRORS as error:
            event("list.row_bad", version=index, why=repr(error))
    return index, interface.ListUpdate(tuple(endpoints), whole=complete), rows


def read_row(row: dict) -> interface.Endpoint:
    """The endpoint of a row; raises one of INVALID_VALUE_ERRORS."""
    name, zone, kind = str(row["name"]), str(row["zone"]), str(row["type"])
    # Nothing new goes to an endpoint with an unknown status.
    listed = LISTED_BY_STATUS.get(row["status"], interface.EndpointStatus.DRAINING)
    if not row["address"]:
        raise ValueError("no address")
    weight = float(row.get("weight", 1.0))
    if not isfinite(weight):
        raise ValueError("the weight is no number")
    return interface.Endpoint(name, zone, kind, int(row["group"]), listed, weight)


def target_of(row: dict) -> Target:
    """Where calls to the endpoint of a row go."""
    return Target(row["address"], int(row["group"]))


class Members:
    """The rows of the list in force: the address and kind of each endpoint, and which destinations there are.

    scoped: whether other relays may serve destinations that are not listed here. index: the list's version.
    removed: names of the rows with status removed; moved: of those whose address or destination has changed;
    displaced: of those whose address another destination's endpoint has taken, until a whole list comes.
    endpoint_counts: the number of rows of each destination, removed ones included; never 0. emptied_at: when
    a destination last lost an endpoint, oldest first.
    """

    scoped = False

    def __init__(self, clock=time.monotonic):
        self.index, self.rows, self.clock = 0, {}, clock
        self.removed: set[str] = set()
        self.moved: set[str] = set()
        self.displaced: set[str] = set()
        self.owners = AddressOwners()
        self.endpoint_counts: Counter[int] = Counter()
        self.emptied_at: dict[int, float] = {}

    def clear(self) -> None:
        """Forget all rows, before another list takes their place at a start."""
        self.index, self.rows, self.removed, self.displaced = 0, {}, set(), set()
        self.endpoint_counts.clear()
        self.owners.clear()

    def apply_list(self, message: dict) -> interface.ListUpdate:
        """Put the registry's list, or a change to it, in force; raises BadList.

        Rows that a whole list leaves out stay, with status removed, until drop_removed.
        """
        self.index, update, rows = read_list(message, self.rows)
        for name in set(self.rows) - set(rows) if update.whole else ():
            rows[name] = {**self.rows[name], "status": "removed"}
        if update.whole:
            self.displaced.clear()
        else:
            displaced = self.find_displaced(rows)
            rows |= displaced
            update = replace(update, endpoints=(*update.endpoints, *map(read_row, displaced.values())))
        for name, row in rows.items():
            self.put(name, row)
        return update

    def find_displaced(self, rows: dict[str, dict]) -> dict[str, dict]:
        """The endpoints whose address a change gives to another destination, as rows of endpoints that drain.

        Only a whole list can tell whether they have gone or share the address. rows: of the change.
        """
        displaced = {}
        listed = {name: target_of(row) for name, row in rows.items() if row["status"] != "removed"}
        for name, target in listed.items():
            taken = self.owners.displaced_by(name, target) - rows.keys()
            for other in filter(self.may_be_displaced, taken):
                displaced[other] = {**self.rows[other], "status": "draining"}
                event("list.address_taken", endpoint=other, by=name, address=target.address)
        self.displaced |= displaced.keys()
        return displaced

    def may_be_displaced(self, name: str) -> bool:
        """Whether another destination's endpoint at its address means that this endpoint may have gone."""
        return True

    def put(self, name: str, row: dict) -> None:
        """Add or replace a row."""
        before = self.rows.get(name)
        if before is not None:
            self.decrement_count(before)
            if target_of(before) != target_of(row):
                self.moved.add(name)
        self.rows[name] = row
        self.endpoint_counts[int(row["group"])] += 1
        if row["status"] == "removed":
            self.removed.add(name)
            self.owners.remove(name)
        else:
            self.removed.discard(name)
            self.owners.add(name, target_of(row))

    def decrement_count(self, row: dict) -> int:
        """Count one endpoint less for the row's destination; returns the destination."""
        destination = int(row["group"])
        self.endpoint_counts[destination] -= 1
        if not self.endpoint_counts[destination]:
            del self.endpoint_counts[destination]
        return destination

    def drop_removed(self) -> set[str]:
        """Drop rows with status removed, once the decision module has received it; returns their names."""
        names, self.removed = self.removed, set()
        for name in names:
            destination = self.decrement_count(self.rows.pop(name))
            self.emptied_at.pop(destination, None)  # reinserted at the end: oldest first
            self.emptied_at[destination] = self.clock()
        return names

    def take_moved(self) -> set[str]:
        """The endpoints that have moved since the last call."""
        names, self.moved = self.moved, set()
        return names

    def has(self, destination: int) -> bool:
        """Whether the destination is known.

        It outlives its endpoints for a while: they are replaced one by one, or all at once.
        """
        while (
            self.emptied_at and next(iter(self.emptied_at.values())) + EMPTY_DESTINATION_TTL_S <= self.clock()
        ):
            del self.emptied_at[next(iter(self.emptied_at))]
        return destination in self.emptied_at or destination in self.endpoint_counts

    def listed_names(self) -> list[str]:
        """The names of the endpoints that are not removed."""
        return [name for name, row in self.rows.items() if row["status"] != "removed"]

    def checksum(self) -> int:
        """Identifies the endpoints in force: relays with the same ones have the same checksum."""
        rows = ((name, self.rows[name]) for name in sorted(self.listed_names()))
        text = "\n".join(f"{name} {row['address']} {row['group']} {row['status']}" for name, row in rows)
        return zlib.crc32(text.encode())

    def target(self, endpoint: str) -> Target | None:
        """Where calls to an endpoint go now, None if it is unknown, removed or displaced."""
        row = self.rows.get(endpoint)
        if row is None or row["status"] == "removed" or endpoint in self.displaced:
            return None
        return target_of(row)

    def kind(self, endpoint: str) -> str | None:
        """The kind of an endpoint, None if it is unknown."""
        return self.rows[endpoint]["type"] if endpoint in self.rows else None

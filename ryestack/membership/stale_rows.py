"""Which rows of a list that was saved are out of date, where the list in force could not be saved. Pure.

A start that goes by such a list gives nothing new to the endpoints of these rows until the registry has told
the whole list: each of them may have gone, or its address may belong to another destination by now. The same
holds for the entries of a scope that was saved, until a control machine has confirmed the scope.
"""

import zlib
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, replace
from typing import NamedTuple

from .list_versions import REMOVED, InitialList, KnownList, choose, withhold_unlearnt

READY = "up"  # the status of an endpoint that may get something new


class ListId(NamedTuple):
    """A version of the list; versions are ordered within a registry and a generation only.

    registry: its address, or the cluster of the control machines.
    """

    registry: str
    generation: int
    version: int

    @classmethod
    def of(cls, known: KnownList) -> "ListId":
        return cls(known.registry, known.generation, known.version)

    def is_as_new_as(self, other: "ListId") -> bool:
        """Whether this version is known to be no older than the other one."""
        return self[:2] == other[:2] and self.version >= other.version


@dataclass(frozen=True, slots=True)
class StaleRows:
    """The rows of the list `base` that the list `current` has no more, or differently.

    names: checksums of their endpoints' names, or of the keys of a scope's entries.
    """

    base: ListId
    current: ListId
    names: frozenset[int]

    def among(self, version: ListId, names: Collection[str]) -> frozenset[str]:
        """Those names of a list that may be out of date: all, unless the list can be compared."""
        if version.is_as_new_as(self.current):
            return frozenset()
        if version != self.base:
            return frozenset(names)
        return frozenset(name for name in names if name_checksum(name) in self.names)


def name_checksum(name: str) -> int:
    """Stands for a name, in four bytes. Two names with one checksum are withheld together."""
    return zlib.crc32(name.encode())


def stale_names(base: Mapping[str, dict], current: Mapping[str, dict]) -> frozenset[int]:
    """The rows of a list by which a message would go where the current list does not send it.

    base, current: rows by the endpoint's name.
    """
    return checksums(name for name, row in base.items() if _is_stale(row, current.get(name)))


def checksums(names: Iterable[str]) -> frozenset[int]:
    """The names as StaleRows has them."""
    return frozenset(name_checksum(name) for name in names)


def _is_stale(row: dict, current: dict | None) -> bool:
    if current is None or current["status"] == REMOVED:
        return True
    has_moved = row["address"] != current["address"] or int(row["group"]) != int(current["group"])
    return has_moved or (row["status"] == READY and current["status"] != READY)


def choose_initial(
    configured: KnownList,
    saved: KnownList | None,
    handed: KnownList | None,
    route_states: dict[str, str] | None,
    stale: StaleRows | None,
) -> InitialList:
    """The list for a start, the rows in doubt withheld.

    The lists are as of `choose`; route_states: as of `withhold_unlearnt`, None if unknown; stale: what the
    folder tells of the saved list, or, without one, of the configured list.
    """
    initial = choose(configured, saved, handed)
    if route_states:
        initial = withhold_unlearnt(initial, route_states)
    if stale is not None:
        doubtful = stale.among(ListId.of(initial.known), initial.known.rows)
        initial = replace(initial, withheld=initial.withheld | doubtful)
    return initial


# Of a list of which nothing is known but that a newer one could not be saved.
ALL_STALE = StaleRows(ListId("", -1, -1), ListId("", -1, -1), frozenset())

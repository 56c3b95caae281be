"""Encodes a catalogue as the parts of a snapshot file, and decodes it. Pure."""

from collections.abc import Iterable, Iterator

import msgspec

from .catalogue import Catalogue, Snapshot
from .messages import Entry

PART_ENTRIES = 1000


class CatalogueHead(msgspec.Struct, frozen=True):
    """The first part; fields as in `catalogue.Snapshot`."""

    version: int
    floor: int


_heads = msgspec.msgpack.Decoder(CatalogueHead)
_entries = msgspec.msgpack.Decoder(list[Entry])


def parts_of(snapshot: Snapshot) -> Iterator[bytes]:
    """Encodes a snapshot in parts of bounded size."""
    yield msgspec.msgpack.encode(CatalogueHead(snapshot.version, snapshot.floor))
    for begin in range(0, len(snapshot.entries), PART_ENTRIES):
        yield msgspec.msgpack.encode(snapshot.entries[begin : begin + PART_ENTRIES])


def read_catalogue(parts: Iterable[bytes]) -> Catalogue:
    """Decodes the parts of a snapshot; without parts the catalogue is empty. Raises msgspec.MsgspecError."""
    remaining = iter(parts)
    first = next(remaining, None)
    if first is None:
        return Catalogue()
    head = _heads.decode(first)
    entries = [entry for part in remaining for entry in _entries.decode(part)]
    return Catalogue.restore(Snapshot(head.version, head.floor, entries))

"""What a relay last had in force from the control machines, in its folder: a start with none of them in reach
serves by it.

A file written whole and put in place in one step, with a checksum in front. Where it cannot be written or
read, or is of another cluster or relay, a life begins with nothing and fetches its scope.
"""

import os
import zlib
from contextlib import suppress
from pathlib import Path

import msgspec

from ..control.holdings import HoldingsSnapshot
from ..control.messages import Entry

NAME = "scope"
FORMAT = 1
CHECKSUM_BYTES = 4


class SavedScope(msgspec.Struct, frozen=True):
    """session: of the process that wrote it; confirmed_at: when what is in force was last known to be the
    newest, seconds of the wall's clock, 0 if never; leaving: entries of destinations that have left the scope
    while the relay still owes something of them."""

    format: int
    cluster: str
    relay: str
    session: int
    confirmed_at: float
    kept: HoldingsSnapshot
    leaving: list[Entry]


def save(folder: str, saved: SavedScope, most: int) -> bool:
    """Whether it is kept; most: bytes that the file and the one that takes its place may have together."""
    text = msgspec.msgpack.encode(saved)
    data = zlib.crc32(text).to_bytes(CHECKSUM_BYTES, "big") + text
    fresh = Path(folder) / f"{NAME}.new"
    if len(data) > most // 2:
        return False
    try:
        fresh.write_bytes(data)
        os.replace(fresh, Path(folder) / NAME)
        return True
    except OSError:
        with suppress(OSError):
            fresh.unlink()
        return False


def load(folder: str, cluster: str, relay: str) -> SavedScope | None:
    """None where there is none, or one that is damaged, of another form, cluster or relay."""
    try:
        data = (Path(folder) / NAME).read_bytes()
        mark, text = data[:CHECKSUM_BYTES], data[CHECKSUM_BYTES:]
        if int.from_bytes(mark, "big") != zlib.crc32(text):
            return None
        saved = msgspec.msgpack.decode(text, type=SavedScope)
    except (OSError, msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
        return None
    same = (saved.format, saved.cluster, saved.relay) == (FORMAT, cluster, relay)
    return saved if same else None

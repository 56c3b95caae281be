"""The scope that a relay last received from the control machines, saved in its folder, so that a start that
reaches none of them can serve.

The file starts with a checksum, is written completely and put in place by a rename. Where it cannot be
written or read, or belongs to another cluster or relay, a process starts with nothing and fetches its scope.
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
    """The contents of the file.

    session: of the process that wrote it; confirmed_at: when the scope was last known to be current, in
    seconds of the wall clock, 0 if never; leaving: entries of destinations that have left the scope while the
    relay still has open notifications for them.
    """

    format: int
    cluster: str
    relay: str
    session: int
    confirmed_at: float
    kept: HoldingsSnapshot
    leaving: list[Entry]


def save(folder: str, saved: SavedScope, max_bytes: int) -> bool:
    """Returns whether it was saved. max_bytes: for the file and its replacement together."""
    text = msgspec.msgpack.encode(saved)
    data = zlib.crc32(text).to_bytes(CHECKSUM_BYTES, "big") + text
    replacement = Path(folder) / f"{NAME}.new"
    if len(data) > max_bytes // 2:
        return False
    try:
        replacement.write_bytes(data)
        os.replace(replacement, Path(folder) / NAME)
        return True
    except OSError:
        with suppress(OSError):
            replacement.unlink()
        return False


def load(folder: str, cluster: str, relay: str) -> SavedScope | None:
    """The saved scope; None if there is none, or it is damaged or of another format, cluster or relay."""
    try:
        data = (Path(folder) / NAME).read_bytes()
        checksum, text = data[:CHECKSUM_BYTES], data[CHECKSUM_BYTES:]
        if int.from_bytes(checksum, "big") != zlib.crc32(text):
            return None
        saved = msgspec.msgpack.decode(text, type=SavedScope)
    except (OSError, msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
        return None
    same = (saved.format, saved.cluster, saved.relay) == (FORMAT, cluster, relay)
    return saved if same else None

"""The scope that a relay last received from the control machines, saved in its folder, so that a start that
reaches none of them can serve.

The file starts with a checksum, is written completely and put in place by a rename. It is compressed where
it would take more than its part of the folder. Where it cannot be read, or belongs to another cluster or
relay, a process starts with nothing and fetches its scope; where it could not be written, the file of stale
rows tells which endpoints of the former one are out of date.
"""

import os
import zlib
from contextlib import suppress
from pathlib import Path

import msgspec

from ..control.holdings import HoldingsSnapshot
from ..control.messages import Entry
from .remembered import COPIES

NAME = "scope"
FORMAT = 1
CHECKSUM_BYTES = 4
COMPRESSION_LEVEL = 1  # the fastest
COMPRESSED = b"x"  # the first byte of compressed data, never that of plain data


class ScopeTooLarge(OSError):
    """The scope takes more than its part of the folder."""


class SavedScope(msgspec.Struct, frozen=True):
    """The contents of the file.

    session: of the process that wrote it; confirmed_at: when the scope was last known to be current, in
    seconds of the wall clock, 0 if never; leaving: entries of destinations that have left the scope while the
    relay still has open notifications for them; guarded: whether the file of stale rows was there when this
    one was written.
    """

    format: int
    cluster: str
    relay: str
    session: int
    confirmed_at: float
    kept: HoldingsSnapshot
    leaving: list[Entry]
    guarded: bool = False


def save(folder: str, saved: SavedScope, max_bytes: int) -> None:
    """Replace the file; raises OSError. max_bytes: for the file and its replacement together."""
    most = max_bytes // COPIES
    data = _encode(saved, most)
    if len(data) > most:
        raise ScopeTooLarge(f"the scope takes {len(data)} bytes, {most} at most")
    replacement = Path(folder) / f"{NAME}.new"
    try:
        replacement.write_bytes(data)
        os.replace(replacement, Path(folder) / NAME)
    except OSError:
        with suppress(OSError):
            replacement.unlink()
        raise


def _encode(saved: SavedScope, max_bytes: int) -> bytes:
    """Plain where that fits, as older builds read it, compressed otherwise."""
    text = msgspec.msgpack.encode(saved)
    if len(text) + CHECKSUM_BYTES > max_bytes:
        text = zlib.compress(text, COMPRESSION_LEVEL)
    return zlib.crc32(text).to_bytes(CHECKSUM_BYTES, "big") + text


def load(folder: str, cluster: str, relay: str) -> SavedScope | None:
    """The saved scope; None if there is none, or it is damaged or of another format, cluster or relay."""
    try:
        data = (Path(folder) / NAME).read_bytes()
        checksum, text = data[:CHECKSUM_BYTES], data[CHECKSUM_BYTES:]
        if int.from_bytes(checksum, "big") != zlib.crc32(text):
            return None
        plain = zlib.decompress(text) if text.startswith(COMPRESSED) else text
        saved = msgspec.msgpack.decode(plain, type=SavedScope)
    except (OSError, zlib.error, msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
        return None
    same = (saved.format, saved.cluster, saved.relay) == (FORMAT, cluster, relay)
    return saved if same else None

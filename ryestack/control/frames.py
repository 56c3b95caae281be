"""Framing of the change log's files: magic bytes, length, checksum and data. Pure.

Each write is one frame, so a write torn by a power loss is always the last frame of its file.
"""

import struct
import zlib
from collections.abc import Iterator
from typing import BinaryIO

MAGIC = b"\xf1RYE"
HEAD = struct.Struct("<4sII")  # magic, length in bytes, checksum of length and data
MAX_FRAME_BYTES = 64 * 1024 * 1024
SEARCH_BYTES = 1024 * 1024


class DamagedFrame(Exception):
    """No valid frame at `offset`, in bytes from the start of the file."""

    def __init__(self, offset: int, reason: str):
        super().__init__(f"{reason} at byte {offset}")
        self.offset = offset


def frame(data: bytes) -> bytes:
    """Encodes data as a frame."""
    if len(data) > MAX_FRAME_BYTES:
        raise ValueError(f"a frame of {len(data)} bytes, {MAX_FRAME_BYTES} at most")
    return HEAD.pack(MAGIC, len(data), _checksum(data)) + data


def read_frames(file: BinaryIO) -> Iterator[bytes]:
    """The data of all frames of a file. Raises DamagedFrame at a frame that is incomplete or corrupt."""
    offset = 0
    while head := file.read(HEAD.size):
        data = _read_data(file, head, offset)
        yield data
        offset += HEAD.size + len(data)


def holds_frame(file: BinaryIO, after: int) -> bool:
    """Whether a valid frame follows at or after an offset; the data before it is then corrupt, not torn."""
    offset, carried = after, b""
    file.seek(after)
    while chunk := file.read(SEARCH_BYTES):
        window, start = carried + chunk, offset - len(carried)
        index = window.find(MAGIC)
        while index >= 0:
            if _is_whole(file, start + index):
                return True
            index = window.find(MAGIC, index + 1)
        offset += len(chunk)
        carried = window[-(len(MAGIC) - 1) :]
        file.seek(offset)
    return False


def _is_whole(file: BinaryIO, offset: int) -> bool:
    file.seek(offset)
    try:
        _read_data(file, file.read(HEAD.size), offset)
    except DamagedFrame:
        return False
    return True


def _read_data(file: BinaryIO, head: bytes, offset: int) -> bytes:
    if len(head) < HEAD.size:
        raise DamagedFrame(offset, "the file ends within a frame's head")
    magic, length, checksum = HEAD.unpack(head)
    if magic != MAGIC or length > MAX_FRAME_BYTES:
        raise DamagedFrame(offset, "no frame found")
    data = file.read(length)
    if len(data) < length:
        raise DamagedFrame(offset, "the file ends within a frame")
    if _checksum(data) != checksum:
        raise DamagedFrame(offset, "the checksum does not match")
    return data


def _checksum(data: bytes) -> int:
    return zlib.crc32(data, zlib.crc32(len(data).to_bytes(4, "little")))

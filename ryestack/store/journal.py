"""An append-only file of framed records in the folder that lasts.

A record is its length, its checksum and its payload. Written data outlives the process without a sync;
what a kill cut short at the end is dropped at the next start.
"""

import os
import struct
import zlib
from pathlib import Path

FRAME = struct.Struct(">II")  # length, checksum
BLOCK = 512  # a file's size on disk is counted in whole blocks
SPARE = 8 * BLOCK  # kept free of the allowance
MARK = b'["'  # how each payload begins
LARGEST = 128 * 1024  # bytes of a payload that is believed: a body has 64 KiB at most


def framed(payload: bytes) -> bytes:
    return FRAME.pack(len(payload), zlib.crc32(payload)) + payload


def unframed(data: bytes) -> tuple[list[bytes], int]:
    """The whole records at the head of data, and how many bytes they take."""
    records, at = [], 0
    while at + FRAME.size <= len(data):
        length, check = FRAME.unpack_from(data, at)
        payload = data[at + FRAME.size : at + FRAME.size + length]
        if len(payload) < length or zlib.crc32(payload) != check:
            break
        records.append(payload)
        at += FRAME.size + length
    return records, at


def following(data: bytes, at: int) -> int:
    """Where the next whole record begins from there on, else the end. Damage is told so from a torn tail;
    what stands behind it is not believed, since a body may hold bytes that look like a record."""
    mark = data.find(MARK, at + FRAME.size)
    while mark >= 0:
        head = mark - FRAME.size
        length, _ = FRAME.unpack_from(data, head)
        if length <= min(LARGEST, len(data) - mark) and unframed(data[head : mark + length])[0]:
            return head
        mark = data.find(MARK, mark + 1)
    return len(data)


class Journal:
    """The file `owed` in a folder; while it is rewritten the new one stands beside it as `owed.new`."""

    def __init__(self, folder: str, allowance: int):
        self.path, self.fresh = Path(folder) / "owed", Path(folder) / "owed.new"
        self.most, self.size, self.dropped, self.damaged = allowance - SPARE, 0, 0, False
        self.file = None

    def read(self) -> list[bytes]:
        """All records of the lives before; opens the file for more."""
        self.fresh.unlink(missing_ok=True)
        data = self.path.read_bytes() if self.path.exists() else b""
        records, self.size = unframed(data)
        self.dropped = len(data) - self.size
        self.damaged = self.dropped > 0 and following(data, self.size + 1) < len(data)
        self.file = open(self.path, "ab", buffering=0)  # noqa: SIM115 - open as long as the process
        if self.damaged:
            self.size = len(data)  # it stays until a rewrite takes its place: a kill must find it again
        elif self.dropped:
            self.file.truncate(self.size)
        return records

    def fits(self, more: int, live: int) -> bool:
        """Whether so many bytes can be appended and the live ones still be rewritten beside the file."""
        return self.size + more + live <= self.most

    def append(self, payload: bytes) -> None:
        data = framed(payload)
        if self.file.write(data) != len(data):  # a part of a record would hide all that follow it
            self.file.truncate(self.size)
            raise OSError("the journal took only a part of a record")
        self.size += len(data)

    def rewrite(self, payloads: list[bytes]) -> None:
        """Put these records in place of all; the old file stands until the new one is whole."""
        data = b"".join(map(framed, payloads))
        fresh = open(self.fresh, "ab", buffering=0)  # noqa: SIM115 - it becomes the file
        try:
            if fresh.write(data) != len(data):
                raise OSError("no room for a new journal")
            os.replace(self.fresh, self.path)
        except OSError:
            fresh.close()
            self.fresh.unlink(missing_ok=True)
            raise
        self.file.close()
        self.file, self.size = fresh, len(data)

    def close(self) -> None:
        if self.file:
            self.file.close()

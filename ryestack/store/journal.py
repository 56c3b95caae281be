"""An append-only file of framed records in the folder that lasts.

A record is its length, its checksum and its payload. Written data outlives the process without a sync;
what a kill cut short at the end is dropped at the next start.
"""

import os
import struct
import zlib
from contextlib import suppress
from pathlib import Path
from typing import NamedTuple

from . import files

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


class FileIdentity(NamedTuple):
    """A journal file by what it holds: its name, the bytes of its whole records, their checksum."""

    name: str
    size: int
    checksum: int

    @classmethod
    def of(cls, path: Path, data: bytes, size: int) -> "FileIdentity":
        return cls(path.name, size, zlib.crc32(data[:size]))


class Torn(NamedTuple):
    """What a file holds: whole records, bytes behind them, whether that is more than a kill explains."""

    records: list[bytes]
    size: int
    dropped: int
    damaged: bool


def torn(data: bytes) -> Torn:
    records, size = unframed(data)
    dropped = len(data) - size
    return Torn(records, size, dropped, dropped > 0 and following(data, size + 1) < len(data))


class Journal:
    """This process's file in a folder; while it is rewritten the new one stands beside it, with `.new`."""

    def __init__(self, folder: str, allowance: int):
        self.folder, self.path, self.allowance = Path(folder), Path(folder) / files.NAMES[0], allowance
        self.size, self.dropped, self.damaged = 0, 0, False
        self.tail_left = False  # bytes behind our records that could not be taken away: no more may follow
        self.identity = None  # of the file as this process found it
        self.file = None
        self.share(1)

    def share(self, processes: int) -> None:
        """The allowance is the folder's: so many processes write in it now."""
        self.most = self.allowance // processes - SPARE

    def read(self) -> list[bytes]:
        """All records of the file that is ours now; opens it for more. Raises OSError where there is none."""
        self.path, fd = files.own(self.folder)
        self.file = open(fd, "ab", buffering=0)  # noqa: SIM115 - open as long as the process
        with suppress(OSError):  # a rewrite begins it anew
            files.fresh(self.path).unlink(missing_ok=True)
        try:
            data = self.path.read_bytes()
        except OSError:
            self.file.close()  # and with it the lock: it may be tried again
            raise
        found = torn(data)
        self.size, self.dropped, self.damaged = found.size, found.dropped, found.damaged
        self.identity = FileIdentity.of(self.path, data, found.size)
        if self.damaged:
            self.size += found.dropped  # it stays until a rewrite takes its place: a kill must find it again
        elif self.dropped:
            self.cut_tail()
        return found.records

    def cut_tail(self) -> None:
        """Take away what stands behind our records; where the disk fails, only a rewrite goes on."""
        try:
            self.file.truncate(self.size)
        except OSError:
            self.tail_left = True

    def beside(self) -> list[Path]:
        """The files of other processes, dead or alive."""
        return files.others(self.folder, self.path)

    def fits(self, more: int, live: int) -> bool:
        """Whether so many bytes can be appended and the live ones still be rewritten beside the file."""
        return self.size + more + live <= self.most

    def append(self, *payloads: bytes) -> None:
        """All of them or none; raises OSError for none."""
        if self.tail_left:
            raise OSError("the journal has to be written anew")
        data = b"".join(map(framed, payloads))
        if self.file.write(data) != len(data):  # a part of a record would hide all that follow it
            self.cut_tail()
            raise OSError("the journal took only a part of a record")
        self.size += len(data)

    def rewrite(self, payloads: list[bytes]) -> None:
        """Put these records in place of all; the old file stands until the new one is whole."""
        data, beside = b"".join(map(framed, payloads)), files.fresh(self.path)
        fresh = open(beside, "ab", buffering=0)  # noqa: SIM115 - it becomes the file
        try:
            if not files.grasp(fresh.fileno()):  # the name must never stand for a file without its lock
                raise OSError("the new journal is held by another process")
            fresh.truncate(0)  # what an earlier rewrite left, if the disk failed as it was to be removed
            if fresh.write(data) != len(data):
                raise OSError("no room for a new journal")
            os.replace(beside, self.path)
        except OSError:
            fresh.close()
            with suppress(OSError):
                beside.unlink(missing_ok=True)
            raise
        self.file.close()
        self.file, self.size, self.tail_left = fresh, len(data), False

    def close(self) -> None:
        if self.file:
            self.file.close()

"""An append-only file of framed records in the relay's state folder.

A frame is the payload's length, its checksum and the payload. Written data survives the process without a
sync; a record at the end that a kill cut short is dropped at the next start.
"""

import os
import struct
import zlib
from contextlib import suppress
from pathlib import Path
from typing import NamedTuple

from . import files
from .folder_times import FOLDER_TIMES, Operation

FRAME = struct.Struct(">II")  # length, checksum
BLOCK_BYTES = 512  # a file's size on disk is counted in whole blocks
RESERVED_BYTES = 8 * BLOCK_BYTES  # of the allowance, kept free
PAYLOAD_PREFIX = b'["'  # each payload begins with it
MAX_PAYLOAD_BYTES = 128 * 1024  # a longer one is taken for damage: a body has 64 KiB at most


def encode_frame(payload: bytes) -> bytes:
    """The payload with its length and checksum in front."""
    return FRAME.pack(len(payload), zlib.crc32(payload)) + payload


def decode_frames(data: bytes) -> tuple[list[bytes], int]:
    """The payloads of the valid frames at the start of data, and how many bytes those frames take."""
    records, offset = [], 0
    while offset + FRAME.size <= len(data):
        length, checksum = FRAME.unpack_from(data, offset)
        payload = data[offset + FRAME.size : offset + FRAME.size + length]
        if len(payload) < length or zlib.crc32(payload) != checksum:
            break
        records.append(payload)
        offset += FRAME.size + length
    return records, offset


def find_next_frame(data: bytes, offset: int) -> int:
    """The offset of the next valid frame at or behind `offset`, else the length of data.

    It distinguishes damage from a torn tail. The frames behind damage are not trusted, since a body may hold
    bytes that look like a frame.
    """
    start = data.find(PAYLOAD_PREFIX, offset + FRAME.size)
    while start >= 0:
        head = start - FRAME.size
        length, _ = FRAME.unpack_from(data, head)
        if (
            length <= min(MAX_PAYLOAD_BYTES, len(data) - start)
            and decode_frames(data[head : start + length])[0]
        ):
            return head
        start = data.find(PAYLOAD_PREFIX, start + 1)
    return len(data)


class UncertainWrite(OSError):
    """An append failed, and what it has written could not be removed: a start may read records of it."""


class FileIdentity(NamedTuple):
    """Identifies a journal file by its content: its name, the bytes of its valid records, their checksum."""

    name: str
    size: int
    checksum: int

    @classmethod
    def of(cls, path: Path, data: bytes, size: int) -> "FileIdentity":
        return cls(path.name, size, zlib.crc32(data[:size]))


class FileContents(NamedTuple):
    """A parsed file: its valid records and their bytes, the number of bytes behind them, and whether those
    are damage, that is, more than a kill during a write explains."""

    records: list[bytes]
    size: int
    dropped: int
    damaged: bool


def parse_file(data: bytes) -> FileContents:
    """Split the bytes of a file into valid records and what follows them."""
    records, size = decode_frames(data)
    dropped = len(data) - size
    return FileContents(records, size, dropped, dropped > 0 and find_next_frame(data, size + 1) < len(data))


class Journal:
    """This process's file in a folder; while it is rewritten the new one exists beside it, with `.new`."""

    def __init__(self, folder: str, allowance: int):
        self.folder, self.path, self.allowance = Path(folder), Path(folder) / files.FILE_NAMES[0], allowance
        self.size, self.dropped, self.damaged = 0, 0, False
        self.tail_remains = False  # an incomplete record at the end could not be truncated: no append allowed
        self.identity = None  # of the file as it was at the start of this process
        self.file = None
        self.share(1)

    def share(self, processes: int) -> None:
        """Divide the folder's allowance among the processes that write in it now."""
        self.max_bytes = self.allowance // processes - RESERVED_BYTES

    def read(self) -> list[bytes]:
        """Open a file for appending and return its records. Raises OSError where no file can be opened."""
        self.path, fd = files.open_own_file(self.folder)
        self.file = open(fd, "ab", buffering=0)  # noqa: SIM115 - open as long as the process
        with suppress(OSError):  # a rewrite truncates it anyway
            files.replacement_path(self.path).unlink(missing_ok=True)
        try:
            data = self.path.read_bytes()
        except OSError:
            self.file.close()  # releases the lock as well, so that the read can be retried
            raise
        contents = parse_file(data)
        self.size, self.dropped, self.damaged = contents.size, contents.dropped, contents.damaged
        self.identity = FileIdentity.of(self.path, data, contents.size)
        if self.damaged:
            # The damage stays until a rewrite: after a kill, the next start must see it too.
            self.size += contents.dropped
        elif self.dropped:
            self.truncate_tail()
        return contents.records

    def truncate_tail(self) -> None:
        """Remove the bytes behind our records; where the disk fails, only a rewrite can follow."""
        try:
            self.file.truncate(self.size)
        except OSError:
            self.tail_remains = True

    def sibling_files(self) -> list[Path]:
        """The files of other processes, dead or running."""
        return files.other_files(self.folder, self.path)

    def fits(self, added: int, live: int) -> bool:
        """Whether `added` bytes can be appended and the live ones still be rewritten beside the file."""
        return self.size + added + live <= self.max_bytes

    def append(self, *payloads: bytes) -> None:
        """Append all records or none.

        Raises OSError if none were written, UncertainWrite if some may stay until the file is rewritten.
        """
        if self.tail_remains:
            raise OSError("the journal ends in an incomplete record: it must be rewritten before an append")
        data = b"".join(map(encode_frame, payloads))
        with FOLDER_TIMES.measure(Operation.JOURNAL_APPEND):
            self._append_data(data)

    def _append_data(self, data: bytes) -> None:
        written = self.file.write(data)
        if written != len(data):  # an incomplete record would hide all that follow it
            self.truncate_tail()
            problem = f"short write to the journal: {written} of {len(data)} bytes"
            raise UncertainWrite(problem) if self.tail_remains else OSError(problem)
        self.size += len(data)

    def rewrite(self, payloads: list[bytes]) -> None:
        """Replace all records by these; the old file stays until the new one is complete."""
        data = b"".join(map(encode_frame, payloads))
        with FOLDER_TIMES.measure(Operation.JOURNAL_REWRITE):
            self._replace_data(data)

    def _replace_data(self, data: bytes) -> None:
        path = files.replacement_path(self.path)
        replacement = open(path, "ab", buffering=0)  # noqa: SIM115 - it becomes the file
        try:
            if not files.try_lock(replacement.fileno()):  # the name must never refer to an unlocked file
                raise OSError(f"the replacement journal {path.name} is locked by another process")
            replacement.truncate(0)  # left by an earlier rewrite, if the disk failed when removing it
            written = replacement.write(data)
            if written != len(data):
                raise OSError(f"no room to rewrite the journal: {written} of {len(data)} bytes written")
            os.replace(path, self.path)
        except OSError:
            replacement.close()
            with suppress(OSError):
                path.unlink(missing_ok=True)
            raise
        self.file.close()
        self.file, self.size, self.tail_remains = replacement, len(data), False

    def close(self) -> None:
        """Close the file, which releases its lock."""
        if self.file:
            self.file.close()

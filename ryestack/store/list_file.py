"""The endpoint list in a relay's folder, for the next process: a file of framed records, the oldest first.

The first record holds a whole list, each later one what has changed since, or another whole list. Changes
are appended; once they take too much room, the file is written anew and put in place by a rename. During an
upgrade both processes append, each record in one write; the file is opened for each, as the other process
may have replaced it.
"""

import json
import os
import zlib
from contextlib import suppress
from dataclasses import dataclass
from pathlib import Path

from .files import replacement_path
from .folder_times import FOLDER_TIMES, Operation
from .journal import BLOCK_BYTES, decode_frames, encode_frame

NAME = "list"
MAX_ENDPOINTS = 3_200  # of the largest list that the platform has
# Of a row, compressed: a name of 64 characters drawn at random, any address, a weight with all its digits.
MAX_ROW_BYTES = 100
MAX_FILE_BYTES = MAX_ENDPOINTS * MAX_ROW_BYTES  # in a folder that has room for it
MIN_REWRITE_BYTES, REWRITE_FACTOR = 16 * 1024, 4  # a file of that many bytes, and times the whole list's
FAST, DENSE = 1, 9  # levels of compression: a relay's only thread compresses


class ListTooLarge(OSError):
    """The whole list takes more than its part of the folder."""


@dataclass(frozen=True, slots=True)
class SavedRecords:
    """What the file holds: its records as plain values, and whether all of it could be read."""

    records: list[dict]
    complete: bool


class ListFile:
    """The file of one folder. The methods that write raise OSError, and may leave an incomplete record.

    inode: of the file as this process last wrote it, None before that.
    """

    def __init__(self, folder: str, max_bytes: int = MAX_FILE_BYTES):
        self.path, self.max_bytes = Path(folder) / NAME, max_bytes
        self.rewrite_at = MIN_REWRITE_BYTES
        self.inode: int | None = None

    def load(self) -> SavedRecords:
        """The records up to the first one that cannot be read."""
        try:
            data = self.path.read_bytes()
        except FileNotFoundError:
            return SavedRecords([], True)
        except OSError:
            return SavedRecords([], False)
        payloads, size = decode_frames(data)
        records = []
        try:
            for payload in payloads:
                records.append(json.loads(zlib.decompress(payload)))
        except (zlib.error, ValueError, RecursionError):
            return SavedRecords(records, False)
        return SavedRecords(records, size == len(data))

    def remove(self) -> None:
        """Remove the file, if there is one."""
        with suppress(OSError):
            self.path.unlink(missing_ok=True)

    def is_replaced(self) -> bool:
        """Whether another process has replaced the file since this one wrote it."""
        try:
            return self.inode is not None and os.stat(self.path).st_ino != self.inode
        except OSError:
            return True

    def append(self, record: dict) -> int:
        """Append a record; returns the size of the file."""
        data = _encode(record)
        with FOLDER_TIMES.measure(Operation.LIST), open(self.path, "ab", buffering=0) as file:
            status = os.fstat(file.fileno())
            size, self.inode = status.st_size + len(data), status.st_ino
            if size > self.max_bytes:
                raise ListTooLarge(f"{self.path.name} would have {size} bytes, {self.max_bytes} at most")
            if file.write(data) != len(data):
                raise OSError(f"short write to {self.path.name}")
        return size

    def rewrite(self, record: dict) -> None:
        """Replace all records by that one; the old file stays until the new one is complete."""
        data, replacement = _encode(record), replacement_path(self.path)
        if len(data) + BLOCK_BYTES > self.max_bytes:
            data = _encode(record, DENSE)
        if len(data) + BLOCK_BYTES > self.max_bytes:
            raise ListTooLarge(f"the list takes {len(data)} bytes, {self.max_bytes - BLOCK_BYTES} at most")
        try:
            with FOLDER_TIMES.measure(Operation.LIST):
                if replacement.write_bytes(data) != len(data):
                    raise OSError(f"short write to {replacement.name}")
                os.replace(replacement, self.path)
            self.inode = os.stat(self.path).st_ino
        except OSError:
            with suppress(OSError):
                replacement.unlink(missing_ok=True)
            raise
        self.rewrite_at = min(self.max_bytes, max(MIN_REWRITE_BYTES, REWRITE_FACTOR * len(data)))


def _encode(record: dict, level: int = FAST) -> bytes:
    text = json.dumps(record, separators=(",", ":")).encode()
    return encode_frame(zlib.compress(text, level))

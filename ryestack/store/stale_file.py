"""A file that tells that the saved endpoint list or scope is out of date, and which of its rows.

It has its full size from the start on and is written in place: a full disk does not keep it from being
written. One frame of zero bytes tells that nothing is out of date.
"""

import json
import os
import struct
from pathlib import Path

from ..membership.stale_rows import ALL_STALE, ListId, StaleRows
from .folder_times import FOLDER_TIMES, Operation
from .journal import FRAME, decode_frames, encode_frame

NAME = "list.stale"
SCOPE_NAME = "scope.stale"
CHECKSUM = struct.Struct(">I")  # of a name
MAX_NAMES = 3_800  # more than a list has endpoints; beyond that all count as out of date
HEADER_BYTES = 1_024  # for the two versions; an address has 255 bytes at most
FILE_BYTES = FRAME.size + HEADER_BYTES + MAX_NAMES * CHECKSUM.size
NOTHING_STALE = encode_frame(b"")


class StaleFile:
    """The file of one folder. name: of the file."""

    def __init__(self, folder: str, name: str = NAME):
        self.path = Path(folder) / name

    def exists(self) -> bool:
        """Whether the file is there."""
        return self.path.exists()

    def reserve(self, stale: StaleRows | None = None) -> None:
        """Give the file its full size, unless it has it; raises OSError.

        stale: what is out of date, if the file is not there.
        """
        frame = b"" if stale is None or self.exists() else encode_frame(_encode(stale))
        with FOLDER_TIMES.measure(Operation.LIST), open(self.path, "ab", buffering=0) as file:
            data = frame + bytes(max(0, FILE_BYTES - file.tell() - len(frame)))
            if file.write(data) != len(data):
                raise OSError(f"short write to {self.path.name}")

    def load(self) -> StaleRows | None:
        """What is out of date, None if nothing is; ALL_STALE where the file cannot be read."""
        try:
            data = self.path.read_bytes()
            payloads, _ = decode_frames(data)
            return _decode(payloads[0]) if data and payloads[0] else None
        except FileNotFoundError:
            return None
        except (OSError, ValueError, TypeError, IndexError, struct.error):
            return ALL_STALE

    def mark(self, stale: StaleRows) -> None:
        """Tell what is out of date; raises OSError."""
        self._overwrite(encode_frame(_encode(stale)))

    def is_marked(self) -> bool:
        """Whether it tells that something is out of date, or cannot be read."""
        try:
            with open(self.path, "rb", buffering=0) as file:
                return file.read(len(NOTHING_STALE)) != NOTHING_STALE
        except FileNotFoundError:
            return False
        except OSError:
            return True

    def clear(self) -> None:
        """Tell that nothing is out of date; raises OSError."""
        if self.is_marked():
            self._overwrite(NOTHING_STALE)

    def remove(self) -> None:
        """Remove the file, if there is one; raises OSError."""
        self.path.unlink(missing_ok=True)

    def _overwrite(self, data: bytes) -> None:
        with FOLDER_TIMES.measure(Operation.LIST):
            descriptor = os.open(self.path, os.O_WRONLY | os.O_CREAT | os.O_CLOEXEC, 0o600)
            try:
                if os.pwrite(descriptor, data, 0) != len(data):
                    raise OSError(f"short write to {self.path.name}")
            finally:
                os.close(descriptor)


def _encode(stale: StaleRows) -> bytes:
    if len(stale.names) > MAX_NAMES:
        stale = ALL_STALE
    header = json.dumps([stale.base, stale.current]).encode() + b"\n"
    return header + b"".join(CHECKSUM.pack(name) for name in stale.names)


def _decode(payload: bytes) -> StaleRows:
    """Raises ValueError, TypeError or struct.error."""
    header, _, packed = payload.partition(b"\n")
    base, current = (ListId(*values) for values in json.loads(header))
    return StaleRows(base, current, frozenset(name for (name,) in CHECKSUM.iter_unpack(packed)))

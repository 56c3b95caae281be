"""The snapshot of a control machine's state: a file that takes the place of the old one when it is whole."""

import os
from collections.abc import Iterable, Iterator
from pathlib import Path

import msgspec

from .frames import DamagedFrame, frame, read_frames
from .storage_errors import BadStorage

FORMAT = 1
END = b""  # the last frame: a snapshot without it is not whole


class SnapshotHead(msgspec.Struct, frozen=True):
    """The first frame. position, term: of the last entry of the log that the state has."""

    format: int
    cluster: str
    position: int
    term: int


def write_snapshot(path: Path, head: SnapshotHead, parts: Iterable[bytes]) -> None:
    """Write a snapshot to its disk; each part is not empty. Raises OSError."""
    with open(path, "wb") as file:
        file.write(frame(msgspec.msgpack.encode(head)))
        for part in parts:
            file.write(frame(part))
        file.write(frame(END))
        file.flush()
        os.fsync(file.fileno())


def read_head(path: Path, cluster: str) -> SnapshotHead:
    """Raises BadStorage for a snapshot of another cluster or a newer format, or one that is damaged there."""
    with open(path, "rb") as file:
        return _decode_head(path, next(_frames(path, file), b""), cluster)


def read_parts(path: Path, cluster: str) -> Iterator[bytes]:
    """The parts of a snapshot. Raises BadStorage, also at the end where it is not whole."""
    with open(path, "rb") as file:
        frames = _frames(path, file)
        _decode_head(path, next(frames, b""), cluster)
        for part in frames:
            if part == END:
                if file.read(1):
                    raise BadStorage(f"{path}: there is more behind the snapshot's end")
                return
            yield part
    raise BadStorage(f"{path}: the snapshot has no end")


def replace(replacement: Path, path: Path) -> None:
    """Put a whole file in the place of another, to last."""
    os.replace(replacement, path)
    sync_folder(path.parent)


def sync_folder(folder: Path) -> None:
    """Make the names in a folder last."""
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def _frames(path: Path, file) -> Iterator[bytes]:
    try:
        yield from read_frames(file)
    except DamagedFrame as error:
        raise BadStorage(f"{path}: {error}") from None


def _decode_head(path: Path, data: bytes, cluster: str) -> SnapshotHead:
    head = decode_head(path, data, SnapshotHead, FORMAT)
    if head.cluster != cluster:
        raise BadStorage(f"{path}: is of cluster {head.cluster!r}, this machine of {cluster!r}")
    return head


def decode_head(path: Path, data: bytes, kind: type, newest: int):
    """A file's first frame, which tells its format before anything else is read."""
    try:
        found = msgspec.msgpack.decode(data, type=dict).get("format")
        if isinstance(found, int) and found > newest:
            raise BadStorage(f"{path}: is of format {found}, this program reads {newest}")
        return msgspec.msgpack.decode(data, type=kind)
    except msgspec.MsgspecError as error:
        raise BadStorage(f"{path}: its first record is not readable: {error}") from None

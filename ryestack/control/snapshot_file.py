"""Snapshot files of a control machine's state; a complete new file atomically replaces the old one."""

import os
from collections.abc import Iterable, Iterator
from pathlib import Path

import msgspec

from .frames import DamagedFrame, frame, read_frames
from .storage_errors import BadStorage

FORMAT = 1
END = b""  # the last frame; a snapshot without it is incomplete


class SnapshotHead(msgspec.Struct, frozen=True):
    """The first frame. position, term: of the last log entry included in the state."""

    format: int
    cluster: str
    position: int
    term: int


def write_snapshot(path: Path, head: SnapshotHead, parts: Iterable[bytes]) -> None:
    """Writes a snapshot and syncs it to disk; parts must not be empty. Raises OSError."""
    with open(path, "wb") as file:
        file.write(frame(msgspec.msgpack.encode(head)))
        for part in parts:
            file.write(frame(part))
        file.write(frame(END))
        file.flush()
        os.fsync(file.fileno())


def read_head(path: Path, cluster: str) -> SnapshotHead:
    """Reads the head. Raises BadStorage if it is damaged, or of another cluster or a newer format."""
    with open(path, "rb") as file:
        return _decode_head(path, next(_frames(path, file), b""), cluster)


def read_parts(path: Path, cluster: str) -> Iterator[bytes]:
    """The parts of a snapshot. Raises BadStorage, after the last part if the snapshot is incomplete."""
    with open(path, "rb") as file:
        frames = _frames(path, file)
        _decode_head(path, next(frames, b""), cluster)
        for part in frames:
            if part == END:
                if file.read(1):
                    raise BadStorage(f"{path}: there is data after the snapshot's end")
                return
            yield part
    raise BadStorage(f"{path}: the snapshot has no end")


def replace(replacement: Path, path: Path) -> None:
    """Atomically and durably replaces a file with another one."""
    os.replace(replacement, path)
    sync_folder(path.parent)


def sync_folder(folder: Path) -> None:
    """Makes changes of a folder's entries durable."""
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
    """Decodes a file's first frame. Its format number is checked before anything else is decoded."""
    try:
        found = msgspec.msgpack.decode(data, type=dict).get("format")
        if isinstance(found, int) and found > newest:
            raise BadStorage(f"{path}: is of format {found}, this program reads {newest}")
        return msgspec.msgpack.decode(data, type=kind)
    except msgspec.MsgspecError as error:
        raise BadStorage(f"{path}: its first record is not readable: {error}") from None

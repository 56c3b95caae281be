"""The change log file: a head, then frames of records; each frame was written with one fsync."""

import os
from collections.abc import Iterator
from pathlib import Path

import msgspec

from .consensus_log import Log
from .consensus_state import HardState, NewEntries, Persisted
from .frames import DamagedFrame, frame, holds_frame, read_frames
from .snapshot_file import decode_head, replace
from .storage_errors import BadStorage

FORMAT = 1
REWRITE_ENTRIES = 1000  # in one frame of a rewritten log


class LogHead(msgspec.Struct, frozen=True):
    """The first frame. base, base_term: as in `Log`."""

    format: int
    cluster: str
    machine: str
    base: int
    base_term: int


class Restart(msgspec.Struct, frozen=True, tag="restart"):
    """A leader's snapshot replaced the log up to `position`."""

    position: int
    term: int


LogRecord = HardState | NewEntries | Restart

_decoder = msgspec.msgpack.Decoder(list[LogRecord])


def encode_records(records: list[LogRecord]) -> bytes:
    """Encodes records as one frame."""
    return frame(msgspec.msgpack.encode(records))


def read_log(path: Path, cluster: str, machine: str) -> tuple[Persisted, int]:
    """Reads the log; returns its content and where its last complete frame ends. Raises BadStorage, OSError.

    An incomplete last frame was torn by a power loss before it was acknowledged, so it is ignored.
    """
    persisted, log = Persisted(), Log()
    with open(path, "rb") as file:
        try:
            frames = read_frames(file)
            head = decode_head(path, next(frames, b""), LogHead, FORMAT)
            _check_owner(path, head, cluster, machine)
            log = Log(head.base, head.base_term)
            for data in frames:
                _replay(path, data, persisted, log)
            end = file.tell()
        except DamagedFrame as error:
            if error.offset == 0 or holds_frame(file, error.offset + 1):
                raise BadStorage(f"{path}: {error}") from None
            end = error.offset
    persisted.base, persisted.base_term, persisted.entries = log.base, log.base_term, log.entries
    return persisted, end


def write_log(path: Path, cluster: str, machine: str, content: Persisted) -> None:
    """Atomically replaces the log. Raises OSError, after which the old log is unchanged."""
    replacement = path.with_name(path.name + ".new")
    head = LogHead(FORMAT, cluster, machine, content.base, content.base_term)
    try:
        with open(replacement, "wb") as file:
            file.write(frame(msgspec.msgpack.encode(head)))
            for records in _as_records(content):
                file.write(encode_records(records))
            file.flush()
            os.fsync(file.fileno())
    except OSError:
        replacement.unlink(missing_ok=True)
        raise
    replace(replacement, path)


def _as_records(content: Persisted) -> Iterator[list[LogRecord]]:
    yield [HardState(content.term, content.vote)]
    for begin in range(0, len(content.entries), REWRITE_ENTRIES):
        yield [NewEntries(content.entries[begin : begin + REWRITE_ENTRIES])]


def _check_owner(path: Path, head: LogHead, cluster: str, machine: str) -> None:
    if head.cluster != cluster:
        raise BadStorage(f"{path}: is of cluster {head.cluster!r}, this machine of {cluster!r}")
    if head.machine != machine:
        raise BadStorage(f"{path}: is of machine {head.machine!r}, this is {machine!r}")


def _replay(path: Path, data: bytes, persisted: Persisted, log: Log) -> None:
    try:
        for record in _decoder.decode(data):
            match record:
                case HardState():
                    persisted.term, persisted.vote = record.term, record.vote
                case NewEntries():
                    log.append(record.entries)
                case Restart():
                    log.restart(record.position, record.term)
    except (msgspec.MsgspecError, ValueError, IndexError) as error:
        raise BadStorage(f"{path}: a record is not readable: {error}") from None

"""The books of a scale run's relays: a fixed record a line, so that millions of them stay small.

A host of hollow relays writes one file; a real relay's lines are read from its own log.
"""

import struct
from collections.abc import Iterator
from datetime import datetime
from hashlib import blake2b
from pathlib import Path

import msgspec

from ..store import scope_file
from .scale_judge import Kind, Line

RECORD = struct.Struct("<IIQdQQ")  # relay's number, kind, version, time, key, value
READ_AT_ONCE = 4096  # records


def digest(text: str | bytes | None) -> int:
    """64 bits that stand for a key or a value; 0 for a deleted one."""
    if text is None:
        return 0
    data = text.encode() if isinstance(text, str) else text
    return int.from_bytes(blake2b(data, digest_size=8).digest(), "little")


def value_digest(value: bytes | None) -> int:
    """64 bits that stand for a JSON value, however its text is laid out; 0 for a deleted one."""
    return digest(None if value is None else msgspec.json.encode(msgspec.json.decode(value), order="sorted"))


class BookWriter:
    """Appends lines of relays that are known by number."""

    def __init__(self, path: Path):
        self.file = open(path, "ab")  # noqa: SIM115 - closed by close()

    def write(self, relay: int, kind: Kind, version: int, at: float, key: int = 0, value: int = 0) -> None:
        self.file.write(RECORD.pack(relay, kind, version, at, key, value))

    def flush(self) -> None:
        self.file.flush()

    def close(self) -> None:
        self.file.close()


def read_book(path: Path, names: list[str]) -> Iterator[Line]:
    """The lines of a file in the order written; names: by number. A torn last record is left out."""
    with open(path, "rb") as file:
        while data := file.read(RECORD.size * READ_AT_ONCE):
            whole = len(data) - len(data) % RECORD.size
            for number, kind, version, at, key, value in RECORD.iter_unpack(data[:whole]):
                yield Line(names[number], Kind(kind), version, at, key, value)


def read_state_folder(folder: Path, cluster: str, relay: str) -> Iterator[Line]:
    """What a real relay's state folder says that it held at its end; nothing where that can't be read."""
    saved = scope_file.load(str(folder), cluster, relay)
    for entry in saved.kept.entries if saved else ():
        yield Line(relay, Kind.HELD, entry.version, 0.0, digest(entry.key), value_digest(entry.value))


def read_log(path: Path, relay: str, event: str, wall_to_clock: float) -> Iterator[Line]:
    """A real relay's applied versions, from its log's lines `<time> ... <event> version=N ...`.

    wall_to_clock: added to the wall's time it gives the monotonic clock's.
    """
    for text in path.read_text(errors="replace").splitlines():
        head, found, rest = text.partition(f"{event} ")
        words = dict(word.partition("=")[::2] for word in rest.split())
        if found and words.get("version", "").isdecimal():
            at = datetime.fromisoformat(head.split(" ", 1)[0].replace("Z", "+00:00")).timestamp()
            yield Line(relay, Kind.APPLIED, int(words["version"]), at + wall_to_clock)

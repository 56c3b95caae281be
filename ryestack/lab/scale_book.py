"""Record files of a scale run: fixed-size binary records, so that millions of them stay small.

Each host of hollow relays writes one file; the records of a real relay are read from its own log.
"""

import struct
from collections.abc import Iterator
from datetime import datetime
from hashlib import blake2b
from pathlib import Path

import msgspec

from ..store import scope_file
from .scale_judge import Record, RecordKind

RECORD_FORMAT = struct.Struct("<IIQdQQ")  # number of the relay, kind, version, time, key, value
RECORDS_PER_READ = 4096


def digest(line: str | bytes | None) -> int:
    """64-bit digest of a key or a value; 0 for a deleted one."""
    if line is None:
        return 0
    data = line.encode() if isinstance(line, str) else line
    return int.from_bytes(blake2b(data, digest_size=8).digest(), "little")


def value_digest(value: bytes | None) -> int:
    """64-bit digest of a JSON value, independent of its formatting and key order; 0 for a deleted one."""
    return digest(None if value is None else msgspec.json.encode(msgspec.json.decode(value), order="sorted"))


class RecordWriter:
    """Appends records of relays, which are identified by number."""

    def __init__(self, path: Path):
        self.file = open(path, "ab")  # noqa: SIM115 - closed by close()

    def write(
        self, relay: int, kind: RecordKind, version: int, time: float, key: int = 0, value: int = 0
    ) -> None:
        self.file.write(RECORD_FORMAT.pack(relay, kind, version, time, key, value))

    def flush(self) -> None:
        self.file.flush()

    def close(self) -> None:
        self.file.close()


def read_records(path: Path, names: list[str]) -> Iterator[Record]:
    """Yields the complete records of a file in the order written; names: relays by number."""
    with open(path, "rb") as file:
        while data := file.read(RECORD_FORMAT.size * RECORDS_PER_READ):
            complete = len(data) - len(data) % RECORD_FORMAT.size
            for number, kind, version, time, key, value in RECORD_FORMAT.iter_unpack(data[:complete]):
                yield Record(names[number], RecordKind(kind), version, time, key, value)


def read_state_folder(folder: Path, cluster: str, relay: str) -> Iterator[Record]:
    """Yields what a real relay held at its end, from its state folder; nothing where that can't be read."""
    saved = scope_file.load(str(folder), cluster, relay)
    for entry in saved.kept.entries if saved else ():
        yield Record(relay, RecordKind.HELD, entry.version, 0.0, digest(entry.key), value_digest(entry.value))


def read_log(path: Path, relay: str, event: str, wall_to_clock: float) -> Iterator[Record]:
    """Yields a real relay's applied versions, from log lines of the form `<time> ... <event> version=N ...`.

    wall_to_clock: offset in seconds from wall-clock time to the monotonic clock.
    """
    for line in path.read_text(errors="replace").splitlines():
        prefix, found, fields_text = line.partition(f"{event} ")
        fields = dict(item.partition("=")[::2] for item in fields_text.split())
        if found and fields.get("version", "").isdecimal():
            time = datetime.fromisoformat(prefix.split(" ", 1)[0].replace("Z", "+00:00")).timestamp()
            yield Record(relay, RecordKind.APPLIED, int(fields["version"]), time + wall_to_clock)

"""What a relay has learnt about its endpoints, saved in its folder for the next process.

Two JSON files beside the journal, each written completely and put in place by a rename: all that is learnt,
every few seconds; and the routes that fail or warm up after an outage, at once, since a partner may recover
and be cold while no process is running to see it. A file that would take more than its part of the folder is
compressed, and what still does not fit is left out, which the file says. Both are best effort: where one
cannot be written or read, or is old, a process starts without it.
"""

import json
import os
import zlib
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path

from ..observe.log import event
from .folder_times import FOLDER_TIMES, Operation

LEARNT, FAILING = "learnt", "failing"
WARMING = "warming"  # key in the file of failing routes
LEFT_OUT = "left_out"  # key in both: how many rows did not fit
ROUTES, DESTINATIONS = "routes", "dests"  # the tables of the learnt state that grow with the endpoint list
COMPRESSION_LEVEL = 1  # the fastest
CHECKSUM_BYTES = 9  # in front of the text, with its line end
# Bytes that each may take in a folder with room for it, with the replacement beside the old file.
MAX_FILE_BYTES = {LEARNT: 256 * 1024, FAILING: 64 * 1024}
MAX_TOTAL_BYTES = sum(MAX_FILE_BYTES.values())
COPIES = 2  # of a file, while its replacement is written
SHRINK_FACTOR = 0.9  # of what a file that is too large has room for, by its size: rows differ
MAX_AGE_S = 60.0  # older state is ignored: an outage is remembered for one minute at most


@dataclass(frozen=True, slots=True)
class Moment:
    """A time that is comparable across processes of one machine.

    clock: the machine's monotonic clock in seconds, which the learnt state uses as well; boot: identifies the
    boot that it counts from. The wall clock is not used: it may be stepped.
    """

    clock: float
    boot: str

    def is_soon_after(self, before: "Moment") -> bool:
        """Whether `before` is less than MAX_AGE_S earlier, in the same boot."""
        return self.boot == before.boot and 0.0 <= self.clock - before.clock < MAX_AGE_S


@dataclass(frozen=True, slots=True)
class SavedState:
    """What was loaded. learnt: as learned_state exports it, None if there is none or it is outdated;
    failing: route to the time at which it began to fail; warming: the same of its warm-up; complete: whether
    no route that failed or warmed up was left out."""

    learnt: dict | None
    failing: dict[str, float]
    warming: dict[str, float] = field(default_factory=dict)
    complete: bool = True


def max_file_bytes(name: str) -> int:
    """The most bytes that the file has in a folder with room for it."""
    return MAX_FILE_BYTES[name] // COPIES


def save(folder: str, learnt: dict, under: str, now: Moment, max_bytes: int | None = None) -> None:
    """Save the learnt state: the first rows of its tables, if not all fit.

    under: a checksum of the settings that it belongs to; max_bytes: of the file.
    """
    head = {"under": under, "clock": now.clock, "boot": now.boot}
    routes, destinations = learnt.get(ROUTES, {}), learnt.get(DESTINATIONS, {})

    def table(kept: int) -> dict:
        if kept >= len(routes):
            return {**head, "learnt": learnt}
        parts = {ROUTES: _first(routes, kept), DESTINATIONS: _first(destinations, kept)}
        return {**head, "learnt": {**learnt, **parts, LEFT_OUT: len(routes) - kept}}

    _write(folder, LEARNT, table, len(routes), max_bytes)


def save_failing(
    folder: str,
    failing: dict[str, float],
    now: Moment,
    warming: dict[str, float] | None = None,
    max_bytes: int | None = None,
) -> None:
    """Save the routes that fail or warm up, the latest if not all fit. max_bytes: of the file.

    Older builds read the failing ones only.
    """
    tables = {FAILING: failing, WARMING: warming or {}}
    rows = [(began, name, table) for table, routes in tables.items() for name, began in routes.items()]
    rows.sort(reverse=True)

    def table(kept: int) -> dict:
        parts = {FAILING: {}, WARMING: {}}
        for began, name, part in rows[:kept]:
            parts[part][name] = began
        left_out = {LEFT_OUT: len(rows) - kept} if kept < len(rows) else {}
        return {"clock": now.clock, "boot": now.boot, **parts, **left_out}

    _write(folder, FAILING, table, len(rows), max_bytes)


def _first(table: dict, count: int) -> dict:
    return dict(list(table.items())[:count])


def load(folder: str, under: str, now: Moment) -> SavedState:
    """What the previous process had learnt; nothing if it is too old or of another boot or settings."""
    full, latest = _read(folder, LEARNT, now), _read(folder, FAILING, now)
    learnt = full.get("learnt") if full and full.get("under") == under else None
    learnt = learnt if isinstance(learnt, dict) else None
    if not latest or (learnt is not None and latest["clock"] < full["clock"]):
        return SavedState(learnt, {})
    times = _times(latest.get(FAILING)), _times(latest.get(WARMING))
    return SavedState(learnt, *times, complete=not latest.get(LEFT_OUT))


def _times(table: object) -> dict[str, float]:
    pairs = table.items() if isinstance(table, dict) else ()
    return {name: began for name, began in pairs if isinstance(began, float)}


def _write(folder: str, name: str, table: Callable[[int], dict], rows: int, max_bytes: int | None) -> None:
    """Write the table with as many of its rows as fit. table: gives it with the first so many rows."""
    most = max_file_bytes(name) if max_bytes is None else max_bytes
    data, kept = _encode_what_fits(table, rows, most)
    if kept < rows:
        event("learnt.partial", file=name, kept=kept, of=rows, most=most)
    if data is None:
        return
    replacement = Path(folder) / f"{name}.new"
    try:
        with FOLDER_TIMES.measure(Operation.LEARNT):
            replacement.write_bytes(data)
            os.replace(replacement, Path(folder) / name)
    except OSError as problem:
        event("learnt.unsaved", file=name, why=str(problem))
        with suppress(OSError):
            replacement.unlink()


def _encode_what_fits(table: Callable[[int], dict], rows: int, max_bytes: int) -> tuple[bytes | None, int]:
    """The file's bytes, None if it does not fit without any row, and the number of rows in it."""
    kept = rows
    while True:
        data = _encode(table(kept), max_bytes)
        if len(data) <= max_bytes:
            return data, kept
        if not kept:
            return None, 0
        kept = min(kept - 1, int(kept * SHRINK_FACTOR * max_bytes / len(data)))


def _encode(table: dict, max_bytes: int) -> bytes:
    """Plain text where that fits, as older builds read it, compressed otherwise."""
    text = json.dumps(table, separators=(",", ":")).encode()
    if len(text) + CHECKSUM_BYTES > max_bytes:
        text = zlib.compress(text, COMPRESSION_LEVEL)
    return b"%08x\n" % zlib.crc32(text) + text


def _read(folder: str, name: str, now: Moment) -> dict | None:
    try:
        checksum, _, text = (Path(folder) / name).read_bytes().partition(b"\n")
        if int(checksum, 16) != zlib.crc32(text):  # damaged: every start would load the same damage
            return None
        table = json.loads(text if text.startswith(b"{") else zlib.decompress(text))
        saved_at = Moment(float(table["clock"]), str(table["boot"]))
        return table if now.is_soon_after(saved_at) else None
    except (OSError, ValueError, TypeError, KeyError, RecursionError, zlib.error):
        return None

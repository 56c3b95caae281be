"""What a relay has learnt about its endpoints, saved in its folder for the next process.

Two JSON files beside the journal, each written completely and put in place by a rename: all that is learnt,
every few seconds; and the routes that fail or warm up after an outage, at once, since a partner may recover
and be cold while no process is running to see it. Both are best effort: where one cannot be written or read,
or is old, a process starts without it.
"""

import json
import os
import zlib
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path

from .folder_times import FOLDER_TIMES, Operation

LEARNT, FAILING = "learnt", "failing"
WARMING = "warming"  # key in the file of failing routes
# Bytes of the folder's allowance that each may take, with the replacement beside the old file.
MAX_FILE_BYTES = {LEARNT: 256 * 1024, FAILING: 64 * 1024}
MAX_TOTAL_BYTES = sum(MAX_FILE_BYTES.values())
OVERHEAD_BYTES, ROW_OVERHEAD_BYTES = 256, 32  # of the file without its rows, of a row without its name
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
    failing: route to the time at which it began to fail; warming: the same of its warm-up."""

    learnt: dict | None
    failing: dict[str, float]
    warming: dict[str, float] = field(default_factory=dict)


def save(folder: str, learnt: dict, under: str, now: Moment) -> None:
    """Save the learnt state, if it fits. under: a checksum of the settings that it belongs to."""
    _write(folder, LEARNT, {"under": under, "clock": now.clock, "boot": now.boot, "learnt": learnt})


def save_failing(
    folder: str, failing: dict[str, float], now: Moment, warming: dict[str, float] | None = None
) -> None:
    """Save the routes that fail or warm up, the latest if not all fit: the learnt state has all.

    Older builds read the failing ones only.
    """
    tables = {FAILING: failing, WARMING: warming or {}}
    rows = [(began, name, table) for table, routes in tables.items() for name, began in routes.items()]
    kept = {FAILING: {}, WARMING: {}}
    remaining_bytes = MAX_FILE_BYTES[FAILING] // 2 - OVERHEAD_BYTES
    for began, name, table in sorted(rows, reverse=True):
        remaining_bytes -= len(name) + ROW_OVERHEAD_BYTES
        if remaining_bytes < 0:
            break
        kept[table][name] = began
    _write(folder, FAILING, {"clock": now.clock, "boot": now.boot, **kept})


def load(folder: str, under: str, now: Moment) -> SavedState:
    """What the previous process had learnt; nothing if it is too old or of another boot or settings."""
    full, latest = _read(folder, LEARNT, now), _read(folder, FAILING, now)
    learnt = full.get("learnt") if full and full.get("under") == under else None
    learnt = learnt if isinstance(learnt, dict) else None
    if not latest or (learnt is not None and latest["clock"] < full["clock"]):
        return SavedState(learnt, {})
    return SavedState(learnt, _times(latest.get(FAILING)), _times(latest.get(WARMING)))


def _times(table: object) -> dict[str, float]:
    pairs = table.items() if isinstance(table, dict) else ()
    return {name: began for name, began in pairs if isinstance(began, float)}


def _write(folder: str, name: str, table: dict) -> None:
    text = json.dumps(table, separators=(",", ":")).encode()
    data = b"%08x\n" % zlib.crc32(text) + text
    replacement = Path(folder) / f"{name}.new"
    if len(data) > MAX_FILE_BYTES[name] // 2:
        return
    try:
        with FOLDER_TIMES.measure(Operation.LEARNT):
            replacement.write_bytes(data)
            os.replace(replacement, Path(folder) / name)
    except OSError:
        with suppress(OSError):
            replacement.unlink()


def _read(folder: str, name: str, now: Moment) -> dict | None:
    try:
        checksum, _, text = (Path(folder) / name).read_bytes().partition(b"\n")
        if int(checksum, 16) != zlib.crc32(text):  # damaged: every start would load the same damage
            return None
        table = json.loads(text)
        saved_at = Moment(float(table["clock"]), str(table["boot"]))
        return table if now.is_soon_after(saved_at) else None
    except (OSError, ValueError, TypeError, KeyError, RecursionError):
        return None

"""What a relay had learnt, in its folder, for its next life: a kill takes the process, not the world it knew.

Two files of JSON beside the journal, each written whole and put in place in one step: all that is learnt,
every few seconds; and which routes fail, at once, since a partner may be back cold while no process is there
to see it. They are no promise: where one cannot be written or read, or is old, a life begins without it.
"""

import json
import os
import zlib
from contextlib import suppress
from dataclasses import dataclass
from pathlib import Path

NAME, FAILING = "learnt", "failing"
# Bytes of the folder's allowance that each may take, with the new one beside the old.
MOST_OF = {NAME: 256 * 1024, FAILING: 64 * 1024}
MOST = sum(MOST_OF.values())
OVERHEAD, ROW = 256, 32  # bytes of the file but its rows, and of a row but its name
OLD = 60.0  # seconds: what was learnt is of a minute at most, as an outage is remembered


@dataclass(frozen=True, slots=True)
class Moment:
    """clock: the machine's monotonic clock, as the times in what is learnt are told; boot: names the boot
    that it counts from. The wall clock is not asked: it may be stepped."""

    clock: float
    boot: str

    def is_soon_after(self, before: "Moment") -> bool:
        return self.boot == before.boot and 0.0 <= self.clock - before.clock < OLD


@dataclass(frozen=True, slots=True)
class Remembered:
    """learnt: as learned_state tells it, None if nothing is left of it; failing: route to when it began."""

    learnt: dict | None
    failing: dict[str, float]


def save(folder: str, learnt: dict, under: str, now: Moment) -> None:
    """under: a mark of the settings."""
    _write(folder, NAME, {"under": under, "clock": now.clock, "boot": now.boot, "learnt": learnt})


def save_failing(folder: str, failing: dict[str, float], now: Moment) -> None:
    """Those that began last, where not all fit: an outage of long ago is in what is learnt as well."""
    room, kept = MOST_OF[FAILING] // 2 - OVERHEAD, {}
    for name, at in sorted(failing.items(), key=lambda row: row[1], reverse=True):
        room -= len(name) + ROW
        if room < 0:
            break
        kept[name] = at
    failing = kept
    _write(folder, FAILING, {"clock": now.clock, "boot": now.boot, "failing": failing})


def load(folder: str, under: str, now: Moment) -> Remembered:
    """What the life before had learnt: nothing of another time, boot or settings."""
    whole, latest = _read(folder, NAME, now), _read(folder, FAILING, now)
    learnt = whole.get("learnt") if whole and whole.get("under") == under else None
    learnt = learnt if isinstance(learnt, dict) else None
    if not latest or (learnt is not None and latest["clock"] < whole["clock"]):
        return Remembered(learnt, {})
    found = latest.get("failing")
    pairs = found.items() if isinstance(found, dict) else ()
    return Remembered(learnt, {name: at for name, at in pairs if isinstance(at, float)})


def _write(folder: str, name: str, table: dict) -> None:
    text = json.dumps(table, separators=(",", ":")).encode()
    data = b"%08x\n" % zlib.crc32(text) + text
    fresh = Path(folder) / f"{name}.new"
    if len(data) > MOST_OF[name] // 2:
        return
    try:
        fresh.write_bytes(data)
        os.replace(fresh, Path(folder) / name)
    except OSError:
        with suppress(OSError):
            fresh.unlink()


def _read(folder: str, name: str, now: Moment) -> dict | None:
    try:
        mark, _, text = (Path(folder) / name).read_bytes().partition(b"\n")
        if int(mark, 16) != zlib.crc32(text):  # damaged: a module must not begin with it, start after start
            return None
        told = json.loads(text)
        before = Moment(float(told["clock"]), str(told["boot"]))
        return told if now.is_soon_after(before) else None
    except (OSError, ValueError, TypeError, KeyError, RecursionError):
        return None

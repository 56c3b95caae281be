"""What a relay had learnt, in its folder, for its next life: a kill takes the process, not the world it knew.

A file of JSON beside the journal, written whole and put in place in one step. It is no promise: where it
cannot be written or read, or is old, a life begins with nothing learnt.
"""

import json
import os
import zlib
from contextlib import suppress
from pathlib import Path

NAME = "learnt"
MOST = 256 * 1024  # bytes of the folder's allowance that it may take, with the new one beside the old
OLD = 60.0  # seconds: what was learnt is of a minute at most, as an outage is remembered


def save(folder: str, learnt: dict, under: str, clock: float, boot: str) -> None:
    """under: a mark of the settings; clock: now, as the times in learnt are told: the machine's monotonic
    clock; boot: names the boot that it counts from. The wall clock is not asked: it may be stepped."""
    told = {"under": under, "clock": clock, "boot": boot, "learnt": learnt}
    text = json.dumps(told, separators=(",", ":")).encode()
    data = b"%08x\n" % zlib.crc32(text) + text
    fresh = Path(folder) / f"{NAME}.new"
    if len(data) > MOST // 2:
        return
    try:
        fresh.write_bytes(data)
        os.replace(fresh, Path(folder) / NAME)
    except OSError:
        with suppress(OSError):
            fresh.unlink()


def load(folder: str, under: str, clock: float, boot: str) -> dict | None:
    """What the life before had learnt; None where there is none, or of another time, boot or settings."""
    try:
        mark, _, text = (Path(folder) / NAME).read_bytes().partition(b"\n")
        if int(mark, 16) != zlib.crc32(text):  # damaged: a module must not begin with it, start after start
            return None
        told = json.loads(text)
        before, learnt = told["clock"], told["learnt"]
        same = (told["under"], told["boot"]) == (under, boot) and 0.0 <= clock - before < OLD
        return learnt if same and isinstance(learnt, dict) else None
    except (OSError, ValueError, TypeError, KeyError, RecursionError):
        return None

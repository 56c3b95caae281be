"""The time axis of a journal's records: seconds of the machine's monotonic clock plus a fixed offset.

The wall clock may be stepped between two lives of a relay, its monotonic clock runs on. So the offset is
taken from the wall clock once, written into the file, and holds for as long as the machine runs: times in
records look like those of a wall clock and are spans of real time. Only after a boot, which begins the
monotonic clock anew, the wall clock is all that is left to go by.
"""

import time
from dataclasses import dataclass
from pathlib import Path

BOOT_ID = Path("/proc/sys/kernel/random/boot_id")


@dataclass(frozen=True, slots=True)
class MachineClock:
    """The machine's clocks at one moment. boot: names the boot that monotonic counts from, "" if unknown."""

    boot: str
    monotonic: float
    wall: float


@dataclass(frozen=True, slots=True)
class Timeline:
    """An axis: offset, added to the monotonic clock, gives its times. began: the monotonic clock as it was
    fixed, boot: the boot that it holds for."""

    boot: str
    offset: float
    began: float

    def now(self, clock: MachineClock) -> float:
        """That moment on this axis; by the wall clock after a boot."""
        return clock.monotonic + self.offset if self.boot and self.boot == clock.boot else clock.wall

    def shift_to(self, other: "Timeline") -> float:
        """What to add to a time of this axis for the same moment on the other one, 0.0 across boots."""
        same = self.boot and self.boot == other.boot
        return other.offset - self.offset if same else 0.0


def read_clock() -> MachineClock:
    try:
        boot = BOOT_ID.read_text().strip()
    except OSError:  # another system, or one that hides it
        boot = ""
    return MachineClock(boot, time.monotonic(), time.time())


def continued(before: Timeline | None, now: MachineClock) -> Timeline:
    """The axis that a file already has, where it still holds; else a new one by the wall clock."""
    if before and before.boot and before.boot == now.boot and now.monotonic >= before.began:
        return before
    return Timeline(now.boot, now.wall - now.monotonic, now.monotonic)

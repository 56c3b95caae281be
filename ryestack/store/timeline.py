"""The time axis of a journal's records: seconds of the machine's monotonic clock plus a fixed offset.

The wall clock may be stepped between two processes of a relay; the monotonic clock continues. So the offset
is taken from the wall clock once, written into the file, and valid until the machine reboots: times in
records look like wall-clock times, and their differences are real time spans. Only after a boot, which resets
the monotonic clock, the wall clock has to be used.
"""

import time
from dataclasses import dataclass
from pathlib import Path

BOOT_ID = Path("/proc/sys/kernel/random/boot_id")


@dataclass(frozen=True, slots=True)
class MachineClock:
    """The machine's clocks at one moment, in seconds. boot: identifies the boot that `monotonic` counts from,
    "" if unknown."""

    boot: str
    monotonic: float
    wall: float


@dataclass(frozen=True, slots=True)
class Timeline:
    """A time axis. offset: added to the monotonic clock, it gives times on the axis; began: the monotonic
    clock when the offset was taken; boot: the boot for which it is valid."""

    boot: str
    offset: float
    began: float

    def now(self, clock: MachineClock) -> float:
        """The time of `clock` on this axis; the wall clock after a reboot."""
        return clock.monotonic + self.offset if self.boot and self.boot == clock.boot else clock.wall

    def shift_to(self, other: "Timeline") -> float:
        """The seconds that convert a time of this axis to the other one; 0.0 across boots."""
        same = self.boot and self.boot == other.boot
        return other.offset - self.offset if same else 0.0


def read_clock() -> MachineClock:
    """The machine's clocks now."""
    try:
        boot = BOOT_ID.read_text().strip()
    except OSError:  # not Linux, or /proc is hidden
        boot = ""
    return MachineClock(boot, time.monotonic(), time.time())


def continued(before: Timeline | None, now: MachineClock) -> Timeline:
    """The timeline of the file while it is still valid; else a new one based on the wall clock."""
    if before and before.boot and before.boot == now.boot and now.monotonic >= before.began:
        return before
    return Timeline(now.boot, now.wall - now.monotonic, now.monotonic)

"""Tells whether the disk has been slow of late, from how long writes stood in the system.

A write takes microseconds as long as the system's memory takes it. Once one has stood, others will: the next
ones are better made on a thread. As long as none has, a thread would cost more than it saves, and most on a
machine that is short of processor time.
"""

import resource
import time
from collections.abc import Callable

SLOW_S = 0.02  # a write that stands for longer begins a slow spell, or lengthens it
SPELL_S = 10.0
OF_THREAD = getattr(resource, "RUSAGE_THREAD", resource.RUSAGE_SELF)


class DiskPace:
    """slow_until: the end of the slow spell, a time of the monotonic clock."""

    def __init__(self) -> None:
        self.slow_until = 0.0

    @property
    def slow(self) -> bool:
        """Whether the disk was slow within the last SPELL_S."""
        return time.monotonic() < self.slow_until

    def run(self, write: Callable[[], None]) -> None:
        """Make a write, and watch how long it stands; raises what it raises."""
        began, waits = time.monotonic(), _waits()
        try:
            write()
        finally:
            now = time.monotonic()
            # A process that only lost the processor for a while has not waited.
            if now - began > SLOW_S and _waits() > waits:
                self.slow_until = now + SPELL_S


def _waits() -> int:
    """How often this thread has waited in the system."""
    return resource.getrusage(OF_THREAD).ru_nvcsw

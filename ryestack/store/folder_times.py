"""How long the file operations in the relay's folder take, by kind of operation.

A disk may be slow without an error. The figures tell how much of a process's time it took, and the event
`folder.slow` when a single operation took long.
"""

import time
from collections import Counter
from contextlib import contextmanager
from enum import Enum

from ..observe.log import event

SLOW_S = 0.05  # an operation that takes longer is logged


class Operation(Enum):
    """The values are labels of the figures and appear in the log."""

    JOURNAL_APPEND = "journal append"
    JOURNAL_REWRITE = "journal rewrite"
    LIST = "endpoint list"
    LEARNT = "learnt state"


class FolderTimes:
    """Seconds in file operations since the start of the process, and how many of them were slow."""

    def __init__(self) -> None:
        self.seconds: Counter[Operation] = Counter()
        self.slow: Counter[Operation] = Counter()

    @contextmanager
    def measure(self, operation: Operation):
        """Count the time of the operation in the body, also of one that fails."""
        began = time.monotonic()
        try:
            yield
        finally:
            seconds = time.monotonic() - began
            self.seconds[operation] += seconds
            if seconds > SLOW_S:
                self.slow[operation] += 1
                event("folder.slow", operation=operation.value, seconds=round(seconds, 3))


FOLDER_TIMES = FolderTimes()  # of this process

"""Timeline of scripted changes. No I/O: the elapsed time is an argument."""

from .stage import Change


class Timeline:
    """Changes sorted by time; due() returns each of them once."""

    def __init__(self, changes: list[Change]):
        self.changes = sorted(changes, key=lambda change: change.after)
        self.next_index = 0

    def due(self, elapsed: float) -> list[Change]:
        """Changes due by this time, in seconds from the start, that were not returned before."""
        first = self.next_index
        while self.next_index < len(self.changes) and self.changes[self.next_index].after <= elapsed:
            self.next_index += 1
        return self.changes[first : self.next_index]

    def next(self) -> float | None:
        """Time of the next change in seconds from the start; None if there is none."""
        return self.changes[self.next_index].after if self.next_index < len(self.changes) else None

"""What is due on a timeline. Pure; the clock is an argument."""

from .stage import Change


class Timeline:
    """Changes in order of time; each is given once."""

    def __init__(self, changes: list[Change]):
        self.changes = sorted(changes, key=lambda c: c.after)
        self.at = 0

    def due(self, gone: float) -> list[Change]:
        """Those due after so many seconds that were not given yet."""
        first = self.at
        while self.at < len(self.changes) and self.changes[self.at].after <= gone:
            self.at += 1
        return self.changes[first : self.at]

    def next(self) -> float | None:
        """Seconds from the start to the next one."""
        return self.changes[self.at].after if self.at < len(self.changes) else None

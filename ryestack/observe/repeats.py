"""Lines that repeat: the first is written, then one with a count a period. Pure; the clock is an argument."""

from collections import OrderedDict


class Repeats:
    """Decides which of equal lines are written.

    period: seconds; 0 writes all. A line is known by its key, any hashable value; past `most` keys the one
    heard longest ago is forgotten.
    """

    MOST = 1024

    def __init__(self, period: float):
        self.period, self.rows = period, OrderedDict()  # key -> [written at, kept back since]

    def hear(self, key, now: float) -> int | None:
        """How many were kept back since the last one written; None: this one is kept back too."""
        row = self.rows.get(key)
        if row and now < row[0] + self.period:
            row[1] += 1
            return None
        held = row[1] if row else 0
        self.rows[key] = [now, 0]
        self.rows.move_to_end(key)
        if len(self.rows) > self.MOST:
            self.rows.popitem(last=False)
        return held

    def due(self, now: float) -> list[tuple[object, int]]:
        """Keys whose period is over: with the lines kept back, which are to be written as a count now.

        Those that kept none back are forgotten, so that a quiet log keeps nothing.
        """
        told = []
        for key, row in list(self.rows.items()):
            if now < row[0] + self.period:
                continue
            if row[1]:
                told.append((key, row[1]))
                row[:] = now, 0
            else:
                del self.rows[key]
        return told

"""Suppression of repeated log lines: the first is written, then one line with a count per period. Pure."""

from collections import OrderedDict


class Repeats:
    """Decides which lines with the same key are written.

    period: seconds; 0 writes all. Keys are any hashable values; past MAX_KEYS the least recently written one
    is forgotten.
    """

    MAX_KEYS = 1024

    def __init__(self, period: float):
        # Key -> [time of the last line written, lines suppressed since].
        self.period, self.rows = period, OrderedDict()

    def record(self, key, now: float) -> int | None:
        """Lines suppressed since the last one written, if this one is to be written; None to suppress it."""
        row = self.rows.get(key)
        if row and now < row[0] + self.period:
            row[1] += 1
            return None
        suppressed = row[1] if row else 0
        self.rows[key] = [now, 0]
        self.rows.move_to_end(key)
        if len(self.rows) > self.MAX_KEYS:
            self.rows.popitem(last=False)
        return suppressed

    def due(self, now: float) -> list[tuple[object, int]]:
        """Keys whose period is over, with their count of suppressed lines, to be written now.

        Keys without suppressed lines are forgotten, so that an idle log uses no memory.
        """
        counts = []
        for key, row in list(self.rows.items()):
            if now < row[0] + self.period:
                continue
            if row[1]:
                counts.append((key, row[1]))
                row[:] = now, 0
            else:
                del self.rows[key]
        return counts

"""Limits that a destination sets for all relays together: a plain rate, or a count in fixed spans."""

from math import floor, inf


class NoLimit:
    rate = inf

    def take(self, now: float) -> tuple[bool, float]:
        return True, 0.0

    def room(self, now: float) -> float:
        return inf


class Rate:
    """A bucket that fills at `rate` calls a second and holds `burst`.

    refused_count: refused calls empty it too, down to a burst below nothing.
    """

    def __init__(self, rate: float, burst: float, refused_count: bool):
        self.rate, self.burst, self.refused_count = rate, max(1.0, burst), refused_count
        self.level, self.at = self.burst, 0.0

    def room(self, now: float) -> float:
        """Calls that it would take now."""
        return min(self.burst, self.level + self.rate * (now - self.at))

    def take(self, now: float) -> tuple[bool, float]:
        """Whether a call is taken, and else the seconds until there is room."""
        self.level, self.at = self.room(now), now
        if self.level >= 1.0 - 1e-9:
            self.level -= 1.0
            return True, 0.0
        if self.refused_count:
            self.level = max(-self.burst, self.level - 1.0)
        return False, (1.0 - self.level) / self.rate


class Window:
    """`count` calls in each span of `span` seconds, spans counted from 0.

    refused_count: refused calls use up what the next span has, half of it at most.
    """

    def __init__(self, count: float, span: float, refused_count: bool):
        self.count, self.span, self.refused_count = max(1.0, count), span, refused_count
        self.rate = self.count / span
        self.number, self.used, self.refused = 0, 0.0, 0.0

    def look(self, now: float) -> None:
        number = floor(now / self.span)
        if number != self.number:
            carried = min(self.refused, self.count / 2.0) if number == self.number + 1 else 0.0
            self.number, self.used, self.refused = number, carried if self.refused_count else 0.0, 0.0

    def room(self, now: float) -> float:
        self.look(now)
        return self.count - self.used

    def take(self, now: float) -> tuple[bool, float]:
        self.look(now)
        if self.used + 1.0 <= self.count + 1e-9:
            self.used += 1.0
            return True, 0.0
        self.refused += 1.0
        return False, max(0.0, (self.number + 1) * self.span - now)

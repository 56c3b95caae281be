"""Limits of a destination, shared by all relays: none, a rate, or a count in fixed windows."""

from math import floor, inf


class NoLimit:
    """Accepts all calls."""

    rate = inf

    def acquire(self, now: float) -> tuple[bool, float]:
        return True, 0.0

    def available(self, now: float) -> float:
        return inf


class RateLimit:
    """A token bucket that fills at `rate` calls a second and holds `burst`.

    refused_count: refused calls take tokens too, down to minus one burst.
    """

    def __init__(self, rate: float, burst: float, refused_count: bool):
        self.rate, self.burst, self.refused_count = rate, max(1.0, burst), refused_count
        self.level, self.updated_at = self.burst, 0.0

    def available(self, now: float) -> float:
        """The number of calls that would be accepted now."""
        return min(self.burst, self.level + self.rate * (now - self.updated_at))

    def acquire(self, now: float) -> tuple[bool, float]:
        """Whether a call is accepted, and if not, the seconds until one would be."""
        self.level, self.updated_at = self.available(now), now
        if self.level >= 1.0 - 1e-9:
            self.level -= 1.0
            return True, 0.0
        if self.refused_count:
            self.level = max(-self.burst, self.level - 1.0)
        return False, (1.0 - self.level) / self.rate


class WindowLimit:
    """A fixed window: `count` calls in each `span` seconds, windows counted from time 0.

    refused_count: refused calls count against the next window, up to half of it.
    """

    def __init__(self, count: float, span: float, refused_count: bool):
        self.count, self.span, self.refused_count = max(1.0, count), span, refused_count
        self.rate = self.count / span
        self.number, self.used, self.refused = 0, 0.0, 0.0

    def advance(self, now: float) -> None:
        """Move to the window of this time."""
        number = floor(now / self.span)
        if number != self.number:
            carried = min(self.refused, self.count / 2.0) if number == self.number + 1 else 0.0
            self.number, self.used, self.refused = number, carried if self.refused_count else 0.0, 0.0

    def available(self, now: float) -> float:
        self.advance(now)
        return self.count - self.used

    def acquire(self, now: float) -> tuple[bool, float]:
        self.advance(now)
        if self.used + 1.0 <= self.count + 1e-9:
            self.used += 1.0
            return True, 0.0
        self.refused += 1.0
        return False, max(0.0, (self.number + 1) * self.span - now)

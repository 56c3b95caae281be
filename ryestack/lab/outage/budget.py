"""Slow start: how many calls a partner that is back from an outage may get, judged from its book. Pure."""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass
from math import sqrt

SMALL_BUDGET_CALLS = 30  # below it, the margin for random variation is wider
NOTIFIED_SHARE = 2.0 / 3.0  # of an overload's calls, from relays that knew of the outage


@dataclass(frozen=True, slots=True)
class SlowStart:
    """share: of the capacity just after the return; seconds: until all of it is there; factor, window: calls
    above that capacity by this factor within so many seconds overload it."""

    share: float = 0.3
    seconds: float = 9.0
    factor: float = 1.5
    window: float = 1.5

    def allowed(self, capacity: float, since_return: float) -> float:
        """Mean number of calls allowed in the window that ends `since_return` seconds after the return."""
        share = self.share + (1.0 - self.share) * min(1.0, since_return / self.seconds)
        return capacity * share * self.factor * self.window


@dataclass(frozen=True, slots=True)
class ReceivedCall:
    """A call that the partner received while cold. at: seconds since its return; relay: who sent it;
    notified: whether a call of that relay had failed or was refused in the outage."""

    at: float
    relay: int
    notified: bool


@dataclass(frozen=True, slots=True)
class Overload:
    """The first window over its bound. fullest: the largest share of its bound that any window holds."""

    at: float | None
    calls: int
    notified: int
    fullest: float

    @property
    def breaks_rule(self) -> bool:
        """Whether over two thirds of the calls came from notified relays."""
        return self.at is not None and self.notified > NOTIFIED_SHARE * self.calls


def bound(allowed: float) -> float:
    """Most calls in a window in which this mean number is allowed: a margin for random variation on top."""
    if allowed < SMALL_BUDGET_CALLS:
        return allowed + 3.0 * sqrt(allowed) + 3.0
    return allowed + 2.0 * sqrt(allowed) + 2.0


def judge(calls: Iterable[ReceivedCall], capacity: float, rules: SlowStart) -> Overload:
    """Finds the first overload of a partner with this capacity in calls a second. calls: sorted by time."""
    window: deque[ReceivedCall] = deque()
    first, fullest = (None, 0, 0), 0.0
    for call in calls:
        if call.at > rules.seconds:
            break
        window.append(call)
        while window[0].at <= call.at - rules.window:
            window.popleft()
        filled = len(window) / bound(rules.allowed(capacity, call.at))
        fullest = max(fullest, filled)
        if filled > 1.0 and first[0] is None:
            first = call.at, len(window), sum(each.notified for each in window)
    return Overload(*first, fullest)

"""How one endpoint behaves: a table of its states and the desk that takes, queues or turns away calls.

Pure: the clock and chance are arguments. Nothing here is the relay's; it is what the relay is tried against.
"""

import math
from collections import deque
from dataclasses import dataclass
from random import Random

from .stage import Change, Endpoint, Pace

# An endpoint's life: (state, what happened) -> (next state, effect).
LIFE = {
    ("up", "told cold"): ("cold", "begin_warm_up"),
    ("up", "told refuse"): ("down", None),
    ("cold", "warmed up"): ("up", None),
    ("cold", "pushed over"): ("fallen", "begin_fall"),
    ("cold", "told refuse"): ("down", None),
    ("cold", "told other"): ("up", None),
    ("fallen", "rested"): ("cold", "begin_warm_up"),
    ("fallen", "told refuse"): ("down", None),
    ("fallen", "told other"): ("up", None),
    ("down", "told cold"): ("cold", "begin_warm_up"),
    ("down", "told other"): ("up", None),
}
SHARP = 0.05  # seconds: refused calls cost the other side a moment, so a fall counts no finer than that


def draw(pace: Pace, chance: Random) -> float:
    """Seconds that a call runs."""
    if pace.shape == "fixed" or pace.mean == 0.0:
        return pace.mean
    if pace.shape == "exponential":
        return chance.expovariate(1.0 / pace.mean)
    return chance.lognormvariate(math.log(pace.mean) - pace.sigma**2 / 2.0, pace.sigma)


@dataclass(frozen=True, slots=True)
class Reception:
    """What a call meets.

    how: run, queue, full, error, silent, lost (it runs, nothing is answered), hang, reset-before or
    reset-after; seconds: that it runs; wait: seconds told with full, 0 if none; runs: whether it has effect.
    """

    how: str
    seconds: float = 0.0
    wait: float = 0.0
    runs: bool = True


class Desk:
    """One endpoint's decisions."""

    def __init__(self, endpoint: Endpoint, chance: Random):
        self.endpoint, self.chance = endpoint, chance
        self.state, self.mode, self.change = "up", "ok", Change(after=0.0)
        self.running, self.waiting = 0, 0
        self.counted, self.pushed = deque(), deque()  # times of calls under the limit, and of all while cold
        self.since = 0.0

    def listens(self, now: float) -> bool:
        self.look(now)
        return self.state not in ("down", "fallen")

    def tell(self, change: Change, now: float) -> None:
        """A change of the timeline, or one told live."""
        if change.mode is None:
            return
        self.mode, self.change = change.mode, change
        self.happen(f"told {change.mode}" if change.mode in ("refuse", "cold") else "told other", now)

    def happen(self, what: str, now: float) -> None:
        self.state, effect = LIFE.get((self.state, what), (self.state, None))
        if effect:
            getattr(self, effect)(now)

    def begin_warm_up(self, now: float) -> None:
        self.since = now
        self.pushed.clear()

    def begin_fall(self, now: float) -> None:
        self.since = now

    def look(self, now: float) -> None:
        """What time alone brings."""
        if self.state == "cold" and now >= self.since + self.endpoint.cold_time:
            self.happen("warmed up", now)
        elif self.state == "fallen" and now >= self.since + self.endpoint.fall_for:
            self.happen("rested", now)

    def share(self, now: float) -> float:
        """The part of its weight that it takes now."""
        e = self.endpoint
        gone = (now - self.since) / e.cold_time if e.cold_time else 1.0
        return e.cold_share + (1.0 - e.cold_share) * min(1.0, gone)

    def arrive(self, now: float) -> Reception:
        """A call has come whole."""
        self.look(now)
        if self.state == "cold" and self.too_much(now):
            self.happen("pushed over", now)
            return Reception("reset-before", runs=False)
        mode = self.mode if self.chance.random() < self.change.part else "ok"
        if self.over_limit(now):
            return Reception("full", wait=self.limit_wait(now), runs=False)
        if mode == "full":
            return Reception("full", wait=self.change.wait, runs=False)
        if mode in ("silent", "hang", "reset-before"):
            return Reception(mode, runs=False)
        if self.running >= self.endpoint.slots:
            if self.waiting >= self.endpoint.queue:
                return Reception("full", runs=False)
            self.waiting += 1
            return Reception("queue")
        self.running += 1
        return self.begin(mode)

    def begin(self, mode: str | None = None) -> Reception:
        """A call takes the slot that is held for it."""
        mode = mode or (self.mode if self.chance.random() < self.change.part else "ok")
        seconds = draw(self.endpoint.pace, self.chance) * (self.change.factor if mode == "slow" else 1.0)
        if mode == "error":
            return Reception("error", seconds, runs=self.chance.random() < self.endpoint.runs_in_error)
        return Reception(mode if mode in ("lost", "reset-after") else "run", seconds)

    def leave(self) -> bool:
        """A running call has ended; whether one that waits has its slot now."""
        if self.waiting:
            self.waiting -= 1
            return True
        self.running -= 1
        return False

    def gone_waiting(self) -> None:
        """One that waited has gone without running."""
        self.waiting -= 1

    def too_much(self, now: float) -> bool:
        e = self.endpoint
        self.pushed.append(now)
        while self.pushed and self.pushed[0] <= now - e.fall_time:
            self.pushed.popleft()
        span = max(SHARP, min(e.fall_time, now - self.since))
        room = e.weight * self.share(now) * e.fall_factor * span
        return len(self.pushed) > max(2.0, room)

    def over_limit(self, now: float) -> bool:
        e = self.endpoint
        if not e.limit:
            return False
        while self.counted and self.counted[0] <= now - e.span:
            self.counted.popleft()
        over = len(self.counted) >= e.limit
        if not over or e.refused_count:
            self.counted.append(now)
        return over

    def limit_wait(self, now: float) -> float:
        if not self.endpoint.tell_wait or not self.counted:
            return 0.0
        return max(0.001, self.counted[0] + self.endpoint.span - now)

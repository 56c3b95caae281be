"""Behaviour of one endpoint: its state machine, and the decision to run, queue or refuse each call.

No I/O: the time and the random generator are arguments. This is test equipment; the relay has no part in it.
"""

import math
from collections import deque
from dataclasses import dataclass
from random import Random

from .stage import Change, Endpoint, Pace

# (state, event) -> (next state, name of the EndpointBehaviour method to call or None). The events `told ...`
# are changes of mode; `pushed over` is overload of a cold endpoint, which then does not listen for a while.
TRANSITIONS = {
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
# Shortest window over which the call rate of a cold endpoint is judged: a refused call costs its caller some
# time, so no finer resolution is meaningful.
MIN_FALL_WINDOW_S = 0.05


def draw(pace: Pace, rng: Random) -> float:
    """Draws the run time of a call, in seconds."""
    if pace.shape == "fixed" or pace.mean == 0.0:
        return pace.mean
    if pace.shape == "exponential":
        return rng.expovariate(1.0 / pace.mean)
    return rng.lognormvariate(math.log(pace.mean) - pace.sigma**2 / 2.0, pace.sigma)


@dataclass(frozen=True, slots=True)
class CallOutcome:
    """What happens to a call.

    kind: run, queue, full, error, silent, lost (the call runs but is not answered), hang, reset-before or
    reset-after; run_seconds: run time; retry_after: seconds sent with a `full` answer, 0 for none;
    has_effect: whether the call takes effect.
    """

    kind: str
    run_seconds: float = 0.0
    retry_after: float = 0.0
    has_effect: bool = True


class EndpointBehaviour:
    """State of one endpoint and its decision on each call. Times are wall-clock seconds."""

    def __init__(self, endpoint: Endpoint, rng: Random):
        self.endpoint, self.rng = endpoint, rng
        self.state, self.mode, self.change = "up", "ok", Change(after=0.0)
        self.running, self.waiting = 0, 0
        # times of the calls that count against the rate limit, and of all calls while cold
        self.limited_times, self.cold_arrival_times = deque(), deque()
        self.state_since = 0.0

    def listens(self, now: float) -> bool:
        """Whether the endpoint accepts connections now."""
        self.advance(now)
        return self.state not in ("down", "fallen")

    def apply(self, change: Change, now: float) -> None:
        """Applies a change from the timeline or from the control address."""
        if change.mode is None:
            return
        self.mode, self.change = change.mode, change
        self.transition(f"told {change.mode}" if change.mode in ("refuse", "cold") else "told other", now)

    def transition(self, event: str, now: float) -> None:
        """Applies an event to the state machine; the effect names a method of this class."""
        self.state, effect = TRANSITIONS.get((self.state, event), (self.state, None))
        if effect:
            getattr(self, effect)(now)

    def begin_warm_up(self, now: float) -> None:
        self.state_since = now
        self.cold_arrival_times.clear()

    def begin_fall(self, now: float) -> None:
        self.state_since = now

    def advance(self, now: float) -> None:
        """Makes the transitions that are due by time alone."""
        if self.state == "cold" and now >= self.state_since + self.endpoint.cold_time:
            self.transition("warmed up", now)
        elif self.state == "fallen" and now >= self.state_since + self.endpoint.fall_for:
            self.transition("rested", now)

    def current_share(self, now: float) -> float:
        """The fraction of the endpoint's weight that it accepts now, while warming up."""
        endpoint = self.endpoint
        elapsed = (now - self.state_since) / endpoint.cold_time if endpoint.cold_time else 1.0
        return endpoint.cold_share + (1.0 - endpoint.cold_share) * min(1.0, elapsed)

    def arrive(self, now: float) -> CallOutcome:
        """Decides on a call whose request has arrived completely."""
        self.advance(now)
        if self.state == "cold" and self.is_overloaded(now):
            self.transition("pushed over", now)
            return CallOutcome("reset-before", has_effect=False)
        mode = self.mode if self.rng.random() < self.change.part else "ok"
        if self.exceeds_limit(now):
            return CallOutcome("full", retry_after=self.limit_retry_after(now), has_effect=False)
        if mode == "full":
            return CallOutcome("full", retry_after=self.change.wait, has_effect=False)
        if mode in ("silent", "hang", "reset-before"):
            return CallOutcome(mode, has_effect=False)
        if self.running >= self.endpoint.slots:
            if self.waiting >= self.endpoint.queue:
                return CallOutcome("full", has_effect=False)
            self.waiting += 1
            return CallOutcome("queue")
        self.running += 1
        return self.start_call(mode)

    def start_call(self, mode: str | None = None) -> CallOutcome:
        """Starts a call in the slot that it holds."""
        mode = mode or (self.mode if self.rng.random() < self.change.part else "ok")
        seconds = draw(self.endpoint.pace, self.rng) * (self.change.factor if mode == "slow" else 1.0)
        if mode == "error":
            return CallOutcome("error", seconds, has_effect=self.rng.random() < self.endpoint.runs_in_error)
        return CallOutcome(mode if mode in ("lost", "reset-after") else "run", seconds)

    def finish_call(self) -> bool:
        """Ends a running call; returns whether its slot passes to a waiting call."""
        if self.waiting:
            self.waiting -= 1
            return True
        self.running -= 1
        return False

    def cancel_waiting(self) -> None:
        """Removes a waiting call that was cancelled before it ran."""
        self.waiting -= 1

    def is_overloaded(self, now: float) -> bool:
        """Counts a call to a cold endpoint; returns whether the recent rate makes it fall."""
        endpoint = self.endpoint
        self.cold_arrival_times.append(now)
        while self.cold_arrival_times and self.cold_arrival_times[0] <= now - endpoint.fall_time:
            self.cold_arrival_times.popleft()
        window = max(MIN_FALL_WINDOW_S, min(endpoint.fall_time, now - self.state_since))
        allowed = endpoint.weight * self.current_share(now) * endpoint.fall_factor * window
        return len(self.cold_arrival_times) > max(2.0, allowed)

    def exceeds_limit(self, now: float) -> bool:
        """Counts a call against the rate limit; returns whether it is over the limit."""
        endpoint = self.endpoint
        if not endpoint.limit:
            return False
        while self.limited_times and self.limited_times[0] <= now - endpoint.span:
            self.limited_times.popleft()
        over = len(self.limited_times) >= endpoint.limit
        if not over or endpoint.refused_count:
            self.limited_times.append(now)
        return over

    def limit_retry_after(self, now: float) -> float:
        """Seconds until the limit admits a call; 0 if the endpoint does not send a wait."""
        if not self.endpoint.tell_wait or not self.limited_times:
            return 0.0
        return max(0.001, self.limited_times[0] + self.endpoint.span - now)

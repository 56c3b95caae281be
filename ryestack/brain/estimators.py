"""Estimators of durations, rates and failures from recent observations. Times are seconds."""

from bisect import bisect_left
from itertools import accumulate
from math import inf


class DurationHistogram:
    """How long delivered pushes took, in a few coarse bins that are halved from time to time."""

    BIN_EDGES_S = [0.05 * 1.5**i for i in range(18)]  # each half as long again; the last is about 50 s
    MAX_COUNT = 64  # samples; all bins are halved then, so that a change shows within minutes
    PRIOR_COUNT = 3.0  # samples that the prior weighs: a few of its own show a destination's pace

    def __init__(self, prior=None):
        """prior: the histogram of all destinations, which fills in while samples are few."""
        self.bins, self.count = [0.0] * (len(self.BIN_EDGES_S) + 1), 0.0
        self.cached, self.prior = {}, prior or self

    def add(self, seconds):
        """Adds one duration."""
        self.bins[bisect_left(self.BIN_EDGES_S, seconds)] += 1.0
        self.count, self.cached = self.count + 1.0, {}
        if self.count >= self.MAX_COUNT:
            self.bins, self.count = [b / 2 for b in self.bins], self.count / 2

    def quantile(self, fraction):
        """The upper edge in seconds of the bin in which that fraction of all durations is reached."""
        if fraction not in self.cached:
            weight, pool = self.PRIOR_COUNT / self.prior.count, self.prior.bins
            reached = list(accumulate(b + p * weight for b, p in zip(self.bins, pool, strict=True)))
            self.cached[fraction] = self.BIN_EDGES_S[
                min(bisect_left(reached, fraction * reached[-1]), len(self.BIN_EDGES_S) - 1)
            ]
        return self.cached[fraction]


class FailureCounter:
    """Consecutive failures, and recent failures against recent deliveries.

    Failures in a row prove no outage where deliveries are many.
    """

    # Failures in a row, as for the circuit breaker; seconds: a full outage shows after about one half-life,
    # whatever the rate.
    CONSECUTIVE_LIMIT, HALF_LIFE_S = 3, 1.0

    consecutive, successes, failures, updated_at = 0, 0.0, 0.0, 0.0

    def proves_outage(self):
        """Whether there are enough failures in a row, and recently no fewer failures than deliveries."""
        return self.consecutive >= self.CONSECUTIVE_LIMIT and self.failures >= self.successes

    def add(self, now, success):
        """Adds a delivery, or a failure."""
        decay = 0.5 ** ((now - self.updated_at) / self.HALF_LIFE_S)
        self.consecutive = 0 if success else self.consecutive + 1
        self.successes, self.failures = (
            self.successes * decay + success,
            self.failures * decay + (not success),
        )
        self.updated_at = now


class RefusalCostDetector:
    """Learns for a kind of destination whether refused calls use up its limits.

    It weighs refusals against deliveries at times when nothing of the limit was left.
    """

    # A limit that refused calls do not use up still delivers one call in three at three times its rate:
    # a delivery weighs as much as three refusals.
    PROVEN_SCORE, DELIVERY_WEIGHT, MAX_SCORE = 3, 3, 6

    score, proven = 0, False

    def add(self, refused):
        """Adds a refusal or a delivery at a used-up limit."""
        self.score = max(
            -self.MAX_SCORE, min(self.MAX_SCORE, self.score + (1 if refused else -self.DELIVERY_WEIGHT))
        )
        self.proven = self.score >= self.PROVEN_SCORE or (self.proven and self.score > -self.MAX_SCORE)


class DecayingRate:
    """How often something happened recently, in events a second."""

    MIN_MEASURED_S = 2.0  # a rate measured for less time counts as measured for so long

    def __init__(self, half_life, since=-inf):
        """since: when counting began, a time of the clock; -inf: long ago."""
        self.weighted_count, self.updated_at, self.half_life, self.since = 0.0, 0.0, half_life, since

    def add(self, now):
        """Counts one event."""
        self.weighted_count = 1.0 + self.weighted_count * 0.5 ** ((now - self.updated_at) / self.half_life)
        self.updated_at = now

    def rate(self, now):
        """Events a second (0.693 is the natural logarithm of 2)."""
        return (
            self.weighted_count * 0.5 ** ((now - self.updated_at) / self.half_life) * 0.693 / self.half_life
        )

    def measured_rate(self, now):
        """Events a second up to then, also where counting began a short time ago."""
        now = max(now, self.updated_at)
        seconds = max(self.MIN_MEASURED_S, now - self.since)
        return self.rate(now) / (1.0 - 0.5 ** (seconds / self.half_life))

"""Comparison of two policies on the same days: the mean difference with a bootstrap interval."""

from dataclasses import dataclass

import numpy as np
from scipy.stats import bootstrap

LEVEL = 0.95
RESAMPLES = 4000


@dataclass(frozen=True, slots=True)
class Difference:
    """Mean of B minus A over paired seeds, and its interval; significant: the interval excludes 0."""

    mean: float
    low: float
    high: float
    days: int

    @property
    def significant(self) -> bool:
        """Whether the interval excludes 0."""
        return self.low > 0.0 or self.high < 0.0

    def describe(self, a: str, b: str) -> str:
        """The result in one line; a, b: names of the policies."""
        span = f"{self.mean:+.4f} ({self.low:+.4f} to {self.high:+.4f}, {self.days} days)"
        if not self.significant:
            return f"{b} against {a}: {span}: no significant difference"
        return f"{b} against {a}: {span}: {b if self.mean > 0.0 else a} is better"


def interval(values, seed: int = 0) -> tuple[float, float, float]:
    """(mean, low, high) of the mean of a sample, by the bias-corrected bootstrap; the interval of a
    single value is infinite."""
    sample = np.asarray(values, float)
    mean = float(sample.mean())
    if len(sample) < 2 or np.ptp(sample) == 0.0:
        return mean, (mean if len(sample) > 1 else -np.inf), (mean if len(sample) > 1 else np.inf)
    result = bootstrap(
        (sample,), np.mean, confidence_level=LEVEL, n_resamples=RESAMPLES, rng=np.random.default_rng(seed)
    )
    low, high = result.confidence_interval
    if np.isnan(low):
        return mean, float(sample.min()), float(sample.max())
    return mean, float(low), float(high)


def difference(a, b, seed: int = 0) -> Difference:
    """The difference of paired samples; a, b: figures of the same seeds, in the same order."""
    values = np.asarray(b, float) - np.asarray(a, float)
    return Difference(*interval(values, seed), len(values))


def share_of_best(g: float, floor: float, ceiling: float) -> float:
    """The position of g between floor (0) and ceiling (1); a distance below 0.1 counts as 0.1."""
    return 1.0 - (ceiling - g) / max(0.1, ceiling - floor)

"""Two policies on the same days: the mean difference with a bootstrap interval, or that it can't be told."""

from dataclasses import dataclass

import numpy as np
from scipy.stats import bootstrap

LEVEL = 0.95
DRAWS = 4000


@dataclass(frozen=True, slots=True)
class Difference:
    """mean of B less A over paired seeds, and its interval; told: whether the interval leaves out 0."""

    mean: float
    low: float
    high: float
    days: int

    @property
    def told(self) -> bool:
        return self.low > 0.0 or self.high < 0.0

    def words(self, a: str, b: str) -> str:
        span = f"{self.mean:+.4f} ({self.low:+.4f} to {self.high:+.4f}, {self.days} days)"
        if not self.told:
            return f"{b} against {a}: {span}: can't tell"
        return f"{b} against {a}: {span}: {b if self.mean > 0.0 else a} is better"


def interval(values, seed: int = 0) -> tuple[float, float, float]:
    """(mean, low, high) of a sample's mean, by the bias-corrected bootstrap; a sample of one has no
    interval."""
    found = np.asarray(values, float)
    mean = float(found.mean())
    if len(found) < 2 or np.ptp(found) == 0.0:
        return mean, (mean if len(found) > 1 else -np.inf), (mean if len(found) > 1 else np.inf)
    told = bootstrap(
        (found,), np.mean, confidence_level=LEVEL, n_resamples=DRAWS, rng=np.random.default_rng(seed)
    )
    low, high = told.confidence_interval
    if np.isnan(low):
        return mean, float(found.min()), float(found.max())
    return mean, float(low), float(high)


def difference(a, b, seed: int = 0) -> Difference:
    """a, b: figures of the same seeds, in the same order."""
    values = np.asarray(b, float) - np.asarray(a, float)
    return Difference(*interval(values, seed), len(values))


def share_of_best(g: float, floor: float, ceiling: float) -> float:
    """How far from one try (0) to the best (1); a tenth is the least that it is set between."""
    return 1.0 - (ceiling - g) / max(0.1, ceiling - floor)

"""Validation of the emulated endpoints against queueing theory: M/M/c, M/D/1, M/G/1 and M/M/c/K.

Erlang's delay and loss formulas and the Pollaczek-Khinchine mean wait: see Kleinrock, Queueing Systems,
volume 1.
"""

from dataclasses import dataclass
from math import factorial, inf

import numpy as np
from joblib import Parallel, delayed
from scipy.stats import t as student

from .sim import paces
from .sim.clock import Clock
from .sim.partners import Call, Route, Unit, WarmUp
from .sim.random_streams import RandomStreams

LOADS = (0.5, 0.7, 0.85)
LEVEL = 0.99  # confidence of the intervals: twelve are checked together
WARM_UP_SHARE = 0.1  # of each run is not counted


@dataclass(frozen=True, slots=True)
class Row:
    """A model at a load: the theoretical value, the measured mean and its interval."""

    model: str
    load: float
    what: str
    theory: float
    mean: float
    low: float
    high: float

    @property
    def good(self) -> bool:
        """Whether the interval contains the theoretical value."""
        return self.low <= self.theory <= self.high


def erlang_c(servers: int, offered: float) -> float:
    """The probability of waiting, with `offered` erlangs at so many servers."""
    waiting = offered**servers / factorial(servers) / (1.0 - offered / servers)
    return waiting / (sum(offered**k / factorial(k) for k in range(servers)) + waiting)


def loss(servers: int, queue_places: int, offered: float) -> float:
    """The probability that an arrival is rejected (M/M/c/K)."""
    weights = [
        offered**k / factorial(min(k, servers)) / servers ** max(0, k - servers)
        for k in range(servers + queue_places + 1)
    ]
    return weights[-1] / sum(weights)


def wait_mg1(load: float, cv: float) -> float:
    """Mean wait of M/G/1 in units of the mean service time."""
    return load * (1.0 + cv**2) / (2.0 * (1.0 - load))


class _Sender:
    """The sender of calls in place of a relay."""

    incarnation, number, building = 0, 0, 0


def queue(
    shape: str, cv: float, servers: int, queue_places: float, load: float, seed: int, count: int
) -> tuple[float, float]:
    """Run one endpoint; returns (mean wait in units of the mean service time, share of rejected calls)."""
    streams, clock = RandomStreams(seed), Clock()
    unit = Unit("u", 1.0, WarmUp(1.0, 0.0, 1.0, 1.0, 0.0))
    waits, lost = [], [0]

    def done(call: Call) -> None:
        waits.append((call.sent, clock.now - call.sent - call.work))

    route = Route("r", unit, 0, servers, queue_places, clock, done)
    at = np.cumsum(streams.generator("arrivals").exponential(1.0 / (load * servers), count))
    work = paces.draw_normalized(shape, cv, [], streams.generator("work"), count)

    def arrive(i: int) -> None:
        if i + 1 < count:
            clock.call_at(float(at[i + 1]), arrive, i + 1)
        call = Call(_Sender, route, [], clock.now)
        call.work = float(work[i])
        if not route.enqueue(call) and clock.now > WARM_UP_SHARE * at[-1]:
            lost[0] += 1

    clock.call_at(float(at[0]), arrive, 0)
    clock.run(float(at[-1]) * 2.0)
    kept = [wait for sent, wait in waits if sent > WARM_UP_SHARE * at[-1]]
    return float(np.mean(kept)), lost[0] / (len(kept) + lost[0])


MODELS = (
    ("M/M/1", "exponential", 1.0, 1, inf, "wait", lambda rho: rho / (1.0 - rho)),
    ("M/M/8", "exponential", 1.0, 8, inf, "wait", lambda rho: erlang_c(8, 8 * rho) / (8 * (1.0 - rho))),
    ("M/D/1", "fixed", 0.0, 1, inf, "wait", lambda rho: wait_mg1(rho, 0.0)),
    ("M/G/1", "lognormal", 1.5, 1, inf, "wait", lambda rho: wait_mg1(rho, 1.5)),
    ("M/M/4/6", "exponential", 1.0, 4, 2, "loss", lambda rho: loss(4, 2, 4 * rho)),
)


def check(count: int = 40_000, runs: int = 24, seed: int = 1, cores: int = -1) -> list[Row]:
    """Each model at each load: theory, the mean of independent runs and its interval."""
    jobs = [(m, rho, r) for m in MODELS for rho in LOADS for r in range(runs)]
    found = Parallel(cores)(
        delayed(queue)(m[1], m[2], m[3], m[4], rho, seed * 10_007 + r * 101 + i, count)
        for i, (m, rho, r) in enumerate(jobs)
    )
    rows = []
    for m in MODELS:
        for rho in LOADS:
            samples = [
                f for (model, load, _), f in zip(jobs, found, strict=True) if model is m and load == rho
            ]
            values = np.array([f[0] if m[5] == "wait" else f[1] for f in samples])
            half = (
                student.ppf((1.0 + LEVEL) / 2.0, len(values) - 1) * values.std(ddof=1) / np.sqrt(len(values))
            )
            mean = float(values.mean())
            rows.append(Row(m[0], rho, m[5], float(m[6](rho)), mean, mean - half, mean + half))
    return rows

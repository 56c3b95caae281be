"""The arrivals of a day, drawn in advance in arrays, so that all compared policies receive the same."""

from dataclasses import dataclass

import numpy as np

from . import paces
from .random_streams import RandomStreams

BURST_PHASE_S = 4.0  # mean duration of the high and low phases of bursty traffic
WAVE_PERIOD_S = 20.0
CLUMP_SPREAD_S = 0.3  # mean delay of an arrival after the start of its clump


@dataclass(slots=True)
class Arrivals:
    """One entry for each notification, ordered by time.

    time: seconds; work: multiplies the destination's service time, mean 1; key: -1 where the topic type keeps
    no order; benefit_factor: 1, or the share of the benefit left over a customer's quota.
    """

    time: np.ndarray
    destination: np.ndarray
    topic: np.ndarray
    customer: np.ndarray
    work: np.ndarray
    key: np.ndarray
    benefit_factor: np.ndarray

    def __len__(self) -> int:
        return len(self.time)


def intensity(
    shape: str, swing: float, seconds: float, rng: np.random.Generator
) -> tuple[np.ndarray, np.ndarray]:
    """The edges of intervals in seconds, and the load in each, relative to a mean of about 1."""
    edges = np.arange(0.0, seconds + 0.25, 0.25)
    middle = (edges[:-1] + edges[1:]) / 2.0
    if shape == "ramp":
        level = 1.0 + swing * (2.0 * middle / seconds - 1.0)
    elif shape == "wave":
        level = 1.0 + swing * np.sin(2.0 * np.pi * (middle / WAVE_PERIOD_S + rng.random()))
    elif shape == "bursty":
        phase_ends = np.cumsum(rng.exponential(BURST_PHASE_S, int(4 * seconds / BURST_PHASE_S) + 8))
        level = 1.0 + swing * np.where(np.searchsorted(phase_ends, middle) % 2 == rng.integers(2), 1.0, -1.0)
    else:
        level = np.ones(len(middle))
    return edges, level


def times(
    edges: np.ndarray, level: np.ndarray, rate: float, seconds: float, rng: np.random.Generator
) -> np.ndarray:
    """Times of a Poisson process with the intensity `rate` times the level, by inverting its integral."""
    expected = np.concatenate([[0.0], np.cumsum(level * np.diff(edges) * rate)])
    count = rng.poisson(expected[-1])
    time = np.interp(np.sort(rng.random(count)) * expected[-1], expected, edges)
    return time[time < seconds]


def draw(
    day, shares: np.ndarray, accepted_rates: np.ndarray, load: float, extra: list, streams: RandomStreams
) -> Arrivals:
    """The arrivals of a day.

    day: the scenario; shares: of the traffic by destination, sum 1; accepted_rates: calls a second by
    destination, for the size of clumps; extra: (time, destination, count) of clumps that faults add.
    """
    traffic, rng = day.traffic, streams.generator("arrivals")
    edges, level = intensity(traffic.shape, traffic.swing, day.seconds, rng)
    rate = traffic.rate * load
    time = times(edges, level, rate * (1.0 - traffic.clumps), day.seconds, rng)
    dest = rng.choice(len(shares), len(time), p=shares)
    parts = [(time, dest)]
    if traffic.clumps > 0.0:
        sizes = np.maximum(2.0, traffic.clump * accepted_rates)
        mean = float((shares * sizes).sum())
        begins = times(edges, level, rate * traffic.clumps / mean, day.seconds, rng)
        extra = extra + [
            (b, d, int(rng.poisson(sizes[d])))
            for b, d in zip(begins, rng.choice(len(shares), len(begins), p=shares), strict=True)
        ]
    for begin, d, count in extra:
        clump_times = begin + rng.exponential(CLUMP_SPREAD_S, count)
        clump_times = clump_times[clump_times < day.seconds]
        parts.append((clump_times, np.full(len(clump_times), d)))
    time, dest = np.concatenate([p[0] for p in parts]), np.concatenate([p[1] for p in parts])
    order = np.argsort(time, kind="stable")
    time, dest, n = time[order], dest[order].astype(np.int64), len(time)
    topic = rng.choice(len(day.topic), n, p=_normalized([x.share for x in day.topic]))
    customer = rng.choice(len(day.customer), n, p=_normalized([x.share for x in day.customer]))
    ordered = np.array([x.keep_order for x in day.topic])
    key = np.where(ordered[topic], rng.integers(traffic.keys, size=n), -1)
    work, work_rng = np.ones(n), streams.generator("work")
    group = np.repeat(np.arange(len(day.group)), [g.count for g in day.group])[dest]
    for i, g in enumerate(day.group):
        selected = group == i
        service = g.service
        work[selected] = paces.draw_normalized(
            service.shape, service.cv, service.values, work_rng, int(selected.sum())
        )
    work *= np.array([x.work for x in day.topic])[topic]
    return Arrivals(time, dest, topic, customer, work, key, _benefit_factors(day, time, customer))


def _normalized(weights: list[float]) -> np.ndarray:
    values = np.asarray(weights, float)
    return values / values.sum()


def _benefit_factors(day, time: np.ndarray, customer: np.ndarray) -> np.ndarray:
    """1 within the customer's quota, averaged over five seconds, and traffic.over_share above it."""
    factors, shares = np.ones(len(time)), _normalized([c.share for c in day.customer])
    for i, c in enumerate(day.customer):
        if c.quota <= 0.0:
            continue
        rate = max(1e-9, c.quota * shares[i] * day.traffic.rate)
        level = last = 0.0
        for n in np.flatnonzero(customer == i):
            level, last = max(0.0, level - rate * (time[n] - last)), time[n]
            if level + 1.0 > rate * 5.0 + 1.0:
                factors[n] = day.traffic.over_share
            else:
                level += 1.0
    return factors

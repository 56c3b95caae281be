"""What clients hand in over a day, drawn beforehand in arrays: the same for every policy that is compared."""

from dataclasses import dataclass

import numpy as np

from . import paces
from .random_streams import RandomStreams

BURST = 4.0  # seconds that a bursty day's high and low spells last on average
WAVE = 20.0  # seconds of a wave
CLUMP_SPREAD = 0.3  # seconds in which most of a clump comes


@dataclass(slots=True)
class Arrivals:
    """One entry a notification, by time. at: seconds; work: of mean 1, times a destination's pace; key: -1
    where its topic type keeps no order; worth: 1, or what is left of it past a customer's quota."""

    at: np.ndarray
    destination: np.ndarray
    topic: np.ndarray
    customer: np.ndarray
    work: np.ndarray
    key: np.ndarray
    worth: np.ndarray

    def __len__(self) -> int:
        return len(self.at)


def intensity(
    shape: str, swing: float, seconds: float, gen: np.random.Generator
) -> tuple[np.ndarray, np.ndarray]:
    """Edges of spells in seconds, and the load in each beside its mean of about 1."""
    edges = np.arange(0.0, seconds + 0.25, 0.25)
    middle = (edges[:-1] + edges[1:]) / 2.0
    if shape == "ramp":
        level = 1.0 + swing * (2.0 * middle / seconds - 1.0)
    elif shape == "wave":
        level = 1.0 + swing * np.sin(2.0 * np.pi * (middle / WAVE + gen.random()))
    elif shape == "bursty":
        turns = np.cumsum(gen.exponential(BURST, int(4 * seconds / BURST) + 8))
        level = 1.0 + swing * np.where(np.searchsorted(turns, middle) % 2 == gen.integers(2), 1.0, -1.0)
    else:
        level = np.ones(len(middle))
    return edges, level


def times(
    edges: np.ndarray, level: np.ndarray, rate: float, seconds: float, gen: np.random.Generator
) -> np.ndarray:
    """A Poisson stream of `rate` times the level, by inverting its integral."""
    reached = np.concatenate([[0.0], np.cumsum(level * np.diff(edges) * rate)])
    count = gen.poisson(reached[-1])
    at = np.interp(np.sort(gen.random(count)) * reached[-1], reached, edges)
    return at[at < seconds]


def draw(
    day, shares: np.ndarray, takes: np.ndarray, load: float, extra: list, chance: RandomStreams
) -> Arrivals:
    """A day's arrivals.

    day: the scenario; shares: of the traffic by destination, sum 1; takes: calls a second by destination,
    for the size of clumps; extra: (at, destination, count) of clumps that faults bring.
    """
    t, gen = day.traffic, chance.of("arrivals")
    edges, level = intensity(t.shape, t.swing, day.seconds, gen)
    rate = t.rate * load
    at = times(edges, level, rate * (1.0 - t.clumps), day.seconds, gen)
    dest = gen.choice(len(shares), len(at), p=shares)
    parts = [(at, dest)]
    if t.clumps > 0.0:
        sizes = np.maximum(2.0, t.clump * takes)
        mean = float((shares * sizes).sum())
        begins = times(edges, level, rate * t.clumps / mean, day.seconds, gen)
        extra = extra + [
            (b, d, int(gen.poisson(sizes[d])))
            for b, d in zip(begins, gen.choice(len(shares), len(begins), p=shares), strict=True)
        ]
    for begin, d, count in extra:
        came = begin + gen.exponential(CLUMP_SPREAD, count)
        came = came[came < day.seconds]
        parts.append((came, np.full(len(came), d)))
    at, dest = np.concatenate([p[0] for p in parts]), np.concatenate([p[1] for p in parts])
    order = np.argsort(at, kind="stable")
    at, dest, n = at[order], dest[order].astype(np.int64), len(at)
    topic = gen.choice(len(day.topic), n, p=_even([x.share for x in day.topic]))
    customer = gen.choice(len(day.customer), n, p=_even([x.share for x in day.customer]))
    ordered = np.array([x.keep_order for x in day.topic])
    key = np.where(ordered[topic], gen.integers(t.keys, size=n), -1)
    work, kinds = np.ones(n), chance.of("work")
    group = np.repeat(np.arange(len(day.group)), [g.count for g in day.group])[dest]
    for i, g in enumerate(day.group):
        mine = group == i
        s = g.service
        work[mine] = paces.unit(s.shape, s.cv, s.values, kinds, int(mine.sum()))
    work *= np.array([x.work for x in day.topic])[topic]
    return Arrivals(at, dest, topic, customer, work, key, _worth(day, at, customer))


def _even(weights: list[float]) -> np.ndarray:
    made = np.asarray(weights, float)
    return made / made.sum()


def _worth(day, at: np.ndarray, customer: np.ndarray) -> np.ndarray:
    """1 for what is within its customer's quota, over five seconds, and traffic.over_share past it."""
    worth, shares = np.ones(len(at)), _even([c.share for c in day.customer])
    for i, c in enumerate(day.customer):
        if c.quota <= 0.0:
            continue
        rate = max(1e-9, c.quota * shares[i] * day.traffic.rate)
        level = last = 0.0
        for n in np.flatnonzero(customer == i):
            level, last = max(0.0, level - rate * (at[n] - last)), at[n]
            if level + 1.0 > rate * 5.0 + 1.0:
                worth[n] = day.traffic.over_share
            else:
                level += 1.0
    return worth

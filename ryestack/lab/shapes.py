"""Submission times of an open-loop load: drawn in advance, independent of the relay. Pure."""

from collections.abc import Iterator
from random import Random

SHAPES = ("constant", "poisson", "bursts")
BURST_INTERVAL_S = 1.0  # between bursts: queues drain in between at usual rates


def times(shape: str, rate: float, seconds: float, rng: Random) -> Iterator[float]:
    """The ascending times of submissions, in seconds from the start; rate: submissions a second, above 0.

    Raises ValueError for an unknown shape.
    """
    if shape not in SHAPES:
        raise ValueError(f"unknown shape {shape!r}, must be one of {', '.join(SHAPES)}")
    if shape == "bursts":
        yield from _bursts(rate, seconds, rng)
        return
    time = 0.0
    while True:
        time += 1.0 / rate if shape == "constant" else rng.expovariate(rate)
        if time >= seconds:
            return
        yield time


def _bursts(rate: float, seconds: float, rng: Random) -> Iterator[float]:
    """The submissions of each interval come within its first tenth."""
    begin, pending = 0.0, 0.0
    while begin < seconds:
        pending += rate * min(BURST_INTERVAL_S, seconds - begin)
        count = int(pending)
        pending -= count
        yield from sorted(begin + rng.random() * BURST_INTERVAL_S / 10.0 for _ in range(count))
        begin += BURST_INTERVAL_S

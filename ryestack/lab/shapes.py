"""When an open loop's hand-ins come: times drawn beforehand, whatever the relay does. Pure."""

from collections.abc import Iterator
from random import Random

SHAPES = ("constant", "poisson", "bursts")
BURST_EVERY = 1.0  # seconds between bursts: long enough that queues drain in between at a usual pace


def times(shape: str, rate: float, seconds: float, chance: Random) -> Iterator[float]:
    """Seconds from the start, rising, of each hand-in; rate: a second on average, above 0."""
    if shape not in SHAPES:
        raise ValueError(f"shape {shape!r}, must be one of {', '.join(SHAPES)}")
    if shape == "bursts":
        yield from _bursts(rate, seconds, chance)
        return
    at = 0.0
    while True:
        at += 1.0 / rate if shape == "constant" else chance.expovariate(rate)
        if at >= seconds:
            return
        yield at


def _bursts(rate: float, seconds: float, chance: Random) -> Iterator[float]:
    """All that belongs to a span comes within its first tenth."""
    begin, owed = 0.0, 0.0
    while begin < seconds:
        owed += rate * min(BURST_EVERY, seconds - begin)
        count = int(owed)
        owed -= count
        yield from sorted(begin + chance.random() * BURST_EVERY / 10.0 for _ in range(count))
        begin += BURST_EVERY

"""Chance: streams by name from one seed, so that one part's draws never shift another's.

Draws that policies are compared by (arrivals, work) are made beforehand in arrays; the others come in blocks,
since single draws from numpy cost ten times as much.
"""

import zlib
from collections.abc import Callable

import numpy as np


class RandomStreams:
    """Streams of one seed, a non-negative whole number."""

    def __init__(self, seed: int):
        self.seed = seed

    def of(self, *names) -> np.random.Generator:
        words = [zlib.crc32(str(name).encode()) for name in names]
        return np.random.Generator(np.random.PCG64(np.random.SeedSequence([self.seed, *words])))


def block(draw: Callable[[int], np.ndarray], size: int = 256) -> Callable[[], float]:
    """A function that gives the draws one by one, taken so many at a time."""
    held: list[float] = []

    def one() -> float:
        if not held:
            held.extend(draw(size).tolist())
        return held.pop()

    return one

"""Named random streams from one seed, so that the draws of one component never shift those of another.

Draws that policies are compared by (arrivals, work) are made in advance in arrays. The others are taken in
blocks, since single draws from numpy cost ten times as much.
"""

import zlib
from collections.abc import Callable

import numpy as np


class RandomStreams:
    """Random streams of next_draw seed, a non-negative integer."""

    def __init__(self, seed: int):
        self.seed = seed

    def generator(self, *names) -> np.random.Generator:
        """A new generator for the stream of these names."""
        hashes = [zlib.crc32(str(name).encode()) for name in names]
        return np.random.Generator(np.random.PCG64(np.random.SeedSequence([self.seed, *hashes])))


def buffered(draw: Callable[[int], np.ndarray], size: int = 256) -> Callable[[], float]:
    """A function that returns single draws, taken from `draw` in blocks of `size`."""
    buffer: list[float] = []

    def next_draw() -> float:
        if not buffer:
            buffer.extend(draw(size).tolist())
        return buffer.pop()

    return next_draw

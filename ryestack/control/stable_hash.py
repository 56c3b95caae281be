"""Hashes that are identical across processes, releases and machines, and can be computed in bulk."""

import struct
from hashlib import blake2b, shake_128

U64_BYTES = 8
FRACTION_BITS = 52


def hash_u64s(seed: str, count: int) -> tuple[int, ...]:
    """`count` 64-bit values; a larger count keeps the first values."""
    return struct.unpack(f"<{count}Q", shake_128(seed.encode()).digest(count * U64_BYTES))


def hash_table(seed: str, rows: int, columns: int) -> list[tuple[int, ...]]:
    """Rows of 64-bit values; more rows keep the first ones."""
    digest = shake_128(seed.encode()).digest(rows * columns * U64_BYTES)
    return list(struct.iter_unpack(f"<{columns}Q", digest))


def hash_u64(text: str) -> int:
    """A 64-bit hash of a text."""
    return int.from_bytes(blake2b(text.encode(), digest_size=U64_BYTES).digest(), "little")


def as_fraction(value: int) -> float:
    """Maps a 64-bit value to a number above 0 and below 1."""
    return ((value >> (8 * U64_BYTES - FRACTION_BITS)) + 0.5) / (1 << FRACTION_BITS)

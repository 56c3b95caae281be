"""Hashes that are the same in each process, release and machine, and can be taken in bulk."""

import struct
from hashlib import blake2b, shake_128

U64_BYTES = 8
FRACTION_BITS = 52


def hash_u64s(seed: str, count: int) -> tuple[int, ...]:
    """`count` words of 64 bits; asked for more, the first ones stay the same."""
    return struct.unpack(f"<{count}Q", shake_128(seed.encode()).digest(count * U64_BYTES))


def hash_table(seed: str, rows: int, columns: int) -> list[tuple[int, ...]]:
    """Rows of words of 64 bits; with more rows, the first ones stay the same."""
    digest = shake_128(seed.encode()).digest(rows * columns * U64_BYTES)
    return list(struct.iter_unpack(f"<{columns}Q", digest))


def hash_u64(text: str) -> int:
    """A word of 64 bits."""
    return int.from_bytes(blake2b(text.encode(), digest_size=U64_BYTES).digest(), "little")


def as_fraction(value: int) -> float:
    """A word of 64 bits as a number above 0 and below 1."""
    return ((value >> (8 * U64_BYTES - FRACTION_BITS)) + 0.5) / (1 << FRACTION_BITS)

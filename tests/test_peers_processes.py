"""Relay processes that replicate to each other, with kills, pauses, cut links and delays.

The results are judged by what partners and platform recorded.
"""

import asyncio
import tempfile
from pathlib import Path

import pytest

from ryestack.lab import peers


@pytest.mark.parametrize(
    "story, seed, count",
    [("keeper_wiped", 1, 3), ("keeper_stopped", 2, 3), ("zone_cut", 3, 5), ("successor_killed", 4, 5),
     ("rolling", 5, 3), ("everything", 6, 7), ("upgraded", 7, 3)],
)  # fmt: skip
def test_each_taken_notification_ends_exactly_once(story, seed, count):
    with tempfile.TemporaryDirectory() as folder:
        result, _ = asyncio.run(peers.run(Path(folder), story, seed, count))
    assert result.taken > 50
    assert (
        result.lost,
        result.twice,
        result.two_ends,
        result.false_ends,
        result.after_its_end,
    ) == (0, 0, 0, 0, 0), result.broken

"""Processes that guard each other: killed, stopped, cut and late; judged from partners' and platform's
books."""

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
def test_each_taken_one_ends_once(story, seed, count):
    with tempfile.TemporaryDirectory() as folder:
        told, _ = asyncio.run(peers.run(Path(folder), story, seed, count))
    assert told.taken > 50
    assert (told.lost, told.twice, told.two_ends, told.false_ends, told.after_its_end) == (0, 0, 0, 0, 0), (
        told.broken
    )

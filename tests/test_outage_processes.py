"""Real relays, and a partner behind a proxy that is away and comes back cold; judged from its book."""

import asyncio
from pathlib import Path

import pytest

from ryestack.lab.outage.partner import Away
from ryestack.lab.outage.process_model import ProcessPlay
from ryestack.lab.outage.processes import play


@pytest.mark.parametrize("signals", [0, 3])
def test_partner_back_from_refusing_with_waits_is_pushed_over_by_relays_refused_once(signals, tmp_path: Path):
    """Forty relays that were each refused once or twice sent it over twice what it may get."""
    plan = ProcessPlay(
        seed=2 + bool(signals), away=Away.REFUSES_UNTIL_RETURN, even=True, killed=signals, reloaded=signals
    )
    result = asyncio.run(play(plan, tmp_path))
    assert not result.problems
    assert result.taken and result.delivered
    assert not result.overload.breaks_rule, result


FOUR = {"relays": 4, "capacity": 20.0, "load": 1.0, "begin": 6.0}


def test_calls_made_to_a_dead_link_land_together_at_its_return(tmp_path: Path):
    """Four relays held up to ten calls each open at a partner that they knew to be down."""
    plan = ProcessPlay(seed=1, away=Away.VANISHES, end=14.0, seconds=18.0, **FOUR)
    result = asyncio.run(play(plan, tmp_path))
    assert not result.problems
    assert result.taken and result.delivered
    assert not result.overload.breaks_rule, result


def test_relays_killed_in_the_warm_up_are_warm_in_their_next_process(tmp_path: Path):
    """All four are killed a second after the return; the disk takes the small file, not the learned state."""
    kills = {"killed": 4, "killed_after": 1.0, "keeps_learned": False}
    plan = ProcessPlay(seed=2, away=Away.REFUSES, end=12.0, seconds=18.0, **FOUR, **kills)
    result = asyncio.run(play(plan, tmp_path))
    assert not result.problems
    assert result.taken and result.delivered
    assert not result.overload.breaks_rule, result

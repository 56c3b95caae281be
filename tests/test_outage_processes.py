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

"""A fleet of decision modules in simulated time, and a partner that is away and comes back cold."""

import pytest

from ryestack.lab.outage.fleet import Fleet, OutagePlay
from ryestack.lab.outage.partner import Away

SEEDS = range(1000, 1006)


def broken(away: Away, **more) -> list[int]:
    """The seeds whose play overloads the partner."""
    return [s for s in SEEDS if Fleet(OutagePlay(s, away, **more)).run().overload.breaks_rule]


@pytest.mark.parametrize("relays", [40, 200])
@pytest.mark.parametrize("away", [Away.REFUSES, Away.REFUSES_WITH_WAIT, Away.REFUSES_UNTIL_RETURN])
def test_partner_that_refused_is_pushed_over_by_relays_refused_once_or_twice(away, relays):
    """One or two refusals are all that a relay of a large fleet sees of an outage."""
    assert broken(away, relays=relays) == []

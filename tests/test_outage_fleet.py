"""A fleet of decision modules in simulated time, and a partner that is away and comes back cold."""

import pytest

from ryestack.lab.outage.fleet import Fleet
from ryestack.lab.outage.partner import Away
from ryestack.lab.outage.plays import OutagePlay

SEEDS, MORE_SEEDS = range(1000, 1006), range(1000, 1024)
SHUT = (Away.REFUSES, Away.REFUSES_WITH_WAIT, Away.REFUSES_UNTIL_RETURN)


def broken(away: Away, seeds=SEEDS, **more) -> list[int]:
    """The seeds whose play overloads the partner."""
    return [s for s in seeds if Fleet(OutagePlay(s, away, **more)).run().overload.breaks_rule]


@pytest.mark.parametrize("relays", [40, 200])
@pytest.mark.parametrize("away", SHUT)
def test_partner_that_refused_is_pushed_over_by_relays_refused_once_or_twice(away, relays):
    """One or two refusals are all that a relay of a large fleet sees of an outage."""
    assert broken(away, relays=relays) == []


@pytest.mark.parametrize(
    "case",
    [
        {"relays": 4}, {"relays": 12}, {"even": True}, {"load": 0.2}, {"load": 1.2}, {"capacity": 4.0},
        {"capacity": 40.0, "even": True, "load": 0.9}, {"per_route": True}, {"killed": 0.5},
        {"reloads": True}, {"replaces": True}, {"begin": 5.0},
        {"begin": 10.0, "end": 40.0, "seconds": 50.0},
    ],
    ids=lambda case: " ".join(f"{key}={value}" for key, value in case.items()),
)  # fmt: skip
@pytest.mark.parametrize("away", [*SHUT, Away.REFUSES_MOST, Away.TURNS])
def test_partner_that_refused_is_pushed_over_in_fleets_of_other_shapes(away, case):
    """Sizes, loads, capacities, kills, reloads, replaced endpoints, short and long outages."""
    assert broken(away, **case) == []


@pytest.mark.parametrize("away", [Away.REFUSES, Away.REFUSES_UNTIL_RETURN, Away.TURNS])
def test_partner_away_for_two_seconds_is_pushed_over(away):
    """Relays can't tell an outage that short from chance before it is over."""
    assert broken(away, MORE_SEEDS, begin=8.0, even=True, load=0.9) == []


def test_partner_is_pushed_over_by_relays_killed_with_their_folders_lost():
    """A process that knows nothing of the outage takes the partner for warm."""
    assert broken(Away.REFUSES, MORE_SEEDS, killed=0.5, forgets=True) == []


def test_partner_that_fails_most_calls_is_pushed_over():
    """The fifth call that is delivered in the outage makes a relay take the partner for warm."""
    assert broken(Away.FAILS_MOST, MORE_SEEDS) == []


@pytest.mark.parametrize("refuses, least", [(0.0, 0.99), (1 / 7, 0.94), (1 / 3, 0.53)])
def test_refusals_at_random_are_taken_for_an_outage(refuses, least):
    """Without an outage, at a load of 0.7: delivered at least as before outages were found sooner."""
    plays = [Fleet(OutagePlay(s, Away.NEVER, seconds=60.0, refuses=refuses)).run() for s in MORE_SEEDS]
    assert sum(play.delivered_share for play in plays) / len(plays) >= least

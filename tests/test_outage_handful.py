"""A handful of decision modules in simulated time, and a partner that is back cold: the fleet's sum."""

import pytest

from ryestack.lab.outage.family import broken, play

SEEDS, WORKERS = range(2000, 2003), 4


def pushed_over(case: str) -> list[tuple[str, int]]:
    """The way to be away and the seed of each play of the case that overloads the partner."""
    return broken(play([case], SEEDS, WORKERS)[case])


@pytest.mark.parametrize(
    "case", ["0.5 s", "1 s", "1.5 s", "2 s", "1 s at load 1.2", "1 s at capacity 80", "2 s, by endpoint"]
)
def test_outage_that_ends_before_it_is_proven_leaves_told_relays_warm(case):
    """Relays that were refused or failed once or twice sent what they had parked, as to a warm partner."""
    assert pushed_over(case) == []


@pytest.mark.parametrize("case", ["4 s", "4 s, 2 relays", "8 s", "4 s, killed in it"])
def test_outage_of_seconds_pushes_over_by_a_handful_of_relays(case):
    """Every way to be away."""
    assert pushed_over(case) == []


@pytest.mark.parametrize(
    "case",
    [
        "4 s, killed 0.5 s after", "4 s, killed 3 s after", "1.9 s, killed 0.4 s after",
        "2 s, by endpoint, killed in it",
    ],
)  # fmt: skip
def test_process_after_a_kill_in_the_warm_up_takes_the_partner_for_warm(case):
    """The first delivery emptied the file of failing routes; the learned state was from before the outage."""
    assert pushed_over(case) == []


@pytest.mark.parametrize("case", ["4 s, limit twice the capacity", "4 s, limit twice the capacity, even"])
def test_reported_limit_above_the_capacity_is_taken_for_it(case):
    """A limit may be higher than what the partner takes, or older than its outage."""
    assert pushed_over(case) == []


@pytest.mark.parametrize("case", ["8 s, 12 relays at capacity 5", "8 s, 40 relays"])
def test_calls_held_by_a_link_land_together_at_the_return(case):
    """Calls without an answer stayed open for ten seconds, those made to try the partner among them."""
    assert pushed_over(case) == []


@pytest.mark.parametrize("case", ["4 s, killed in it, no folder", "4 s, killed 0.5 s after, no folder"])
def test_process_without_a_folder_sends_all_that_it_owes_at_once(case):
    """A process that knows nothing took its partner for warm, and borrowed."""
    assert pushed_over(case) == []

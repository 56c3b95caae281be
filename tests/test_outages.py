"""Rule 4: a route that comes back from an outage is sent no more than its cold budget."""

import pytest

from ryestack.interface import Endpoint, EndpointStatus, ListUpdate, Result, TimerFired

from .helpers import RULES, brain, end, pushes, take

RATE = 50.0  # calls a second that each endpoint takes once it is warm
STEP_S = 0.01  # one notification is offered in each
OUTAGE_AT_S = 1.0  # of route a; route b always delivers


def listed(kind, *names, draining=()):
    """The whole list with these routes."""
    status = {name: EndpointStatus.DRAINING if name in draining else EndpointStatus.READY for name in names}
    rows = tuple(Endpoint(name, "z", kind, 7, status[name], rate=RATE) for name in names)
    return ListUpdate(rows, whole=True)


def calls_after_return(module, back_at, at_outage):
    """Times since its return of the calls by route a while it is cold; at_outage: an event as it fails."""
    calls, steps = [], 0
    while (now := steps * STEP_S) < back_at + RULES.cold_time:
        steps += 1
        events = [at_outage] if now == OUTAGE_AT_S else [TimerFired()]
        began = pushes(module.round(now, [*events, take(f"n{steps}", due=now + 20.0)]))
        while began:
            name, endpoint = began.pop()
            number = max(push for held, push in module.in_flight if held == name)
            failed = endpoint == "a" and OUTAGE_AT_S <= now < back_at
            result = Result.BROKEN if failed else Result.DELIVERED
            began += pushes(module.round(now, [end(name, endpoint, result, number)]))
            calls += [now - back_at] if endpoint == "a" and now >= back_at else []
    return calls


def excess(calls):
    """Calls past the budget in the worst window."""
    def allowed(at):
        share = RULES.cold_share + (1.0 - RULES.cold_share) * at / RULES.cold_time
        return RATE * RULES.overload_factor * share * RULES.fall_time

    return max(sum(at - RULES.fall_time < t <= at for t in calls) - allowed(at) for at in calls)


@pytest.mark.parametrize("outage_seconds", [1.5, 2.4, 3.6, 8.0])
def test_a_partner_that_fails_while_its_other_endpoint_drains_is_not_pushed_over(outage_seconds):
    module = brain(routes=("b",), rate=RATE, slots=100, relays=1)
    change = listed("shared", "a", "b", draining="b")
    assert excess(calls_after_return(module, OUTAGE_AT_S + outage_seconds, change)) <= 0.0


def test_an_endpoint_that_fails_while_its_sibling_delivers_leaves_the_shared_limit_warm():
    module = brain(rate=RATE, slots=100, relays=1)
    calls_after_return(module, OUTAGE_AT_S + 3.6, listed("shared", "a", "b"))
    assert module.routes["a"].limiter.cold_since is None


@pytest.mark.parametrize("outage_seconds", [8.0, 10.0, 13.0, 16.0, 25.0])
def test_a_route_with_an_outage_of_its_own_is_not_pushed_over_when_it_is_tried_again(outage_seconds):
    module = brain("apart", rate=RATE, slots=100, relays=1)
    unchanged = listed("apart", "a", "b")
    calls = calls_after_return(module, OUTAGE_AT_S + outage_seconds, unchanged)
    assert not calls or excess(calls) <= 0.0

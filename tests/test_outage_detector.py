"""A destination that is away is told from one that refuses at random or at a limit."""

from random import Random

import pytest

from ryestack.brain.health import Health
from ryestack.brain.outage_detector import OutageDetector
from ryestack.interface import Result

from .helpers import brain, end, take

THIN, HEAVY = 0.25, 2.5  # calls a second: parts of a relay among forty, and among four


def refused(times, part=THIN, wait=0.0):
    """A detector after refusals at these times, and whether the last of them proves an outage."""
    detector, proven = OutageDetector(Random(1)), False
    for at in times:
        detector.record_refusal(at, at, wait, part)
        proven = detector.proves_outage(at, wait, part)
    return detector, proven


@pytest.mark.parametrize(
    "times, part, wait, proves",
    [
        ([1.0, 1.5, 2.0], THIN, 0.0, True),
        ([1.0, 1.5], THIN, 0.0, False),
        ([1.0, 1.0, 1.0, 1.1], THIN, 0.0, False),  # refused together, as by a limit
        ([1.0, 1.4, 1.8, 2.2], HEAVY, 0.0, False),
        ([1.0 + 0.4 * n for n in range(8)], HEAVY, 0.0, True),
        ([1.0], THIN, 1.0, True),
        ([1.0], THIN, 0.8, False),
    ],
)
def test_chance_is_taken_for_an_outage_or_an_outage_for_chance(times, part, wait, proves):
    """The longer runs of chance at a relay with many calls count."""
    assert refused(times, part, wait)[1] is proves


def test_a_delivery_long_after_refusals_is_taken_for_one_of_a_warm_destination():
    """Soon after a single refusal it is; after a run, or after seconds without a trial, it may be cold."""
    assert not refused([1.0])[0].record_success(1.6, 1.7, THIN)
    assert refused([1.0, 1.5])[0].record_success(2.5, 2.6, THIN)
    assert refused([1.0])[0].record_success(9.0, 9.1, THIN)
    assert not refused([1.0])[0].record_success(0.9, 1.1, THIN)


def test_a_relay_with_few_calls_waits_seconds_after_a_refusal_and_learns_nothing():
    """Trials of half a second, by any route that refused, prove an outage within two seconds."""
    module = brain(rate=10.0, relays=40, max_pushes=12)
    module.round(1.0, [take("n")])
    steps = 0
    while module.routes["a"].limiter.health(module.now) is not Health.DOWN:
        steps += 1
        assert steps < 200
        out = [(name, call.route.id, push) for (name, push), (call, _) in module.in_flight.items()]
        module.round(1.0 + steps * 0.01, [end(name, route, Result.FULL, push) for name, route, push in out])
    assert module.now < 3.0

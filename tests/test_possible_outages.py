"""Outages that are possible and not proven: what a relay that was told of them sends at the return."""

from math import inf
from random import Random

from ryestack.brain.failure_runs import FailureRuns
from ryestack.brain.health import Health
from ryestack.brain.outage_detector import OutageDetector
from ryestack.interface import Cancel, Result

from .helpers import brain, end, settings, take

PART, WARM_UP = 4.0, 9.0  # calls a second; seconds


def fail(module, now, result=Result.FULL, **more):
    """Ends all pushes in flight with that result."""
    rows = [(name, call.route.id, push) for (name, push), (call, _) in module.in_flight.items()]
    return module.round(now, [end(name, route, result, push, **more) for name, route, push in rows])


def refused_thrice():
    """A module whose two routes refused three calls, sent one after the other."""
    module = brain(rate=16.0, relays=4)
    module.round(1.0, [take("n"), take("m")])
    while module.routes["a"].limiter.detector.separate_failures < 3:
        fail(module, module.now + 0.1)
        assert module.now < 3.0
    return module


def test_delivery_after_a_few_refusals_is_taken_for_one_of_a_warm_destination():
    """The outage was over before its refusals proved it."""
    module = refused_thrice()
    assert module.routes["a"].limiter.health(module.now) is Health.SUSPECTED
    limiter = module.routes["a"].limiter
    while limiter.health(module.now) is Health.SUSPECTED and module.now < 4.0:
        fail(module, module.now + 0.1, Result.DELIVERED, ended=True)
    assert limiter.health(module.now) is Health.WARMING
    rules = settings().rules
    assert limiter.rate(module.now) <= 4.0 * rules.cold_share * rules.overload_factor * 1.01


def test_calls_that_failed_together_or_by_one_endpoint_are_taken_for_an_outage():
    """Calls of the same moment count once; while another route has not failed, one endpoint is away."""
    detector = OutageDetector(Random(1))
    detector.count_failure(1.0, "a")
    detector.count_failure(1.05, "b")
    assert not detector.outage_possible(PART, WARM_UP, all_failed=True)
    detector.count_failure(1.2, "a")
    assert not detector.outage_possible(PART, WARM_UP, all_failed=False)
    assert detector.outage_possible(PART, WARM_UP, all_failed=True)
    detector.record_success(0.9, 1.3, PART)  # sent before the first failure
    assert detector.outage_possible(PART, WARM_UP, all_failed=True)
    detector.record_success(1.3, 1.4, PART)
    assert not detector.suspects_outage()


def test_delivery_in_an_outage_has_its_warm_up_end_soon_after_the_return():
    """Four calls in five are refused: a warm-up that began with the fifth goes on through refusals."""
    detector = OutageDetector(Random(1))
    detector.count_failure(1.0, "a")
    assert not detector.outage_possible(0.3, WARM_UP, all_failed=False)
    assert detector.outage_possible(0.3, WARM_UP, all_failed=False, warming=True)
    for _ in range(20):
        detector.runs.add_run(1)
    assert not detector.outage_possible(PART, WARM_UP, all_failed=False, warming=True)


def test_destination_that_refuses_at_random_is_taken_for_cold_again_and_again():
    """Runs that chance made raise the length from which a run is taken for an outage."""
    runs, rng, length = FailureRuns(), Random(1), 0
    assert runs.chance_rate(2, PART) * WARM_UP <= OutageDetector.CHANCE_TIME_SHARE
    for _ in range(200):
        if rng.random() < 1 / 3:
            length += 1
        elif length:
            runs.add_run(length)
            length = 0
        else:
            runs.add_delivery()
    assert runs.chance_rate(3, PART) * WARM_UP > OutageDetector.CHANCE_TIME_SHARE
    assert runs.chance_rate(9, PART) * WARM_UP <= OutageDetector.CHANCE_TIME_SHARE


def hung(topics, seconds):
    """A module all of whose calls hang, and the ids that it cancelled; topics: of the notifications."""
    module, cancelled = brain(rate=16.0, relays=4, may_cancel=True, slots=40), []
    module.round(1.0, [take(f"n{n}", topic, due=60.0) for n, topic in enumerate(topics)])
    while module.now < 1.0 + seconds:
        actions = module.round(module.now + 0.05, [])
        cancelled += [action.id for action in actions if isinstance(action, Cancel)]
    return module, cancelled


def test_calls_without_an_answer_gather_at_a_destination_that_is_down():
    """Past a window, no more stay open than the relay's part of the cold budget."""
    module, cancelled = hung(["again"] * 30, seconds=12.0)
    assert module.routes["a"].limiter.cold_since == inf
    rules = settings().rules
    allowed = 4.0 * rules.cold_share * rules.overload_factor * rules.fall_time
    old = [call for call in module.late_calls if call.sent < module.now - 2.0 * rules.fall_time]
    assert cancelled and len(old) <= allowed + 1


def test_once_only_calls_are_ended_at_a_destination_that_is_down():
    """They may have run, and can't be sent again."""
    _, cancelled = hung(["once"] * 40, seconds=12.0)
    assert not cancelled


def test_reported_limit_is_taken_for_the_capacity_of_a_cold_destination():
    """It may be twice what the destination takes just after an outage."""
    module = brain(routes=("a",), rate=16.0, relays=4)
    module.round(1.0, [take("n")])
    module.round(1.1, [end("n", "a", Result.DELIVERED, ended=True, limit=40.0)])
    limiter = module.routes["a"].limiter
    assert limiter.reported_rate == 40.0
    limiter.mark_down(2.0)
    assert limiter.cold_part(2.0) <= 40.0 / 4 / 2.0

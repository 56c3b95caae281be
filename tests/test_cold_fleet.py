"""The calls of a whole fleet to a partner back from an outage: real rate limiters, seeded, always loaded."""

import random
from collections import deque

import pytest

from ryestack import interface
from ryestack.brain import Brain
from ryestack.interface import Endpoint, ListUpdate

# Parameters of the rules; the partner takes up to FACTOR times its capacity.
FALL, FACTOR, SHARE, WARM = 1.5, 1.5, 0.3, 9.0
OUTAGE, BACK, STEP = 10.0, 20.0, 0.05  # seconds: its begin, its end, and the step of the clock


def limiters(processes, rate, rng, forgot):
    """One limiter for each process, after uneven traffic; a share of them, `forgot`, has just restarted."""
    rules = interface.Rules(cold_share=SHARE, cold_time=WARM, overload_factor=FACTOR, fall_time=FALL)
    topics = (interface.TopicType("t", interface.Effect.REPEATABLE, 2.0, 16.0),)
    kinds = (interface.Kind("k"),)
    more = {"relays": processes, "rough_rates": True, "connection_idle": 15.0, "max_pushes": 12}
    settings = interface.Settings(topics, kinds, rules, 12, 100, **more)
    listed = rate * rng.uniform(1 / 1.5, 1.5)  # an approximate rate
    parts = [rng.paretovariate(1.2) for _ in range(processes)]
    for part in parts:
        module = Brain(settings, rng.random())
        module.round(0.0, [ListUpdate((Endpoint("a", "z", "k", 7, rate=listed),), whole=True)])
        limiter, at = module.routes["a"].limiter, 0.0
        while (at := at + rng.expovariate(0.9 * rate * part / sum(parts))) < OUTAGE:
            limiter.delivered.add(at)
        limiter.delivered.weighted_count *= rng.random() >= forgot
        yield limiter


def sent(fleet, waits, rng):
    """The times of all calls once the partner is back; waits: it was shut, and had announced its return."""
    for limiter in fleet:
        limiter.refilled_at = OUTAGE
        if waits:
            at = rng.uniform(OUTAGE, OUTAGE + 2.0)
            limiter.record_failure(at, at, True, BACK - at)
            limiter.wait_until = max(limiter.wait_until, BACK)
        else:
            limiter.mark_down(OUTAGE)
    now = OUTAGE
    while (now := now + STEP) < BACK + WARM:
        for limiter in fleet:
            if limiter.ready_at(now) > now:
                continue
            limiter.take_token(True, now)
            if now >= BACK:
                limiter.record_success(now, now, True)
                yield now
            else:
                limiter.record_failure(now, now, False)


@pytest.mark.parametrize("waits", [False, True])
@pytest.mark.parametrize(
    "processes, allowed", [(20, 3), (20, 10), (20, 30), (30, 3), (30, 30), (30, 100), (200, 10), (200, 40)]
)
def test_calls_of_the_fleet_stay_within_the_budget_and_random_variation(processes, allowed, waits):
    """Of N calls allowed in FALL seconds, an excess of 2 times the root of N, plus 2, is random variation."""
    for seed in range(1 if processes == 200 else 4):
        rng = random.Random(1000 * processes + 10 * allowed + seed)
        rate = allowed / (FACTOR * SHARE * FALL)
        fleet, window, worst = list(limiters(processes, rate, rng, forgot=0.25)), deque(), -1e9
        for at in sent(fleet, waits, rng):
            window.append(at)
            while window[0] <= at - FALL:
                window.popleft()
            share = SHARE + (1.0 - SHARE) * (at - BACK) / WARM
            allowed_calls = rate * FACTOR * share * FALL
            worst = max(worst, (len(window) - allowed_calls) / (2.0 * allowed_calls**0.5 + 2.0))
        assert worst <= 1.0, (seed, worst)

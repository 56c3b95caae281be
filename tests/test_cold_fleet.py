"""What a fleet sends, in sum, to a partner back from an outage: real limiters, seeded, all of them eager."""

import random
from collections import deque

import pytest

from ryestack import interface as it
from ryestack.brain import Brain

FALL, FACTOR, SHARE, WARM = 1.5, 1.5, 0.3, 9.0  # the rules' figures; the partner takes FACTOR of what it has
OUTAGE, BACK, STEP = 10.0, 20.0, 0.05  # begins, ends, and the step of the clock


def limiters(processes, rate, chance, forgot):
    """One a process, as uneven traffic before the outage has made it; some have just restarted."""
    rules = it.Rules(cold_share=SHARE, cold_time=WARM, overload_factor=FACTOR, fall_time=FALL)
    topics, kinds = (it.TopicType("t", it.Effect.REPEATABLE, 2.0, 16.0),), (it.Kind("k"),)
    more = {"relays": processes, "rough_rates": True, "connection_idle": 15.0, "max_pushes": 12}
    settings = it.Settings(topics, kinds, rules, 12, 100, **more)
    told = rate * chance.uniform(1 / 1.5, 1.5)  # a rough rate
    parts = [chance.paretovariate(1.2) for _ in range(processes)]
    for part in parts:
        module = Brain(settings, chance.random())
        module.round(0.0, [it.ListUpdate((it.Endpoint("a", "z", "k", 7, rate=told),), whole=True)])
        limiter, at = module.routes["a"].limiter, 0.0
        while (at := at + chance.expovariate(0.9 * rate * part / sum(parts))) < OUTAGE:
            limiter.delivered.add(at)
        limiter.delivered.weighted_count *= chance.random() >= forgot
        yield limiter


def sent(fleet, waits, chance):
    """When calls go out once the partner is back. waits: it was shut, and told all when it returns."""
    for limiter in fleet:
        limiter.refilled_at = OUTAGE
        if waits:
            at = chance.uniform(OUTAGE, OUTAGE + 2.0)
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
def test_the_sum_of_all_stays_within_the_budget_and_chance(processes, allowed, waits):
    """Over N calls in the time that makes a cold partner fall, only 2 x root of N + 2 are chance."""
    for seed in range(1 if processes == 200 else 4):
        chance = random.Random(1000 * processes + 10 * allowed + seed)
        rate = allowed / (FACTOR * SHARE * FALL)
        fleet, window, worst = list(limiters(processes, rate, chance, forgot=0.25)), deque(), -1e9
        for at in sent(fleet, waits, chance):
            window.append(at)
            while window[0] <= at - FALL:
                window.popleft()
            share = SHARE + (1.0 - SHARE) * (at - BACK) / WARM
            may = rate * FACTOR * share * FALL
            worst = max(worst, (len(window) - may) / (2.0 * may**0.5 + 2.0))
        assert worst <= 1.0, (seed, worst)

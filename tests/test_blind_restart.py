"""A kill within an outage: the next process must not overload a partner that came back cold meanwhile."""

import asyncio
import json
import unittest
from math import inf

from ryestack.interface import Result
from ryestack.lifecycle import learned_state
from ryestack.lifecycle.config import load
from ryestack.lifecycle.relay import Relay

from .helpers import Folder, config, end, http, pushes, settings, stand_in, take
from .helpers import brain as made_brain

RATE = 50.0  # calls a second, from the list


class KilledInAnOutage(Folder, unittest.IsolatedAsyncioTestCase):
    async def rate_after_a_kill(self, fails: bool):
        """Leaves a relay's state as a kill does, after failures or none; returns the next process's rate."""
        server, agent = await stand_in(lambda *_: http(503))
        path = config(self.folder, agent)
        relay = Relay(load({"LB_CONFIG": path, "LB_STATE": self.folder}))
        await relay.transition("begun")
        await relay.transition("recovered")
        owner = relay.owner
        owner.dispatcher.start = lambda endpoint, items: None
        saving = asyncio.ensure_future(relay.save_failing())
        if fails:
            message = [take(f"n{n}", due=relay.clock() + 20.0) for n in range(4)]
            for n, each in enumerate(message):
                owner.brain.notifications.pop(each.id, None)
                acts = owner.brain.round(relay.clock() + n * 0.01, [each])
                for name, route in pushes(acts):
                    owner.brain.round(relay.clock() + n * 0.01, [end(name, route, Result.NO_CONNECTION)])
        await asyncio.sleep(0.5)  # well below the interval of regular saves
        saving.cancel()
        await relay.close()
        again = Relay(load({"LB_CONFIG": path, "LB_STATE": self.folder}))
        await again.transition("begun")
        rate = again.owner.brain.routes["a"].limiter.rate(again.clock())
        await again.close()
        server.close()
        return rate

    async def test_destination_that_had_just_begun_to_fail_counts_as_cold(self):
        warm = await self.rate_after_a_kill(fails=False)
        self.assertGreaterEqual(warm, RATE)
        cold = await self.rate_after_a_kill(fails=True)
        rules = settings().rules
        self.assertLess(cold, RATE * rules.cold_share * rules.overload_factor)


class RestoredState(unittest.TestCase):
    def test_state_saved_in_an_unproven_outage_counts_as_an_outage(self):
        """Failures among many deliveries prove no outage in a running process; the next one can't tell."""
        b, now = made_brain(routes=("a",), rate=RATE), 1.0
        for n in range(20):
            b.round(now, [take(f"w{n}")])
            b.round(now + 0.01, [end(f"w{n}", "a", Result.DELIVERED, ended=True)])
            now += 0.02
        while not b.destinations[7].failures.consecutive:
            for name, _ in pushes(b.round(now, [take(f"n{now}")])):
                b.round(now + 0.01, [end(name, "a", Result.NO_CONNECTION, b.notifications[name].pushes - 1)])
            now += 0.05
        self.assertIsNone(b.routes["a"].limiter.cold_since)
        warm, cold = made_brain(routes=("a",), rate=RATE), made_brain(routes=("a",), rate=RATE)
        for each in (warm, cold):
            learned_state.restore(each, json.loads(json.dumps(learned_state.export(b))))
        learned_state.assume_down(cold, learned_state.failing(cold))
        rules = settings().rules
        self.assertGreaterEqual(warm.routes["a"].limiter.rate(now), RATE)
        self.assertLess(cold.routes["a"].limiter.rate(now), RATE * rules.cold_share * rules.overload_factor)

    def test_partner_that_refused_before_a_kill_is_taken_for_warm_by_the_next_process(self):
        """Refusals alone were not saved: a kill in an outage forgot it."""
        b = made_brain(routes=("a",), rate=RATE, relays=10)
        b.round(1.0, [take("n")])
        b.round(1.1, [end("n", "a", Result.FULL)])
        cold = made_brain(routes=("a",), rate=RATE, relays=10)
        learned_state.assume_down(cold, learned_state.failing(b))
        rules = settings().rules
        part = RATE / 10 * rules.cold_share * rules.overload_factor
        self.assertLessEqual(cold.routes["a"].limiter.rate(2.0), part)

    def warming_up(self):
        """A module whose destination was down and has delivered again, and its parts of a cold partner."""
        b = made_brain(routes=("a", "b"), rate=RATE, relays=10)
        for limiter in {route.limiter for route in b.routes.values()}:
            limiter.mark_down(1.0)
        b.round(2.0, [take("n")])
        while b.in_flight or b.now < 3.0:
            ended = [end(name, call.route.id, Result.DELIVERED, push, ended=True)
                     for (name, push), (call, _) in b.in_flight.items()]  # fmt: skip
            b.round(b.now + 0.1, ended)
        rules = settings().rules
        return b, RATE / 10 * rules.cold_share * rules.overload_factor

    def test_partner_in_its_warm_up_is_taken_for_warm_by_the_next_process(self):
        """With the first delivery the file of failing routes became empty."""
        b, _ = self.warming_up()
        failing, warming = learned_state.failing(b), learned_state.warming(b)
        self.assertEqual((failing, set(warming)), ({}, {"a", "b"}))
        after = made_brain(routes=("a", "b"), rate=RATE, relays=10)
        learned_state.assume_cold_again(after, failing, warming)
        for name in ("a", "b"):
            self.assertAlmostEqual(
                after.routes[name].limiter.rate(3.2), b.routes[name].limiter.rate(3.2), delta=0.2
            )

    def test_warm_up_of_the_small_file_gives_way_to_an_older_outage_of_the_learnt_state(self):
        """The learnt state is of the outage; the file, which is later, says since when it warms up."""
        b, part = self.warming_up()
        old = made_brain(routes=("a", "b"), rate=RATE, relays=10)
        for route in old.routes.values():
            route.limiter.mark_down(1.0)
        after = made_brain(routes=("a", "b"), rate=RATE, relays=10)
        learned_state.restore(after, json.loads(json.dumps(learned_state.export(old))))
        learned_state.assume_cold_again(after, {}, learned_state.warming(b))
        self.assertEqual(after.routes["a"].limiter.cold_since, b.routes["a"].limiter.cold_since)
        self.assertLess(after.routes["a"].limiter.rate(3.2), 2.0 * part)

    def test_dead_endpoint_beside_one_that_delivers_is_taken_for_warm_by_the_next_process(self):
        """Where endpoints have outages of their own, a delivery by the other one took it off the file."""
        b = made_brain(kind="apart", routes=("a", "b"), rate=RATE, relays=10)
        b.round(1.0, [take("n")])
        b.round(1.1, [end("n", "a", Result.NO_CONNECTION)])
        b.round(1.2, [end("n", "b", Result.DELIVERED, 1, ended=True)])
        self.assertEqual(b.destinations[7].failures.consecutive, 0)
        self.assertIsNone(b.routes["a"].limiter.cold_since)
        self.assertEqual(learned_state.failing(b), {"a": 1.0})

    def test_process_that_knows_nothing_sends_what_waits_at_once(self):
        """After a start without any saved state: no burst, and no more than its part, for two windows."""
        b = made_brain(routes=("a",), rate=RATE, relays=10, rough_rates=True)
        learned_state.assume_unknown(b, {7})
        limiter, part = b.routes["a"].limiter, RATE / 10
        self.assertLessEqual(limiter.rate(0.1), part / limiter.ROUGH_RATE_ERROR)
        limiter.ready_at(2.0)
        self.assertLessEqual(limiter.tokens, 1.0)
        self.assertGreater(limiter.rate(2.0 * settings().rules.fall_time + 0.1), part)
        other = made_brain(routes=("a",), rate=RATE, relays=10)
        learned_state.assume_unknown(other, set())
        self.assertGreater(other.routes["a"].limiter.rate(0.1), part)

    def test_suspicion_of_an_outage_is_lost_in_an_upgrade(self):
        """The process after it begins with the run of refusals, and with rates measured for long."""
        b = made_brain(routes=("a",), rate=RATE, relays=10)
        b.round(1.0, [take("n")])
        b.round(1.1, [end("n", "a", Result.FULL)])
        after = made_brain(routes=("a",), rate=RATE, relays=10)
        learned_state.restore(after, json.loads(json.dumps(learned_state.export(b))))
        detector = after.routes["a"].limiter.detector
        self.assertTrue(detector.suspects())
        self.assertEqual((detector.began, detector.outcomes.consecutive), (1.0, 1))
        self.assertEqual(after.routes["a"].limiter.delivered.since, -inf)


if __name__ == "__main__":
    unittest.main()

"""Components of the emulator: random streams, arrivals, limits, destinations."""

import unittest
from types import SimpleNamespace

import numpy as np

from ryestack.lab import validity
from ryestack.lab.sim import paces, traffic
from ryestack.lab.sim.clock import Clock
from ryestack.lab.sim.limits import RateLimit, WindowLimit
from ryestack.lab.sim.partners import Call, Route, UnitFault
from ryestack.lab.sim.random_streams import RandomStreams, buffered

from .emulated import day, unit


class Streams(unittest.TestCase):
    def test_named_streams_are_independent(self):
        one, two = RandomStreams(5), RandomStreams(5)
        two.generator("other").random(100)
        self.assertEqual(one.generator("a", 1).random(3).tolist(), two.generator("a", 1).random(3).tolist())
        self.assertNotEqual(one.generator("a", 1).random(), one.generator("a", 2).random())
        u = buffered(one.generator("b").random, 4)
        self.assertEqual(len({u() for _ in range(10)}), 10)

    def test_service_times_have_mean_one_and_their_deviation(self):
        rng = RandomStreams(3).generator("p")
        for shape, cv, wanted in (("exponential", 0, 1.0), ("lognormal", 0.8, 0.8), ("heavy", 0.6, 0.6)):
            drawn = paces.draw_normalized(shape, cv, [], rng, 400_000)
            self.assertAlmostEqual(drawn.mean(), 1.0, delta=0.01)
            self.assertAlmostEqual(drawn.std(), wanted, delta=0.15)
        drawn = paces.draw_normalized("empirical", 0, [1.0, 3.0], rng, 1000)
        self.assertEqual(set(drawn.tolist()), {0.5, 1.5})
        self.assertEqual(set(paces.draw_normalized("fixed", 0, [], rng, 3)), {1.0})

    def test_equal_times_run_in_the_order_of_scheduling_and_time_does_not_go_back(self):
        clock, seen = Clock(), []
        clock.call_at(2.0, seen.append, "c")
        clock.call_at(1.0, seen.append, "a")
        clock.call_at(1.0, lambda: clock.call_at(0.0, seen.append, "b"))
        clock.run(3.0)
        self.assertEqual((seen, clock.now), (["a", "b", "c"], 3.0))


class Arriving(unittest.TestCase):
    def test_rate_shares_clumps_and_quotas(self):
        made = day(
            seconds=200.0, traffic={"rate": 100.0, "load": 0.5, "clumps": 0.2, "shape": "wave"},
            topic=[{"name": "a", "share": 3.0}, {"name": "b", "keep_order": True}],
            customer=[{"name": "x", "quota": 0.25}, {"name": "y"}],
        )  # fmt: skip
        shares = np.array([0.4, 0.3, 0.2, 0.1])
        found = traffic.draw(made, shares, shares * 100, 0.5, [(50.0, 2, 500)], RandomStreams(2))
        self.assertAlmostEqual(len(found) / 10_500, 1.0, delta=0.07)
        self.assertTrue(np.all(np.diff(found.time) >= 0.0))
        self.assertAlmostEqual((found.topic == 0).mean(), 0.75, delta=0.02)
        self.assertEqual(set((found.key >= 0)[found.topic == 0].tolist()), {False})
        burst = (found.time > 50.0) & (found.time < 51.0) & (found.destination == 2)
        self.assertGreater(burst.sum(), 300)
        over = found.benefit_factor[found.customer == 0] < 1.0
        self.assertAlmostEqual(over.mean(), 0.5, delta=0.1)  # it submits twice its quota
        self.assertEqual(found.benefit_factor[found.customer == 1].min(), 1.0)

    def test_every_load_shape_has_mean_one(self):
        for shape in ("steady", "bursty", "ramp", "wave"):
            _, level = traffic.intensity(shape, 0.5, 4000.0, RandomStreams(1).generator(shape))
            self.assertAlmostEqual(level.mean(), 1.0, delta=0.06)


class Limits(unittest.TestCase):
    def test_a_rate_limit_accepts_its_burst_and_then_its_rate(self):
        limit = RateLimit(10.0, 5.0, False)
        self.assertEqual(sum(limit.acquire(0.0)[0] for _ in range(20)), 5)
        accepted, wait = limit.acquire(0.0)
        self.assertFalse(accepted)
        self.assertAlmostEqual(wait, 0.1)
        self.assertEqual(sum(limit.acquire(0.01 * i)[0] for i in range(1, 101)), 10)

    def test_refused_calls_count_against_a_limit(self):
        for limit in (RateLimit(10.0, 5.0, True), WindowLimit(10.0, 1.0, True)):
            taken = sum(limit.acquire(0.02 * i)[0] for i in range(500))  # 50 a second for ten seconds
            self.assertLess(taken, 70)

    def test_a_window_limit_counts_by_spans_and_reports_their_end(self):
        limit = WindowLimit(3.0, 2.0, False)
        self.assertEqual([limit.acquire(0.5)[0] for _ in range(4)], [True, True, True, False])
        self.assertAlmostEqual(limit.acquire(1.25)[1], 0.75)
        self.assertEqual((limit.acquire(2.0)[0], limit.available(2.0)), (True, 2.0))


class Destinations(unittest.TestCase):
    def test_queues_agree_with_theory(self):
        rows = validity.check(count=6_000, runs=8, seed=3, cores=1)
        self.assertGreaterEqual(sum(r.good for r in rows), len(rows) - 1)
        self.assertAlmostEqual(validity.erlang_c(1, 0.7), 0.7)
        self.assertAlmostEqual(validity.loss(1, 0, 1.0), 0.5)  # Erlang's loss with one server at one erlang

    def test_an_outage_begins_and_ends_with_its_faults_and_the_unit_recovers_cold(self):
        u, one, two = unit(), UnitFault("hang", 1.0), UnitFault("error", 0.3)
        u.add_fault(two, 1.0)
        self.assertFalse(u.out)  # three failing calls in ten are not an outage
        u.add_fault(one, 2.0)
        u.witnesses.add("r")
        u.remove_fault(two, 3.0)
        self.assertTrue(u.out)
        u.remove_fault(one, 4.0)
        self.assertEqual((u.out, u.is_cold(4.0)), (False, True))
        self.assertEqual([u.capacity_share(at) for at in (4.0, 9.0, 14.0)], [0.5, 0.75, 1.0])
        self.assertEqual(u.witnesses, {"r"})
        u.add_fault(one, 20.0)
        self.assertEqual(u.witnesses, set())

    def test_too_many_calls_to_a_cold_unit_within_the_window(self):
        u = unit()
        u.cold_since = 0.0
        calm = [u.overloaded_by("r", 1.0, 0.2 * i) for i in range(20)]  # five a second, its capacity
        self.assertEqual(set(calm), {None})
        hard = [u.overloaded_by("r", 1.0, 4.0 + 0.02 * i) for i in range(20)]
        self.assertIsNotNone(hard[-1])

    def test_faults_compose_and_affect_their_topic_type(self):
        u, even = unit(), lambda: 0.5
        u.add_fault(UnitFault("slow", 1.0, 4.0), 0.0)
        u.add_fault(UnitFault("tail", 1.0, 3.0, "b"), 0.0)
        u.add_fault(UnitFault("lost", 0.4), 0.0)
        u.add_fault(UnitFault("shut", 0.6, topic="b", until=9.0), 0.0)
        self.assertEqual((u.slowdown("a", even), u.slowdown("b", even)), (4.0, 12.0))
        found = u.blocking_fault("a", even), u.blocking_fault("b", even), u.opens_at()
        self.assertEqual(found, ("", "shut", 9.0))

    def test_slots_queue_and_calls_that_end_with_the_process(self):
        clock, done = Clock(), []
        route, relay = Route("r", unit(), 0, 1, 1, clock, done.append), SimpleNamespace(incarnation=0)
        calls = [Call(relay, route, [], 0.0) for _ in range(3)]
        for call in calls:
            call.work = 1.0
        self.assertEqual([route.enqueue(c) for c in calls], [True, True, False])
        clock.run(1.5)
        self.assertEqual(done, calls[:1])
        self.assertEqual(route.crash(), [calls[1]])
        clock.run(9.0)
        self.assertEqual((done, route.running), (calls[:1], 0))


if __name__ == "__main__":
    unittest.main()

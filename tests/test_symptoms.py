"""The decision module: circuits, outages and limits of concurrency from outcomes and overdue calls."""

import unittest
from math import inf

from ryestack import interface
from ryestack.brain.routes import Call
from ryestack.interface import ListUpdate, Result, TimerFired

from .helpers import brain, end, kinds, pushes, take


class Symptoms(unittest.TestCase):
    def test_overdue_pushes_open_the_circuit_before_any_outcome(self):
        b = brain(routes=("a",))
        b.round(1.0, [take(f"n{i}") for i in range(3)])
        b.round(4.0, [TimerFired()])
        self.assertEqual(b.routes["a"].state, "open")

    def test_overdue_push_that_a_younger_one_overtook_is_no_failure(self):
        b = brain(routes=("a",))
        b.round(1.0, [take("n")])
        b.round(1.5, [take("m")])
        b.round(1.6, [end("m", "a", Result.DELIVERED, ended=True)])
        b.round(4.0, [TimerFired()])
        self.assertEqual(b.routes["a"].failures.consecutive, 0)

    def test_late_call_is_cancelled_only_when_a_slot_is_needed(self):
        b = brain(routes=("a", "b"), slots=4, rate=500.0, may_cancel=True)
        b.round(1.0, [take("n"), take("m", "once")])
        self.assertEqual(kinds(b.round(4.0, [TimerFired()]), interface.Cancel), [])
        b.slots = 0
        self.assertEqual(kinds(b.round(4.1, [take("x")]), interface.Cancel), ["n"])

    def test_relays_refused_together_retry_at_different_times(self):
        ready = []
        for seed in range(9):
            b = brain(kind="apart", routes=("a",), rate=4.0, relays=200, connection_idle=10.0)
            b.routes["a"].limiter.rng.seed(seed)
            b.routes["a"].limiter.take_token(True, 1.0)
            b.routes["a"].limiter.record_failure(1.0, 1.1, True)
            ready.append(round(b.routes["a"].limiter.ready_at(1.1), 1))
        self.assertGreater(len(set(ready)), 4)

    def test_failures_at_several_routes_prove_an_outage_of_all(self):
        b = brain(kind="apart", routes=("a", "b", "c"))
        for at, route in ((1.0, "a"), (1.1, "b"), (1.2, "c")):
            b.round(at, [take("n" + route)])
            b.record_call_failure(next(c for c, n in b.in_flight.values()), Result.NO_CONNECTION)
        self.assertEqual({r.limiter.cold_since for r in b.routes.values()}, {inf})

    def test_rare_calls_stay_on_the_route_that_delivered(self):
        b = brain(kind="apart", rate=4.0, relays=200, connection_idle=10.0)
        b.routes["b"].limiter.tokens, b.routes["a"].limiter.tokens = 1.0, 0.0
        self.assertEqual(pushes(b.round(1.0, [take("n", due=21.0)])), [("n", "b")])
        b.round(1.2, [end("n", "b", Result.DELIVERED, ended=True)])
        self.assertEqual(pushes(b.round(1.3, [take("m", due=21.3)])), [("m", "b")])

    def test_failing_topic_type_uses_another_route_and_others_stay(self):
        b = brain(kind="apart")
        b.round(1.0, [take("n")])
        b.round(1.1, [end("n", "a", Result.ERROR)])
        sent = pushes(b.round(2.0, [take("m"), take("o", "merge")]))
        self.assertEqual(sorted(sent), [("m", "b"), ("o", "a")])

    def test_a_slow_destination_is_known_from_few_and_all_others(self):
        b = brain(routes=("a",))
        b.durations.add(0.1)
        for _ in range(3):
            b.destinations[7].durations.add(1.7)
        self.assertGreater(b.destinations[7].durations.quantile(0.9), 1.6)

    def test_one_failing_destination_does_not_fill_the_hold(self):
        b = brain(routes=(), max_open=4)
        b.round(1.0, [take("n", "once"), take("m", "once"), take("o", "once")])
        well = interface.Notification("x", 20.0, 8, "again")
        self.assertNotIn("x", kinds(b.round(1.1, [well]), interface.Throttle))

    def test_accepted_notification_keeps_its_place_for_70_percent_of_its_ttl(self):
        """Giving it up earlier costs a part of its benefit; refusing a new notification costs nothing."""
        for now, gone in ((2.0, "x"), (16.0, "n0")):
            b = brain(routes=(), max_open=4)
            b.round(1.0, [take(f"n{i}", due=20.9) for i in range(3)])
            new = take("x", due=now + 20.0)
            self.assertEqual(kinds(b.round(now, [new]), interface.Throttle), [gone])

    def test_parked_notifications_are_not_scanned_while_no_route_is_open(self):
        b = brain(routes=("a",))
        b.routes["a"].limiter.wait_until = 9.0
        b.round(1.0, [take(f"n{i}") for i in range(50)])
        b.accepts = lambda route, held: self.fail("scanned one by one")
        self.assertEqual(pushes(b.round(1.1, [take("m")])), [])

    def test_consecutive_failures_among_many_deliveries_are_no_outage(self):
        for deliveries, cold in ((0, inf), (20, None)):
            b = brain(kind="apart", routes=("a",))
            route = b.routes["a"]
            for _ in range(deliveries):
                route.failures.add(1.0, True)
                route.dest.failures.add(1.0, True)
            for _ in range(3):
                b.record_call_failure(Call(route, 1.0), Result.ERROR)
            self.assertEqual((route.limiter.cold_since, route.state), (cold, "open" if cold else "closed"))

    def test_circuit_stays_open_long_only_without_an_answer(self):
        for result, short in ((Result.ERROR, True), (Result.BROKEN, True), (Result.TIMED_OUT, False)):
            b = brain(routes=("a",))
            for _ in range(3):
                b.record_call_failure(Call(b.routes["a"], 1.0), result)
            self.assertEqual(b.routes["a"].open_until < 3.0, short, result)

    def test_trial_spares_collapsible_notifications(self):
        b = brain(routes=("a",))
        route = b.routes["a"]
        route.state, route.failures.consecutive, route.may_have_run = "trial", 3, True
        self.assertEqual(pushes(b.round(1.0, [take("m", "merge"), take("n")])), [("n", "a")])

    def test_slower_than_usual_route_gets_no_more_calls(self):
        b = brain(routes=("a",))
        dest, route = b.routes["a"].dest, b.routes["a"]
        for _ in range(32):
            dest.record_duration(0.1)
        limit = b.concurrency_limit(route)
        for _ in range(32):
            dest.record_duration(3.0)
        self.assertLess(b.concurrency_limit(route), 2.0 * limit)

    def test_removed_routes_and_destinations_are_forgotten(self):
        b = brain(kind="apart")
        b.routes["a"].limiter.cold_since, b.routes["a"].limiter.failing_since = inf, 1.0
        b.round(2.0, [ListUpdate((), whole=True)])
        self.assertEqual(list(b.routes), ["a"])  # its outage is remembered for a while
        b.round(70.0, [ListUpdate((), whole=True)])
        self.assertEqual((b.routes, dict(b.destinations)), ({}, {}))

    def test_push_is_overdue_sooner_where_all_are_fast(self):
        for pace, late in ((0.1, True), (1.0, False)):
            b = brain(routes=("a",))
            for _ in range(60):
                b.durations.add(pace)
                b.routes["a"].dest.record_duration(pace)
            b.round(1.0, [take("n")])
            b.round(1.8, [TimerFired()])
            self.assertEqual(bool(b.late_calls), late, pace)

    def test_stale_connection_is_no_failure(self):
        for stale, row in ((True, 0), (False, 1)):
            b = brain(routes=("a",))
            b.round(1.0, [take("n")])
            b.round(1.1, [end("n", "a", Result.BROKEN, stale=stale)])
            self.assertEqual(b.routes["a"].failures.consecutive, row)

    def test_late_call_does_not_count_as_concurrent(self):
        b = brain(routes=("a",), rate=2.0)
        b.round(1.0, [take("n")])
        [(call, _)] = b.in_flight.values()
        b.on_overdue(call)
        self.assertEqual(b.routes["a"].calls, 0)
        b.round(4.0, [end("n", "a", Result.TIMED_OUT)])
        self.assertEqual((b.routes["a"].calls, b.routes["a"].dest.calls), (0, 0))

    def test_one_failure_keeps_no_collapsible_notifications_from_a_route(self):
        b = brain(routes=("a",))
        b.routes["a"].failures.consecutive, b.routes["a"].may_have_run = 1, True
        self.assertEqual(pushes(b.round(1.0, [take("m", "merge"), take("n")]))[0], ("m", "a"))

    def test_ordered_key_is_forgotten_after_its_rest(self):
        b = brain()
        b.round(1.0, [take("n", "turns", key="k")])
        b.round(1.1, [end("n", "a", Result.TIMED_OUT), interface.Withdrawn("n")])
        self.assertEqual(list(b.keys), ["k"])
        b.round(9.0, [TimerFired()])
        self.assertEqual(b.keys, {})

    def test_customers_share_at_one_relay_may_vary_randomly(self):
        b = brain(relays=200, customers=(interface.Customer("c", 20.0),), over_share_benefit=0.1)
        b.round(1.0, [interface.Notification(n, 20.0, 7, "again", "c") for n in "nm"])
        self.assertEqual({b.notifications[n].benefit for n in "nm"}, {1.0})

    def test_trial_spares_once_only_notifications(self):
        b = brain(routes=("a",))
        route = b.routes["a"]
        route.state, route.failures.consecutive, route.may_have_run = "trial", 3, True
        self.assertEqual(pushes(b.round(1.0, [take("m", "once"), take("n")])), [("n", "a")])

    def test_full_hold_throttles_the_least_valuable_at_once(self):
        b = brain(routes=(), max_open=2)
        acts = b.round(1.0, [take("n", "once"), take("m")])
        self.assertEqual(kinds(acts, interface.Throttle), ["m"])


if __name__ == "__main__":
    unittest.main()

"""What the module makes of symptoms."""

import unittest
from math import inf

from ryestack import interface as it
from ryestack.brain.routes import Call
from ryestack.interface import Result

from .helpers import brain, end, kinds, pushes, take


class Symptoms(unittest.TestCase):
    def test_overdue_pushes_open_the_circuit_before_any_outcome(self):
        b = brain(routes=("a",))
        b.round(1.0, [take(f"n{i}") for i in range(3)])
        b.round(4.0, [it.TimerFired()])
        self.assertEqual(b.routes["a"].state, "open")

    def test_an_overdue_push_that_a_younger_one_passed_is_no_evidence(self):
        b = brain(routes=("a",))
        b.round(1.0, [take("n")])
        b.round(1.5, [take("m")])
        b.round(1.6, [end("m", "a", Result.DELIVERED, ended=True)])
        b.round(4.0, [it.TimerFired()])
        self.assertEqual(b.routes["a"].failures.consecutive, 0)

    def test_a_late_call_is_called_off_only_when_a_slot_is_wanted(self):
        b = brain(routes=("a", "b"), slots=4, rate=500.0, may_cancel=True)
        b.round(1.0, [take("n"), take("m", "once")])
        self.assertEqual(kinds(b.round(4.0, [it.TimerFired()]), it.Cancel), [])
        b.slots = 0
        self.assertEqual(kinds(b.round(4.1, [take("x")]), it.Cancel), ["n"])

    def test_relays_refused_together_come_again_apart(self):
        ready = []
        for seed in range(9):
            b = brain(kind="apart", routes=("a",), rate=4.0, relays=200, connection_idle=10.0)
            b.routes["a"].limiter.rng.seed(seed)
            b.routes["a"].limiter.take_token(True, 1.0)
            b.routes["a"].limiter.record_failure(1.0, 1.1, True)
            ready.append(round(b.routes["a"].limiter.ready_at(1.1), 1))
        self.assertGreater(len(set(ready)), 4)

    def test_failures_at_any_routes_make_an_outage_of_all(self):
        b = brain(kind="apart", routes=("a", "b", "c"))
        for at, route in ((1.0, "a"), (1.1, "b"), (1.2, "c")):
            b.round(at, [take("n" + route)])
            b.record_call_failure(next(c for c, n in b.in_flight.values()), Result.NO_CONNECTION)
        self.assertEqual({r.limiter.cold_since for r in b.routes.values()}, {inf})

    def test_a_thin_part_stays_at_the_route_that_delivered(self):
        b = brain(kind="apart", rate=4.0, relays=200, connection_idle=10.0)
        b.routes["b"].limiter.tokens, b.routes["a"].limiter.tokens = 1.0, 0.0
        self.assertEqual(pushes(b.round(1.0, [take("n", due=21.0)])), [("n", "b")])
        b.round(1.2, [end("n", "b", Result.DELIVERED, ended=True)])
        self.assertEqual(pushes(b.round(1.3, [take("m", due=21.3)])), [("m", "b")])

    def test_a_topic_type_that_fails_goes_by_a_sister_and_others_stay(self):
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

    def test_one_sick_destination_does_not_fill_the_hold(self):
        b = brain(routes=(), max_open=4)
        b.round(1.0, [take("n", "once"), take("m", "once"), take("o", "once")])
        well = it.Notification("x", 20.0, 8, "again")
        self.assertNotIn("x", kinds(b.round(1.1, [well]), it.Throttle))

    def test_what_was_taken_keeps_its_place_for_seven_tenths_of_its_time(self):
        """Given up earlier it costs a part of its worth; a new one that is turned away costs nothing."""
        for now, gone in ((2.0, "x"), (16.0, "n0")):
            b = brain(routes=(), max_open=4)
            b.round(1.0, [take(f"n{i}", due=20.9) for i in range(3)])
            new = take("x", due=now + 20.0)
            self.assertEqual(kinds(b.round(now, [new]), it.Throttle), [gone])

    def test_what_waits_is_not_looked_through_while_no_route_is_open(self):
        b = brain(routes=("a",))
        b.routes["a"].limiter.wait_until = 9.0
        b.round(1.0, [take(f"n{i}") for i in range(50)])
        b.accepts = lambda route, held: self.fail("one by one")
        self.assertEqual(pushes(b.round(1.1, [take("m")])), [])

    def test_a_row_of_failures_among_many_deliveries_is_no_outage(self):
        for before, cold in ((0, inf), (20, None)):
            b = brain(kind="apart", routes=("a",))
            route = b.routes["a"]
            for _ in range(before):
                route.failures.add(1.0, True)
                route.dest.failures.add(1.0, True)
            for _ in range(3):
                b.record_call_failure(Call(route, 1.0), Result.ERROR)
            self.assertEqual((route.limiter.cold_since, route.state), (cold, "open" if cold else "closed"))

    def test_a_circuit_rests_long_only_where_no_answer_came(self):
        for result, short in ((Result.ERROR, True), (Result.BROKEN, True), (Result.TIMED_OUT, False)):
            b = brain(routes=("a",))
            for _ in range(3):
                b.record_call_failure(Call(b.routes["a"], 1.0), result)
            self.assertEqual(b.routes["a"].open_until < 3.0, short, result)

    def test_a_trial_spares_what_its_failure_would_end(self):
        b = brain(routes=("a",))
        route = b.routes["a"]
        route.state, route.failures.consecutive, route.may_have_run = "trial", 3, True
        self.assertEqual(pushes(b.round(1.0, [take("m", "merge"), take("n")])), [("n", "a")])

    def test_a_route_slower_than_usual_holds_no_more_calls(self):
        b = brain(routes=("a",))
        dest, route = b.routes["a"].dest, b.routes["a"]
        for _ in range(32):
            dest.record_duration(0.1)
        room = b.concurrency_limit(route)
        for _ in range(32):
            dest.record_duration(3.0)
        self.assertLess(b.concurrency_limit(route), 2.0 * room)

    def test_what_is_gone_leaves_nothing_behind(self):
        b = brain(kind="apart")
        b.routes["a"].limiter.cold_since, b.routes["a"].limiter.failing_since = inf, 1.0
        b.round(2.0, [it.ListUpdate((), whole=True)])
        self.assertEqual(list(b.routes), ["a"])  # its outage is remembered for a while
        b.round(70.0, [it.ListUpdate((), whole=True)])
        self.assertEqual((b.routes, dict(b.destinations)), ({}, {}))

    def test_where_all_are_quick_a_push_is_overdue_sooner(self):
        for pace, late in ((0.1, True), (1.0, False)):
            b = brain(routes=("a",))
            for _ in range(60):
                b.durations.add(pace)
                b.routes["a"].dest.record_duration(pace)
            b.round(1.0, [take("n")])
            b.round(1.8, [it.TimerFired()])
            self.assertEqual(bool(b.late_calls), late, pace)

    def test_a_stale_connection_tells_nothing_of_health(self):
        for stale, row in ((True, 0), (False, 1)):
            b = brain(routes=("a",))
            b.round(1.0, [take("n")])
            b.round(1.1, [end("n", "a", Result.BROKEN, stale=stale)])
            self.assertEqual(b.routes["a"].failures.consecutive, row)

    def test_a_late_call_takes_no_room(self):
        b = brain(routes=("a",), rate=2.0)
        b.round(1.0, [take("n")])
        [(call, _)] = b.in_flight.values()
        b.on_overdue(call)
        self.assertEqual(b.routes["a"].calls, 0)
        b.round(4.0, [end("n", "a", Result.TIMED_OUT)])
        self.assertEqual((b.routes["a"].calls, b.routes["a"].dest.calls), (0, 0))

    def test_one_failure_keeps_no_collapsible_ones_from_a_route(self):
        b = brain(routes=("a",))
        b.routes["a"].failures.consecutive, b.routes["a"].may_have_run = 1, True
        self.assertEqual(pushes(b.round(1.0, [take("m", "merge"), take("n")]))[0], ("m", "a"))

    def test_a_key_in_order_ends_with_its_rest(self):
        b = brain()
        b.round(1.0, [take("n", "turns", key="k")])
        b.round(1.1, [end("n", "a", Result.TIMED_OUT), it.Withdrawn("n")])
        self.assertEqual(list(b.keys), ["k"])
        b.round(9.0, [it.TimerFired()])
        self.assertEqual(b.keys, {})

    def test_a_customers_part_may_be_uneven_by_chance(self):
        b = brain(relays=200, customers=(it.Customer("c", 20.0),), over_share_benefit=0.1)
        b.round(1.0, [it.Notification(n, 20.0, 7, "again", "c") for n in "nm"])
        self.assertEqual({b.notifications[n].benefit for n in "nm"}, {1.0})

    def test_a_trial_spares_the_once_only_after_silence(self):
        b = brain(routes=("a",))
        route = b.routes["a"]
        route.state, route.failures.consecutive, route.may_have_run = "trial", 3, True
        self.assertEqual(pushes(b.round(1.0, [take("m", "once"), take("n")])), [("n", "a")])

    def test_under_pressure_the_least_valuable_is_throttled_at_once(self):
        b = brain(routes=(), max_open=2)
        acts = b.round(1.0, [take("n", "once"), take("m")])
        self.assertEqual(kinds(acts, it.Throttle), ["m"])


if __name__ == "__main__":
    unittest.main()

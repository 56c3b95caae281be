"""The decision module: outages that routes share, and shapes of deployments."""

import unittest
from dataclasses import replace
from math import inf

from ryestack import interface
from ryestack.brain.rate_limiter import RateLimiter
from ryestack.brain.routes import Call
from ryestack.interface import Endpoint, EndpointStatus, ListUpdate, Result, TimerFired

from .helpers import brain, end, kinds, pushes, take


class SharedOutages(unittest.TestCase):
    """Routes of a destination share limits and outages: an outcome at one applies to its siblings.

    Failures found by `lab hunt`.
    """

    def shut(self, kind="shared"):
        """A module of which one route has just received a wait of five seconds."""
        made = brain(kind)
        [(name, route)] = pushes(made.round(1.0, [take("n")]))
        made.round(1.1, [end(name, route, Result.FULL, wait=5.0)])
        return made, made.routes[route], made.routes["b" if route == "a" else "a"]

    def test_shut_at_one_route_all_sibling_routes_return_cold(self):
        _, hit, sibling = self.shut()
        self.assertEqual((hit.limiter.cold_since, sibling.limiter.cold_since), (inf, inf))
        self.assertEqual(sibling.limiter.failing_since, 1.0)
        _, hit, sibling = self.shut("apart")
        self.assertEqual((hit.limiter.cold_since, sibling.limiter.cold_since), (inf, None))

    def test_route_listed_during_an_outage_is_as_cold_as_its_siblings(self):
        for kind, cold in (("shared", inf), ("apart", None)):
            made, _, _ = self.shut(kind)
            made.round(2.0, [ListUpdate((Endpoint("c", "z", kind, 7, rate=50.0),))])
            self.assertEqual(made.routes["c"].limiter.cold_since, cold)
        made, hit, _ = self.shut()
        hit.limiter.cold_since = 8.0  # back since then
        made.routes["a"].limiter.cold_since = made.routes["b"].limiter.cold_since = 8.0
        made.round(9.0, [ListUpdate((Endpoint("c", "z", "shared", 7, rate=50.0),))])
        self.assertEqual(made.routes["c"].limiter.cold_since, 8.0)

    def test_while_cold_sibling_routes_share_one_token_bucket(self):
        made, hit, sibling = self.shut()
        hit.limiter.tokens = sibling.limiter.tokens = 1.0
        made.round(6.5, [take("m")])
        self.assertLessEqual(max(hit.limiter.tokens, sibling.limiter.tokens), 0.1)
        self.assertEqual(hit.limiter.fair_share(6.5), sibling.limiter.fair_share(6.5))
        hit.limiter.cold_since = None
        self.assertEqual(hit.limiter.fair_share(6.5), 25.0)


class Shapes(unittest.TestCase):
    """Deployments with zones, few connections, few or uneven calls, and limits that refused calls use up."""

    def zoned(self, **more):
        b = brain(routes=(), **more)
        b.topics["merge"] = replace(b.topics["merge"], group="zone")
        rows = (("a", "x"), ("b", "y"), ("c", "x"))
        b.round(0.0, [ListUpdate(tuple(Endpoint(r, z, "apart", 7, rate=50.0) for r, z in rows))])
        return b

    def test_zone_collapsible_that_may_have_run_is_repeated_in_its_zone_only(self):
        b = self.zoned()
        b.round(1.0, [take("n", "merge")])
        self.assertEqual(pushes(b.round(1.5, [end("n", "a", Result.ERROR)])), [("n", "c")])

    def test_zone_collapsible_expires_after_its_window(self):
        b = self.zoned()
        b.round(1.0, [take("n", "merge")])
        self.assertEqual(kinds(b.round(7.5, [end("n", "a", Result.ERROR)]), interface.Expire), ["n"])

    def test_zone_collapsible_expires_at_once_without_another_route_in_its_zone(self):
        b = self.zoned()
        b.round(1.0, [take("n", "merge")])
        gone = ListUpdate((Endpoint("a", "x", "apart", 7, EndpointStatus.GONE),
                              Endpoint("c", "x", "apart", 7, EndpointStatus.GONE)))
        self.assertEqual(kinds(b.round(1.5, [gone, end("n", "a", Result.ERROR)]), interface.Expire), ["n"])

    def test_rarely_used_idle_connection_is_closed_and_a_busy_one_kept(self):
        for rate, closed in ((1.0, ["a"]), (500.0, [])):
            b = brain(routes=("a",), rate=rate, relays=200, connection_idle=5.0)
            b.round(1.0, [take("n")])
            b.round(2.0, [TimerFired()])
            acts = b.round(2.2, [end("n", "a", Result.DELIVERED)])
            closing = [a.endpoint for a in acts if isinstance(a, interface.CloseIdleConnections)]
            self.assertEqual(closing, closed)

    def test_failed_connection_makes_its_kind_close_idle_ones_sooner(self):
        b = brain(routes=("a", "b"), rate=20.0, relays=100, connection_idle=5.0)
        b.round(1.0, [take("n")])
        first = pushes(b.round(2.0, [TimerFired()])) or [("n", "a")]
        other = {"a": "b", "b": "a"}[first[0][1]]
        b.round(2.1, [end("n", first[0][1], Result.NO_CONNECTION)])
        b.round(3.0, [TimerFired()])
        acts = b.round(3.2, [end("n", other, Result.DELIVERED, 1)])
        self.assertEqual([a.endpoint for a in acts if isinstance(a, interface.CloseIdleConnections)], [other])

    def test_share_of_a_busy_relay_follows_its_deliveries(self):
        b = brain(routes=("a",), rate=100.0, relays=200)
        limiter = b.routes["a"].limiter
        for i in range(600):
            limiter.record_success(i * 0.1, i * 0.1, True)
        self.assertAlmostEqual(limiter.fair_share(60.0), 10.0 * (1 - 0.5**2), delta=1.0)

    def test_two_failed_connections_among_few_calls_prove_no_outage(self):
        b = brain(routes=("a",), rate=4.0, relays=200)
        limiter = b.routes["a"].limiter
        for at in (1.0, 9.0):
            for tally in (b.routes["a"].failures, b.destinations[7].failures):
                tally.add(at, False)
            limiter.record_failure(at, at, False, may_have_run=False)
        self.assertIsNone(limiter.cold_since)

    def test_share_while_cold_follows_deliveries_and_no_surge(self):
        b = brain(routes=("a",), rate=20.0, relays=200)
        limiter = b.routes["a"].limiter
        limiter.mark_down(0.5)
        self.assertAlmostEqual(limiter.fair_share(1.0), 0.1)
        b.round(1.0, [take(f"n{i}") for i in range(60)])  # a burst at all relays, found by `lab hunt`
        self.assertAlmostEqual(limiter.fair_share(1.0), 0.1)
        for _ in range(9):
            limiter.delivered.add(1.0)
        self.assertAlmostEqual(limiter.fair_share(1.0), 9 * 0.693 / 30.0)

    def test_call_gathers_only_where_a_second_notification_comes_in_time(self):
        b = brain(kind="bulk", routes=("a",), rate=20.0, relays=200)
        self.assertFalse(b.routes["a"].limiter.gathers(1.0))
        self.assertTrue(brain(kind="bulk", routes=("a",), rate=20.0).routes["a"].limiter.gathers(1.0))

    def test_retries_after_a_used_up_limit_need_credit(self):
        b = brain(kind="apart", rate=50.0)
        b.round(0.5, [])
        b.destinations[7].retry_credit, b.destinations[7].credit_at = -9.0, 1.0
        b.round(1.0, [take("n"), take("m")])
        used_up = end("n", "a", Result.FULL, limit=50.0, limit_left=0.0)
        self.assertEqual(pushes(b.round(1.1, [used_up])), [])  # each new notification adds half a credit
        queue_full = end("m", "a", Result.FULL, limit=50.0, limit_left=0.9)
        self.assertEqual(pushes(b.round(1.2, [queue_full])), [("m", "b")])

    def test_notification_waiting_for_credit_is_sent_without_new_ones(self):
        b = brain(routes=("a",), rate=20.0)
        b.round(0.5, [])
        b.destinations[7].retry_credit, b.destinations[7].credit_at = -0.5, 1.0
        b.round(1.0, [take("n")])
        now, acts = 1.1, b.round(1.1, [end("n", "a", Result.FULL, limit=20.0, limit_left=0.0)])
        while not pushes(acts) and now < 9.0:
            now += 0.1
            acts = b.round(now, [TimerFired()])
        self.assertLess(now, 5.0)
        quiet = brain(kind="apart", rate=2.0, relays=4)  # called only when its timers fire
        quiet.destinations[7].retry_credit, quiet.destinations[7].credit_at = 0.0, 1.0
        now, events, woken, sent = 1.0, [take("n")], [], []
        while now < 19.0:
            acts = quiet.round(now, events)
            woken = [w for w in woken if w > now]
            woken += [now + a.after for a in acts if isinstance(a, interface.SetTimer)]
            sent += pushes(acts)
            if pushes(acts):
                [(name, route)], now = pushes(acts), now + 0.01
                events = [end(name, route, Result.FULL, len(sent) - 1, limit=2.0, limit_left=0.0)]
            else:
                now, events = min(woken, default=99.0) + 1e-4, [TimerFired()]
        self.assertGreaterEqual(len(sent), 2)

    def test_call_is_not_overdue_at_once_with_one_slot(self):
        b = brain(routes=("a",), slots=1)
        b.round(1.0, [take("n")])
        [call] = {c for c, _ in b.in_flight.values()}
        due = [when for when, _, what, subject in b.timers if subject is call]
        self.assertGreaterEqual(due[0], 1.0 + 1.9 * b.destinations[7].durations.quantile(0.9))

    def test_end_of_an_announced_wait_begins_the_warm_up(self):
        for again, opened in ((0.0, True), (7.0, False)):  # down again later: unknown since when it is back
            limiter = brain(routes=("a",)).routes["a"].limiter
            limiter.record_failure(1.0, 1.1, True, 5.0)
            if again:
                limiter.record_failure(again, again + 0.1, True)
            limiter.record_success(9.0, 9.1, True)
            self.assertEqual(limiter.cold_since == 6.1, opened)

    def test_proven_outage_is_no_shortage_of_connections(self):
        b = brain(routes=("a",))
        for n in range(4):
            call = Call(b.routes["a"], n + 1.0)
            b.now = n + 1.1
            b.record_call_failure(call, Result.NO_CONNECTION)
            self.assertEqual(b.short_until["shared"] > b.now, n < 2)

    def test_limit_near_zero_raises_nothing(self):
        b = brain(routes=("a",), relays=200)
        sent = pushes(b.round(1.0, [take("n")])) + pushes(b.round(2.0, [TimerFired()]))
        self.assertEqual(sent, [("n", "a")])
        b.round(2.1, [end("n", "a", Result.FULL, limit=5e-324, limit_left=0.0)])
        b.round(9.0, [take("m")])
        self.assertGreaterEqual(b.routes["a"].limiter.rate(9.0), 0.1 / 200 * RateLimiter.MIN_GAIN)

    def test_calls_are_overdue_sooner_where_slots_are_few(self):
        for slots, late in ((2, 1), (12, 0)):
            b = brain(routes=("a",), slots=slots)
            b.durations.add(1.0)
            b.round(1.0, [take("n")])
            b.durations.add(1.0)
            [call] = {c for c, _ in b.in_flight.values()}
            due = [when for when, _, what, subject in b.timers if subject is call]
            usual = b.destinations[7].durations.quantile(0.9)
            self.assertEqual(due[0] < 1.0 + 2.0 * usual + 0.01, bool(late))

    def test_late_call_is_cancelled_where_its_destinations_slot_share_is_used_up(self):
        b = brain(routes=("a",), slots=2, may_cancel=True)
        b.round(1.0, [take("n", "once")])  # others are ended by then, as their destination is down
        b.round(30.0, [TimerFired()])
        acts = b.round(30.1, [take("m", due=50.0)])
        self.assertEqual([a.id for a in acts if isinstance(a, interface.Cancel)], ["n"])


if __name__ == "__main__":
    unittest.main()

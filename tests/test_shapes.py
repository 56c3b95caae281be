"""Fates shared, and shapes of deployments, in the module."""

import unittest
from dataclasses import replace
from math import inf

from ryestack import interface as it
from ryestack.brain.rate_limiter import RateLimiter
from ryestack.brain.routes import Call
from ryestack.interface import Result

from .helpers import brain, end, kinds, pushes, take


class SharedFate(unittest.TestCase):
    """Routes that share limits and outages: what one met holds at its sisters. Found by `lab hunt`."""

    def shut(self, kind="shared"):
        """A brain whose route a has just been told that its destination is shut for five seconds."""
        made = brain(kind)
        [(name, route)] = pushes(made.round(1.0, [take("n")]))
        made.round(1.1, [end(name, route, Result.FULL, wait=5.0)])
        return made, made.routes[route], made.routes["b" if route == "a" else "a"]

    def test_shut_at_one_route_its_sisters_come_back_cold_too(self):
        _, hit, sister = self.shut()
        self.assertEqual((hit.limiter.cold_since, sister.limiter.cold_since), (inf, inf))
        self.assertEqual(sister.limiter.failing_since, 1.0)
        _, hit, sister = self.shut("apart")
        self.assertEqual((hit.limiter.cold_since, sister.limiter.cold_since), (inf, None))

    def test_a_route_listed_within_an_outage_is_as_cold_as_its_sisters(self):
        for kind, cold in (("shared", inf), ("apart", None)):
            made, _, _ = self.shut(kind)
            made.round(2.0, [it.ListUpdate((it.Endpoint("c", "z", kind, 7, rate=50.0),))])
            self.assertEqual(made.routes["c"].limiter.cold_since, cold)
        made, hit, _ = self.shut()
        hit.limiter.cold_since = 8.0  # back since
        made.routes["a"].limiter.cold_since = made.routes["b"].limiter.cold_since = 8.0
        made.round(9.0, [it.ListUpdate((it.Endpoint("c", "z", "shared", 7, rate=50.0),))])
        self.assertEqual(made.routes["c"].limiter.cold_since, 8.0)

    def test_cold_a_call_takes_from_the_buckets_of_all_sisters_and_they_fill_as_one(self):
        made, hit, sister = self.shut()
        hit.limiter.tokens = sister.limiter.tokens = 1.0
        made.round(6.5, [take("m")])
        self.assertLessEqual(max(hit.limiter.tokens, sister.limiter.tokens), 0.1)
        self.assertEqual(hit.limiter.fair_share(6.5), sister.limiter.fair_share(6.5))
        hit.limiter.cold_since = None
        self.assertEqual(hit.limiter.fair_share(6.5), 25.0)


class Shapes(unittest.TestCase):
    """What fell at the move: halls, few connections, thin and uneven parts, limits that refused calls use."""

    def zoned(self, **more):
        b = brain(routes=(), **more)
        b.topics["merge"] = replace(b.topics["merge"], group="zone")
        rows = (("a", "x"), ("b", "y"), ("c", "x"))
        b.round(0.0, [it.ListUpdate(tuple(it.Endpoint(r, z, "apart", 7, rate=50.0) for r, z in rows))])
        return b

    def test_a_collapsible_one_that_may_have_run_goes_again_in_its_hall_only(self):
        b = self.zoned()
        b.round(1.0, [take("n", "merge")])
        self.assertEqual(pushes(b.round(1.5, [end("n", "a", Result.ERROR)])), [("n", "c")])

    def test_and_not_after_its_window_where_it_is_expired_not_throttled(self):
        b = self.zoned()
        b.round(1.0, [take("n", "merge")])
        self.assertEqual(kinds(b.round(7.5, [end("n", "a", Result.ERROR)]), it.Expire), ["n"])

    def test_and_ends_at_once_where_its_hall_has_no_other_route_left(self):
        b = self.zoned()
        b.round(1.0, [take("n", "merge")])
        gone = it.ListUpdate((it.Endpoint("a", "x", "apart", 7, it.EndpointStatus.GONE),
                              it.Endpoint("c", "x", "apart", 7, it.EndpointStatus.GONE)))
        self.assertEqual(kinds(b.round(1.5, [gone, end("n", "a", Result.ERROR)]), it.Expire), ["n"])

    def test_a_rare_connection_is_hung_up_and_a_used_one_stays(self):
        for rate, closed in ((1.0, ["a"]), (500.0, [])):
            b = brain(routes=("a",), rate=rate, relays=200, connection_idle=5.0)
            b.round(1.0, [take("n")])
            b.round(2.0, [it.TimerFired()])
            acts = b.round(2.2, [end("n", "a", Result.DELIVERED)])
            self.assertEqual([a.endpoint for a in acts if isinstance(a, it.CloseIdleConnections)], closed)

    def test_a_failed_connection_lets_its_kind_hang_up_sooner(self):
        b = brain(routes=("a", "b"), rate=20.0, relays=100, connection_idle=5.0)
        b.round(1.0, [take("n")])
        first = pushes(b.round(2.0, [it.TimerFired()])) or [("n", "a")]
        other = {"a": "b", "b": "a"}[first[0][1]]
        b.round(2.1, [end("n", first[0][1], Result.NO_CONNECTION)])
        b.round(3.0, [it.TimerFired()])
        acts = b.round(3.2, [end("n", other, Result.DELIVERED, 1)])
        self.assertEqual([a.endpoint for a in acts if isinstance(a, it.CloseIdleConnections)], [other])

    def test_a_busy_relays_part_follows_what_is_delivered_of_its_own(self):
        b = brain(routes=("a",), rate=100.0, relays=200)
        limiter = b.routes["a"].limiter
        for i in range(600):
            limiter.record_success(i * 0.1, i * 0.1, True)
        self.assertAlmostEqual(limiter.fair_share(60.0), 10.0 * (1 - 0.5**2), delta=1.0)

    def test_two_failed_connections_of_a_thin_part_prove_no_outage(self):
        b = brain(routes=("a",), rate=4.0, relays=200)
        limiter = b.routes["a"].limiter
        for at in (1.0, 9.0):
            for tally in (b.routes["a"].failures, b.destinations[7].failures):
                tally.add(at, False)
            limiter.record_failure(at, at, False, may_have_run=False)
        self.assertIsNone(limiter.cold_since)

    def test_a_cold_part_follows_what_was_delivered_and_no_surge(self):
        b = brain(routes=("a",), rate=20.0, relays=200)
        limiter = b.routes["a"].limiter
        limiter.mark_down(0.5)
        self.assertAlmostEqual(limiter.fair_share(1.0), 0.1)
        b.round(1.0, [take(f"n{i}") for i in range(60)])  # found by hunt: a clump at all relays
        self.assertAlmostEqual(limiter.fair_share(1.0), 0.1)
        for _ in range(9):
            limiter.delivered.add(1.0)
        self.assertAlmostEqual(limiter.fair_share(1.0), 9 * 0.693 / 30.0)

    def test_a_call_waits_to_gather_only_where_more_than_one_comes_in_time(self):
        b = brain(kind="bulk", routes=("a",), rate=20.0, relays=200)
        self.assertFalse(b.routes["a"].limiter.gathers(1.0))
        self.assertTrue(brain(kind="bulk", routes=("a",), rate=20.0).routes["a"].limiter.gathers(1.0))

    def test_after_a_limit_used_up_pushes_have_a_budget(self):
        b = brain(kind="apart", rate=50.0)
        b.round(0.5, [])
        b.destinations[7].retry_credit, b.destinations[7].credit_at = -9.0, 1.0
        b.round(1.0, [take("n"), take("m")])
        used_up = end("n", "a", Result.FULL, limit=50.0, limit_left=0.0)
        self.assertEqual(pushes(b.round(1.1, [used_up])), [])  # each asked earns half of one
        queue_full = end("m", "a", Result.FULL, limit=50.0, limit_left=0.9)
        self.assertEqual(pushes(b.round(1.2, [queue_full])), [("m", "b")])

    def test_what_waits_for_the_budget_is_sent_though_nothing_more_is_asked(self):
        b = brain(routes=("a",), rate=20.0)
        b.round(0.5, [])
        b.destinations[7].retry_credit, b.destinations[7].credit_at = -0.5, 1.0
        b.round(1.0, [take("n")])
        now, acts = 1.1, b.round(1.1, [end("n", "a", Result.FULL, limit=20.0, limit_left=0.0)])
        while not pushes(acts) and now < 9.0:
            now += 0.1
            acts = b.round(now, [it.TimerFired()])
        self.assertLess(now, 5.0)
        quiet = brain(kind="apart", rate=2.0, relays=4)  # woken by what it asked for alone
        quiet.destinations[7].retry_credit, quiet.destinations[7].credit_at = 0.0, 1.0
        now, events, woken, sent = 1.0, [take("n")], [], []
        while now < 19.0:
            acts = quiet.round(now, events)
            woken = [w for w in woken if w > now]
            woken += [now + a.after for a in acts if isinstance(a, it.SetTimer)]
            sent += pushes(acts)
            if pushes(acts):
                [(name, route)], now = pushes(acts), now + 0.01
                events = [end(name, route, Result.FULL, len(sent) - 1, limit=2.0, limit_left=0.0)]
            else:
                now, events = min(woken, default=99.0) + 1e-4, [it.TimerFired()]
        self.assertGreaterEqual(len(sent), 2)

    def test_with_one_slot_a_call_is_not_overdue_at_once(self):
        b = brain(routes=("a",), slots=1)
        b.round(1.0, [take("n")])
        [call] = {c for c, _ in b.in_flight.values()}
        due = [when for when, _, what, subject in b.timers if subject is call]
        self.assertGreaterEqual(due[0], 1.0 + 1.9 * b.destinations[7].durations.quantile(0.9))

    def test_a_wait_that_told_when_it_opens_begins_the_warm_up(self):
        for again, opened in ((0.0, True), (7.0, False)):  # down after that: no telling since when it is back
            limiter = brain(routes=("a",)).routes["a"].limiter
            limiter.record_failure(1.0, 1.1, True, 5.0)
            if again:
                limiter.record_failure(again, again + 0.1, True)
            limiter.record_success(9.0, 9.1, True)
            self.assertEqual(limiter.cold_since == 6.1, opened)

    def test_a_proven_outage_is_no_want_of_connections(self):
        b = brain(routes=("a",))
        for n in range(4):
            call = Call(b.routes["a"], n + 1.0)
            b.now = n + 1.1
            b.record_call_failure(call, Result.NO_CONNECTION)
            self.assertEqual(b.short_until["shared"] > b.now, n < 2)

    def test_a_limit_too_small_to_divide_by_is_no_fault(self):
        b = brain(routes=("a",), relays=200)
        sent = pushes(b.round(1.0, [take("n")])) + pushes(b.round(2.0, [it.TimerFired()]))
        self.assertEqual(sent, [("n", "a")])
        b.round(2.1, [end("n", "a", Result.FULL, limit=5e-324, limit_left=0.0)])
        b.round(9.0, [take("m")])
        self.assertGreaterEqual(b.routes["a"].limiter.rate(9.0), 0.1 / 200 * RateLimiter.MIN_GAIN)

    def test_silence_shows_sooner_where_slots_are_few(self):
        for slots, late in ((2, 1), (12, 0)):
            b = brain(routes=("a",), slots=slots)
            b.durations.add(1.0)
            b.round(1.0, [take("n")])
            b.durations.add(1.0)
            [call] = {c for c, _ in b.in_flight.values()}
            due = [when for when, _, what, subject in b.timers if subject is call]
            usual = b.destinations[7].durations.quantile(0.9)
            self.assertEqual(due[0] < 1.0 + 2.0 * usual + 0.01, bool(late))

    def test_for_want_of_a_share_a_late_call_of_that_destination_gives_way(self):
        b = brain(routes=("a",), slots=2, may_cancel=True)
        b.round(1.0, [take("n")])
        b.round(30.0, [it.TimerFired()])
        acts = b.round(30.1, [take("m", due=50.0)])
        self.assertEqual([a.id for a in acts if isinstance(a, it.Cancel)], ["n"])


if __name__ == "__main__":
    unittest.main()

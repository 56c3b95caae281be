"""Limits that refused calls use up: learnt by kind, and paced by what is left."""


import unittest

from ryestack import interface as it
from ryestack.interface import Result

from .helpers import brain, end, take


class Counted(unittest.TestCase):
    def counted(self, told=40.0, **more):
        """Refused three times with the limit used up and nothing delivered so, as where refused calls
        count."""
        b = brain(routes=("a",), rate=told, relays=40, **more)
        for at in (1.0, 1.5, 1.8):
            b.routes["a"].limiter.record_failure(at, at, True, used_up=True)
            b.destinations[7].refusal_cost.add(True)
        return b, b.routes["a"].limiter

    def test_a_kind_that_delivers_at_nothing_left_is_a_mere_rate_and_one_that_does_not_counts_refusals(self):
        """What is learnt at one destination holds at all of its kind, and a mere rate never proves itself
        so."""
        for kind, delivered, counts in (("shared", 0, True), ("shared", 2, False)):
            b = brain(routes=("a",), kind=kind, rate=50.0, relays=40)
            results = [Result.DELIVERED] * delivered + [Result.FULL] * 6
            for n, result in enumerate(results):
                b.round(1.0 + n, [take(f"n{n}", due=90.0)])
                [sent] = [key for key in b.in_flight] or [None]
                if sent:
                    b.round(1.5 + n, [end(sent[0], "a", result, sent[1], limit=50.0, limit_left=0.01)])
            other = it.Endpoint("z", "z", kind, 8, rate=50.0)
            b.round(9.0, [it.ListUpdate((other,))])
            self.assertEqual(b.destinations[8].refusal_cost.proven, counts, (kind, delivered))

    def test_a_limit_that_refused_calls_use_up_paces_us_by_what_is_left(self):
        _, limiter = self.counted(connection_idle=15.0, list_has_rates=True)
        self.assertFalse(limiter.may_borrow(2.0))
        limiter.record_limit_left(0.0, 2.0)  # else the fleet's sum stays over it and nothing is served
        self.assertLess(limiter.rate(2.0), 40.0 / 40)
        for n in range(20):
            limiter.record_limit_left(1.0, 3.0 + n)
        self.assertGreater(limiter.rate(2.0), 2.0 * 40.0 / 40)
        for _ in range(9):  # answers of one moment say one thing
            limiter.record_limit_left(0.0, 30.0)
        self.assertAlmostEqual(limiter.rate(2.0), limiter.GAIN_DECREASE * 40.0 / 40)

    def test_where_calls_are_rare_a_used_up_limit_leaves_us_free_to_try(self):
        _, limiter = self.counted(told=2.0, connection_idle=15.0, list_has_rates=True)
        for left, free in ((0.0, False), (0.9, True), (0.3, False)):  # else what is free keeps it used up
            limiter.record_limit_left(left, 2.0)
            self.assertEqual(limiter.may_borrow(2.0), free, left)

    def test_a_limit_used_up_for_seconds_is_no_outage_and_one_with_room_is(self):
        for left, cold in ((0.0, False), (0.9, True)):
            _, limiter = self.counted()
            for at in (2.0, 4.0, 6.0):
                limiter.record_failure(at, at, True, used_up=left < limiter.USED_UP_SHARE)
            self.assertEqual(limiter.cold_since is not None, cold)


if __name__ == "__main__":
    unittest.main()

"""Limits that refused calls use up: learned per kind, with a rate that follows the share left."""


import unittest

from ryestack.interface import Endpoint, ListUpdate, Result

from .helpers import brain, end, take


class RefusalsThatUseUpLimits(unittest.TestCase):
    def counted(self, rate=40.0, **more):
        """A module that was refused three times with the limit used up and delivered nothing then."""
        b = brain(routes=("a",), rate=rate, relays=40, **more)
        for at in (1.0, 1.5, 1.8):
            b.routes["a"].limiter.record_failure(at, at, True, used_up=True)
            b.destinations[7].refusal_cost.add(True)
        return b, b.routes["a"].limiter

    def test_refusals_count_where_a_kind_never_delivers_at_a_used_up_limit(self):
        """What is learned at one destination applies to all of its kind.

        A limit that refused calls do not use up is never taken for one that they do.
        """
        for kind, delivered, counts in (("shared", 0, True), ("shared", 2, False)):
            b = brain(routes=("a",), kind=kind, rate=50.0, relays=40)
            results = [Result.DELIVERED] * delivered + [Result.FULL] * 6
            for n, result in enumerate(results):
                b.round(1.0 + n, [take(f"n{n}", due=90.0)])
                [sent] = [key for key in b.in_flight] or [None]
                if sent:
                    b.round(1.5 + n, [end(sent[0], "a", result, sent[1], limit=50.0, limit_left=0.01)])
            other = Endpoint("z", "z", kind, 8, rate=50.0)
            b.round(9.0, [ListUpdate((other,))])
            self.assertEqual(b.destinations[8].refusal_cost.proven, counts, (kind, delivered))

    def test_gain_follows_the_share_left_of_a_limit_that_refusals_use_up(self):
        _, limiter = self.counted(connection_idle=15.0, list_has_rates=True)
        self.assertFalse(limiter.may_borrow(2.0))
        limiter.record_limit_left(0.0, 2.0)  # otherwise the fleet stays above the limit and nothing is served
        self.assertLess(limiter.rate(2.0), 40.0 / 40)
        for n in range(20):
            limiter.record_limit_left(1.0, 3.0 + n)
        self.assertGreater(limiter.rate(2.0), 2.0 * 40.0 / 40)
        for _ in range(9):  # reports at the same time count as one
            limiter.record_limit_left(0.0, 30.0)
        self.assertAlmostEqual(limiter.rate(2.0), limiter.GAIN_DECREASE * 40.0 / 40)

    def test_rare_calls_may_borrow_only_with_an_ample_share_left(self):
        _, limiter = self.counted(rate=2.0, connection_idle=15.0, list_has_rates=True)
        for left, free in ((0.0, False), (0.9, True), (0.3, False)):  # otherwise rare calls keep it used up
            limiter.record_limit_left(left, 2.0)
            self.assertEqual(limiter.may_borrow(2.0), free, left)

    def test_refusals_at_a_used_up_limit_are_no_outage(self):
        for left, cold in ((0.0, False), (0.9, True)):
            _, limiter = self.counted()
            for at in (2.0, 4.0, 6.0):
                limiter.record_failure(at, at, True, used_up=left < limiter.USED_UP_SHARE)
            self.assertEqual(limiter.cold_since is not None, cold)


if __name__ == "__main__":
    unittest.main()

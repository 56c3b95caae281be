import asyncio
import tempfile
import time
import unittest
from pathlib import Path
from random import Random

from ryestack.lab import operation, trial
from ryestack.lab.load import Load, Plan, Topic, figures, histogram
from ryestack.lab.oracle import Handed, judge
from ryestack.lab.shapes import times
from ryestack.standins.books import Notice, Run

from .helpers import http, stand_in

NOW = 100.0


def handed(name="n", effect="once-only", answer="taken", key="", due=20.0):
    return Handed(name, effect, effect, key, 0.0, due, answer, 0.01)


def ran(name="n", at=1.0, key="", answered=True, came=None):
    return Run(name, key, "e", at if came is None else came, at, at + 0.01 if answered else 0.0)


def judged(*ones, runs=(), notices=(), now=NOW):
    return judge(list(ones), list(runs), list(notices), now, 6.0)


class Judge(unittest.TestCase):
    def assert_one_violation(self, result, counter):
        self.assertEqual((getattr(result, counter), result.good()), (1, False), result.broken)
        self.assertEqual(len(result.broken), 1)

    def test_valid_outcomes(self):
        for runs, notices, counter in (
            ([ran()], [], "delivered"),
            ([], [Notice("n", "returned", 2.0)], "throttled"),
            ([ran(answered=False)], [Notice("n", "failed", 2.0)], "expired"),
            ([ran()], [Notice("n", "failed", 2.0)], "expired"),  # executed, but the answer was lost
        ):
            result = judged(handed(), runs=runs, notices=notices)
            self.assertEqual((getattr(result, counter), result.good()), (1, True), counter)
        result = judged(handed(answer="throttled"), handed("m", answer="unheard"), runs=[ran("m")])
        self.assertEqual((result.at_the_door, result.unheard, result.good()), (1, 1, True))

    def test_lost_only_after_the_deadline(self):
        self.assert_one_violation(judged(handed()), "lost")
        self.assert_one_violation(judged(handed(), runs=[ran(answered=False)]), "lost")
        result = judged(handed(), now=20.2)
        self.assertEqual((result.pending, result.good()), (1, True))

    def test_duplicates_are_judged_by_effect(self):
        self.assert_one_violation(judged(handed(), runs=[ran(), ran(at=2.0)]), "twice")
        self.assert_one_violation(judged(handed(answer="unheard"), runs=[ran(), ran(at=2.0)]), "twice")
        again = [ran(key="k"), ran(at=6.9, key="k")]
        self.assertTrue(judged(handed(effect="collapsible", key="k"), runs=again).good())
        again.append(ran(at=7.1, key="k"))
        self.assert_one_violation(judged(handed(effect="collapsible", key="k"), runs=again), "twice")
        self.assertTrue(judged(handed(effect="repeatable"), runs=[ran(), ran(at=2.0)]).good())

    def test_pushed_after_the_deadline_or_the_outcome(self):
        self.assert_one_violation(judged(handed(), runs=[ran(at=20.4)]), "late")
        self.assertTrue(judged(handed(), runs=[ran(at=21.0, came=19.0)]).good())
        failed = Notice("n", "failed", 2.0)
        self.assert_one_violation(judged(handed(), runs=[ran(at=2.3)], notices=[failed]), "after_its_end")
        self.assertTrue(judged(handed(), runs=[ran(at=2.2)], notices=[failed]).good())
        self.assert_one_violation(judged(handed(answer="throttled"), runs=[ran()]), "after_its_end")

    def test_contradicting_outcomes(self):
        both = [Notice("n", "failed", 2.0), Notice("n", "returned", 3.0)]
        self.assert_one_violation(judged(handed(), notices=both), "two_ends")
        self.assertTrue(judged(handed(), notices=[both[0], Notice("n", "failed", 4.0)]).good())  # repeated
        self.assert_one_violation(judged(handed(), runs=[ran()], notices=[both[1]]), "false_ends")

    def test_unknown_notifications_and_incomplete_books(self):
        self.assertFalse(judged(runs=[ran("x")]).good())
        self.assertFalse(judge([], [], [], NOW, 6.0, whole=False).good())

    def test_a_violation_shows_the_whole_timeline(self):
        [line] = judged(handed(), runs=[ran(), ran(at=2.0, answered=False)]).broken
        self.assertIn("+1.000 executed at e; +2.000 executed at e, no answer written; +20.000 deadline", line)


class Shapes(unittest.TestCase):
    def test_shapes_have_their_rate_are_ordered_and_repeat_for_a_seed(self):
        for shape in ("constant", "poisson", "bursts"):
            found = list(times(shape, 50.0, 40.0, Random(7)))
            self.assertAlmostEqual(len(found) / 2000, 1.0, delta=0.07)
            self.assertEqual(found, sorted(found))
            self.assertEqual(found, list(times(shape, 50.0, 40.0, Random(7))))
            self.assertLess(found[-1], 40.0)
        self.assertTrue(all(t % 1.0 < 0.1 for t in found))
        with self.assertRaises(ValueError):
            list(times("round", 1.0, 1.0, Random(1)))


class Staff(unittest.IsolatedAsyncioTestCase):
    async def test_upgrades_kills_bad_files_and_a_drain_neither_lose_nor_duplicate(self):
        with tempfile.TemporaryDirectory() as folder:
            result, facts = await trial.run(
                Path(folder), 20.0, 3, lambda _: None, lambda _: None, operation.story, operation.LOAD)
        self.assertEqual(result.broken, [])
        self.assertTrue(result.good() and result.taken > 200, result)
        self.assertEqual(facts["upgrades"], 3)


class OpenLoop(unittest.IsolatedAsyncioTestCase):
    async def test_latency_includes_the_wait_for_a_connection(self):
        server, address = await stand_in(lambda *_: time.sleep(0.03) or http(202))
        topics = [Topic("t", "once-only", 5.0)]
        plan = Plan(topics, [1], rate=200.0, seconds=0.1, connections=1, shape="constant", patience=5.0)
        load = Load(plan, [address])
        await load.run()
        server.close()
        result = judge(load.handed, [], [], 0.0, 6.0)
        self.assertEqual(result.taken, len(load.handed))
        self.assertGreater(max(result.to_answer), 0.3)  # 19 answers of 30 ms, one after the other

    async def test_an_unresponsive_relay_delays_no_request(self):
        server, address = await stand_in(lambda *_: b"")
        plan = Plan([Topic("t", "once-only", 5.0)], [1], rate=50.0, seconds=0.5, patience=0.1)
        load, started_at = Load(plan, [address]), time.monotonic()
        await asyncio.wait_for(load.run(), 5.0)
        server.close()
        self.assertLess(time.monotonic() - started_at, 2.0)
        self.assertEqual(figures(judge(load.handed, [], [], 0.0, 6.0))["unheard"], len(load.handed))

    def test_the_histogram_has_three_significant_digits(self):
        recorded = histogram([i / 1000.0 for i in range(1, 1001)])
        self.assertAlmostEqual(recorded.get_value_at_percentile(99.0) / 1e6, 0.99, delta=0.002)


if __name__ == "__main__":
    unittest.main()

"""Scenarios, sweeps, comparisons, hunts and report pages of the lab."""

import math
import os
import tempfile
import unittest

import numpy as np

from ryestack.lab import hunt, sweep
from ryestack.lab import scenario as sc
from ryestack.lab.compare import difference, share_of_best
from ryestack.lab.report import of_day, of_sweep
from ryestack.lab.runner import play

from .emulated import day


class Tools(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = os.path.join(folder.name, "rows.jsonl")

    def test_all_problems_of_a_scenario_are_reported(self):
        table = {"format": 1, "seconds": 0, "group": [{"count": 2}], "traffic": {"rat": 3}}
        problems = dict(sc.problems_of(table))
        self.assertEqual(set(problems), {"seconds", "traffic.rat"})
        table = {"format": 1, "group": [{"count": 2, "headroom": [3.0, 1.0]}], "fault": [
            {"kind": "slow", "group": "x", "topic": "y", "destinations": [2]}, {"kind": "kill", "at": [1.0]}]}
        keys = [key for key, _ in sc.problems_of(table)]
        wanted = ["group[0].headroom", "fault[0].group", "fault[0].topic", "fault[0].destinations"]
        self.assertEqual([k for k in keys if k in wanted], wanted)
        problems = dict(sc.problems_of({"format": 1, "fault": [{"kind": "slwo"}]}))
        self.assertIn('found "slwo"', problems["fault[0].kind"])

    def test_a_scenario_is_read_back_as_written(self):
        made = day(fault=[{"kind": "slow", "at": [1.0, 2.0], "for": 3.0}])
        sc.write(made, self.path)
        self.assertEqual(sc.read(self.path), made)

    def test_a_stopped_sweep_resumes_and_skips_a_truncated_line(self):
        table = sc.table_of(day(seconds=4.0))
        points = sweep.grid({"traffic.load": [0.5, 0.9], "group.0.headroom": [2.0]})
        jobs = sweep.jobs_of(table, points, [1, 2], ["ryestack"])
        seen = []
        first = sweep.run(jobs[:3], self.path, lambda done, of: seen.append(done), 1)
        with open(self.path, "ab") as file:
            file.write(b'{"name": "cut o')
        self.assertEqual((len(first), seen[-1]), (3, 3))
        with open(self.path, "rb+") as file:  # the file after a stop, without the truncated line
            data = file.read()
            file.truncate(data.rindex(b"\n") + 1)
        seen.clear()
        whole = sweep.run(jobs, self.path, lambda done, of: seen.append(done), 1)
        self.assertEqual((seen, whole[:3]), ([3, 4], first))
        self.assertIn("<img", of_sweep(whole))
        with self.assertRaises(sc.BadScenario):
            sweep.jobs_of(table, [{"traffic.lod": 1.0}], [1], ["ryestack"])
        drawn = sweep.random_points({"a": [1, 9], "b": [0.0, 1.0], "c": ["x", "y", "z"]}, 50, 1)
        good = [isinstance(r["a"], int) and 0.0 <= r["b"] <= 1.0 and r["c"] in "xyz" for r in drawn]
        self.assertTrue(all(good))

    def test_a_difference_is_significant_only_if_there_is_one(self):
        rng = np.random.default_rng(1)
        a = rng.normal(0.9, 0.05, 30)
        self.assertTrue(difference(a, a + rng.normal(0.03, 0.01, 30)).significant)
        noise = difference(a, a + rng.normal(0.0, 0.02, 30))
        self.assertIn("no significant difference", noise.describe("a", "b"))
        self.assertAlmostEqual(share_of_best(0.8, 0.6, 1.0), 0.5)
        self.assertTrue(math.isinf(difference([1.0], [2.0]).high))

    def test_a_hunt_finds_a_day_and_minimizes_it(self):
        made = day(seconds=16.0, random={"faults": [2, 2], "kinds": ["hang", "stale"]})
        found = hunt.search(made, "one-try", 4, 1, lambda done, of: None, 1)
        self.assertEqual(len(found), 4)
        self.assertGreaterEqual(found[0].broken + found[0].lost, found[-1].lost)
        smallest = hunt.shrink(found[0], "one-try", lambda line: None, 1)
        self.assertLessEqual(len(smallest.day.fault), len(found[0].day.fault))
        self.assertTrue(smallest.broken if found[0].broken else smallest.lost >= 0.7 * found[0].lost)

    def test_a_page_is_self_contained(self):
        page = of_day(play(day(fault=[{"kind": "error", "at": 5.0}]), 1))
        self.assertGreater(page.count("data:image/png;base64,"), 5)
        self.assertNotRegex(page, r"(src|href)=.http")


if __name__ == "__main__":
    unittest.main()

"""Complete emulated days: seeds, policies, faults, and policies with injected defects."""

import math
import unittest

from ryestack.brain import Brain
from ryestack.lab import scenario as sc
from ryestack.lab.policies import POLICIES
from ryestack.lab.runner import line_of, play, rules_broken
from ryestack.lab.sim.world import World

from .emulated import day


class Days(unittest.TestCase):
    def test_equal_seeds_give_equal_bytes_and_others_differ(self):
        made = day(random={"faults": [1, 3]})
        one, two, other = (play(made, seed).summary for seed in (4, 4, 5))
        self.assertEqual(line_of(one), line_of(two))
        self.assertNotEqual(line_of(one), line_of(other))

    def test_policies_receive_the_same_arrivals(self):
        worlds = [World(day(), 3, POLICIES[name]).run() for name in ("one-try", "best")]
        self.assertEqual(worlds[0].arrivals.time.tolist(), worlds[1].arrivals.time.tolist())

    def test_a_day_without_faults_is_delivered_and_with_faults_the_ceiling_is_above_the_floor(self):
        self.assertGreater(play(day(), 1).summary["G"], 0.98)
        fault = [{"kind": "refuse", "at": 5.0, "for": 6.0, "part": 0.5}]
        names = "one-try", "ryestack", "best"
        found = {name: play(day(fault=fault), 2, name).summary["G"] for name in names}
        self.assertLess(found["one-try"] + 0.1, found["ryestack"])
        self.assertLess(found["ryestack"], found["best"] + 0.01)

    def test_each_fault_alone_and_all_together_keep_the_rules(self):
        at = {"at": 4.0, "for": 5.0, "part": 0.5}
        topics = [{"name": "a", "effect": "collapsible"}, {"name": "b", "effect": "once-only"},
                  {"name": "c", "keep_order": True}]  # fmt: skip
        base = {"topic": topics, "fleet": {"relays": 4}}
        for kind in sc.FAULTS:
            for more in ({}, {"folder": False, "planned": True, "tells": True, "calls": 0.4}):
                row = {"kind": kind, **at, **more, **({"size": 0.5} if kind == "roll" else {})}
                summary = play(day(**base, fault=[row]), 6).summary
                self.assertEqual(rules_broken(summary), 0, summary["broken"])
        rows = [{"kind": kind, **at} for kind in sc.FAULTS]
        summary = play(day(**base, fault=rows), 7).summary
        self.assertEqual({k: v for k, v in summary["rules"].items() if v and k != "4"}, {}, summary["broken"])

    def test_a_relay_restarted_with_its_folder_answers_what_it_held(self):
        fault = {"kind": "kill", "at": 8.0, "part": 1.0, "down": 2.0}
        rows = [{"kind": "hang", "at": 5.0, "for": 8.0, "part": 1.0}]
        for folder in (True, False):
            summary = play(day(fault=[*rows, {**fault, "folder": folder}]), 1).summary
            found = rules_broken(summary), summary["orphans"] > 0
            self.assertEqual(found, (0, not folder), summary["broken"])
            self.assertGreater(summary["dead_door"], 10)

    def test_the_judge_detects_broken_policies(self):
        """The judge reports what the guards prevent: each guard is removed in turn."""
        class PushesAgain(Brain):
            park_or_give_up = Brain.park
            def may_push(self, held, route):
                return held.state == "parked" and not held.in_flight

            def begin_timeout(self, held):
                return math.inf

        class IgnoresDrains(Brain):
            def may_push(self, held, route):
                drained, route.state = route.state, "closed"
                good = super().may_push(held, route)
                route.state = drained
                return good

            def may_start_call(self, route):
                return True

        lost = [{"kind": "lost", "at": 2.0, "for": 10.0, "part": 1.0}]
        world = World(day(topic=[{"effect": "once-only", "ttl": 8.0}], fault=lost), 1, PushesAgain).run()
        self.assertGreater(world.judge.counts[1] + world.judge.counts[2], 0)
        rows = [{"kind": "replace", "at": 2.0, "for": 5.0, "part": 1.0}]
        world = World(day(fault=rows), 1, IgnoresDrains).run()
        self.assertGreater(world.judge.counts[3], 0)
        many = {"count": 1, "headroom": 0.8, "least": 1.0, "limit": {"how": "window", "tells": 1.0}}
        no_waits = type("IgnoresWaits", (POLICIES["random"],), {"wait_scope": lambda self, route: object()})
        world = World(day(group=[many]), 1, no_waits).run()
        self.assertGreater(world.judge.counts[6], 0)


if __name__ == "__main__":
    unittest.main()

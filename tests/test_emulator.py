import math
import os
import tempfile
import unittest
from types import SimpleNamespace

import numpy as np

from ryestack import interface as it
from ryestack.brain import Brain
from ryestack.interface import Result
from ryestack.lab import hunt, sweep, validity
from ryestack.lab import scenario as sc
from ryestack.lab.compare import difference, share_of_best
from ryestack.lab.judge import Judge
from ryestack.lab.policies import POLICIES
from ryestack.lab.policies.textbook import RandomRoute, RoundRobin, TokenBucket
from ryestack.lab.report import of_day, of_sweep
from ryestack.lab.runner import line_of, play, policy_of, rules_broken
from ryestack.lab.sim import paces, traffic
from ryestack.lab.sim.chance import Chance, block
from ryestack.lab.sim.clock import Clock
from ryestack.lab.sim.limits import Rate, Window
from ryestack.lab.sim.partners import Call, Cold, Route, Trouble, Unit
from ryestack.lab.sim.relays import Hand
from ryestack.lab.sim.world import World

from .helpers import settings, take

TOPICS = [
    sc.Topic("again", effect="repeatable"),
    sc.Topic("merge", effect="collapsible", window=6.0),
    sc.Topic("once", effect="once-only"),
]


def day(**more):
    base = {"format": 1, "seconds": 20.0, "group": [{"count": 4}], "traffic": {"rate": 20.0}}
    return sc.of({**base, **more})


class Chances(unittest.TestCase):
    def test_streams_by_name_do_not_shift_each_other(self):
        one, two = Chance(5), Chance(5)
        two.of("other").random(100)
        self.assertEqual(one.of("a", 1).random(3).tolist(), two.of("a", 1).random(3).tolist())
        self.assertNotEqual(one.of("a", 1).random(), one.of("a", 2).random())
        u = block(one.of("b").random, 4)
        self.assertEqual(len({u() for _ in range(10)}), 10)

    def test_paces_have_mean_one_and_their_spread(self):
        gen = Chance(3).of("p")
        for shape, cv, wanted in (("exponential", 0, 1.0), ("lognormal", 0.8, 0.8), ("heavy", 0.6, 0.6)):
            drawn = paces.unit(shape, cv, [], gen, 400_000)
            self.assertAlmostEqual(drawn.mean(), 1.0, delta=0.01)
            self.assertAlmostEqual(drawn.std(), wanted, delta=0.15)
        drawn = paces.unit("empirical", 0, [1.0, 3.0], gen, 1000)
        self.assertEqual(set(drawn.tolist()), {0.5, 1.5})
        self.assertEqual(set(paces.unit("fixed", 0, [], gen, 3)), {1.0})

    def test_equal_times_go_in_the_order_asked_for_and_nothing_goes_back(self):
        clock, seen = Clock(), []
        clock.at(2.0, seen.append, "c")
        clock.at(1.0, seen.append, "a")
        clock.at(1.0, lambda: clock.at(0.0, seen.append, "b"))
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
        found = traffic.draw(made, shares, shares * 100, 0.5, [(50.0, 2, 500)], Chance(2))
        self.assertAlmostEqual(len(found) / 10_500, 1.0, delta=0.07)
        self.assertTrue(np.all(np.diff(found.at) >= 0.0))
        self.assertAlmostEqual((found.topic == 0).mean(), 0.75, delta=0.02)
        self.assertEqual(set((found.key >= 0)[found.topic == 0].tolist()), {False})
        burst = (found.at > 50.0) & (found.at < 51.0) & (found.destination == 2)
        self.assertGreater(burst.sum(), 300)
        over = found.worth[found.customer == 0] < 1.0
        self.assertAlmostEqual(over.mean(), 0.5, delta=0.1)  # it hands in twice its quota
        self.assertEqual(found.worth[found.customer == 1].min(), 1.0)

    def test_every_shape_of_a_day_has_its_mean(self):
        for shape in ("steady", "bursty", "ramp", "wave"):
            _, level = traffic.intensity(shape, 0.5, 4000.0, Chance(1).of(shape))
            self.assertAlmostEqual(level.mean(), 1.0, delta=0.06)


class Limits(unittest.TestCase):
    def test_a_rate_lets_its_burst_and_then_its_rate_through(self):
        limit = Rate(10.0, 5.0, False)
        self.assertEqual(sum(limit.take(0.0)[0] for _ in range(20)), 5)
        good, wait = limit.take(0.0)
        self.assertFalse(good)
        self.assertAlmostEqual(wait, 0.1)
        self.assertEqual(sum(limit.take(0.01 * i)[0] for i in range(1, 101)), 10)

    def test_refused_calls_use_a_limit_up_where_they_count(self):
        for limit in (Rate(10.0, 5.0, True), Window(10.0, 1.0, True)):
            taken = sum(limit.take(0.02 * i)[0] for i in range(500))  # 50 a second for ten seconds
            self.assertLess(taken, 70)

    def test_a_window_counts_by_spans_and_tells_its_end(self):
        limit = Window(3.0, 2.0, False)
        self.assertEqual([limit.take(0.5)[0] for _ in range(4)], [True, True, True, False])
        self.assertAlmostEqual(limit.take(1.25)[1], 0.75)
        self.assertEqual((limit.take(2.0)[0], limit.room(2.0)), (True, 2.0))


def unit(**more):
    return Unit("u", 10.0, Cold(0.5, 10.0, 1.5, 1.0, 5.0), **more)


class Destinations(unittest.TestCase):
    def test_queues_are_as_theory_has_them(self):
        rows = validity.check(count=6_000, runs=8, seed=3, cores=1)
        self.assertGreaterEqual(sum(r.good for r in rows), len(rows) - 1)
        self.assertAlmostEqual(validity.erlang_c(1, 0.7), 0.7)
        self.assertAlmostEqual(validity.loss(1, 0, 1.0), 0.5)  # Erlang's loss with one server at one erlang

    def test_an_outage_begins_and_ends_with_its_troubles_and_what_comes_back_is_cold(self):
        u, one, two = unit(), Trouble("hang", 1.0), Trouble("error", 0.3)
        u.strike(two, 1.0)
        self.assertFalse(u.out)  # three calls in ten failing are no outage
        u.strike(one, 2.0)
        u.witnesses.add("r")
        u.mend(two, 3.0)
        self.assertTrue(u.out)
        u.mend(one, 4.0)
        self.assertEqual((u.out, u.is_cold(4.0)), (False, True))
        self.assertEqual([u.share(at) for at in (4.0, 9.0, 14.0)], [0.5, 0.75, 1.0])
        self.assertEqual(u.witnesses, {"r"})
        u.strike(one, 20.0)
        self.assertEqual(u.witnesses, set())

    def test_too_much_for_a_cold_one_within_the_window(self):
        u = unit()
        u.cold_since = 0.0
        calm = [u.pushed_over("r", 1.0, 0.2 * i) for i in range(20)]  # five a second, it can do five
        self.assertEqual(set(calm), {None})
        hard = [u.pushed_over("r", 1.0, 4.0 + 0.02 * i) for i in range(20)]
        self.assertIsNotNone(hard[-1])

    def test_troubles_compose_and_strike_their_topic(self):
        u, even = unit(), lambda: 0.5
        u.strike(Trouble("slow", 1.0, 4.0), 0.0)
        u.strike(Trouble("tail", 1.0, 3.0, "b"), 0.0)
        u.strike(Trouble("lost", 0.4), 0.0)
        u.strike(Trouble("shut", 0.6, topic="b", until=9.0), 0.0)
        self.assertEqual((u.slower("a", even), u.slower("b", even)), (4.0, 12.0))
        self.assertEqual((u.meets("a", even), u.meets("b", even), u.opens_at()), ("", "shut", 9.0))

    def test_slots_queue_and_what_dies_with_the_process(self):
        clock, done = Clock(), []
        route, relay = Route("r", unit(), 0, 1, 1, clock, done.append), SimpleNamespace(life=0)
        calls = [Call(relay, route, [], 0.0) for _ in range(3)]
        for call in calls:
            call.work = 1.0
        self.assertEqual([route.arrive(c) for c in calls], [True, True, False])
        clock.run(1.5)
        self.assertEqual(done, calls[:1])
        self.assertEqual(route.die(), [calls[1]])
        clock.run(9.0)
        self.assertEqual((done, route.running), (calls[:1], 0))


class Rules(unittest.TestCase):
    """Each rule is broken once, on purpose."""

    def setUp(self):
        self.judge = Judge(TOPICS, sc.Rules())
        self.relay = SimpleNamespace(number=0, up=True, ready_at=0.0, forgot=lambda hand: False)
        self.route = SimpleNamespace(id="s", unit=SimpleNamespace(name="d"))

    def hand(self, name="1.0", topic=0, due=20.0, order=""):
        made = Hand(name, 1, topic, due, order)
        made.relay = self.relay
        self.judge.taken(made, 0.0)
        return made

    def broke(self, *rules):
        self.assertEqual([k for k, n in self.judge.counts.items() if n], list(rules), self.judge.broken)

    def test_one_end_in_time_and_nothing_after(self):
        j = self.judge
        for spoil in (
            lambda h: (j.ended(h, "delivered", 1.0), j.ended(h, "expired", 2.0)),
            lambda h: (j.ended(h, "throttled", 1.0), j.pushed(h, 0, self.route, 2.0)),
            lambda h: j.pushed(h, 0, self.route, 20.1),
            lambda h: j.ended(h, "expired", 20.1),
            lambda h: j.overdue(h, 20.06),
        ):
            j.counts[1] = 0
            spoil(self.hand())
            self.assertEqual(j.counts[1], 1)
        self.broke(1)

    def test_a_restarted_relay_has_a_moment_and_one_without_its_folder_no_duty(self):
        hand = self.hand()
        self.relay.ready_at = 19.5
        self.assertGreater(self.judge.overdue(hand, 20.06), 20.9)
        self.relay.forgot = lambda hand: True
        self.assertIsNone(self.judge.overdue(hand, 21.1))
        self.broke()

    def test_effects_twice_and_false_words(self):
        j = self.judge
        once, merge, again = self.hand(topic=2), self.hand(topic=1), self.hand(topic=0)
        for hand in (once, merge, again):
            j.ran(hand, self.route, 1.0)
        j.pushed(merge, 1, self.route, 6.9)
        j.ran(again, self.route, 9.0)
        self.broke()
        j.pushed(merge, 2, self.route, 7.2)
        self.assertEqual(j.counts[2], 1)
        j.ended(once, "throttled", 2.0)
        self.assertEqual(j.counts[2], 2)
        j.ran(once, self.route, 3.0)
        self.assertEqual(j.counts[2], 4)  # it ran twice, and after it was called harmless

    def test_drains_waits_and_turns(self):
        j, hand = self.judge, self.hand()
        j.listed(self.relay, "s", False, 1.0)
        j.pushed(hand, 0, self.route, 2.9)
        self.broke()
        j.pushed(hand, 1, self.route, 3.2)
        self.broke(3)
        j.listed(self.relay, "s", True, 3.3)
        j.wait(self.relay, self.route.unit, 5.0)
        j.pushed(hand, 2, self.route, 4.9)
        self.broke(3, 6)
        j.restarted(self.relay)
        j.pushed(hand, 3, self.route, 4.95)
        self.broke(3, 6)
        first, second = self.hand("2.0", order="k"), self.hand("3.0", order="k")
        j.pushed(second, 0, self.route, 6.0)
        self.broke(3, 5, 6)
        j.counts[5] = 0
        j.may_still_run(first, 6.0)
        j.ended(first, "expired", 6.1)
        j.pushed(second, 1, self.route, 6.5)
        self.assertEqual(j.counts[5], 1)  # its key rests
        j.pushed(second, 2, self.route, 7.1)
        self.assertEqual(j.counts[5], 1)

    def test_pushed_over_counts_only_where_two_thirds_had_seen_it_fail(self):
        u = unit()
        u.witnesses = {"a"}
        self.judge.fell(u, [(0.0, "a", 1.0), (0.1, "b", 1.0)], 0.2)
        self.broke()
        self.judge.fell(u, [(0.0, "a", 2.0), (0.1, "b", 1.0)], 0.2)
        self.broke(4)

    def test_a_life_is_traced(self):
        self.judge.trace = {"1.0"}
        hand = self.hand()
        self.hand("2.0")
        self.judge.pushed(hand, 0, self.route, 1.0)
        told = [line.split(": ")[1] for line in self.judge.lines]
        self.assertEqual(told, ["taken by relay 0, due 20.000", "push 0 to s"])


class Policies(unittest.TestCase):
    def of(self, kind):
        made = kind(settings(), 1)
        rows = tuple(it.Endpoint(r, "z", "shared", 7, rate=50.0) for r in "ab")
        made.round(0.0, [it.ListUpdate(rows, whole=True)])
        return made

    def pushes(self, acts):
        return [(a.id, a.endpoint) for a in acts if isinstance(a, it.Push)]

    def test_what_may_not_run_again_ends_and_what_may_goes_on(self):
        made = self.of(RandomRoute)
        first = self.pushes(made.round(1.0, [take("n", "once"), take("m")]))
        self.assertEqual({name for name, _ in first}, {"n", "m"})
        broken = [it.Outcome(name, 0, route, Result.BROKEN) for name, route in first]
        acts = made.round(1.1, broken)
        self.assertEqual([type(a) for a in acts if getattr(a, "id", "") == "n"], [it.Expire])
        self.assertEqual([name for name, _ in self.pushes(acts)], ["m"])

    def test_waits_are_heeded_and_routes_taken_in_turn(self):
        made = self.of(RoundRobin)
        acts = made.round(1.0, [take("n"), take("m")])
        self.assertEqual([route for _, route in self.pushes(acts)], ["a", "b"])
        made.round(1.1, [it.Outcome("n", 0, "a", Result.FULL, wait=2.0)])
        self.assertEqual(self.pushes(made.round(2.0, [take("o")])), [])
        self.assertTrue(self.pushes(made.round(3.5, [])))

    def test_a_retry_budget_runs_out(self):
        made, pushed = self.of(TokenBucket), 0
        for i in range(40):
            acts = made.round(1.0 + i, [take(f"n{i}", due=90.0)])
            for name, route in self.pushes(acts):
                pushed += 1
                number = made.held[name].pushes - 1
                made.round(1.01 + i, [it.Outcome(name, number, route, Result.ERROR)])
        self.assertLess(pushed, 40 + 16)

    def test_a_revision_of_the_module_is_a_policy_and_an_unknown_one_is_told(self):
        with self.assertRaisesRegex(sc.BadScenario, "there is none"):
            policy_of("rystack")
        with self.assertRaises(sc.BadScenario):
            policy_of("ryestack@no-such-revision")


class Days(unittest.TestCase):
    def test_the_same_seed_the_same_bytes_and_another_another(self):
        made = day(random={"faults": [1, 3]})
        one, two, other = (play(made, seed).summary for seed in (4, 4, 5))
        self.assertEqual(line_of(one), line_of(two))
        self.assertNotEqual(line_of(one), line_of(other))

    def test_policies_meet_the_same_arrivals(self):
        worlds = [World(day(), 3, POLICIES[name]).run() for name in ("one-try", "best")]
        self.assertEqual(worlds[0].arrivals.at.tolist(), worlds[1].arrivals.at.tolist())

    def test_a_calm_day_is_delivered_and_the_ceiling_is_over_the_floor_in_trouble(self):
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

    def test_a_relay_with_its_folder_owes_what_it_held_and_one_without_does_not(self):
        fault = {"kind": "kill", "at": 8.0, "part": 1.0, "down": 2.0}
        rows = [{"kind": "hang", "at": 5.0, "for": 8.0, "part": 1.0}]
        for folder in (True, False):
            summary = play(day(fault=[*rows, {**fault, "folder": folder}]), 1).summary
            told = rules_broken(summary), summary["orphans"] > 0
            self.assertEqual(told, (0, not folder), summary["broken"])
            self.assertGreater(summary["dead_door"], 10)

    def test_a_broken_module_is_caught(self):
        """The judge sees what the guards prevent: each is taken out in turn."""
        class Again(Brain):
            again = Brain.park
            def may_push(self, ntf, route):
                return ntf.state == "parked" and not ntf.out

            def begin_in(self, ntf):
                return math.inf

        class Deaf(Brain):
            def may_push(self, ntf, route):
                drained, route.state = route.state, "closed"
                good = super().may_push(ntf, route)
                route.state = drained
                return good

            def opens(self, route):
                return True

        lost = [{"kind": "lost", "at": 2.0, "for": 10.0, "part": 1.0}]
        world = World(day(topic=[{"effect": "once-only", "ttl": 8.0}], fault=lost), 1, Again).run()
        self.assertGreater(world.judge.counts[1] + world.judge.counts[2], 0)
        rows = [{"kind": "replace", "at": 2.0, "for": 5.0, "part": 1.0}]
        world = World(day(fault=rows), 1, Deaf).run()
        self.assertGreater(world.judge.counts[3], 0)
        many = {"count": 1, "headroom": 0.8, "least": 1.0, "limit": {"how": "window", "tells": 1.0}}
        forgetful = type("Forgetful", (POLICIES["random"],), {"unit": lambda self, route: object()})
        world = World(day(group=[many]), 1, forgetful).run()
        self.assertGreater(world.judge.counts[6], 0)


class Tools(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = os.path.join(folder.name, "rows.jsonl")

    def test_a_scenario_with_faults_names_them_all(self):
        table = {"format": 1, "seconds": 0, "group": [{"count": 2}], "traffic": {"rat": 3}}
        told = dict(sc.faults_of(table))
        self.assertEqual(set(told), {"seconds", "traffic.rat"})
        table = {"format": 1, "group": [{"count": 2, "headroom": [3.0, 1.0]}], "fault": [
            {"kind": "slow", "group": "x", "topic": "y", "destinations": [2]}, {"kind": "kill", "at": [1.0]}]}
        keys = [key for key, _ in sc.faults_of(table)]
        wanted = ["group[0].headroom", "fault[0].group", "fault[0].topic", "fault[0].destinations"]
        self.assertEqual([k for k in keys if k in wanted], wanted)
        told = dict(sc.faults_of({"format": 1, "fault": [{"kind": "slwo"}]}))
        self.assertIn('found "slwo"', told["fault[0].kind"])

    def test_a_scenario_comes_back_as_it_was_written(self):
        made = day(fault=[{"kind": "slow", "at": [1.0, 2.0], "for": 3.0}])
        sc.write(made, self.path)
        self.assertEqual(sc.read(self.path), made)

    def test_a_sweep_goes_on_where_it_was_stopped_and_passes_over_a_cut_line(self):
        table = sc.table_of(day(seconds=4.0))
        points = sweep.grid({"traffic.load": [0.5, 0.9], "group.0.headroom": [2.0]})
        jobs = sweep.jobs_of(table, points, [1, 2], ["ryestack"])
        seen = []
        first = sweep.run(jobs[:3], self.path, lambda done, of: seen.append(done), 1)
        with open(self.path, "ab") as file:
            file.write(b'{"name": "cut o')
        self.assertEqual((len(first), seen[-1]), (3, 3))
        with open(self.path, "rb+") as file:  # as a stop leaves it, less the torn end
            data = file.read()
            file.truncate(data.rindex(b"\n") + 1)
        seen.clear()
        whole = sweep.run(jobs, self.path, lambda done, of: seen.append(done), 1)
        self.assertEqual((seen, whole[:3]), ([3, 4], first))
        self.assertIn("<img", of_sweep(whole))
        with self.assertRaises(sc.BadScenario):
            sweep.jobs_of(table, [{"traffic.lod": 1.0}], [1], ["ryestack"])
        drawn = sweep.drawn({"a": [1, 9], "b": [0.0, 1.0], "c": ["x", "y", "z"]}, 50, 1)
        good = [isinstance(r["a"], int) and 0.0 <= r["b"] <= 1.0 and r["c"] in "xyz" for r in drawn]
        self.assertTrue(all(good))

    def test_a_difference_is_told_only_where_there_is_one(self):
        gen = np.random.default_rng(1)
        a = gen.normal(0.9, 0.05, 30)
        self.assertTrue(difference(a, a + gen.normal(0.03, 0.01, 30)).told)
        self.assertIn("can't tell", difference(a, a + gen.normal(0.0, 0.02, 30)).words("a", "b"))
        self.assertAlmostEqual(share_of_best(0.8, 0.6, 1.0), 0.5)
        self.assertTrue(math.isinf(difference([1.0], [2.0]).high))

    def test_a_hunt_finds_a_day_and_cuts_it_down(self):
        made = day(seconds=16.0, random={"faults": [2, 2], "kinds": ["hang", "stale"]})
        found = hunt.search(made, "one-try", 4, 1, lambda done, of: None, 1)
        self.assertEqual(len(found), 4)
        self.assertGreaterEqual(found[0].broken + found[0].lost, found[-1].lost)
        least = hunt.shrink(found[0], "one-try", lambda line: None, 1)
        self.assertLessEqual(len(least.day.fault), len(found[0].day.fault))
        self.assertTrue(least.broken if found[0].broken else least.lost >= 0.7 * found[0].lost)

    def test_a_page_holds_all_it_shows(self):
        page = of_day(play(day(fault=[{"kind": "error", "at": 5.0}]), 1))
        self.assertGreater(page.count("data:image/png;base64,"), 5)
        self.assertNotRegex(page, r"(src|href)=.http")


if __name__ == "__main__":
    unittest.main()

"""The judge of the emulator and the reference policies."""

import unittest
from types import SimpleNamespace

from ryestack import interface
from ryestack.interface import Result
from ryestack.lab import scenario as sc
from ryestack.lab.judge import Judge
from ryestack.lab.policies.textbook import RandomRoute, RoundRobin, TokenBucket
from ryestack.lab.runner import policy_of
from ryestack.lab.sim.relays import Submission

from .emulated import TOPICS, unit
from .helpers import settings, take


class Rules(unittest.TestCase):
    """Each rule is violated once."""

    def setUp(self):
        self.judge = Judge(TOPICS, sc.Rules())
        self.relay = SimpleNamespace(number=0, up=True, ready_at=0.0, has_lost=lambda submission: False)
        self.route = SimpleNamespace(id="s", unit=SimpleNamespace(name="d"))

    def submission(self, name="1.0", topic=0, due=20.0, key=""):
        made = Submission(name, 1, topic, due, key)
        made.relay = self.relay
        self.judge.accepted(made, 0.0)
        return made

    def broke(self, *rules):
        self.assertEqual([k for k, n in self.judge.counts.items() if n], list(rules), self.judge.violations)

    def test_one_final_answer_in_time_and_nothing_after(self):
        judge = self.judge
        for violate in (
            lambda h: (judge.answered(h, "delivered", 1.0), judge.answered(h, "expired", 2.0)),
            lambda h: (judge.answered(h, "throttled", 1.0), judge.pushed(h, 0, self.route, 2.0)),
            lambda h: judge.pushed(h, 0, self.route, 20.1),
            lambda h: judge.answered(h, "expired", 20.1),
            lambda h: judge.check_deadline(h, 20.06),
        ):
            judge.counts[1] = 0
            violate(self.submission())
            self.assertEqual(judge.counts[1], 1)
        self.broke(1)

    def test_a_restarted_relay_has_a_grace_period_and_one_without_its_folder_no_obligation(self):
        submission = self.submission()
        self.relay.ready_at = 19.5
        self.assertGreater(self.judge.check_deadline(submission, 20.06), 20.9)
        self.relay.has_lost = lambda submission: True
        self.assertIsNone(self.judge.check_deadline(submission, 21.1))
        self.broke()

    def test_repeated_effects_and_false_answers(self):
        judge = self.judge
        once, merge, again = self.submission(topic=2), self.submission(topic=1), self.submission(topic=0)
        for submission in (once, merge, again):
            judge.took_effect(submission, self.route, 1.0)
        judge.pushed(merge, 1, self.route, 6.9)
        judge.took_effect(again, self.route, 9.0)
        self.broke()
        judge.pushed(merge, 2, self.route, 7.2)
        self.assertEqual(judge.counts[2], 1)
        judge.answered(once, "throttled", 2.0)
        self.assertEqual(judge.counts[2], 2)
        judge.took_effect(once, self.route, 3.0)
        self.assertEqual(judge.counts[2], 4)  # it ran twice, and after the answer throttled

    def test_drains_waits_and_key_order(self):
        judge, submission = self.judge, self.submission()
        judge.list_changed(self.relay, "s", False, 1.0)
        judge.pushed(submission, 0, self.route, 2.9)
        self.broke()
        judge.pushed(submission, 1, self.route, 3.2)
        self.broke(3)
        judge.list_changed(self.relay, "s", True, 3.3)
        judge.wait_requested(self.relay, self.route.unit, 5.0)
        judge.pushed(submission, 2, self.route, 4.9)
        self.broke(3, 6)
        judge.restarted(self.relay)
        judge.pushed(submission, 3, self.route, 4.95)
        self.broke(3, 6)
        first, second = self.submission("2.0", key="k"), self.submission("3.0", key="k")
        judge.pushed(second, 0, self.route, 6.0)
        self.broke(3, 5, 6)
        judge.counts[5] = 0
        judge.may_still_run(first, 6.0)
        judge.answered(first, "expired", 6.1)
        judge.pushed(second, 1, self.route, 6.5)
        self.assertEqual(judge.counts[5], 1)  # its key rests
        judge.pushed(second, 2, self.route, 7.1)
        self.assertEqual(judge.counts[5], 1)

    def test_overload_counts_only_if_two_thirds_came_from_relays_that_had_seen_the_failure(self):
        u = unit()
        u.witnesses = {"a"}
        self.judge.overloaded(u, [(0.0, "a", 1.0), (0.1, "b", 1.0)], 0.2)
        self.broke()
        self.judge.overloaded(u, [(0.0, "a", 2.0), (0.1, "b", 1.0)], 0.2)
        self.broke(4)

    def test_a_submission_is_traced(self):
        self.judge.trace = {"1.0"}
        submission = self.submission()
        self.submission("2.0")
        self.judge.pushed(submission, 0, self.route, 1.0)
        traced = [line.split(": ")[1] for line in self.judge.trace_lines]
        self.assertEqual(traced, ["taken by relay 0, due 20.000", "push 0 to s"])


class Policies(unittest.TestCase):
    def policy(self, kind):
        made = kind(settings(), 1)
        rows = tuple(interface.Endpoint(r, "z", "shared", 7, rate=50.0) for r in "ab")
        made.round(0.0, [interface.ListUpdate(rows, whole=True)])
        return made

    def pushes(self, actions):
        return [(a.id, a.endpoint) for a in actions if isinstance(a, interface.Push)]

    def test_once_only_notifications_end_and_repeatable_ones_are_pushed_again(self):
        made = self.policy(RandomRoute)
        first = self.pushes(made.round(1.0, [take("n", "once"), take("m")]))
        self.assertEqual({name for name, _ in first}, {"n", "m"})
        broken = [interface.Outcome(name, 0, route, Result.BROKEN) for name, route in first]
        actions = made.round(1.1, broken)
        self.assertEqual([type(a) for a in actions if getattr(a, "id", "") == "n"], [interface.Expire])
        self.assertEqual([name for name, _ in self.pushes(actions)], ["m"])

    def test_waits_are_honoured_and_routes_used_in_turn(self):
        made = self.policy(RoundRobin)
        actions = made.round(1.0, [take("n"), take("m")])
        self.assertEqual([route for _, route in self.pushes(actions)], ["a", "b"])
        made.round(1.1, [interface.Outcome("n", 0, "a", Result.FULL, wait=2.0)])
        self.assertEqual(self.pushes(made.round(2.0, [take("o")])), [])
        self.assertTrue(self.pushes(made.round(3.5, [])))

    def test_a_retry_budget_runs_out(self):
        made, pushed = self.policy(TokenBucket), 0
        for i in range(40):
            actions = made.round(1.0 + i, [take(f"n{i}", due=90.0)])
            for name, route in self.pushes(actions):
                pushed += 1
                number = made.held[name].pushes - 1
                made.round(1.01 + i, [interface.Outcome(name, number, route, Result.ERROR)])
        self.assertLess(pushed, 40 + 16)

    def test_unknown_policies_and_revisions_are_rejected(self):
        with self.assertRaisesRegex(sc.BadScenario, "there is none"):
            policy_of("rystack")
        with self.assertRaises(sc.BadScenario):
            policy_of("ryestack@no-such-revision")


if __name__ == "__main__":
    unittest.main()

"""The rules checked at run time: each broken one is seen, counted and not done; what is counted is told."""

import unittest
from types import SimpleNamespace

from ryestack import interface as it
from ryestack.brain.invariants import MOST_DRAINED, Invariants, Rule
from ryestack.interface import Result
from ryestack.lifecycle.admission import Refusal
from ryestack.lifecycle.pushing import Unsent
from ryestack.ports import Closed, Verdict

from .test_client_connection import WHOLE, Served
from .test_owner import OwnerFixture

INF = float("inf")
AGAIN = it.TopicType("again", it.Effect.REPEATABLE, 2.0, 20.0)
ONCE = it.TopicType("once", it.Effect.ONCE_ONLY, 2.0, 20.0)
MERGE = it.TopicType("merge", it.Effect.COLLAPSIBLE, 2.0, 20.0, window=3.0)
CELL = it.TopicType("cell", it.Effect.COLLAPSIBLE, 2.0, 20.0, group="cell", window=3.0)


class Checks(unittest.TestCase):
    def check(self, checks, topic=AGAIN, now=10.0, due=20.0, maybe_at=INF, notice=None):
        owed = SimpleNamespace(notice=notice)
        return checks.check_push(it.Push("n", "a", 1.0), owed, topic, now, due, maybe_at)

    def test_what_may_be_sent_passes_and_each_broken_rule_is_named_and_counted(self):
        checks = Invariants()
        for topic, maybe_at in ((AGAIN, INF), (AGAIN, 1.0), (ONCE, INF), (MERGE, 8.0), (CELL, INF)):
            self.assertIsNone(self.check(checks, topic, maybe_at=maybe_at))
        self.assertEqual(checks.counts.total(), 0)
        for rule, more in (
            (Rule.AFTER_ITS_END, {"notice": {"state": "failed"}}),
            (Rule.AFTER_ITS_TIME, {"now": 20.0}),
            (Rule.REPEATED, {"topic": ONCE, "maybe_at": 9.0}),
            (Rule.REPEATED, {"topic": MERGE, "maybe_at": 7.0}),
            (Rule.REPEATED, {"topic": CELL, "maybe_at": 9.0}),
        ):
            self.assertIs(self.check(checks, **more), rule)
        self.assertEqual(checks.counts, {Rule.AFTER_ITS_END: 1, Rule.AFTER_ITS_TIME: 1, Rule.REPEATED: 3})

    def test_never_two_out_until_the_first_has_ended(self):
        checks = Invariants()
        checks.started("n", 0)
        self.assertIs(self.check(checks), Rule.TWO_OUT)
        checks.ended("n", 1)  # another one's
        self.assertIs(self.check(checks), Rule.TWO_OUT)
        checks.ended("n", 0)
        self.assertIsNone(self.check(checks))
        self.assertEqual(checks.out, {})

    def test_waits_bind_from_the_head_or_the_outcome_on(self):
        for told in (it.WaitTold("a", 2.0), it.Outcome("m", 0, "a", Result.FULL, wait=2.0)):
            checks = Invariants()
            checks.hear(told, 9.0)
            self.assertIs(self.check(checks, now=10.9), Rule.WITHIN_WAIT)
            self.assertIsNone(self.check(checks, now=11.0))

    def test_drained_or_left_out_of_a_whole_list_it_gets_nothing_until_it_is_ready_again(self):
        ready, other = it.Endpoint("a", "z", "k", 7), it.Endpoint("b", "z", "k", 7)
        for told in (
            it.ListUpdate((it.Endpoint("a", "z", "k", 7, it.Listed.DRAINING),)),
            it.ListUpdate((it.Endpoint("a", "z", "k", 7, it.Listed.GONE),)),
            it.ListUpdate((other,), whole=True),
        ):
            checks = Invariants()
            checks.hear(it.ListUpdate((ready,), whole=True), 1.0)
            self.assertIsNone(self.check(checks))
            checks.hear(told, 2.0)
            self.assertIs(self.check(checks), Rule.TO_DRAINED)
            checks.hear(it.ListUpdate((ready,)), 3.0)
            self.assertIsNone(self.check(checks))

    def test_what_it_remembers_of_endpoints_that_are_gone_is_bounded(self):
        checks = Invariants()
        for n in range(MOST_DRAINED + 50):
            gone = it.Endpoint(f"e{n}", "z", "k", 7, it.Listed.GONE)
            checks.hear(it.ListUpdate((gone,)), 1.0)
        self.assertEqual(len(checks.drained), MOST_DRAINED)

    def test_nothing_is_started_once_the_process_ends(self):
        checks = Invariants()
        checks.hear(it.Leaving(9.5), 9.0)
        self.assertIs(self.check(checks), Rule.WHILE_ENDING)


class Refused(OwnerFixture, unittest.IsolatedAsyncioTestCase):
    async def test_a_push_that_would_break_a_rule_is_not_made_and_counts_as_none(self):
        o = self.owner()
        o.round([self.hand_in("n", "once")])
        self.assertEqual(self.sent, [("n", 0)])
        o.put([it.Outcome("n", 0, "a", Result.BROKEN)])
        o.round(o.take_queue())
        self.sent.clear()
        o.push([it.Push("n", "a", 1.0)])  # as if the decisions had erred
        self.assertEqual((self.sent, o.invariants.counts[Rule.AFTER_ITS_END]), ([], 1))
        o.take_queue()
        o.round([self.hand_in("m", "once")])
        o.push([it.Push("m", "a", 1.0)])
        self.assertEqual(self.sent, [("m", 0)])
        self.assertEqual((o.invariants.counts[Rule.TWO_OUT], o.unsent[Unsent.RULE]), (1, 2))
        [outcome] = o.take_queue()
        self.assertEqual((outcome.made, o.ledger.owed["m"].pushes), (False, 1))

    async def test_a_second_end_is_not_told(self):
        o = self.owner()
        o.round([self.hand_in("n")])
        o.new_hand_ins = {}
        for _ in range(2):
            o.end(it.Expire("n"))
        self.assertEqual(
            ([name for name, _ in self.sent_notices], o.invariants.counts[Rule.TWO_ENDS]), (["n"], 1)
        )

    async def test_while_the_journal_fails_pushes_are_not_used_up(self):
        o, message = self.owner(max_pushes=2), self.hand_in("n")
        o.round([message])
        o.put([it.Outcome("n", 0, "a", Result.FULL)])
        real = o.ledger.push
        o.ledger.push = lambda *_: False
        for _ in range(60):
            self.now += 0.1
            o.round([*o.take_queue(), it.Woken()])
        self.assertGreater(o.unsent[Unsent.NOT_WRITTEN], 5)
        self.assertEqual((self.sent, self.sent_notices), ([("n", 0)], []))
        o.ledger.push = real
        for _ in range(20):
            self.now += 0.1
            o.round([*o.take_queue(), it.Woken()])
        self.assertEqual(self.sent, [("n", 0), ("n", 1)])
        self.assertEqual(o.retries, {"full": 1})

    async def test_each_refusal_has_its_reason(self):
        o = self.owner(max_open=2)
        told = []
        for name in ("n", "n", "m"):
            message = self.hand_in(name)
            o.round([message])
            told.append(message.verdict.result()[0])
        self.assertEqual(told, [Verdict.TAKEN, Verdict.UNREADABLE, Verdict.THROTTLED])
        self.assertEqual(o.refused, {Refusal.ID_IN_USE: 1, Refusal.DECIDED: 1})
        o.drained = True
        o.round([self.hand_in("o")])
        self.assertEqual(o.refused[Refusal.DRAINED], 1)


class Ended(Served, unittest.IsolatedAsyncioTestCase):
    async def test_an_end_over_a_request_that_was_read_is_told_and_each_end_has_its_reason(self):
        told = []
        self.clients.server.unanswered = lambda: told.append(True)
        self.clients.hand_in = lambda message: self.got.append(message)
        sock = await self.connect()
        sock.send(WHOLE)
        await self.until(lambda: self.got)
        [connection] = self.clients.server.connections
        connection.end_for(Closed.ROOM)  # as if it had been taken for idle
        self.assertEqual(told, [True])
        self.got[0].verdict.set_result((Verdict.THROTTLED, 0.0))
        await self.until(lambda: not self.clients.server.connections)
        idle = await self.connect()
        [connection] = self.clients.server.connections
        connection._next_keepalive_close_time = 0.0
        connection._process_keepalive()
        await self.until(lambda: not self.clients.server.connections)
        gone = await self.connect()
        gone.close()
        await self.until(lambda: not self.clients.server.connections)
        self.assertEqual(self.clients.closed, {Closed.ROOM: 1, Closed.IDLE: 1, Closed.CLIENT: 1})
        self.assertEqual((told, idle.fileno() >= 0), ([True], True))


if __name__ == "__main__":
    unittest.main()

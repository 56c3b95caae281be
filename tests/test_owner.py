"""The task that owns the decisions: order of promises, recovery, terms."""

import asyncio
import unittest
from types import SimpleNamespace
from unittest.mock import patch

from ryestack import interface
from ryestack.interface import Result
from ryestack.lifecycle.owner import Owner
from ryestack.ports import HandIn, Verdict
from ryestack.store.journal import Journal
from ryestack.store.ledger import Ledger

from .helpers import Folder, settings, take


class OwnerMade(Folder):
    """An owner in a folder, with a dispatcher and a sink that write down what they are given."""

    def owner(self, folder=None, allowance=100_000, **more):
        ledger = Ledger(Journal(folder or self.folder, allowance))
        ledger.recover()
        self.addCleanup(ledger.journal.close)
        made = Owner(settings(**more), 1, ledger, lambda: self.now, 1000.0)
        made.brain.round(0.0, [self.listed] if not ledger.owed else [])
        self.sent, self.sent_notices, self.last = [], [], made
        made.dispatcher = SimpleNamespace(forget=lambda: None)
        made.dispatcher.close_idle = made.dispatcher.cancel_unsent = lambda _: None
        made.dispatcher.start = lambda _, items: self.sent.extend((i.id, i.push) for i in items)
        made.notices = SimpleNamespace(add=lambda name, notice: self.sent_notices.append((name, notice)))
        return made

    def setUp(self):
        super().setUp()
        self.now = 10.0
        self.listed = interface.ListUpdate(
            (interface.Endpoint("a", "z", "shared", 7, rate=50.0),), whole=True
        )

    def hand_in(self, name, topic="again", due=30.0, body=b"x"):
        loop = asyncio.get_running_loop()
        return HandIn(take(name, topic, due), "", body, loop.create_future(), loop.create_future())

    def restarted(self, after):
        """The same relay after a kill, so many seconds later."""
        self.now += after
        self.last.ledger.journal.close()
        made = self.owner()
        made.recover([self.listed])
        self.now += 0.1  # a new route's first call comes a moment later
        made.round([interface.Woken()])
        return made


class OwnerTask(OwnerMade, unittest.IsolatedAsyncioTestCase):
    async def test_a_failed_list_request_is_retried_with_backoff_until_one_succeeds(self):
        o, asked, loop = self.owner(asks_for_list=True), [], asyncio.get_running_loop()
        o.directory = SimpleNamespace(ask=lambda: asked.append(self.now))
        self.now += 1.1
        o.round([interface.Woken()])  # the asking of a start, which says nothing here
        asked.clear()
        with patch.object(loop, "call_later"):
            for least, most in ((1.0, 2.0), (1.75, 3.5), (1.75, 3.5), (1.75, 3.5)):
                failed, told = self.now, len(asked)
                o.round([interface.ListUpdate(failed=True)])
                while len(asked) == told:
                    self.now += 0.01
                    o.round([interface.Woken()])
                self.assertTrue(least <= asked[-1] - failed <= most + 0.02, (least, asked[-1] - failed))
            o.round([interface.ListUpdate()])
            o.round([interface.ListUpdate(failed=True)])
            self.now += 2.01
            o.round([interface.Woken()])
        self.assertEqual(len(asked), 5)

    async def test_journalled_then_answered_then_pushed(self):
        o, message = self.owner(), self.hand_in("n")
        o.round([message])
        self.assertEqual((message.verdict.result(), self.sent), ((Verdict.TAKEN, 0.0), [("n", 0)]))
        o.ledger.journal.close()
        read = Ledger(Journal(self.folder, 100_000))
        read.recover()
        read.journal.close()
        self.assertEqual((read.owed["n"].due, read.owed["n"].open_pushes), (1030.0, {0: 1010.0}))

    async def test_a_hand_in_past_its_answer_deadline_is_refused_before_the_module_sees_it(self):
        o, late, soon = self.owner(), self.hand_in("late"), self.hand_in("soon")
        late.answer_by, soon.answer_by = self.now - 0.01, self.now
        o.round([late, soon])
        self.assertEqual([m.verdict.result()[0] for m in (late, soon)], [Verdict.THROTTLED, Verdict.TAKEN])
        self.assertEqual((list(o.ledger.owed), list(o.brain.held)), (["soon"], ["soon"]))
        self.assertEqual(self.sent, [("soon", 0)])
        self.assertEqual(o.ended["again", "throttled"], 1)

    async def test_an_immediate_final_answer_leaves_nothing_owed(self):
        o, message = self.owner(), self.hand_in("n", due=10.0)
        o.round([message])
        self.assertEqual(
            (message.verdict.result()[0], o.ledger.owed, self.sent_notices), (Verdict.THROTTLED, {}, [])
        )

    async def test_a_later_final_answer_is_a_notice_and_is_owed_until_delivered(self):
        o = self.owner()
        o.round([self.hand_in("n", "once")])
        o.round([interface.Outcome("n", 0, "a", Result.BROKEN)])
        self.assertEqual(self.sent_notices, [("n", {"state": "failed"})])
        again = self.restarted(1.0)
        self.assertEqual((self.sent_notices, self.sent), ([("n", {"state": "failed"})], []))
        again.notices_delivered(["n"])
        self.restarted(1.0)
        self.assertEqual(self.sent_notices, [])

    async def test_after_a_kill_each_notification_is_decided_by_its_history(self):
        o = self.owner()
        o.round([self.hand_in("n", "once"), self.hand_in("m"), self.hand_in("o", "merge")])
        o.round([self.hand_in("p", "once", due=11.0), interface.Outcome("m", 0, "a", Result.DELIVERED)])
        o = self.restarted(2.0)
        self.assertEqual(sorted(self.sent_notices), [("n", {"state": "failed"}), ("p", {"state": "failed"})])
        self.assertEqual(self.sent, [("o", 1)])
        o.notices_delivered(["n", "p"])
        self.restarted(6.0)
        self.assertEqual(self.sent_notices, [("o", {"state": "returned"})])

    async def test_a_withdrawn_notification_is_forgotten(self):
        o = self.owner()
        o.round([self.hand_in("n")])
        o.round([interface.Withdrawn("n")])
        self.restarted(1.0)
        self.assertEqual((self.sent, self.sent_notices), ([], []))

    async def test_an_id_in_use_is_malformed_and_the_first_notification_stays(self):
        o, twice = self.owner(), self.hand_in("n")
        o.round([self.hand_in("n"), twice])
        self.assertEqual((twice.verdict.result()[0], list(o.ledger.owed)), (Verdict.UNREADABLE, ["n"]))

    async def test_many_hand_ins_in_one_round_do_not_overfill_the_journal(self):
        o, many = self.owner(), [self.hand_in(f"n{i}", body=b"x" * 3_000) for i in range(90)]
        o.round(many)
        statuses = [m.verdict.result()[0] for m in many]
        self.assertEqual(statuses.count(Verdict.TAKEN), 10)
        self.assertLess(o.ledger.journal.size, 50_000)

    async def test_a_nearly_full_journal_refuses_and_a_full_disk_does_not_crash(self):
        o, large = self.owner(), self.hand_in("n", body=b"x" * 50_000)
        o.round([large])
        self.assertEqual(large.verdict.result()[0], Verdict.THROTTLED)
        first = self.hand_in("m")
        o.round([first])
        o.ledger.journal.append = self.no_room
        o.round([self.hand_in("p"), interface.Outcome("m", 0, "a", Result.ERROR)])
        self.assertEqual(list(o.ledger.owed), ["m"])
        o.round(o.take_queue())
        self.assertNotIn("p", o.brain.held)
        o.round([interface.Outcome("m", 1, "a", Result.DELIVERED)])
        self.assertEqual(o.ledger.owed, {})

    def no_room(self, _):
        raise OSError("no space left")


if __name__ == "__main__":
    unittest.main()

"""A journal written in groups on a thread: what waits for a slow or failing disk, and what does not."""

import asyncio
import errno
import random
import time
import unittest
import unittest.mock

from ryestack import interface
from ryestack.interface import Result
from ryestack.ports import Verdict
from ryestack.store import disk_pace
from ryestack.store.disk_pace import SLOW_S, DiskPace
from ryestack.store.journal import Journal, decode_frames
from ryestack.store.ledger import Ledger

from .helpers import Folder
from .test_failing_writes import OPERATIONS, FailingJournal, change
from .test_owner import OwnerFixture

SLOW_WRITE_S, SEEDS = 0.3, 10


class SlowDisk(OwnerFixture, unittest.IsolatedAsyncioTestCase):
    def slow_owner(self):
        """An owner whose appends take SLOW_WRITE_S, each, and have done so of late."""
        owner, loop = self.owner(), asyncio.get_running_loop()
        append, began = owner.ledger.journal.append, loop.time()
        owner.clock = lambda: 10.0 + loop.time() - began

        def append_slowly(*payloads):
            time.sleep(SLOW_WRITE_S)
            append(*payloads)

        owner.ledger.journal.append = append_slowly
        owner.ledger.write_in_groups()
        self.addCleanup(owner.ledger.close)
        owner.ledger.commits.pace.run(lambda: time.sleep(SLOW_WRITE_S))
        began = loop.time()  # the owner's clock starts here
        return owner

    async def test_slow_write_holds_up_the_client_that_needs_it_and_not_the_loop(self):
        owner, message, loop = self.slow_owner(), self.hand_in("n"), asyncio.get_running_loop()
        began = loop.time()
        owner.round([message])
        await asyncio.sleep(0.05)
        self.assertLess(loop.time() - began, SLOW_WRITE_S / 2)
        self.assertFalse(message.verdict.done())
        self.assertEqual(await message.verdict, (Verdict.ACCEPTED, 0.0))
        self.assertGreaterEqual(loop.time() - began, SLOW_WRITE_S)

    async def test_notice_whose_deadline_passes_within_a_write_is_sent_at_the_deadline(self):
        owner, loop = self.slow_owner(), asyncio.get_running_loop()
        owner.round([self.hand_in("n", "once", due=10.8)])
        await asyncio.sleep(0.65)  # taken and pushed, both written
        began = loop.time()
        owner.round([self.hand_in("m", due=30.0)])
        await asyncio.sleep(0.02)  # a write for another notification is out, and the end's must follow it
        owner.round([interface.Outcome("n", 0, "a", Result.BROKEN)])
        self.assertEqual(self.sent_notices, [])
        while not self.sent_notices:
            await asyncio.sleep(0.01)
        self.assertLess(owner.clock(), 10.8 + 0.2)
        self.assertLess(loop.time() - began, 2 * SLOW_WRITE_S)

    async def test_client_whose_hand_in_is_not_recorded_in_time_gets_its_answer_and_nothing_is_pushed(self):
        owner, message = self.slow_owner(), self.hand_in("n", "once")
        message.answer_by = owner.clock() + SLOW_WRITE_S / 2
        owner.round([message])
        self.assertEqual((await message.verdict)[0], Verdict.EXPIRED)  # it may be in the journal after a kill
        owner.round(owner.take_queue())
        await asyncio.sleep(2 * SLOW_WRITE_S + 0.1)
        self.assertEqual((owner.ledger.owed, owner.brain.notifications), ({}, {}))
        self.assertTrue(owner.settled())

    async def test_nothing_staged_is_lost_at_an_exit(self):
        owner = self.slow_owner()
        owner.round([self.hand_in("n")])
        owner.ledger.close()
        read = Ledger(Journal(self.folder, 100_000))
        read.recover()
        read.journal.close()
        self.assertEqual(list(read.owed), ["n"])


class Pace(unittest.TestCase):
    def test_write_that_lost_the_processor_is_not_taken_for_one_that_waited_for_the_disk(self):
        def compute():
            end = time.thread_time() + 2 * SLOW_S
            while time.thread_time() < end:
                pass

        pace = DiskPace()
        with unittest.mock.patch.object(disk_pace, "_waits", return_value=7):
            pace.run(compute)
        self.assertFalse(pace.slow)
        pace.run(lambda: time.sleep(2 * SLOW_S))
        self.assertTrue(pace.slow)


class FailingDisk(OwnerFixture, unittest.IsolatedAsyncioTestCase):
    def fail(self, owner):
        def append(*_):
            raise OSError(errno.ENOSPC, "no space left")

        working, owner.ledger.journal.append = owner.ledger.journal.append, append
        return working

    async def test_hand_in_whose_group_fails_is_refused_and_not_owed(self):
        owner, message = self.owner(), self.hand_in("n")
        owner.ledger.write_in_groups()
        self.addCleanup(owner.ledger.close)
        self.fail(owner)
        owner.round([message])
        self.assertEqual((await message.verdict)[0], Verdict.THROTTLED)
        self.assertEqual((owner.ledger.owed, owner.ledger.live_bytes), ({}, 0))
        owner.round(owner.take_queue())
        self.assertEqual(owner.brain.notifications, {})

    async def test_push_whose_group_fails_does_not_count_and_is_made_again(self):
        owner, message = self.owner(), self.hand_in("n")
        owner.round([message])
        owner.ledger.write_in_groups()
        self.addCleanup(owner.ledger.close)
        working, items = self.fail(owner), []
        owner.dispatcher.start = lambda _, started: items.extend(started)
        owner.round([interface.Outcome("n", 0, "a", Result.FULL)])
        self.now += 1.0
        owner.round([interface.TimerFired()])
        self.assertFalse(await items[0].recorded)
        owner.round([interface.Outcome("n", 1, "a", Result.NOT_SENT, attempted=False)])
        owner.ledger.journal.append = working
        self.now += 1.0
        owner.round([interface.TimerFired()])
        self.assertEqual([item.push for item in items], [1, 1])
        self.assertTrue(await items[1].recorded)
        held = owner.brain.notifications["n"]
        self.assertEqual((owner.ledger.owed["n"].pushes, held.pushes), (2, 2))


    async def test_notice_whose_group_fails_is_sent_as_soon_as_a_later_one_has_written_it(self):
        owner = self.owner()
        owner.round([self.hand_in("n", "once")])
        owner.ledger.write_in_groups()
        self.addCleanup(owner.ledger.close)
        working = self.fail(owner)
        owner.round([interface.Outcome("n", 0, "a", Result.BROKEN)])
        await asyncio.sleep(0.01)
        self.assertEqual(self.sent_notices, [])
        owner.ledger.journal.append = working
        owner.round([self.hand_in("m")])
        await asyncio.sleep(0.01)
        self.assertEqual([name for name, _ in self.sent_notices], ["n"])


    async def test_message_taken_back_while_its_notice_is_staged_harms_no_other(self):
        owner, faults = self.owner(), []
        asyncio.get_running_loop().set_exception_handler(lambda _, context: faults.append(context))
        owner.round([self.hand_in("n", "once"), self.hand_in("m", "once")])
        owner.ledger.write_in_groups()
        self.addCleanup(owner.ledger.close)
        owner.round([interface.Outcome(name, 0, "a", Result.BROKEN) for name in "nm"])
        owner.round([interface.Withdrawn("n")])
        await asyncio.sleep(0.02)
        self.assertEqual(([name for name, _ in self.sent_notices], faults), (["m"], []))

    async def test_fact_whose_group_failed_is_written_at_an_exit(self):
        owner = self.owner()
        owner.round([self.hand_in("n")])
        owner.ledger.write_in_groups()
        working = self.fail(owner)
        owner.round([interface.Outcome("n", 0, "a", Result.DELIVERED)])
        owner.ledger.flush()
        owner.ledger.journal.append = working
        owner.ledger.close()
        read = Ledger(Journal(self.folder, 100_000))
        read.recover()
        read.journal.close()
        self.assertEqual(read.owed, {})


class RandomFailures(Folder, unittest.IsolatedAsyncioTestCase):
    def histories(self, ledger):
        rows = ledger.owed.values()
        return {one.id: (one.pushes, one.first_may_have_run_at(), one.notice) for one in rows}

    async def test_file_holds_what_is_known_once_writes_that_failed_are_made_up_for(self):
        for seed in range(SEEDS):
            rng = random.Random(seed)
            ledger = Ledger(FailingJournal(self.folder, rng, partial=True))
            ledger.recover()
            ledger.write_in_groups()
            for number in range(OPERATIONS):
                change(ledger, rng, number)
                if rng.random() < 0.3:
                    await asyncio.sleep(0)
            while not ledger.write_all():
                ledger.flush()
                await asyncio.sleep(0)
            read = Ledger(ledger.journal)
            self.assertEqual(read.read(decode_frames(ledger.journal.path.read_bytes())[0]), 0, seed)
            self.assertEqual(self.histories(read), self.histories(ledger), seed)
            ledger.close()
            ledger.journal.path.unlink()


if __name__ == "__main__":
    unittest.main()

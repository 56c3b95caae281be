"""Temporary failures of the folder's disk: failed and short writes, truncations, renames and removals."""

import asyncio
import errno
import os
import unittest
from pathlib import Path
from unittest import mock

from ryestack.lab.soak.fault_control import Fault, FaultControl, build
from ryestack.store import files
from ryestack.store.journal import FRAME, Journal
from ryestack.store.ledger import Ledger
from ryestack.store.timeline import MachineClock
from ryestack.wire.server import ACCEPTED

from .helpers import Folder, http, stand_in
from .test_lifecycle import Program
from .test_store import owed

HALF = FRAME.pack(400, 1) + b'["taken"'  # an incomplete record, as a kill leaves it


class HalfWrites:
    """A journal's file that writes half of the data and cannot be truncated, while `fails` is set."""

    def __init__(self, file):
        self.file, self.fails = file, True

    def write(self, data):
        return self.file.write(data[: len(data) // 2] if self.fails else data)

    def truncate(self, size):
        if self.fails:
            raise OSError(errno.EIO, os.strerror(errno.EIO))
        return self.file.truncate(size)

    def __getattr__(self, name):
        return getattr(self.file, name)


class Started(Program, unittest.IsolatedAsyncioTestCase):
    async def test_a_start_with_an_unwritable_folder_serves_and_keeps_what_is_owed(self):
        """A kill left an incomplete record, and the disk fails while the next process starts."""
        control = FaultControl(Path(self.folder) / "faults")
        self.addCleanup(control.close)
        faults = control.environment(build(Path(self.folder)), Path(self.folder))
        calls, up = [], False
        server, address = await stand_in(lambda head, _: calls.append(head) or http(200) if up else None)
        other, agent = await stand_in(lambda *_: b"")
        process = await self.start(address, agent)
        self.assertEqual(await self.ask("POST", "/api"), ACCEPTED)
        process.kill()
        await process.wait()
        with open(f"{self.folder}/owed", "ab") as file:
            file.write(HALF)
        up = True
        for fault in (Fault.TRUNCATE_FAILS, Fault.WRITE_FAILS, Fault.RENAME_FAILS, Fault.OPEN_FAILS):
            control.set(fault, 1.0, errno.EIO)
        process = await self.run_it(f"{self.folder}/config.json", **faults)
        await asyncio.sleep(0.3)
        control.clear()
        async with asyncio.timeout(5.0):
            while not calls:
                await asyncio.sleep(0.02)
        process.kill()
        await process.wait()
        for each in (server, other):
            each.close()


class Adopted(Folder, unittest.TestCase):
    def test_a_partial_copy_that_cannot_be_truncated_hides_no_later_record(self):
        """The copy of a dead process's file is written only in part, and truncating that part fails."""
        ours, gone = Ledger(Journal(self.folder, 100_000)), Ledger(Journal(self.folder, 100_000))
        ours.recover()
        gone.recover()
        gone.take(owed("theirs"))
        gone.journal.close()
        ours.journal.file = HalfWrites(ours.journal.file)
        ours.adopt()
        ours.journal.file.fails = False
        self.assertTrue(ours.take(owed("later")))
        ours.journal.close()
        with mock.patch.object(files, "other_files", lambda *_: []):
            again = Ledger(Journal(self.folder, 100_000))
            again.recover()
        self.addCleanup(again.journal.close)
        self.assertIn("later", again.owed)
        self.assertEqual(again.journal.dropped, 0)

    def two(self):
        """A ledger with a notification of its own, and beside it the file of a dead process with another."""
        ours, gone = Ledger(Journal(self.folder, 100_000)), Ledger(Journal(self.folder, 100_000))
        for ledger, name in ((ours, "mine"), (gone, "theirs")):
            ledger.recover()
            ledger.take(owed(name))
        gone.journal.close()
        return ours

    def again(self):
        """The ledger as the next start reads it."""
        ledger = Ledger(Journal(self.folder, 100_000))
        ledger.recover()
        self.addCleanup(ledger.journal.close)
        return ledger

    def test_a_file_that_cannot_be_removed_is_not_adopted_twice(self):
        ours = self.two()
        with mock.patch.object(Path, "unlink", side_effect=OSError(errno.EIO, "i/o error")):
            self.assertEqual([o.id for o in ours.adopt()], ["theirs"])
            ours.finish("theirs")
            self.assertEqual((ours.adopt(), ours.retry_needed), ([], True))
            ours.rewrite()
            ours.journal.close()
            with_it = Ledger(Journal(self.folder, 100_000))
            with_it.recover()
            with_it.journal.close()
        self.assertEqual(list(with_it.owed), ["mine"])
        self.assertEqual((list(self.again().owed), os.listdir(self.folder)), (["mine"], ["owed"]))

    def test_a_start_on_an_adopted_file_uses_the_newer_state_of_the_adopter(self):
        """Our file is `owed.1` then. The next process finds `owed` unlocked and opens that as its own, while
        `owed.1` has the newer state of the same notifications."""
        gone = Ledger(Journal(self.folder, 100_000))
        gone.recover()
        gone.take(owed("over by now"))
        gone.take(owed("owed still"))
        ours = Ledger(Journal(self.folder, 100_000))
        ours.recover()
        gone.journal.close()
        with mock.patch.object(Path, "unlink", side_effect=OSError(errno.EIO, "i/o error")):
            ours.adopt()
        ours.push("owed still", 0, 41.0)
        ours.finish("over by now")
        ours.journal.close()
        for _ in range(2):
            last = self.again()
            self.assertEqual({n: o.pushes for n, o in last.owed.items()}, {"owed still": 1})
            last.journal.close()

    def test_while_nothing_can_be_written_adopted_notifications_stay_in_the_old_file_too(self):
        """Their final answers are due all the same. A push waits until it is written, and so does the removal
        of the file."""
        full = OSError(errno.ENOSPC, "no space left")
        for killed in (False, True):
            ours = self.two()
            with mock.patch.multiple(
                ours.journal, append=mock.Mock(side_effect=full), rewrite=mock.Mock(side_effect=full)
            ):
                self.assertEqual([o.id for o in ours.adopt()], ["theirs"])
                self.assertEqual((ours.adopt(), ours.push("theirs", 0, 41.0)), ([], False))
                self.assertTrue(Path(self.folder, "owed.1").exists())
            if not killed:
                self.assertTrue(ours.push("theirs", 0, 42.0))
                self.assertEqual((ours.adopt(), ours.journal.sibling_files()), ([], []))
            ours.journal.close()
            last = self.again()
            self.assertEqual(sorted(last.owed), ["mine", "theirs"])
            self.assertEqual(last.owed["theirs"].pushes, 0 if killed else 1)
            last.journal.close()
            for name in os.listdir(self.folder):
                os.unlink(f"{self.folder}/{name}")

    def test_a_file_that_cannot_be_opened_for_a_moment_is_adopted_later(self):
        ours, real = self.two(), files.lock
        busy = OSError(errno.ENFILE, os.strerror(errno.ENFILE))
        with mock.patch.object(files, "lock", side_effect=busy):
            self.assertEqual((ours.adopt(), ours.retry_needed), ([], True))
        self.assertIs(files.lock, real)
        self.assertEqual([owed.id for owed in ours.adopt()], ["theirs"])

    def test_the_remains_of_an_earlier_rewrite_are_not_part_of_the_next(self):
        ours = self.two()
        file = Path(self.folder, "owed.new")
        file.write_bytes(b"half a rewrite that could not be taken away")
        ours.rewrite()
        ours.journal.close()
        self.assertEqual(sorted(self.again().owed), ["mine", "theirs"])

    def test_times_of_a_file_with_another_timeline_are_converted_to_ours(self):
        began = MachineClock("boot", 100.0, 1_000.0)
        stepped = MachineClock("boot", 150.0, 4_650.0)
        gone = Ledger(Journal(self.folder, 100_000), lambda: began)
        gone.recover()
        gone.take(owed("n"))
        gone.push("n", 0, 41.0)
        ours = Ledger(Journal(self.folder, 100_000), lambda: stepped)
        with mock.patch.object(Ledger, "timeline_of_other_files", return_value=None):
            ours.recover()
        gone.journal.close()
        [found] = ours.adopt()
        shift = ours.timeline.offset - gone.timeline.offset
        self.assertEqual((shift, found.due, found.open_pushes), (3_600.0, 3_650.0, {0: 3_641.0}))
        ours.journal.close()
        self.assertEqual(self.again().owed["n"].due, 3_650.0)


if __name__ == "__main__":
    unittest.main()

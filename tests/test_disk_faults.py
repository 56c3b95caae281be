"""The folder fails for a while: writes, short writes and truncations, at each point where a relay makes them."""

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
from ryestack.wire.server import TAKEN

from .helpers import Folder, http, stand_in
from .test_lifecycle import Program
from .test_store import owed

HALF = FRAME.pack(400, 1) + b'["taken"'  # what a kill leaves of a record


class HalfWrites:
    """A journal's file that takes half of a write and can't be truncated, while `fails`."""

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
    async def test_a_start_whose_folder_cannot_be_written_serves_and_owes_what_it_owed(self):
        """A kill left half a record, and the disk fails just as the next process starts."""
        control = FaultControl(Path(self.folder) / "faults")
        self.addCleanup(control.close)
        faults = control.environment(build(Path(self.folder)), Path(self.folder))
        calls, up = [], False
        server, address = await stand_in(lambda head, _: calls.append(head) or http(200) if up else None)
        other, agent = await stand_in(lambda *_: b"")
        process = await self.start(address, agent)
        self.assertEqual(await self.ask("POST", "/api"), TAKEN)
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
    def test_half_a_copy_that_cannot_be_taken_back_hides_nothing_written_after_it(self):
        """A process that is gone left a file; its copy behind ours is cut short, and so is its removal."""
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
        with mock.patch.object(files, "others", lambda *_: []):
            again = Ledger(Journal(self.folder, 100_000))
            again.recover()
        self.addCleanup(again.journal.close)
        self.assertIn("later", again.owed)
        self.assertEqual(again.journal.dropped, 0)


if __name__ == "__main__":
    unittest.main()

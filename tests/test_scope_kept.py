"""The scope from the control machines outlives its process, however short the time since a change."""

import asyncio
import os
import tempfile
import unittest
from pathlib import Path
from types import SimpleNamespace

import pytest

from ryestack.control.holdings import HoldingsSnapshot
from ryestack.lifecycle.scope.directory import ScopeDirectory
from ryestack.operator.schema import Control, ControlMachine
from ryestack.store import scope_file
from ryestack.store.scope_file import SavedScope
from ryestack.wire.client_answers import ACCEPTED

from .control_server import until
from .helpers import http, stand_in
from .test_control_relay import Scoped, change, destination


class Killed(Scoped, unittest.IsolatedAsyncioTestCase):
    async def test_version_that_was_acknowledged_is_in_force_after_a_kill_without_machines(self):
        # It was saved up to a second after the acknowledgement: the next process served the scope before it.
        calls = []
        before, old = await stand_in(lambda *_: calls.append("old") or http(200))
        after, new = await stand_in(lambda *_: calls.append("new") or http(200))
        process = await self.begin(change(destination(7, old)))
        await self.applied(1)
        await asyncio.sleep(1.3)  # the first version is saved
        version = self.server.change(change(destination(7, new)))
        await self.applied(version)
        process.kill()
        await process.wait()
        await self.server.close()
        await self.go()
        self.assertEqual(await self.hand_in("n"), ACCEPTED)
        await until(lambda: calls)
        self.assertEqual(calls, ["new"])
        for each in (before, after):
            each.close()


class Unwritable(unittest.IsolatedAsyncioTestCase):
    async def test_scope_that_could_not_be_saved_is_saved_as_soon_as_the_folder_can_be_written(self):
        # The next attempt came a minute later.
        with tempfile.TemporaryDirectory() as parent:
            folder = Path(parent, "state")
            clock = asyncio.get_running_loop().time
            owner = SimpleNamespace(clock=clock, wall=0.0, queue=[], ledger=SimpleNamespace(owed={}))
            machine = ControlMachine(name="m0", address="127.0.0.1:9")
            control = Control(cluster="c", name="n0", machines=[machine])
            directory = ScopeDirectory(control, "n0", owner, str(folder), 100_000, 1)
            directory._save()
            directory._following = asyncio.get_running_loop().create_future()
            running = asyncio.ensure_future(directory.run(lambda updates: None))
            folder.mkdir()
            async with asyncio.timeout(5.0):
                while scope_file.load(str(folder), "c", "n0") is None:
                    await asyncio.sleep(0.05)
            running.cancel()
            await directory.client.close()


def test_a_saved_scope_is_read_completely_or_not_at_all(tmp_path):
    folder, kept = str(tmp_path), HoldingsSnapshot(3, ["*", "eu/3"], [destination(7, "a:1")])
    saved = SavedScope(scope_file.FORMAT, "c", "n0", 5, 12.0, kept, [])
    assert scope_file.load(folder, "c", "n0") is None
    scope_file.save(folder, saved, 100_000)
    assert scope_file.load(folder, "c", "n0") == saved
    assert scope_file.load(folder, "d", "n0") is None and scope_file.load(folder, "c", "n1") is None
    with pytest.raises(scope_file.ScopeTooLarge):
        scope_file.save(folder, saved, 100)
    assert scope_file.load(folder, "c", "n0") == saved
    data = (tmp_path / scope_file.NAME).read_bytes()
    for damaged in (data[:-1], data[:2], b"", data.replace(b"a:1", b"b:1"), data + b"x"):
        (tmp_path / scope_file.NAME).write_bytes(damaged)
        assert scope_file.load(folder, "c", "n0") is None
    assert os.listdir(folder) == [scope_file.NAME]

"""Saving what is learnt does not hold up the event loop, however slow the disk."""

import asyncio
import time
import unittest
from types import SimpleNamespace
from unittest import mock

from ryestack.lifecycle.state_saver import StateSaver
from ryestack.store import remembered
from ryestack.store.remembered import Moment

from .helpers import brain, settings

SLOW_SAVE_S = 0.2


class Saver(StateSaver):
    """A relay without any other part."""

    def __init__(self):
        super().__init__()
        self.channels, self.owner = set(), SimpleNamespace(brain=brain())
        operator = SimpleNamespace(control=SimpleNamespace(cluster=""))
        self.config = SimpleNamespace(state="", settings=settings(), disk=3_000_000, operator=operator)

    def moment(self) -> Moment:
        return Moment(0.0, "")


class SlowDisk(unittest.IsolatedAsyncioTestCase):
    async def test_save_of_the_learnt_state_that_takes_long_holds_up_no_timer(self):
        loop = asyncio.get_running_loop()
        with mock.patch.object(remembered, "save", lambda *_: time.sleep(SLOW_SAVE_S)):
            saving = asyncio.ensure_future(Saver().save_state())
            began = loop.time()
            await asyncio.sleep(0.02)
            self.assertLess(loop.time() - began, SLOW_SAVE_S / 2)
            await saving
        self.assertGreaterEqual(loop.time() - began, SLOW_SAVE_S * 0.9)


class SavedBesideOthers(unittest.IsolatedAsyncioTestCase):
    async def saved(self, channels) -> int:
        """How often the failing routes are saved while those channels to other processes are open."""
        saver, calls = Saver(), []
        saver.channels = channels
        saver.owner.failing_changed = asyncio.Event()
        saver.owner.failing_changed.set()
        with mock.patch.object(remembered, "save_failing", lambda *state: calls.append(state)):
            saving = asyncio.ensure_future(saver.save_failing())
            await asyncio.sleep(0.05)
            saving.cancel()
        return len(calls)

    async def test_failing_routes_are_not_saved_while_the_process_before_still_runs(self):
        """A kill of both processes of an upgrade left a file from before the outage."""
        self.assertEqual(await self.saved([SimpleNamespace(to_predecessor=True)]), 1)
        self.assertEqual(await self.saved([SimpleNamespace(to_predecessor=False)]), 0)

    async def test_failing_routes_wait_for_a_slow_write_of_the_learnt_state(self):
        """Both files were written under one lock."""
        saver, calls = Saver(), []
        saver.owner.failing_changed = asyncio.Event()
        saver.owner.failing_changed.set()
        with (
            mock.patch.object(remembered, "save", lambda *_: time.sleep(SLOW_SAVE_S)),
            mock.patch.object(remembered, "save_failing", lambda *state: calls.append(state)),
        ):
            slow = asyncio.ensure_future(saver.save_state())
            await asyncio.sleep(0.01)
            saving = asyncio.ensure_future(saver.save_failing())
            await asyncio.sleep(SLOW_SAVE_S / 4)
            self.assertEqual(len(calls), 1)
            await slow
            saving.cancel()


if __name__ == "__main__":
    unittest.main()

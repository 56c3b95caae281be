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
        self.config = SimpleNamespace(state="", settings=settings())

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


if __name__ == "__main__":
    unittest.main()

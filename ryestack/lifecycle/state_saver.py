"""What is learnt, kept for the next life of this relay."""

import asyncio
import zlib

from ..store import remembered
from ..store.remembered import Moment, Remembered
from .learned_state import export, failing, mark_text

# seconds between copies of what is learnt: it is of tens of seconds, and a copy takes a moment
SAVE_EVERY = 2.0
FAILING_EVERY = 0.1  # seconds between copies of which routes fail, which are small


class StateSaver:
    """The part of a relay that outlives a kill without being a promise."""

    async def save_regularly(self) -> None:
        while True:
            await asyncio.sleep(SAVE_EVERY)
            self.save_state()

    async def save_failing(self) -> None:
        """As soon as a route begins to fail, or delivers again."""
        while True:
            await self.owner.failing_changed.wait()
            self.owner.failing_changed.clear()
            if not self.channels:
                remembered.save_failing(self.config.state, failing(self.owner.brain), self.moment())
            await asyncio.sleep(FAILING_EVERY)

    def save_state(self) -> None:
        """For the next life; while another process lives beside us, it is told on the channel."""
        if not self.channels:
            learnt = export(self.owner.brain)
            remembered.save(self.config.state, learnt, self.settings_mark(), self.moment())

    def settings_mark(self) -> str:
        return str(zlib.crc32(mark_text(self.config.settings).encode()))

    def saved_state(self) -> Remembered:
        return remembered.load(self.config.state, self.settings_mark(), self.moment())

    def moment(self) -> Moment:
        return Moment(self.clock(), self.ledger.timeline.boot)

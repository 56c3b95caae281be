"""What is learnt, kept for the next life of this relay."""

import asyncio
import zlib

from ..store import remembered
from .learned_state import KEPT, export

# seconds between copies of what is learnt: it is of tens of seconds, and a copy takes a moment
SAVE_EVERY = 2.0


class StateSaver:
    """The part of a relay that outlives a kill without being a promise."""

    async def save_regularly(self) -> None:
        while True:
            await asyncio.sleep(SAVE_EVERY)
            self.save_state()

    def save_state(self) -> None:
        """For the next life; while another process lives beside us, it is told on the channel."""
        if not self.channels:
            learnt = export(self.owner.brain)
            mark, boot = self.settings_mark(), self.ledger.timeline.boot
            remembered.save(self.config.state, learnt, mark, self.clock(), boot)

    def settings_mark(self) -> str:
        return str(zlib.crc32(repr((self.config.settings, KEPT)).encode()))

    def saved_state(self) -> dict | None:
        boot = self.ledger.timeline.boot
        return remembered.load(self.config.state, self.settings_mark(), self.clock(), boot)

"""What is learnt, kept for the next life of this relay."""

import asyncio
import time
import zlib

from ..store import remembered
from .learnt import KEPT, told

REMEMBERS = (
    2.0  # seconds between copies of what is learnt: it is of tens of seconds, and a copy takes a moment
)


class Remembering:
    """The part of a relay that outlives a kill without being a promise."""

    async def remembers(self) -> None:
        while True:
            await asyncio.sleep(REMEMBERS)
            self.remember()

    def remember(self) -> None:
        """For the next life; while another process lives beside us, it is told on the line."""
        if not self.lines:
            remembered.save(
                self.config.state, told(self.owner.brain), self.under(), self.clock(), time.time()
            )

    def under(self) -> str:
        return str(zlib.crc32(repr((self.config.settings, KEPT)).encode()))

    def remembered(self) -> dict | None:
        return remembered.load(self.config.state, self.under(), self.clock(), time.time())

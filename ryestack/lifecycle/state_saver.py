"""Saves the learnt state for the next process of this relay."""

import asyncio
import zlib
from collections.abc import Callable

from ..store import folder_shares, remembered
from ..store.folder_shares import FolderShares
from ..store.remembered import Moment, SavedState
from .learned_state import export, failing, mark_text, most_relevant_first, warming

SAVE_LEARNT_INTERVAL_S = 2.0  # the learnt state covers tens of seconds, and saving it takes a moment
SAVE_FAILING_INTERVAL_S = 0.1  # the list of failing routes is small


class StateSaver:
    """The part of a relay that saves state on a best-effort basis, so that it survives a kill.

    It writes on threads: a slow disk must not hold up the event loop. saving: held while the learnt state is
    written; the small file of failing routes does not wait for that.
    """

    def __init__(self):
        super().__init__()
        self.saving = asyncio.Lock()

    async def save_regularly(self) -> None:
        """Save the learnt state at intervals, until cancelled; failing routes too, before they are old."""
        while True:
            await asyncio.sleep(SAVE_LEARNT_INTERVAL_S)
            if failing(self.owner.brain) or warming(self.owner.brain):
                self.owner.failing_changed.set()
            await self.save_state()

    async def save_failing(self) -> None:
        """Save the routes that fail or warm up as soon as that changes for one of them, until cancelled."""
        while True:
            await self.owner.failing_changed.wait()
            self.owner.failing_changed.clear()
            if not self.has_successor():
                brain = self.owner.brain
                times = failing(brain), self.moment(), warming(brain)
                state = self.config.state, *times, self.folder_shares().failing
                await asyncio.to_thread(remembered.save_failing, *state)
            await asyncio.sleep(SAVE_FAILING_INTERVAL_S)

    def has_successor(self) -> bool:
        """Whether a process that replaces this one runs: it has our state, and saves what comes of it."""
        return any(not channel.to_predecessor for channel in self.channels)

    async def save_state(self) -> None:
        """Save the learnt state, unless another process is running: that one gets it over the channel."""
        if not self.channels:
            learnt = most_relevant_first(export(self.owner.brain))
            belongs_to = self.settings_checksum(), self.moment()
            state = self.config.state, learnt, *belongs_to, self.folder_shares().learnt
            await self.save_on_thread(remembered.save, *state)

    async def save_on_thread(self, save: Callable, *arguments) -> None:
        """Write a file on a thread, one at a time."""
        async with self.saving:
            await asyncio.to_thread(save, *arguments)

    def folder_shares(self) -> FolderShares:
        """The bytes that each file of the folder may have."""
        return folder_shares.divide(self.config.disk, bool(self.config.operator.control.cluster))

    def settings_checksum(self) -> str:
        """Identifies the settings and the format that the learnt state depends on."""
        return str(zlib.crc32(mark_text(self.config.settings).encode()))

    def saved_state(self) -> SavedState:
        """What the previous process saved."""
        return remembered.load(self.config.state, self.settings_checksum(), self.moment())

    def moment(self) -> Moment:
        """The current time as saved state has it."""
        return Moment(self.clock(), self.ledger.timeline.boot)

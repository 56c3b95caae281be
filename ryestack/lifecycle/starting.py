"""What a relay does before it serves: it opens its folder, hears the process before it, and recovers."""

import asyncio

from ..observe.log import event
from ..store.files import AllFilesLocked
from .upgrade.channel import PATIENCE

FOLDER_RETRY = 0.1  # seconds before a folder that fails is tried again


class Starting:
    """The part of a relay that recovers."""

    async def recover(self) -> None:
        learnt, out = await self.predecessor_state() if self.channel else (None, [])
        await self.open_ledger()
        beside = bool(self.ledger.journal.other_files())
        failed = None
        if learnt is None and not beside and not self.channel:
            before = self.saved_state()
            learnt, failed = before.learnt, before.failing
        if beside or self.channel:
            self.succession.predecessor_is("found")
            self.share()
        if self.parts.peering:
            self.parts.peering.begin(sole=not beside and not self.channel)
        try:
            for endpoint, items in out:
                self.owner.hear(self.channel, ["began", endpoint, items])
        except (TypeError, ValueError, KeyError) as problem:
            event("line.broken", why=f"the calls that it has out make no sense: {problem!r}")
        known = [self.parts.directory.known(), *await self.parts.directory.fresh()]
        self.owner.recover(known, learnt, beside, failed)

    async def open_ledger(self) -> None:
        """A folder may fail for a while: what is owed there must be known before anything is served."""
        while True:
            try:
                self.ledger.recover()
                break
            except OSError as problem:
                if isinstance(problem, AllFilesLocked) or self.stop_asked.is_set():
                    raise
                event("journal.blocked", why=str(problem))
            await asyncio.sleep(FOLDER_RETRY)
        self.owner.wall = self.ledger.timeline.offset

    async def predecessor_state(self) -> tuple[dict | None, list]:
        await self.channel.open()
        try:
            async with asyncio.timeout(PATIENCE):
                if (message := await self.channel.receive()) and message[0] == "learnt" and len(message) == 3:
                    return message[1], message[2]
        except TimeoutError:
            event("line.broken", why="the process before us did not tell what it has learnt")
        return None, []

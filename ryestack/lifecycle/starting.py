"""The start of a relay before it serves: opening its folder, the predecessor's state, and recovery."""

import asyncio

from ..observe.log import event
from ..store.files import AllFilesLocked
from . import learned_state
from .upgrade.channel import ANSWER_TIMEOUT_S

FOLDER_RETRY_S = 0.1  # between attempts to open a folder that fails


class Starting:
    """The part of a relay that recovers."""

    async def recover(self) -> None:
        """Effect: read the journal, the learnt state and the endpoint list."""
        learnt, calls_in_flight = await self.predecessor_state() if self.channel else (None, [])
        await self.open_ledger()
        beside = bool(self.ledger.journal.sibling_files())
        saved = None
        if learnt is None and not beside and not self.channel:
            saved = self.saved_state()
            learnt = saved.learnt
        if beside or self.channel:
            self.succession.on_predecessor("found")
            self.share()
        if self.parts.peering:
            self.parts.peering.begin(sole=not beside and not self.channel)
        try:
            for endpoint, items in calls_in_flight:
                self.owner.handle_message(self.channel, ["began", endpoint, items])
        except (TypeError, ValueError, KeyError) as problem:
            event("line.broken", why=f"the calls that it has out make no sense: {problem!r}")
        handed = learnt.get(learned_state.LIST) if self.channel and isinstance(learnt, dict) else None
        initial = self.parts.directory.initial_list(handed, learned_state.route_states(learnt))
        if self.parts.list_saver:
            self.parts.list_saver.save_initial(self.succession.predecessor != "none")
        known = [initial, *await self.parts.directory.fetch_initial()]
        self.owner.recover(known, learnt, beside, saved)

    async def open_ledger(self) -> None:
        """Read the ledger; retries while the folder fails, since a relay must know what it owes to serve."""
        while True:
            try:
                self.ledger.recover()
                break
            except OSError as problem:
                if isinstance(problem, AllFilesLocked) or self.stop_requested.is_set():
                    raise
                event("journal.blocked", why=str(problem))
            await asyncio.sleep(FOLDER_RETRY_S)
        self.owner.wall = self.ledger.timeline.offset

    async def predecessor_state(self) -> tuple[dict | None, list]:
        """The predecessor's learnt state and calls in flight; (None, []) if it does not send them in time."""
        await self.channel.open()
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                if (message := await self.channel.receive()) and message[0] == "learnt" and len(message) == 3:
                    return message[1], message[2]
        except TimeoutError:
            event("line.broken", why="the process before us did not tell what it has learnt")
        return None, []

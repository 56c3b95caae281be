"""The other processes of a relay: one that takes over from us, one that we take over from."""

import asyncio

from .. import interface as it
from ..observe.log import event
from . import learnt
from .line import Line, answer
from .phases import LOOK, READY, SHORT

STUCK = 1.0  # seconds before what had no room is tried again: a file is read whole each time


class Beside:
    """The part of a relay that lives with other processes in one folder."""

    def share(self) -> None:
        processes = self.succession.processes()
        for part in (self.ledger.journal, self.parts.courier, *self.parts.fronts):
            part.share(processes)

    def hailed(self, conn) -> None:
        """A process that is to take over from us has started."""
        line = answer(conn, self.parts.fronts[0].door()) if self.phase in READY else None
        if line is None:
            conn.close()
            return
        self.succession.heir_is("hailed")
        self.share()
        self.follow(line, self.succession.heir_is)

    def follow(self, line: Line, relation) -> None:
        task = asyncio.ensure_future(self.listen(line, relation))
        self.following.add(task)
        task.add_done_callback(self.following.discard)

    async def listen(self, line: Line, relation) -> None:
        """Until the other process is gone. Whatever ends it, it counts as gone then.

        Its part of the folder and of the descriptors is ours again, and what it owes is looked for.
        """
        try:
            await self.converse(line, relation)
        except Exception as problem:
            event("line.broken", why=f"a fault in what was made of a word: {problem!r}")
        line.close()
        self.lines.discard(line)
        self.owner.gone(line)
        if relation == self.succession.heir_is and self.phase in READY:
            self.post.close()  # the one that is gone may have taken our place in the folder
            self.post.open()
        relation("gone")
        event("kin.gone")
        self.share()
        self.kin_asked.set()

    async def converse(self, line: Line, relation) -> None:
        """Hear what the other process says, and tell it all that we do."""
        if line.writer is None:
            await line.open()
            line.say("learnt", learnt.told(self.owner.brain), self.owner.out())
            for turn in self.owner.brain.turns():
                line.say("turn", *turn)
        self.owner.kin.append(line)
        self.lines.add(line)
        while word := await line.word():
            if word == ["serves"]:
                relation("serves")
                self.served.set()
                event("heir.serves")
            else:
                try:
                    self.owner.hear(line, word)
                except (TypeError, ValueError, KeyError, IndexError) as problem:
                    event("line.broken", why=f"a word that makes no sense: {problem!r}")
                    break
                for other in self.lines - {line}:
                    other.say(*word)

    async def adopts(self) -> None:
        """While another process has a file here, look whether it is gone: what it owed is ours then."""
        while True:
            await self.kin_asked.wait()
            self.kin_asked.clear()
            while self.ledger.journal.beside():
                if self.phase in READY and (left := self.ledger.adopt()):
                    self.owner.adopt(self.owner.guarded.inherited(left))
                self.owner.tell("holds", self.owner.held())
                await asyncio.sleep(STUCK if self.ledger.stuck else LOOK)
            self.owner.all_adopted()
            if not self.lines:
                self.succession.elder_is("gone")
                self.share()

    async def hand_door(self) -> None:
        for front in self.parts.fronts:
            front.relieved()
        self.owner.put([it.Leaving(self.stop_at + SHORT)])

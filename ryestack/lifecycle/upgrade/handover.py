"""The other processes of a relay: one that takes over from us, one that we take over from."""

import asyncio

from ... import interface
from ...observe.log import event
from .. import learned_state
from ..phases import LOOK, READY, SHORT
from .channel import Channel, hand_over

STUCK = 1.0  # seconds before what had no room is tried again: a file is read whole each time


class Handover:
    """The part of a relay that lives with other processes in one folder."""

    def share(self) -> None:
        processes = self.succession.processes()
        for part in (self.ledger.journal, self.parts.dispatcher, *self.parts.listeners):
            part.share(processes)

    def successor_connected(self, conn) -> None:
        """A process that is to take over from us has started."""
        channel = hand_over(conn, self.parts.listeners[0].descriptor()) if self.phase in READY else None
        if channel is None:
            conn.close()
            return
        self.succession.successor_is("connected")
        self.share()
        self.follow(channel, self.succession.successor_is)

    def follow(self, channel: Channel, relation) -> None:
        task = asyncio.ensure_future(self.listen(channel, relation))
        self.following.add(task)
        task.add_done_callback(self.following.discard)

    async def listen(self, channel: Channel, relation) -> None:
        """Until the other process is gone. Whatever ends it, it counts as gone then.

        Its part of the folder and of the descriptors is ours again, and what it owes is looked for.
        """
        try:
            await self.converse(channel, relation)
        except Exception as problem:
            event("line.broken", why=f"a fault in what was made of a word: {problem!r}")
        channel.close()
        self.channels.discard(channel)
        self.owner.gone(channel)
        if relation == self.succession.successor_is and self.phase in READY:
            self.channel_listener.close()  # the one that is gone may have taken our place in the folder
            self.channel_listener.open()
        relation("gone")
        event("kin.gone")
        self.share()
        self.adoption_asked.set()

    async def converse(self, channel: Channel, relation) -> None:
        """Hear what the other process says, and tell it all that we do."""
        if channel.writer is None:
            await channel.open()
            channel.send("learnt", learned_state.export(self.owner.brain), self.owner.calls_out())
            for turn in self.owner.brain.turns():
                channel.send("turn", *turn)
        self.owner.siblings.append(channel)
        self.channels.add(channel)
        while message := await channel.receive():
            if message == ["serves"]:
                relation("serves")
                self.successor_serves.set()
                event("heir.serves")
            else:
                try:
                    self.owner.hear(channel, message)
                except (TypeError, ValueError, KeyError, IndexError) as problem:
                    event("line.broken", why=f"a word that makes no sense: {problem!r}")
                    break
                for other in self.channels - {channel}:
                    other.send(*message)

    async def adopts(self) -> None:
        """While another process has a file here, look whether it is gone: what it owed is ours then."""
        while True:
            await self.adoption_asked.wait()
            self.adoption_asked.clear()
            while self.ledger.journal.other_files():
                if self.phase in READY and (left := self.ledger.adopt()):
                    self.owner.adopt(self.owner.replication.inherited(left))
                self.owner.tell_siblings("holds", self.owner.held())
                await asyncio.sleep(STUCK if self.ledger.retry_needed else LOOK)
            self.owner.all_adopted()
            if not self.channels:
                self.succession.predecessor_is("gone")
                self.share()

    async def hand_over_listeners(self) -> None:
        for listener in self.parts.listeners:
            listener.replaced()
        self.owner.put([interface.Leaving(self.stop_at + SHORT)])

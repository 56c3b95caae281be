"""Handover between the processes of a relay: the successor of this process, and its predecessor."""

import asyncio

from ... import interface
from ...observe.log import event
from ...store.ended_ids import batches
from .. import learned_state
from ..phases import POLL_INTERVAL_S, READY, STOP_DEADLINE_S
from .channel import Channel, hand_over

ADOPTION_RETRY_S = 1.0  # before a file that did not fit is tried again: each attempt reads it completely


class Handover:
    """The part of a relay that shares its folder with other processes."""

    def share(self) -> None:
        """Divide disk space and descriptors among the processes that are running now."""
        processes = self.succession.processes()
        for part in (self.ledger.journal, self.parts.dispatcher, *self.parts.listeners):
            part.share(processes)

    def successor_connected(self, conn) -> None:
        """A process that will take over from this one has started."""
        channel = hand_over(conn, self.parts.listeners[0].descriptor()) if self.phase in READY else None
        if channel is None:
            conn.close()
            return
        self.succession.on_successor("connected")
        self.share()
        self.start_listening(channel, self.succession.on_successor)

    def start_listening(self, channel: Channel, relation) -> None:
        """Start a task that handles a channel. relation: Succession.on_predecessor or on_successor."""
        task = asyncio.ensure_future(self.listen(channel, relation))
        self.listening_tasks.add(task)
        task.add_done_callback(self.listening_tasks.discard)

    async def listen(self, channel: Channel, relation) -> None:
        """Handle a channel until the other process is gone, which any error counts as.

        Then its share of the folder and of the descriptors is ours again, and its journal can be adopted.
        """
        try:
            await self.exchange_messages(channel, relation)
        except Exception as problem:
            event("line.broken", why=f"a fault in what was made of a word: {problem!r}")
        channel.close()
        self.channels.discard(channel)
        self.owner.sibling_gone(channel)
        if relation == self.succession.on_successor and self.phase in READY:
            self.channel_listener.close()  # the successor may have replaced our socket in the folder
            self.channel_listener.open()
        relation("gone")
        event("kin.gone")
        self.share()
        if self.parts.list_saver:  # both have written to the file: one version may hide behind a replacement
            self.parts.list_saver.save_whole()
        self.adoption_requested.set()

    async def exchange_messages(self, channel: Channel, relation) -> None:
        """Send our state and events to the other process, and handle its messages, until it is gone."""
        if channel.writer is None:
            await channel.open()
            channel.send_state("learnt", self.exported_state(), self.owner.calls_in_flight())
            for turn in self.owner.brain.key_claims():
                channel.send_state("turn", *turn)
        channel.to_predecessor = relation == self.succession.on_predecessor
        for rows in batches(self.owner.known_ids()):
            channel.send_state("known", rows)
        channel.send("known", [])
        self.owner.siblings.append(channel)
        self.channels.add(channel)
        while message := await channel.receive():
            if message == ["serves"]:
                relation("serves")
                self.successor_serves.set()
                event("heir.serves")
            else:
                try:
                    self.owner.handle_message(channel, message)
                except (TypeError, ValueError, KeyError, IndexError) as problem:
                    event("line.broken", why=f"a word that makes no sense: {problem!r}")
                    break
                for other in self.channels - {channel}:
                    other.send(*message)

    def exported_state(self) -> dict:
        """The learnt state for a successor, with the endpoint list that it was learnt under."""
        learnt, known = learned_state.export(self.owner.brain), self.owner.directory.export()
        return {**learnt, learned_state.LIST: known} if known else learnt

    async def adopt_regularly(self) -> None:
        """While other processes have journal files here, adopt those of processes that are gone."""
        while True:
            await self.adoption_requested.wait()
            self.adoption_requested.clear()
            while self.ledger.journal.sibling_files():
                if self.phase in READY and (adopted := self.ledger.adopt()):
                    self.owner.adopt(self.owner.replication.actionable(adopted))
                self.owner.notify_siblings("holds", self.owner.held())
                await asyncio.sleep(ADOPTION_RETRY_S if self.ledger.retry_needed else POLL_INTERVAL_S)
            self.owner.adoption_complete()
            if not self.channels:
                self.succession.on_predecessor("gone")
                self.share()

    async def hand_over_listeners(self) -> None:
        """Effect: leave new connections to the successor, and end the open notifications."""
        for listener in self.parts.listeners:
            listener.yield_to_successor()
        self.owner.put([interface.ShuttingDown(self.stop_at + STOP_DEADLINE_S)])

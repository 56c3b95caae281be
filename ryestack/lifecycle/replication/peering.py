"""Puts the guarding of work together for an installation that has `[peers]`; loaded only there."""

import asyncio
import random
from contextlib import suppress

from ...operator.schema import Peers
from ...peers.node import ClusterConfig, Node
from ...peers.roster import DUPLICATE_NAME
from ...peers.transport import PeerClient, PeerListener
from ..config import BadConfig
from ..phases import LOOK
from .incarnations import Incarnations
from .replicated import ReplicatedWork

PATIENCE = 3  # leases: one whose folder was lost is refused for one, until its name has been silent so long


class Peering:
    """The sockets and the core of one relay among its peers."""

    def __init__(self, peers: Peers, name: str, owner, folder: str, seed: int):
        self.peers, self.owner, self.folder, self.seed = peers, owner, folder, seed
        self.name = peers.name or name
        addresses = {relay.name: relay.address for relay in peers.relays}
        host, _, port = addresses[self.name].rpartition(":")
        self.listener = PeerListener((host, int(port)), lambda envelope: self.replication.hear(envelope))
        self.client = PeerClient(
            addresses, lambda envelope: self.replication.answered(envelope), self.refused
        )
        self.twin = asyncio.get_running_loop().create_future()
        self.replication: ReplicatedWork = None

    def begin(self, sole: bool) -> None:
        """The journal is read: from here on the owner asks its replicas. sole: no other process shares the
        folder."""
        if sole:
            self.bind()
        lives = Incarnations(self.folder, sole)
        zones = {relay.name: relay.zone for relay in self.peers.relays}
        terms = ClusterConfig(self.peers.cluster, self.name, zones, self.peers.guards, self.peers.lease)
        chance = random.Random(f"{self.seed}:{self.name}")
        node = Node(terms, lives.life, lives.sole, chance, self.owner.clock())
        self.replication = ReplicatedWork(self.owner, node, self.send, self.peers.alone, lives)
        self.owner.replication = self.replication
        self.began = self.owner.clock()

    def send(self, to: str, envelope) -> None:
        """Nothing before the address is ours: until then another process speaks for this name."""
        if self.listener.sock is not None:
            self.client.send(to, envelope)

    def refused(self, why: str) -> None:
        """A name belongs to one relay: who comes later, and can't prove that the other is over, ends."""
        late = self.replication.now() > self.began + PATIENCE * self.peers.lease
        if why == DUPLICATE_NAME and late and not self.replication.acted and not self.twin.done():
            self.twin.set_result(why)

    def bind(self) -> None:
        try:
            self.listener.bind()
        except OSError as problem:
            raise BadConfig(
                f"peers.relays: {self.name}: {self.listener.address}: {problem.strerror}"
            ) from None

    async def succeed(self) -> None:
        """The predecessor of an upgrade has the address until its end; nothing of it can act after that."""
        while self.listener.sock is None:
            with suppress(OSError):
                self.listener.bind()
            await asyncio.sleep(LOOK)
        self.replication.node.sole, self.began = True, self.owner.clock()

    async def run(self) -> None:
        if self.listener.sock is None:
            await self.succeed()
        await self.listener.open()
        running = asyncio.ensure_future(self.replication.run())
        try:
            await asyncio.wait([running, self.twin], return_when=asyncio.FIRST_COMPLETED)
            if self.twin.done():
                raise BadConfig(f"peers.name: {self.name}: {DUPLICATE_NAME}")
            await running
        finally:
            running.cancel()

    async def close(self) -> None:
        await self.listener.close()
        await self.client.close()

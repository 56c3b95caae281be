"""Builds the replication of a relay whose operator file has `[peers]`; only imported then."""

import asyncio
import random
from contextlib import suppress

from ...operator.schema import Peers
from ...peers.node import ClusterConfig, Node
from ...peers.roster import DUPLICATE_NAME
from ...peers.transport import PeerClient, PeerListener
from ..config import BadConfig
from ..phases import POLL_INTERVAL_S
from .incarnations import Incarnations
from .replicated import ReplicatedWork

# Refusals count as a conflict of names after this many leases. A relay that lost its folder is refused for
# one lease, until its name has been silent that long.
NAME_CONFLICT_LEASES = 3


class Peering:
    """The sockets and the replication state of one relay among its peers."""

    def __init__(self, peers: Peers, name: str, owner, folder: str, seed: int):
        self.peers, self.owner, self.folder, self.seed = peers, owner, folder, seed
        self.name = peers.name or name
        addresses = {relay.name: relay.address for relay in peers.relays}
        host, _, port = addresses[self.name].rpartition(":")
        self.listener = PeerListener(
            (host, int(port)), lambda envelope: self.replication.handle_request(envelope)
        )
        self.client = PeerClient(
            addresses, lambda envelope: self.replication.handle_answer(envelope), self.refused
        )
        self.name_conflict = asyncio.get_running_loop().create_future()
        self.replication: ReplicatedWork = None

    def begin(self, sole: bool) -> None:
        """Start replication, once the journal has been read. sole: no other process shares the folder."""
        if sole:
            self.bind()
        lives = Incarnations(self.folder, sole)
        zones = {relay.name: relay.zone for relay in self.peers.relays}
        terms = ClusterConfig(self.peers.cluster, self.name, zones, self.peers.guards, self.peers.lease)
        rng = random.Random(f"{self.seed}:{self.name}")
        node = Node(terms, lives.life, lives.sole, rng, self.owner.clock())
        self.replication = ReplicatedWork(self.owner, node, self.send, self.peers.alone, lives)
        self.owner.replication = self.replication
        self.began = self.owner.clock()

    def send(self, to: str, envelope) -> None:
        """Send to a peer, unless the address is not ours yet: until then another process uses this name."""
        if self.listener.sock is not None:
            self.client.send(to, envelope)

    def refused(self, reason: str) -> None:
        """A peer refused us. A name belongs to one relay: a later one that cannot prove that the other has
        ended, exits."""
        late = self.replication.now() > self.began + NAME_CONFLICT_LEASES * self.peers.lease
        if (
            reason == DUPLICATE_NAME
            and late
            and not self.replication.has_acted
            and not self.name_conflict.done()
        ):
            self.name_conflict.set_result(reason)

    def bind(self) -> None:
        """Bind the peers' address; raises BadConfig."""
        try:
            self.listener.bind()
        except OSError as problem:
            raise BadConfig(
                f"peers.relays: {self.name}: {self.listener.address}: {problem.strerror}"
            ) from None

    async def take_over_address(self) -> None:
        """Wait for the address, which the predecessor of an upgrade keeps until it exits; it cannot act
        after that."""
        while self.listener.sock is None:
            with suppress(OSError):
                self.listener.bind()
            await asyncio.sleep(POLL_INTERVAL_S)
        self.replication.node.sole, self.began = True, self.owner.clock()

    async def run(self) -> None:
        """Run until cancelled; raises BadConfig if another relay has this name."""
        if self.listener.sock is None:
            await self.take_over_address()
        await self.listener.open()
        running = asyncio.ensure_future(self.replication.run())
        try:
            await asyncio.wait([running, self.name_conflict], return_when=asyncio.FIRST_COMPLETED)
            if self.name_conflict.done():
                raise BadConfig(f"peers.name: {self.name}: {DUPLICATE_NAME}")
            await running
        finally:
            running.cancel()

    async def close(self) -> None:
        """Close the sockets."""
        await self.listener.close()
        await self.client.close()

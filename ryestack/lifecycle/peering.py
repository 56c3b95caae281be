"""Puts the guarding of work together for an installation that has `[peers]`; loaded only there."""

import random

from ..operator.schema import Peers
from ..peers.node import Node, Terms
from ..peers.wire import Door, Post
from .guarded import Guarded
from .lives import Lives


class Peering:
    """The sockets and the core of one relay among its peers."""

    def __init__(self, peers: Peers, name: str, owner, folder: str, seed: int):
        self.peers, self.owner, self.folder, self.seed = peers, owner, folder, seed
        self.name = peers.name or name
        addresses = {relay.name: relay.address for relay in peers.relays}
        host, _, port = addresses[self.name].rpartition(":")
        self.door = Door((host, int(port)), lambda letter: self.guarded.hear(letter))
        self.door.bind()
        self.post = Post(addresses, lambda letter: self.guarded.answered(letter))
        self.guarded: Guarded = None

    def begin(self, sole: bool) -> None:
        """The journal is read: from here on the owner asks its guards. sole: no other process shares the
        folder."""
        lives = Lives(self.folder, sole)
        zones = {relay.name: relay.zone for relay in self.peers.relays}
        terms = Terms(self.peers.cluster, self.name, zones, self.peers.guards, self.peers.lease)
        chance = random.Random(f"{self.seed}:{self.name}")
        node = Node(terms, lives.life, lives.sole, chance, self.owner.clock())
        self.guarded = Guarded(self.owner, node, self.post.send, self.peers.alone, lives)
        self.owner.guarded = self.guarded

    async def run(self) -> None:
        await self.door.open()
        await self.guarded.run()

    async def close(self) -> None:
        await self.door.close()
        await self.post.close()

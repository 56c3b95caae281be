"""Nodes, shards, and which node holds which shard. Sizes are bytes, and may grow while moves run. Pure."""

from dataclasses import dataclass, field
from enum import Enum


class State(Enum):
    """State of a node: joining and up nodes may gain copies, draining and gone nodes must lose all."""

    JOINING = "joining"
    UP = "up"
    DRAINING = "draining"
    GONE = "gone"


GAINING_STATES = {State.JOINING, State.UP}
HOLDING_STATES = {State.JOINING, State.UP, State.DRAINING}  # nothing can be copied from a node that is gone


@dataclass(frozen=True, slots=True)
class Node:
    """allowance: bytes that it may hold in total; other: bytes that it uses for anything but shards."""

    name: str
    allowance: int
    zone: str = ""
    state: State = State.UP
    other: int = 0

    def capacity(self) -> int:
        """Bytes for shards."""
        return max(0, self.allowance - self.other)


@dataclass(frozen=True, slots=True)
class Shard:
    """copies: nodes that should hold it; holders: nodes that do; growth: bytes it may gain while it moves."""

    name: str
    size: int
    holders: tuple[str, ...] = ()
    copies: int = 2
    growth: int = 0

    def max_size(self) -> int:
        """Bytes that it may have at the end of a move."""
        return self.size + self.growth


@dataclass(slots=True)
class Placement:
    """Which nodes hold which shards, updated move by move.

    used: bytes by node; a shard that moves counts at both nodes.
    """

    nodes: dict[str, Node]
    shards: dict[str, Shard]
    holders: dict[str, set[str]] = field(default_factory=dict)
    used: dict[str, int] = field(default_factory=dict)

    @classmethod
    def of(cls, nodes: list[Node], shards: list[Shard]) -> "Placement":
        placement = cls({n.name: n for n in nodes}, {s.name: s for s in shards})
        placement.used = {n.name: 0 for n in nodes}
        for shard in shards:
            placement.holders[shard.name] = {
                n for n in shard.holders if n in placement.nodes and placement.holds(n)
            }
            for name in placement.holders[shard.name]:
                placement.used[name] += shard.max_size()
        return placement

    def holds(self, name: str) -> bool:
        """Whether copies on that node can be read."""
        return self.nodes[name].state in HOLDING_STATES

    def free(self, name: str) -> int:
        """Unused bytes of a node."""
        return self.nodes[name].capacity() - self.used[name]

    def zones(self, shard: str, without: str = "") -> list[str]:
        """The zones of the shard's copies, leaving out the copy on one node."""
        return [self.nodes[n].zone for n in self.holders[shard] if n != without]

    def add(self, shard: str, name: str) -> None:
        """Adds a copy on a node."""
        self.holders[shard].add(name)
        self.used[name] += self.shards[shard].max_size()

    def drop(self, shard: str, name: str) -> None:
        """Removes the copy on a node."""
        self.holders[shard].discard(name)
        self.used[name] -= self.shards[shard].max_size()

    def load(self, name: str) -> float:
        """The used fraction of a node's capacity: 0 to 1."""
        return self.used[name] / max(1, self.nodes[name].capacity())

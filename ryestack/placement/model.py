"""Nodes, shards, and what a placing lacks. Sizes are bytes, and may grow while moves run. Pure."""

from dataclasses import dataclass, field
from enum import Enum


class State(Enum):
    """What a node may be used for: up may gain and hold, joining and up may gain, draining and gone must
    lose all."""

    JOINING = "joining"
    UP = "up"
    DRAINING = "draining"
    GONE = "gone"


GAINS = {State.JOINING, State.UP}
SOURCES = {State.JOINING, State.UP, State.DRAINING}  # from a node that is gone nothing can be copied


@dataclass(frozen=True, slots=True)
class Node:
    """allowance: bytes that it may hold in all; other: bytes that it uses beside shards."""

    name: str
    allowance: int
    zone: str = ""
    state: State = State.UP
    other: int = 0

    def capacity(self) -> int:
        return max(0, self.allowance - self.other)


@dataclass(frozen=True, slots=True)
class Shard:
    """copies: how many nodes hold it; on: who does now; growth: bytes that it may gain while it moves."""

    name: str
    size: int
    holders: tuple[str, ...] = ()
    copies: int = 2
    growth: int = 0

    def max_size(self) -> int:
        return self.size + self.growth


@dataclass(slots=True)
class Placement:
    """Who holds what, as it changes step by step. used: bytes by node, both copies of what moves counted."""

    nodes: dict[str, Node]
    shards: dict[str, Shard]
    holders: dict[str, set[str]] = field(default_factory=dict)
    used: dict[str, int] = field(default_factory=dict)

    @classmethod
    def of(cls, nodes: list[Node], shards: list[Shard]) -> "Placement":
        made = cls({n.name: n for n in nodes}, {s.name: s for s in shards})
        made.used = {n.name: 0 for n in nodes}
        for shard in shards:
            made.holders[shard.name] = {n for n in shard.holders if n in made.nodes and made.holds(n)}
            for name in made.holders[shard.name]:
                made.used[name] += shard.max_size()
        return made

    def holds(self, name: str) -> bool:
        return self.nodes[name].state in SOURCES

    def free(self, name: str) -> int:
        return self.nodes[name].capacity() - self.used[name]

    def zones(self, shard: str, without: str = "") -> list[str]:
        return [self.nodes[n].zone for n in self.holders[shard] if n != without]

    def add(self, shard: str, name: str) -> None:
        self.holders[shard].add(name)
        self.used[name] += self.shards[shard].max_size()

    def drop(self, shard: str, name: str) -> None:
        self.holders[shard].discard(name)
        self.used[name] -= self.shards[shard].max_size()

    def load(self, name: str) -> float:
        """The part of its room that is used: 0 to 1."""
        return self.used[name] / max(1, self.nodes[name].capacity())

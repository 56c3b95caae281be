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

    def room(self) -> int:
        return max(0, self.allowance - self.other)


@dataclass(frozen=True, slots=True)
class Shard:
    """copies: how many nodes hold it; on: who does now; growth: bytes that it may gain while it moves."""

    name: str
    size: int
    on: tuple[str, ...] = ()
    copies: int = 2
    growth: int = 0

    def most(self) -> int:
        return self.size + self.growth


@dataclass(slots=True)
class Placing:
    """Who holds what, as it changes step by step. used: bytes by node, both copies of what moves counted."""

    nodes: dict[str, Node]
    shards: dict[str, Shard]
    on: dict[str, set[str]] = field(default_factory=dict)
    used: dict[str, int] = field(default_factory=dict)

    @classmethod
    def of(cls, nodes: list[Node], shards: list[Shard]) -> "Placing":
        made = cls({n.name: n for n in nodes}, {s.name: s for s in shards})
        made.used = {n.name: 0 for n in nodes}
        for shard in shards:
            made.on[shard.name] = {n for n in shard.on if n in made.nodes and made.holds(n)}
            for name in made.on[shard.name]:
                made.used[name] += shard.most()
        return made

    def holds(self, name: str) -> bool:
        return self.nodes[name].state in SOURCES

    def free(self, name: str) -> int:
        return self.nodes[name].room() - self.used[name]

    def zones(self, shard: str, without: str = "") -> list[str]:
        return [self.nodes[n].zone for n in self.on[shard] if n != without]

    def add(self, shard: str, name: str) -> None:
        self.on[shard].add(name)
        self.used[name] += self.shards[shard].most()

    def drop(self, shard: str, name: str) -> None:
        self.on[shard].discard(name)
        self.used[name] -= self.shards[shard].most()

    def load(self, name: str) -> float:
        """The part of its room that is used: 0 to 1."""
        return self.used[name] / max(1, self.nodes[name].room())

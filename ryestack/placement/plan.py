"""A plan of moves: few bytes, both copies there while one moves, no node past its room at any step. Pure.

Same input, same plan, whatever the order of rows. In the order of what it is for: copies that lack, nodes
that must be emptied, zones that a shard shares, then load out of tolerance. A swap that finds no room goes
by way of a third node.
"""

from dataclasses import dataclass, field
from itertools import chain

from .model import GAINS, Node, Placement, Shard, State

TOLERANCE = 0.10  # of a node's room over the mean: less is not worth the bytes, and growth would undo it
GAIN = 0.5  # a move for load may turn a difference round by so much of it: else it comes back
AT_ONCE = 2  # moves that a node takes part in side by side
ROUNDS = 4  # of zones and load in turn: a level cluster may have room for a zone that a full one had not
LONGEST = 4  # times as many moves as shards: past it a plan circles


@dataclass(frozen=True, slots=True)
class Move:
    """Copy a shard from source to target, then drop it at drops ("" : a copy that lacked; nothing is
    dropped)."""

    shard: str
    source: str
    target: str
    drops: str
    size: int
    why: str


@dataclass(slots=True)
class Plan:
    """steps: moves that run side by side, one step after another. lacks: (node, shard, bytes) that found
    no room."""

    steps: list[list[Move]] = field(default_factory=list)
    shortfalls: list[tuple[str, str, int]] = field(default_factory=list)

    def moves(self) -> list[Move]:
        return list(chain.from_iterable(self.steps))

    def bytes(self) -> int:
        return sum(move.size for move in self.moves())


def plan(nodes: list[Node], shards: list[Shard], tolerance: float = TOLERANCE) -> Plan:
    made = _Planner(sorted(nodes, key=lambda n: n.name), sorted(shards, key=lambda s: s.name), tolerance)
    made.mend()
    made.empty()
    for _ in range(ROUNDS):
        before = len(made.moves)
        made.spread()
        made.level()
        if len(made.moves) == before:
            break
    return Plan(_steps(made.moves, nodes, shards), made.shortfalls)


class _Planner:
    """Moves one after another on a placing; what runs side by side is found afterwards."""

    def __init__(self, nodes: list[Node], shards: list[Shard], tolerance: float):
        self.at, self.tolerance = Placement.of(nodes, shards), tolerance
        self.moves: list[Move] = []
        self.shortfalls: list[tuple[str, str, int]] = []
        self.gaining = [n.name for n in nodes if n.state in GAINS]
        self.largest = sorted(shards, key=lambda s: (-s.max_size(), s.name))

    # -- what it is for -------------------------------------------------------------------------------

    def mend(self) -> None:
        for shard in self.largest:
            while len(self.at.holders[shard.name]) < shard.copies and self.at.holders[shard.name]:
                if not self.put(shard, "", "a copy lacks"):
                    break

    def empty(self) -> None:
        for shard in self.largest:
            for name in sorted(self.at.holders[shard.name]):
                if self.at.nodes[name].state is State.DRAINING:
                    self.put(shard, name, "its node drains")

    def spread(self) -> None:
        """Copies that share a zone, where another zone has room."""
        for shard in self.largest:
            for name in sorted(self.at.holders[shard.name]):
                zones = self.at.zones(shard.name, name)
                target = self.target(shard, name) if self.at.nodes[name].zone in zones else ""
                if target and self.at.nodes[target].zone not in zones:
                    self.move(shard, name, target, "its copies share a zone")

    def level(self) -> None:
        """From the fullest to the emptiest, the piece that levels them best for its bytes."""
        for _ in range(LONGEST * max(1, len(self.largest))):
            if len(self.gaining) < 2:
                return
            mean = sum(map(self.at.load, self.gaining)) / len(self.gaining)
            over = [n for n in self.gaining if self.at.load(n) > mean + self.tolerance]
            over.sort(key=lambda n: (-self.at.load(n), n))
            if not any(self.relieve(full, mean) for full in over):
                return

    def relieve(self, full: str, mean: float) -> bool:
        over = (self.at.load(full) - mean - self.tolerance) * self.at.nodes[full].capacity()
        held = [s for s in self.largest if full in self.at.holders[s.name]]
        # Just what brings it back, else the largest that is less: many small ones would cost as much.
        enough = sorted((s for s in held if s.max_size() >= over), key=lambda s: (s.max_size(), s.name))
        for shard in [*enough[:8], *(s for s in held if s.max_size() < over)]:
            target = self.target(shard, full, level=True)
            if target and self.gains(shard, full, target):
                self.move(shard, full, target, "its node is fuller than others")
                return True
        return False

    def gains(self, shard: Shard, full: str, target: str) -> bool:
        rooms = self.at.nodes[full].capacity(), self.at.nodes[target].capacity()
        before = self.at.load(full) - self.at.load(target)
        after = before - shard.max_size() / max(1, rooms[0]) - shard.max_size() / max(1, rooms[1])
        return after >= -before * GAIN  # else the other becomes the fuller one, and it comes back next time

    # -- where to -------------------------------------------------------------------------------------

    def target(self, shard: Shard, instead: str, level: bool = False) -> str:
        """The best node with room: one of a zone of its own first, then the emptiest; "" if there is none."""
        taken = set(self.at.zones(shard.name, instead))
        wanted = self.at.nodes[instead].zone in taken if instead else True
        fits = [
            n for n in self.gaining
            if n not in self.at.holders[shard.name] and self.at.free(n) >= shard.max_size()
        ]  # fmt: skip
        if level and not wanted:
            fits = [n for n in fits if self.at.nodes[n].zone not in taken]
        key = lambda n: (self.at.nodes[n].zone in taken, self.at.load(n), n)  # noqa: E731
        return min(fits, key=key, default="")

    def put(self, shard: Shard, instead: str, why: str) -> bool:
        target = self.target(shard, instead) or self.made_room(shard, instead)
        if not target:
            roomiest = max(self.gaining, key=lambda n: (self.at.free(n), n), default="")
            short = shard.max_size() - (self.at.free(roomiest) if roomiest else 0)
            self.shortfalls.append((roomiest, shard.name, short))
            return False
        self.move(shard, instead, target, why)
        return True

    def made_room(self, shard: Shard, instead: str) -> str:
        """Room by way of a third node: a smaller piece leaves one that lacks little."""
        for name in sorted(self.gaining, key=lambda n: (-self.at.free(n), n)):
            if name in self.at.holders[shard.name]:
                continue
            short = shard.max_size() - self.at.free(name)
            held = [
                s for s in reversed(self.largest) if name in self.at.holders[s.name] and s.max_size() >= short
            ]
            for other in held[:8]:
                third = self.target(other, name) if other.name != shard.name else ""
                if third and third != instead:
                    self.move(other, name, third, "room for another")
                    return name
        return ""

    def move(self, shard: Shard, instead: str, target: str, why: str) -> None:
        holders = [n for n in self.at.holders[shard.name] if n != target]
        source = instead or min(holders, key=lambda n: (self.at.load(n), n))
        self.moves.append(Move(shard.name, source, target, instead, shard.max_size(), why))
        self.at.add(shard.name, target)
        if instead:
            self.at.drop(shard.name, instead)


def _steps(moves: list[Move], nodes: list[Node], shards: list[Shard]) -> list[list[Move]]:
    """As many side by side as room for both copies and AT_ONCE allow, in an order that keeps each shard's
    own."""
    at, left, steps = Placement.of(nodes, shards), list(moves), []
    while left:
        step, busy, begun, wanted = [], {}, set(), set()
        for move in left:
            names = {move.source, move.target}
            idle = move.shard not in begun and all(busy.get(n, 0) < AT_ONCE for n in names)
            # What an earlier move waits for stays free for it: so the first that is left can always begin.
            if idle and move.target not in wanted and at.free(move.target) >= move.size:
                step.append(move)
                at.add(move.shard, move.target)
                busy.update({n: busy.get(n, 0) + 1 for n in names})
            else:
                wanted.add(move.target)
            begun.add(move.shard)
        for move in step:
            if move.drops:
                at.drop(move.shard, move.drops)
        left = [move for move in left if move not in step]
        steps.append(step)
    return steps

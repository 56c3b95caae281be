"""Plans moves with few bytes that keep both copies during a move and every node within its capacity. Pure.

The plan is deterministic and does not depend on the order of the input. Goals by priority: restore missing
copies, empty draining nodes, separate copies that share a zone, then balance load beyond the tolerance. A
swap without free space goes through a third node.
"""

from dataclasses import dataclass, field
from itertools import chain

from .model import GAINING_STATES, Node, Placement, Shard, State

# Fraction of a node's capacity above the mean load: less is not worth the bytes, and growth would undo it.
TOLERANCE = 0.10
# A move for load may reverse the difference of two nodes by this fraction at most: else it would be undone.
MAX_REVERSAL = 0.5
MAX_PARALLEL_MOVES = 2  # that a node takes part in
MAX_ROUNDS = 4  # of zones, then load: a balanced cluster may have space for a zone that it lacked before
MAX_MOVES_PER_SHARD = 4  # on average; a plan with more goes round in circles


@dataclass(frozen=True, slots=True)
class Move:
    """Copy a shard from source to target, then drop the copy at `drops` ("" if the move restores a missing
    copy)."""

    shard: str
    source: str
    target: str
    drops: str
    size: int
    why: str


@dataclass(slots=True)
class Plan:
    """steps: lists of moves that run in parallel, one list after another; shortfalls: (node, shard, bytes
    that are missing there) for copies that fit nowhere."""

    steps: list[list[Move]] = field(default_factory=list)
    shortfalls: list[tuple[str, str, int]] = field(default_factory=list)

    def moves(self) -> list[Move]:
        """All moves, in order."""
        return list(chain.from_iterable(self.steps))

    def bytes(self) -> int:
        """Bytes that the plan moves."""
        return sum(move.size for move in self.moves())


def plan(nodes: list[Node], shards: list[Shard], tolerance: float = TOLERANCE) -> Plan:
    """The moves for all goals; tolerance: as TOLERANCE."""
    planner = _Planner(sorted(nodes, key=lambda n: n.name), sorted(shards, key=lambda s: s.name), tolerance)
    planner.restore_copies()
    planner.empty_draining()
    for _ in range(MAX_ROUNDS):
        before = len(planner.moves)
        planner.separate_zones()
        planner.balance()
        if len(planner.moves) == before:
            break
    return Plan(_steps(planner.moves, nodes, shards), planner.shortfalls)


class _Planner:
    """Plans moves one after another; which of them run in parallel is decided afterwards."""

    def __init__(self, nodes: list[Node], shards: list[Shard], tolerance: float):
        self.placement, self.tolerance = Placement.of(nodes, shards), tolerance
        self.moves: list[Move] = []
        self.shortfalls: list[tuple[str, str, int]] = []
        self.gaining = [n.name for n in nodes if n.state in GAINING_STATES]
        self.largest = sorted(shards, key=lambda s: (-s.max_size(), s.name))

    # -- goals -------------------------------------------------------------------------------

    def restore_copies(self) -> None:
        """Adds copies of shards that have fewer than they should and at least one."""
        for shard in self.largest:
            while (
                len(self.placement.holders[shard.name]) < shard.copies and self.placement.holders[shard.name]
            ):
                if not self.place(shard, "", "a copy is missing"):
                    break

    def empty_draining(self) -> None:
        """Moves all copies off draining nodes."""
        for shard in self.largest:
            for name in sorted(self.placement.holders[shard.name]):
                if self.placement.nodes[name].state is State.DRAINING:
                    self.place(shard, name, "its node drains")

    def separate_zones(self) -> None:
        """Moves copies that share a zone to another zone with space."""
        for shard in self.largest:
            for name in sorted(self.placement.holders[shard.name]):
                zones = self.placement.zones(shard.name, name)
                target = self.target(shard, name) if self.placement.nodes[name].zone in zones else ""
                if target and self.placement.nodes[target].zone not in zones:
                    self.move(shard, name, target, "its copies share a zone")

    def balance(self) -> None:
        """Moves from the fullest to the emptiest node the shard that balances them best for its bytes."""
        for _ in range(MAX_MOVES_PER_SHARD * max(1, len(self.largest))):
            if len(self.gaining) < 2:
                return
            mean = sum(map(self.placement.load, self.gaining)) / len(self.gaining)
            over = [n for n in self.gaining if self.placement.load(n) > mean + self.tolerance]
            over.sort(key=lambda n: (-self.placement.load(n), n))
            if not any(self.relieve(full, mean) for full in over):
                return

    def relieve(self, full: str, mean: float) -> bool:
        """Moves one shard off a node that is above the tolerance; whether one was found."""
        over = (self.placement.load(full) - mean - self.tolerance) * self.placement.nodes[full].capacity()
        held = [s for s in self.largest if full in self.placement.holders[s.name]]
        # The smallest that suffices, else the largest below it: many small ones would cost as many bytes.
        enough = sorted((s for s in held if s.max_size() >= over), key=lambda s: (s.max_size(), s.name))
        for shard in [*enough[:8], *(s for s in held if s.max_size() < over)]:
            target = self.target(shard, full, for_balance=True)
            if target and self.improves_balance(shard, full, target):
                self.move(shard, full, target, "its node is fuller than others")
                return True
        return False

    def improves_balance(self, shard: Shard, full: str, target: str) -> bool:
        """Whether the move reverses the load difference of the two nodes by at most MAX_REVERSAL of it: else
        the target becomes the fuller node, and the shard would move back."""
        capacities = self.placement.nodes[full].capacity(), self.placement.nodes[target].capacity()
        before = self.placement.load(full) - self.placement.load(target)
        after = before - shard.max_size() / max(1, capacities[0]) - shard.max_size() / max(1, capacities[1])
        return after >= -before * MAX_REVERSAL

    # -- targets -------------------------------------------------------------------------------------

    def target(self, shard: Shard, instead: str, for_balance: bool = False) -> str:
        """The best node with space for a copy, "" if there is none.

        Nodes in zones without a copy come first, then the emptiest. instead: the node whose copy is replaced.
        """
        used_zones = set(self.placement.zones(shard.name, instead))
        shares_zone = self.placement.nodes[instead].zone in used_zones if instead else True
        candidates = [
            n for n in self.gaining
            if n not in self.placement.holders[shard.name] and self.placement.free(n) >= shard.max_size()
        ]  # fmt: skip
        if for_balance and not shares_zone:
            candidates = [n for n in candidates if self.placement.nodes[n].zone not in used_zones]
        key = lambda n: (self.placement.nodes[n].zone in used_zones, self.placement.load(n), n)  # noqa: E731
        return min(candidates, key=key, default="")

    def place(self, shard: Shard, instead: str, why: str) -> bool:
        """Moves a copy to the best node, or records the shortfall; whether it was moved."""
        target = self.target(shard, instead) or self.make_space(shard, instead)
        if not target:
            emptiest = max(self.gaining, key=lambda n: (self.placement.free(n), n), default="")
            missing = shard.max_size() - (self.placement.free(emptiest) if emptiest else 0)
            self.shortfalls.append((emptiest, shard.name, missing))
            return False
        self.move(shard, instead, target, why)
        return True

    def make_space(self, shard: Shard, instead: str) -> str:
        """Moves a smaller shard off a node that is short of little space; the node, "" if there is none."""
        for name in sorted(self.gaining, key=lambda n: (-self.placement.free(n), n)):
            if name in self.placement.holders[shard.name]:
                continue
            missing = shard.max_size() - self.placement.free(name)
            held = [
                s
                for s in reversed(self.largest)
                if name in self.placement.holders[s.name] and s.max_size() >= missing
            ]
            for other in held[:8]:
                third = self.target(other, name) if other.name != shard.name else ""
                if third and third != instead:
                    self.move(other, name, third, "space for another shard")
                    return name
        return ""

    def move(self, shard: Shard, instead: str, target: str, why: str) -> None:
        sources = [n for n in self.placement.holders[shard.name] if n != target]
        source = instead or min(sources, key=lambda n: (self.placement.load(n), n))
        self.moves.append(Move(shard.name, source, target, instead, shard.max_size(), why))
        self.placement.add(shard.name, target)
        if instead:
            self.placement.drop(shard.name, instead)


def _steps(moves: list[Move], nodes: list[Node], shards: list[Shard]) -> list[list[Move]]:
    """As many moves in parallel as the space for both copies and MAX_PARALLEL_MOVES allow. The order of the
    moves of one shard is kept."""
    placement, left, steps = Placement.of(nodes, shards), list(moves), []
    while left:
        step, busy, begun, reserved = [], {}, set(), set()
        for move in left:
            names = {move.source, move.target}
            idle = move.shard not in begun and all(busy.get(n, 0) < MAX_PARALLEL_MOVES for n in names)
            # Space that an earlier move waits for is reserved, so that the first move left can always begin.
            if idle and move.target not in reserved and placement.free(move.target) >= move.size:
                step.append(move)
                placement.add(move.shard, move.target)
                busy.update({n: busy.get(n, 0) + 1 for n in names})
            else:
                reserved.add(move.target)
            begun.add(move.shard)
        for move in step:
            if move.drops:
                placement.drop(move.shard, move.drops)
        left = [move for move in left if move not in step]
        steps.append(step)
    return steps

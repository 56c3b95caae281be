"""Plans of moves against a lower bound and two other ways.

    python benchmarks/placement.py

A cluster that was level gets new nodes and loses one. The bound is a linear program: copies may be split, no
order, no headroom on the way. Beside it: rendezvous hashing by room, and a greedy that moves the largest from
the fullest to the emptiest. Told: bytes moved as a part of the bound, times a node passed its room on the
way, what found no room, seconds of the planner, and whether all nodes ended within the tolerance.
"""

import hashlib
import random
import sys
import time
from pathlib import Path

import numpy as np
from scipy.optimize import linprog
from scipy.sparse import coo_matrix

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from ryestack.placement.model import Node, Placement, Shard, State  # noqa: E402
from ryestack.placement.plan import TOLERANCE, plan  # noqa: E402


def case(nodes: int, shards: int, full: float, seed: int):
    """Two copies each on the old nodes; a tenth of the nodes is new and empty, one old one drains."""
    chance = random.Random(seed)
    sizes = [int(chance.lognormvariate(3.0, 0.8)) + 1 for _ in range(shards)]
    old = nodes - max(1, nodes // 10)
    allowance = int(2 * sum(sizes) / (nodes - 1) / full)
    rows = [
        Node(f"n{i:03}", allowance, "abc"[i % 3], State.DRAINING if i == 0 else State.UP)
        for i in range(nodes)
    ]
    used, made = [0] * old, []
    for i, size in enumerate(sizes):
        order = sorted(range(old), key=lambda n: used[n] + chance.random() * 5)
        first = order[0]
        second = next((n for n in order[1:] if n % 3 != first % 3 and used[n] + size <= allowance), order[1])
        for n in (first, second):
            used[n] += size
        made.append(Shard(f"s{i:04}", size, (f"n{first:03}", f"n{second:03}"), 2))
    return rows, made, max(used) / allowance


def bound(nodes: list[Node], shards: list[Shard]) -> float:
    """Bytes that any way must move."""
    gaining = [n for n in nodes if n.state is State.UP]
    total = sum(s.size * s.copies for s in shards)
    mean = total / sum(n.capacity() for n in gaining)
    count, many = len(gaining), len(shards)
    cost = np.zeros(2 * many * count)  # x: how much of a copy is there; y: how much of it is new
    equal, over, rows_e, rows_o = [], [], [], []
    for s, shard in enumerate(shards):
        for n, node in enumerate(gaining):
            x, y = s * count + n, many * count + s * count + n
            cost[y] = shard.size
            equal.append((s, x, 1.0))
            over.append((n, x, float(shard.size)))
            over += [(count + s * count + n, x, 1.0), (count + s * count + n, y, -1.0)]
        rows_e.append(float(shard.copies))
    rows_o = [min(1.0, mean + TOLERANCE) * n.capacity() for n in gaining]
    rows_o += [float(n.name in s.holders) for s in shards for n in gaining]

    def matrix(cells, height):
        rows, columns, values = zip(*cells, strict=True)
        return coo_matrix((values, (rows, columns)), shape=(height, len(cost)))

    told = linprog(
        cost,
        matrix(over, len(rows_o)),
        rows_o,
        matrix(equal, many),
        rows_e,
        bounds=(0.0, 1.0),
        method="highs",
    )
    return told.fun if told.success else float("nan")


def rendezvous(nodes: list[Node], shards: list[Shard]):
    """Bytes and times over room, if all move at once to where hashing by room wants them."""
    gaining, moved, used = [n for n in nodes if n.state is State.UP], 0, {}
    for shard in shards:

        def weight(node, shard=shard):
            mark = hashlib.blake2b(f"{shard.name}{node.name}".encode(), digest_size=8).digest()
            return -node.capacity() / np.log((int.from_bytes(mark, "big") + 1) / 2**64)

        wanted = sorted(gaining, key=weight, reverse=True)[: shard.copies]
        for node in wanted:
            moved += shard.size * (node.name not in shard.holders)
            used[node.name] = used.get(node.name, 0) + shard.size
    return moved, sum(used.get(n.name, 0) > n.capacity() for n in gaining)


def greedy(nodes: list[Node], shards: list[Shard]):
    at, moved, over = Placement.of(nodes, shards), 0, 0
    gaining = [n.name for n in nodes if n.state is State.UP]
    row = sorted(shards, key=lambda s: -s.size)
    for shard in row:
        for name in sorted(at.holders[shard.name]):
            if at.nodes[name].state is State.DRAINING:
                target = min((n for n in gaining if n not in at.holders[shard.name]), key=at.load)
                at.add(shard.name, target)
                over += at.free(target) < 0
                at.drop(shard.name, name)
                moved += shard.size
    for _ in range(4 * len(shards)):
        full, least = max(gaining, key=at.load), min(gaining, key=at.load)
        mean = sum(map(at.load, gaining)) / len(gaining)
        held = [s for s in row if full in at.holders[s.name] and least not in at.holders[s.name]]
        if at.load(full) <= mean + TOLERANCE or not held:
            break
        at.add(held[0].name, least)
        over += at.free(least) < 0
        at.drop(held[0].name, full)
        moved += held[0].size
    return moved, over


def main() -> None:
    print("nodes shards full seed | bound | ours: of it, over, lacks, s, level | rendezvous | greedy")
    for nodes, shards, full in (
        (20, 200, 0.5),
        (20, 200, 0.9),
        (50, 500, 0.5),
        (50, 500, 0.9),
        (100, 1000, 0.7),
    ):
        for seed in (1, 2, 3):
            rows, made, _ = case(nodes, shards, full, seed)
            least = bound(rows, made) if nodes <= 50 else float("nan")
            began = time.perf_counter()
            found = plan(rows, made)
            took, at, over = time.perf_counter() - began, Placement.of(rows, made), 0
            for step in found.steps:
                for move in step:
                    at.add(move.shard, move.target)
                over += sum(at.free(n) < 0 for n in {m.target for m in step})
                for move in step:
                    if move.drops:
                        at.drop(move.shard, move.drops)
            gaining = [n.name for n in rows if n.state is State.UP]
            mean = sum(map(at.load, gaining)) / len(gaining)
            level = max(map(at.load, gaining)) <= mean + TOLERANCE
            others = rendezvous(rows, made), greedy(rows, made)
            told = " | ".join(f"{moved / least:6.2f} {much:3}" for moved, much in others)
            ours = f"{found.bytes() / least:5.2f} {over} {len(found.shortfalls)} {took:5.2f}"
            end = "level" if level else "not"
            print(
                f"{nodes:4} {shards:5} {full:.1f} {seed} | {least:9.0f} | {ours} {end} | {told}", flush=True
            )


if __name__ == "__main__":
    main()

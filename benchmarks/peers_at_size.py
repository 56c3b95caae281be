"""Guarded relays at size, in simulated time: the pure core of each, a network that loses and delays messages.

    python benchmarks/peers_at_size.py [--plot docs/studies/peers-at-size.png]

Each of 10, 100 and 1,000 relays takes a notification a second and ends it two seconds later. At eight
seconds a third is killed at once with its folders. Told: when its work went on at a guard, messages and bytes
a notification, take-overs of a relay that lived, two that acted at once, covered ones (lost) that nobody
has though one of the group lives, (gone) whose whole group was killed. All simulated: no socket, no clock
of the machine.
"""

import argparse
import heapq
import random
import sys
from math import inf
from pathlib import Path

import numpy as np

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from ryestack.peers import messages  # noqa: E402
from ryestack.peers.messages import Record  # noqa: E402
from ryestack.peers.node import ClusterConfig, Node, Refused  # noqa: E402

LEASE, TICK, KILLED, UNTIL, LASTS = 3.0, 0.1, 8.0, 24.0, 2.0
BODY = b"x" * 200


class Fleet:
    def __init__(self, count: int, loss: float, seed: int, cut: bool = False):
        self.random, self.loss, self.cut, self.now = random.Random(seed), loss, cut, 0.0
        self.names = [f"r{i}" for i in range(count)]
        zones = {name: "abc"[i % 3] for i, name in enumerate(self.names)}
        self.zones, self.heap, self.seq = zones, [], 0
        self.nodes = {
            n: Node(ClusterConfig("c", n, zones, 2, LEASE), 1, False, random.Random(f"{seed}{n}"), -2 * LEASE)
            for n in self.names
        }
        self.dead, self.messages, self.bytes, self.taken = set(), 0, 0, 0
        self.owed: dict[str, dict[str, float]] = {n: {} for n in self.names}  # covered ones, by owner
        self.waits: dict[str, list] = {n: [] for n in self.names}
        self.after: list[float] = []  # seconds from the kill until a shard with work acts again
        self.again, self.false, self.twice, self.lost, self.gone = set(), 0, 0, 0, 0
        for n in self.names:
            self.at(self.random.random() * TICK, "tick", n)
            self.at(1.0 + self.random.random(), "take", n)
            self.drain(n)
        self.at(KILLED, "kill", None)

    def at(self, when, what, who):
        self.seq += 1
        heapq.heappush(self.heap, (when, self.seq, what, who))

    def run(self) -> None:
        while self.heap and self.heap[0][0] < UNTIL:
            self.now, _, what, who = heapq.heappop(self.heap)
            getattr(self, what)(who)
        shards = [s for n, node in self.nodes.items() if n not in self.dead for s in node.shards.values()]
        kept = {i for s in shards for i in (*s.contents.items, *s.contents.finished)}
        groups = {n: set(self.nodes[n].own.group) for n in self.dead}
        self.lost = sum(i not in kept for n in self.dead for i in self.owed[n] if groups[n] - self.dead)
        self.gone = sum(len(self.owed[n]) for n in self.dead if groups[n] <= self.dead)

    def tick(self, name):
        if name in self.dead:
            return
        self.nodes[name].tick(self.now, self.now)
        self.drain(name)
        self.at(self.now + TICK, "tick", name)

    def take(self, name):
        if name in self.dead:
            return
        node, self.taken = self.nodes[name], self.taken + 1
        one = f"{name}-{self.taken}"
        if self.now < node.own.acts_until():
            at = node.write(node.own, [Record(one, BODY, due=self.now + 30.0)], self.now)
            self.waits[name].append((at, one))
            self.at(self.now + LASTS, "end", (name, one))
        self.drain(name)
        self.at(self.now + 1.0, "take", name)

    def end(self, who):
        name, one = who
        node = self.nodes[name]
        if name not in self.dead and self.now < node.own.acts_until():
            node.write(node.own, [Record(one, b"", True, self.now + 30.0)], self.now)
            self.owed[name].pop(one, None)
            self.drain(name)

    def kill(self, _):
        self.dead = set(self.random.sample(self.names, len(self.names) // 3))

    def arrive(self, who):
        to, body, asked = who
        if to in self.dead:
            return
        envelope, node = messages.decode(body), self.nodes[to]
        try:
            if asked:
                self.send(envelope.sender, node.handle_request(envelope, self.now), False, to)
            else:
                node.handle_reply(envelope, self.now)
        except Refused:
            pass
        self.drain(to)

    def send(self, to, envelope, asked, sender):
        body = messages.encode(envelope)
        self.messages, self.bytes = self.messages + 1, self.bytes + len(body)
        ways = {self.zones[to], self.zones[sender]}
        apart = self.cut and KILLED <= self.now < KILLED + 2 * LEASE and "a" in ways and len(ways) > 1
        if not apart and self.random.random() >= self.loss:
            self.at(self.now + self.random.uniform(0.001, 0.02), "arrive", (to, body, asked))

    def drain(self, name):
        node = self.nodes[name]
        effects, node.effects = node.effects, []
        for kind, *rest in effects:
            if kind == "send":
                self.send(rest[0], rest[1], True, name)
            elif kind == "covered" and rest[0] is node.own:
                done = [w for w in self.waits[name] if w[0] <= rest[1]]
                self.waits[name] = [w for w in self.waits[name] if w not in done]
                self.owed[name].update({one: self.now for _, one in done})
            elif kind == "acts" and rest[0] is not node.own:
                owner = rest[0].name[0]
                if owner not in self.dead:
                    self.false += 1
                    self.twice += self.now < self.nodes[owner].own.acts_until()
                elif owner not in self.again:
                    self.again.add(owner)
                    self.after.append(self.now - KILLED)


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--plot", type=Path)
    parser.add_argument("--seed", type=int, default=1)
    chosen = parser.parse_args()
    heads = (
        "relays",
        "loss",
        "zone cut",
        "p50 s",
        "p99 s",
        "shards",
        "messages/ntf",
        "bytes/ntf",
        "bytes/relay/s",
    )
    print("  ".join(heads), " false  twice  lost  gone")
    days = [(n, loss, False) for n in (10, 100, 1000) for loss in (0.0, 0.05, 0.2)]
    rows = []
    for count, loss, cut in [*days, (100, 0.0, True), (1000, 0.0, True)]:
        fleet = Fleet(count, loss, chosen.seed, cut)
        fleet.run()
        p50, p99 = np.quantile(fleet.after, (0.5, 0.99)) if fleet.after else (inf, inf)
        rows.append((count, loss, cut, fleet.after))
        told = (count, loss, "yes" if cut else "no", f"{p50:.2f}", f"{p99:.2f}", len(fleet.after))
        costs = (fleet.messages / fleet.taken, fleet.bytes / fleet.taken, fleet.bytes / count / UNTIL)
        found = (fleet.false, fleet.twice, fleet.lost, fleet.gone)
        print("  ".join(map(str, [*told, *(f"{c:.1f}" for c in costs), *found])), flush=True)
    if chosen.plot:
        import matplotlib

        matplotlib.use("Agg")
        from matplotlib import pyplot

        figure, axes = pyplot.subplots(figsize=(7, 4))
        for count, loss, cut, after in rows:
            if after and not cut:
                axes.plot(
                    np.sort(after), np.linspace(0, 1, len(after)), label=f"{count} relays, loss {loss:g}"
                )
        axes.set(
            xlabel="seconds from the kill of a third",
            ylabel="part of the shards that act again",
            title=f"Lease {LEASE:g} s, simulated",
        )
        axes.legend(fontsize=7)
        figure.tight_layout()
        figure.savefig(chosen.plot, dpi=90)


if __name__ == "__main__":
    main()

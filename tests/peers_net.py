"""Members of one shard on clocks of their own, and a network that loses, delays, doubles, reorders."""

import random
from math import inf

from ryestack.peers.messages import Append, Appended, Record, Vote, Voted
from ryestack.peers.shard import DRIFT, Shard

LEASE = 3.0
NAMES = ("k", "g", "h")


class World:
    """Real time is `now`; each member's clock runs at a rate of its own within DRIFT of the others'."""

    def __init__(self, seed: int, loss=0.1, late=0.5, shard=Shard):
        self.random, self.now, self.loss, self.late, self.kind = random.Random(seed), 0.0, loss, late, shard
        self.rates = {n: 1.0 + self.random.uniform(0.0, DRIFT * 0.9) for n in NAMES}
        self.offsets = {n: self.random.uniform(0.0, 100.0) for n in NAMES}
        self.stopped: set[str] = set()  # killed, or paused
        self.cut: set[tuple[str, str]] = set()  # one way each
        self.flying, self.number, self.acted = [], 0, []  # acted: (real time, member, epoch)
        self.promised: set[str] = set()  # covered, so told to a client
        self.ended: set[str] = set()
        self.broken: list[str] = []
        self.shards = {n: self.made(n, -inf) for n in NAMES}
        self.shards["k"].open(self.clock("k"))
        self.pending: dict[int, str] = {}  # position -> id, of the owner's first epoch

    def made(self, name: str, barred: float) -> Shard:
        return self.kind(("k", 1), NAMES, name, LEASE, random.Random(self.random.random()), barred)

    def clock(self, name: str) -> float:
        return self.now * self.rates[name] + self.offsets[name]

    # -- what happens -----------------------------------------------------------------------------------

    def step(self, span: float) -> None:
        """Messages that are due arrive, then every running member ticks."""
        self.now += span
        due = [f for f in self.flying if f[0] <= self.now]
        self.flying = [f for f in self.flying if f[0] > self.now]
        self.random.shuffle(due)
        for _, sender, to, message in due:
            if to not in self.stopped:
                self.hear(sender, to, message)
        for name in NAMES:
            if name not in self.stopped:
                self.shards[name].tick(self.clock(name))
                self.effects(name)
        self.check()

    def hear(self, sender: str, to: str, message) -> None:
        shard, now = self.shards[to], self.clock(to)
        if isinstance(message, Append):
            self.send(to, sender, shard.on_append(now, sender, message))
        elif isinstance(message, Vote):
            self.send(to, sender, shard.on_vote(now, message))
        elif isinstance(message, Appended):
            shard.on_appended(now, sender, message)
        elif isinstance(message, Voted):
            shard.on_voted(now, sender, message)
        self.effects(to)

    def send(self, sender: str, to: str, message) -> None:
        copies = 0 if (sender, to) in self.cut or self.random.random() < self.loss else 1
        copies += copies and self.random.random() < 0.1
        for _ in range(copies):
            self.flying.append((self.now + self.random.expovariate(1.0 / self.late), sender, to, message))

    def effects(self, name: str) -> None:
        shard = self.shards[name]
        told, shard.effects = shard.effects, []
        for kind, *rest in told:
            if kind == "send":
                self.send(name, *rest)
            elif kind == "covered" and name == "k" and shard.mine and shard.epoch == len(NAMES):
                self.promised |= {i for at, i in self.pending.items() if at <= rest[0]}
            elif kind == "acts":
                self.begins(name)

    def begins(self, name: str) -> None:
        """Whoever starts to act knows all that was promised and has not ended."""
        kept = self.shards[name].contents
        for lost in sorted(self.promised - self.ended - set(kept.items)):
            self.broken.append(f"{self.now:.2f}: {name} acts and does not know {lost}")
        for twice in sorted(self.ended & set(kept.items)):
            if twice in self.covered_ends:
                self.broken.append(f"{self.now:.2f}: {name} acts on {twice}, which is over")

    covered_ends: frozenset = frozenset()

    def check(self) -> None:
        acting = [n for n in NAMES if n not in self.stopped and self.can_act(n)]
        if len(acting) > 1:
            self.broken.append(f"{self.now:.2f}: {acting} act at once")
        self.acted += [(self.now, n, self.shards[n].epoch) for n in acting]

    def can_act(self, name: str) -> bool:
        return self.clock(name) < self.shards[name].acts_until()

    # -- what is done to it -----------------------------------------------------------------------------

    def take(self, name: str) -> None:
        """The owner takes one, if it may."""
        shard = self.shards["k"]
        if "k" not in self.stopped and shard.mine and self.can_act("k"):
            self.pending[shard.write(self.clock("k"), [Record(name, b"taken", due=inf)])] = name
            self.effects("k")

    def end(self, name: str) -> None:
        """Whoever may act ends it."""
        for n in NAMES:
            if n not in self.stopped and self.can_act(n) and name in self.shards[n].contents.items:
                self.shards[n].write(self.clock(n), [Record(name, b"", True, inf)])
                self.ended.add(name)
                self.effects(n)

    def forget(self, name: str) -> None:
        """A start with no memory: it grants nothing until what it may have granted has run out."""
        self.stopped.discard(name)
        self.shards[name] = self.made(name, self.clock(name) + LEASE * (1.0 + DRIFT))

    def resume(self, name: str) -> None:
        """Goes on after a pause: what it may do is asked before it has heard or ticked."""
        self.stopped.discard(name)
        self.check()

    def run(self, span: float, step: float = 0.05) -> None:
        until = self.now + span
        while self.now < until:
            self.step(step)

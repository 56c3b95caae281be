"""Simulated members of one shard, each with its own clock, and a network that loses, delays, duplicates and
reorders messages."""

import random
from math import inf

from ryestack.peers.messages import Append, AppendReply, Record, VoteReply, VoteRequest
from ryestack.peers.shard import MAX_CLOCK_DRIFT, Shard

LEASE = 3.0
NAMES = ("k", "g", "h")


class World:
    """`now` is real time; the rate of each member's clock differs from the others' by less than
    MAX_CLOCK_DRIFT. `violations` collects what must never happen."""

    def __init__(self, seed: int, loss=0.1, mean_delay=0.5, shard_class=Shard):
        self.random, self.now = random.Random(seed), 0.0
        self.loss, self.mean_delay, self.shard_class = loss, mean_delay, shard_class
        self.rates = {n: 1.0 + self.random.uniform(0.0, MAX_CLOCK_DRIFT * 0.9) for n in NAMES}
        self.offsets = {n: self.random.uniform(0.0, 100.0) for n in NAMES}
        self.stopped: set[str] = set()  # members killed or paused
        self.cut: set[tuple[str, str]] = set()  # links (sender, receiver) that drop everything
        self.in_flight, self.number, self.acted = [], 0, []  # acted: (real time, member, epoch)
        self.promised: set[str] = set()  # covered, so confirmed to a client
        self.ended: set[str] = set()
        self.violations: list[str] = []
        self.shards = {n: self.new_shard(n, -inf) for n in NAMES}
        self.shards["k"].open(self.clock("k"))
        self.pending: dict[int, str] = {}  # position -> id, of the owner's first epoch

    def new_shard(self, name: str, no_grant_until: float) -> Shard:
        rng = random.Random(self.random.random())
        return self.shard_class(("k", 1), NAMES, name, LEASE, rng, no_grant_until)

    def clock(self, name: str) -> float:
        return self.now * self.rates[name] + self.offsets[name]

    # -- the simulation -----------------------------------------------------------------------------------

    def step(self, seconds: float) -> None:
        """Delivers the messages that are due, then every running member ticks."""
        self.now += seconds
        due = [f for f in self.in_flight if f[0] <= self.now]
        self.in_flight = [f for f in self.in_flight if f[0] > self.now]
        self.random.shuffle(due)
        for _, sender, to, message in due:
            if to not in self.stopped:
                self.deliver(sender, to, message)
        for name in NAMES:
            if name not in self.stopped:
                self.shards[name].tick(self.clock(name))
                self.apply_effects(name)
        self.check()

    def deliver(self, sender: str, to: str, message) -> None:
        shard, now = self.shards[to], self.clock(to)
        if isinstance(message, Append):
            self.send(to, sender, shard.on_append(now, sender, message))
        elif isinstance(message, VoteRequest):
            self.send(to, sender, shard.on_vote_request(now, message))
        elif isinstance(message, AppendReply):
            shard.on_append_reply(now, sender, message)
        elif isinstance(message, VoteReply):
            shard.on_vote_reply(now, sender, message)
        self.apply_effects(to)

    def send(self, sender: str, to: str, message) -> None:
        copies = 0 if (sender, to) in self.cut or self.random.random() < self.loss else 1
        copies += copies and self.random.random() < 0.1
        for _ in range(copies):
            arrival = self.now + self.random.expovariate(1.0 / self.mean_delay)
            self.in_flight.append((arrival, sender, to, message))

    def apply_effects(self, name: str) -> None:
        shard = self.shards[name]
        effects, shard.effects = shard.effects, []
        for kind, *rest in effects:
            if kind == "send":
                self.send(name, *rest)
            elif kind == "covered" and name == "k" and shard.is_own and shard.epoch == len(NAMES):
                self.promised |= {i for at, i in self.pending.items() if at <= rest[0]}
            elif kind == "acts":
                self.check_new_leader(name)

    def check_new_leader(self, name: str) -> None:
        """A member that starts to act must hold all that was promised and has not ended."""
        kept = self.shards[name].contents
        for lost in sorted(self.promised - self.ended - set(kept.items)):
            self.violations.append(f"{self.now:.2f}: {name} acts and does not hold {lost}")
        for twice in sorted(self.ended & set(kept.items)):
            if twice in self.covered_ends:
                self.violations.append(f"{self.now:.2f}: {name} acts on {twice}, which has ended")

    covered_ends: frozenset = frozenset()

    def check(self) -> None:
        acting = [n for n in NAMES if n not in self.stopped and self.can_act(n)]
        if len(acting) > 1:
            self.violations.append(f"{self.now:.2f}: {acting} act at the same time")
        self.acted += [(self.now, n, self.shards[n].epoch) for n in acting]

    def can_act(self, name: str) -> bool:
        return self.clock(name) < self.shards[name].acts_until()

    # -- actions of the tests -----------------------------------------------------------------------------

    def take(self, name: str) -> None:
        """The owner takes a notification, if it may act."""
        shard = self.shards["k"]
        if "k" not in self.stopped and shard.is_own and self.can_act("k"):
            self.pending[shard.write(self.clock("k"), [Record(name, b"taken", due=inf)])] = name
            self.apply_effects("k")

    def end(self, name: str) -> None:
        """The member that may act ends the notification."""
        for n in NAMES:
            if n not in self.stopped and self.can_act(n) and name in self.shards[n].contents.items:
                self.shards[n].write(self.clock(n), [Record(name, b"", True, inf)])
                self.ended.add(name)
                self.apply_effects(n)

    def forget(self, name: str) -> None:
        """A restart without stored state: it grants no lease until those it may have granted expire."""
        self.stopped.discard(name)
        self.shards[name] = self.new_shard(name, self.clock(name) + LEASE * (1.0 + MAX_CLOCK_DRIFT))

    def resume(self, name: str) -> None:
        """Continues after a pause; whether it may act is checked before it receives a message or ticks."""
        self.stopped.discard(name)
        self.check()

    def run(self, seconds: float, step: float = 0.05) -> None:
        until = self.now + seconds
        while self.now < until:
            self.step(step)

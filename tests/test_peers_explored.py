"""Every interleaving of a small system, in breadth, up to a bound: three members, two notifications, a
clock in steps.

At each state any message that is out may arrive or be lost, time may go on by a third of a lease, the owner
may take a notification, stop, go on, or start anew with its folder or without. The number of states is
printed (pytest -s); RYESTACK_TEST_STATES raises the bound.
"""

import copy
import os
from math import inf

import pytest

from ryestack.peers.messages import Append, Appended, Record, Vote, Voted
from ryestack.peers.shard import DRIFT, Shard

from .test_peers_seat import NoCover, NoEpoch, NoLease, NoWaitOut

NAMES, LEASE, STEP = ("k", "g", "h"), 3.0, 1.1
FLYING = 3  # messages out at once: with more the oldest is lost
MOST = int(os.environ.get("RYESTACK_TEST_STATES", "6000"))


class Middle:
    """Chance that always falls in the middle."""

    def random(self):
        return 0.5

    def uniform(self, low, high):
        return (low + high) / 2.0


class State:
    """A system at one moment; each move makes another."""

    def __init__(self, kind):
        self.kind, self.now, self.flying, self.stopped, self.taken, self.promised = (
            kind,
            0.0,
            (),
            False,
            0,
            (),
        )
        self.lives, self.broken = 1, ""
        self.shards = {n: self.shard(n, -inf) for n in NAMES}
        self.shards["k"].open(0.0)
        self.drain("k")

    def shard(self, name, barred):
        return self.kind(("k", 1), NAMES, name, LEASE, Middle(), barred)

    def copy(self):
        other = copy.copy(self)
        other.shards = {}
        for name, shard in self.shards.items():
            made = other.shards[name] = copy.copy(shard)
            made.others = {n: copy.copy(m) for n, m in shard.others.items()}
            made.contents = copy.copy(shard.contents)
            made.contents.items = {i: list(r) for i, r in shard.contents.items.items()}
            made.contents.finished = dict(shard.contents.finished)
            made.votes, made.log = dict(shard.votes), list(shard.log)
            made.effects = []
        return other

    def mark(self):
        parts = [
            (s.state, s.epoch, s.at, tuple(s.contents.items), s.grant_until, s.ask_at, s.asked, s.acting,
            s.barrier, tuple(sorted(s.votes)), tuple((m.has, m.granted, m.sent, m.waits) for m in
            s.others.values())) for s in self.shards.values()
        ]  # fmt: skip
        return repr((self.now, self.flying, self.stopped, self.taken, self.promised, self.lives, parts))

    def moves(self):
        for i in range(len(self.flying)):
            yield ("arrives", i)
            yield ("lost", i)
        yield ("time", 0)
        if not self.stopped:
            yield ("stop", 0)
            if self.taken < 2 and self.shards["k"].mine and self.acts("k"):
                yield ("take", 0)
        else:
            yield ("go on", 0)
            if self.lives < 2:
                yield ("anew with its folder", 0)
                yield ("anew without", 0)

    def made(self, move, i):
        other = self.copy()
        if move in ("arrives", "lost"):
            sender, to, message = other.flying[i]
            other.flying = other.flying[:i] + other.flying[i + 1 :]
            if move == "arrives" and not (to == "k" and other.stopped):
                other.hear(sender, to, message)
        elif move == "time":
            other.now += STEP
            for name in NAMES:
                if not (name == "k" and other.stopped):
                    other.shards[name].tick(other.now)
                    other.drain(name)
        elif move == "take":
            other.taken += 1
            record = Record(f"n{other.taken}", b"taken", due=inf)
            other.shards["k"].write(other.now, [record])
            other.drain("k")
        elif move == "stop":
            other.stopped = True
        elif move == "go on":
            other.stopped = False
        else:
            other.stopped, other.lives = False, 2
            other.shards["k"] = other.shard("k", other.now + LEASE * (1.0 + DRIFT))
            folder = move == "anew with its folder"
            owed = range(1, other.taken + 1) if folder else ()
            journal = [Record(f"n{n}", b"taken", due=inf) for n in owed]
            other.shards["k"].claim(other.now, folder, journal)
            other.drain("k")
        other.check()
        return other

    def hear(self, sender, to, message):
        shard = self.shards[to]
        if isinstance(message, Append):
            self.send(to, sender, shard.on_append(self.now, sender, message))
        elif isinstance(message, Vote):
            self.send(to, sender, shard.on_vote(self.now, message))
        elif isinstance(message, Appended):
            shard.on_appended(self.now, sender, message)
        elif isinstance(message, Voted):
            shard.on_voted(self.now, sender, message)
        self.drain(to)

    def send(self, sender, to, message):
        self.flying = (*self.flying, (sender, to, message))[-FLYING:]

    def drain(self, name):
        shard = self.shards[name]
        told, shard.effects = shard.effects, []
        for kind, *rest in told:
            if kind == "send":
                self.send(name, *rest)
            elif kind == "covered" and name == "k" and shard.mine:
                self.promised = tuple(f"n{n}" for n in range(1, min(self.taken, rest[0]) + 1))
            elif kind == "acts" and (lost := set(self.promised) - set(shard.contents.items)):
                self.broken = f"{name} acts and does not know {sorted(lost)}"

    def acts(self, name):
        return self.now < self.shards[name].acts_until()

    def check(self):
        acting = [n for n in NAMES if not (n == "k" and self.stopped) and self.acts(n)]
        if len(acting) > 1:
            self.broken = f"{acting} act at once"


def explore(kind, most):
    """(states seen, the moves that broke it or None), in breadth."""
    first = State(kind)
    seen, row = {first.mark()}, [(first, ())]
    while row and len(seen) < most:
        fresh = []
        for state, path in row:
            for move in state.moves():
                other = state.made(*move)
                if other.broken:
                    return len(seen), (*path, move, other.broken)
                if (mark := other.mark()) not in seen:
                    seen.add(mark)
                    fresh.append((other, (*path, move)))
                    if len(seen) >= most:
                        return len(seen), None
        row = fresh
    return len(seen), None


def led(kind, moves):
    """A system led to where a fault shows soonest."""
    state = State(kind)
    for move in moves:
        state = state.made(*move)
    return state


def test_no_state_within_the_bound_is_broken():
    count, broken = explore(Shard, MOST)
    print(f"{count} states explored")
    assert broken is None and count >= MOST


@pytest.mark.parametrize("kind", [NoLease, NoEpoch, NoWaitOut, NoCover])
def test_a_walk_by_chance_through_the_same_moves_finds_each_mutation_and_no_fault_as_it_is(kind):
    import random

    def walk(kind, seed):
        state, chance = State(kind), random.Random(seed)
        for _ in range(160):
            options = list(state.moves())
            arriving = [m for m in options if m[0] == "arrives"]
            move = chance.choice(arriving if arriving and chance.random() < 0.6 else options)
            state = state.made(*move)
            if state.broken:
                return state.broken
        return ""

    assert any(walk(kind, seed) for seed in range(400)), kind.__name__
    assert not any(walk(Shard, seed) for seed in range(100))

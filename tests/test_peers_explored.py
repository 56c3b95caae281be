"""Bounded model checking of a shard: breadth-first over all interleavings of a small system with three
members, two notifications and a clock that advances in steps.

In each state any message in flight may arrive or be lost, time may advance by a third of a lease, and the
owner may take a notification, stop, resume, or restart with its state folder or without it. The number of
states is printed (pytest -s); RYESTACK_TEST_STATES raises the bound.
"""

import copy
import os
from math import inf

import pytest

from ryestack.peers.messages import Append, AppendReply, Record, VoteReply, VoteRequest
from ryestack.peers.shard import MAX_CLOCK_DRIFT, Shard

from .test_peers_seat import NoCover, NoEpoch, NoLease, NoWaitOut

NAMES, LEASE, STEP = ("k", "g", "h"), 3.0, 1.1
MAX_IN_FLIGHT = 3  # messages; with more the oldest is lost
MAX_STATES = int(os.environ.get("RYESTACK_TEST_STATES", "6000"))


class MiddleRng:
    """Random generator that always returns the middle of the range."""

    def random(self):
        return 0.5

    def uniform(self, low, high):
        return (low + high) / 2.0


class State:
    """The system at one moment; each move yields a new state."""

    def __init__(self, shard_class):
        self.shard_class, self.now, self.in_flight, self.stopped, self.taken, self.promised = (
            shard_class,
            0.0,
            (),
            False,
            0,
            (),
        )
        self.lives, self.violation = 1, ""
        self.shards = {n: self.shard(n, -inf) for n in NAMES}
        self.shards["k"].open(0.0)
        self.apply_effects("k")

    def shard(self, name, no_grant_until):
        return self.shard_class(("k", 1), NAMES, name, LEASE, MiddleRng(), no_grant_until)

    def copy(self):
        other = copy.copy(self)
        other.shards = {}
        for name, shard in self.shards.items():
            copied = other.shards[name] = copy.copy(shard)
            copied.others = {n: copy.copy(m) for n, m in shard.others.items()}
            copied.contents = copy.copy(shard.contents)
            copied.contents.items = {i: list(r) for i, r in shard.contents.items.items()}
            copied.contents.finished = dict(shard.contents.finished)
            copied.votes, copied.log = dict(shard.votes), list(shard.log)
            copied.effects = []
        return other

    def key(self):
        parts = [
            (s.state, s.epoch, s.last, tuple(s.contents.items), s.grant_end, s.vote_at, s.vote_epoch,
            s.acting, s.barrier, tuple(sorted(s.votes)), tuple((m.held, m.granted_at, m.sent_at, m.in_flight)
            for m in s.others.values())) for s in self.shards.values()
        ]  # fmt: skip
        return repr((self.now, self.in_flight, self.stopped, self.taken, self.promised, self.lives, parts))

    def moves(self):
        for i in range(len(self.in_flight)):
            yield ("arrives", i)
            yield ("lost", i)
        yield ("time", 0)
        if not self.stopped:
            yield ("stop", 0)
            if self.taken < 2 and self.shards["k"].is_own and self.acts("k"):
                yield ("take", 0)
        else:
            yield ("resume", 0)
            if self.lives < 2:
                yield ("restart with its folder", 0)
                yield ("restart without it", 0)

    def after(self, move, i):
        other = self.copy()
        if move in ("arrives", "lost"):
            sender, to, message = other.in_flight[i]
            other.in_flight = other.in_flight[:i] + other.in_flight[i + 1 :]
            if move == "arrives" and not (to == "k" and other.stopped):
                other.deliver(sender, to, message)
        elif move == "time":
            other.now += STEP
            for name in NAMES:
                if not (name == "k" and other.stopped):
                    other.shards[name].tick(other.now)
                    other.apply_effects(name)
        elif move == "take":
            other.taken += 1
            record = Record(f"n{other.taken}", b"taken", due=inf)
            other.shards["k"].write(other.now, [record])
            other.apply_effects("k")
        elif move == "stop":
            other.stopped = True
        elif move == "resume":
            other.stopped = False
        else:
            other.stopped, other.lives = False, 2
            other.shards["k"] = other.shard("k", other.now + LEASE * (1.0 + MAX_CLOCK_DRIFT))
            folder = move == "restart with its folder"
            owed = range(1, other.taken + 1) if folder else ()
            journal = [Record(f"n{n}", b"taken", due=inf) for n in owed]
            other.shards["k"].claim(other.now, folder, journal)
            other.apply_effects("k")
        other.check()
        return other

    def deliver(self, sender, to, message):
        shard = self.shards[to]
        if isinstance(message, Append):
            self.send(to, sender, shard.on_append(self.now, sender, message))
        elif isinstance(message, VoteRequest):
            self.send(to, sender, shard.on_vote_request(self.now, message))
        elif isinstance(message, AppendReply):
            shard.on_append_reply(self.now, sender, message)
        elif isinstance(message, VoteReply):
            shard.on_vote_reply(self.now, sender, message)
        self.apply_effects(to)

    def send(self, sender, to, message):
        self.in_flight = (*self.in_flight, (sender, to, message))[-MAX_IN_FLIGHT:]

    def apply_effects(self, name):
        shard = self.shards[name]
        effects, shard.effects = shard.effects, []
        for kind, *rest in effects:
            if kind == "send":
                self.send(name, *rest)
            elif kind == "covered" and name == "k" and shard.is_own:
                self.promised = tuple(f"n{n}" for n in range(1, min(self.taken, rest[0]) + 1))
            elif kind == "acts" and (lost := set(self.promised) - set(shard.contents.items)):
                self.violation = f"{name} acts and does not hold {sorted(lost)}"

    def acts(self, name):
        return self.now < self.shards[name].acts_until()

    def check(self):
        acting = [n for n in NAMES if not (n == "k" and self.stopped) and self.acts(n)]
        if len(acting) > 1:
            self.violation = f"{acting} act at the same time"


def explore(shard_class, max_states):
    """Breadth-first search: (states seen, the moves to a violation or None)."""
    first = State(shard_class)
    seen, level = {first.key()}, [(first, ())]
    while level and len(seen) < max_states:
        next_level = []
        for state, path in level:
            for move in state.moves():
                other = state.after(*move)
                if other.violation:
                    return len(seen), (*path, move, other.violation)
                if (key := other.key()) not in seen:
                    seen.add(key)
                    next_level.append((other, (*path, move)))
                    if len(seen) >= max_states:
                        return len(seen), None
        level = next_level
    return len(seen), None


def state_after(shard_class, moves):
    """The state of a new system after these moves."""
    state = State(shard_class)
    for move in moves:
        state = state.after(*move)
    return state


def test_no_state_within_the_bound_violates_a_rule():
    count, violation = explore(Shard, MAX_STATES)
    print(f"{count} states explored")
    assert violation is None and count >= MAX_STATES


@pytest.mark.parametrize("shard_class", [NoLease, NoEpoch, NoWaitOut, NoCover])
def test_random_walks_find_each_mutation_and_no_violation_in_the_shard_itself(shard_class):
    import random

    def walk(shard_class, seed):
        state, rng = State(shard_class), random.Random(seed)
        for _ in range(160):
            options = list(state.moves())
            arriving = [m for m in options if m[0] == "arrives"]
            move = rng.choice(arriving if arriving and rng.random() < 0.6 else options)
            state = state.after(*move)
            if state.violation:
                return state.violation
        return ""

    assert any(walk(shard_class, seed) for seed in range(400)), shard_class.__name__
    assert not any(walk(Shard, seed) for seed in range(100))

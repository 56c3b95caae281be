"""Relays under random faults: only complete versions, never an older one, finally the newest."""

import random
from unittest.mock import patch

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ryestack.control import publisher
from ryestack.control.catalogue import Catalogue
from ryestack.control.staging import Staging
from ryestack.control.subscriber import Subscriber
from ryestack.control.subscription import Input

from .control_net import BAD, SETTING, SHARDS_PER_REGION, Net, destination, place

VALUES = st.sampled_from([None, b"1", b"2", b"3" * 40])
STEPS = st.one_of(
    st.tuples(st.just("change"), st.lists(st.tuples(st.integers(0, 9), VALUES), min_size=1, max_size=4)),
    st.tuples(st.just("move"), st.integers(0, 9), st.integers(0, SHARDS_PER_REGION - 1)),
    st.tuples(st.just("setting"), st.sampled_from([b"1", b"2", BAD])),
    st.tuples(st.just("leave"), st.integers(0, 2)),
    st.tuples(st.just("join"), st.integers(0, 2)),
    st.tuples(st.just("kill relay"), st.integers(0, 2)),
    st.tuples(st.just("kill machine"), st.integers(0, 2)),
    st.tuples(st.just("start machine"), st.integers(0, 2)),
    st.tuples(st.just("lag"), st.integers(0, 2), st.sampled_from([0.0, 20.0, 200.0])),
    st.tuples(st.just("loss"), st.sampled_from([0.0, 0.2, 0.6])),
    st.tuples(st.just("late"), st.sampled_from([0.01, 0.5, 4.0])),
    st.tuples(st.just("run"), st.sampled_from([0.05, 0.4, 2.0, 9.0])),
)


def run_steps(net, steps):
    for what, *arguments in steps:
        ACTIONS[what](net, *arguments)
        net.run(0.05)
    net.quiet()
    net.check_current()
    assert net.broken == []


def change(net, changes):
    net.change([(*destination(number), value) for number, value in dict(changes).items()])


def move(net, number, shard):
    key, where = destination(number)
    net.change([(key, f"{where.partition('/')[0]}/{shard}", b"moved")])


ACTIONS = {
    "change": change,
    "move": move,
    "setting": lambda net, value: net.change([(*SETTING, value)]),
    "leave": lambda net, number: net.change([(f"relay/r{number}", "@", None)]),
    "join": lambda net, number: net.change([(f"relay/r{number}", "@", place(number))]),
    "kill relay": lambda net, number: net.start_relay(f"r{number}", number),
    "kill machine": lambda net, number: net.stop_machine(f"m{number}"),
    "start machine": lambda net, number: net.start_machine(f"m{number}"),
    "lag": lambda net, number, lag: net.lag.update({f"m{number}": lag}),
    "loss": lambda net, share: setattr(net, "loss", share),
    "late": lambda net, seconds: setattr(net, "late", seconds),
    "run": lambda net, seconds: net.run(seconds),
}


@settings(max_examples=60)
@given(st.integers(0, 99), st.lists(STEPS, max_size=25), st.sampled_from([0, 2, 1000]))
def test_under_any_faults_each_relay_converges_to_its_scope_at_the_newest_version(seed, steps, tombstones):
    run_steps(Net(seed, double=0.2, max_tombstones=tombstones), steps)


def random_steps(seed, count=60):
    """A long random run that depends only on the seed."""
    rng = random.Random(seed)
    steps, values = [], [None, b"1", b"2" * 400]
    for _ in range(count):
        what = rng.choice(list(ACTIONS) + ["change", "change", "run", "move"])
        arguments = {
            "change": lambda: ([(rng.randrange(10), rng.choice(values)) for _ in range(3)],),
            "move": lambda: (rng.randrange(10), rng.randrange(SHARDS_PER_REGION)),
            "setting": lambda: (rng.choice([b"1", b"2", BAD]),),
            "lag": lambda: (rng.randrange(3), rng.choice([0.0, 20.0, 200.0])),
            "loss": lambda: (rng.choice([0.0, 0.2, 0.6]),),
            "late": lambda: (rng.choice([0.01, 0.5, 4.0]),),
            "run": lambda: (rng.choice([0.05, 0.4, 2.0, 9.0]),),
        }.get(what, lambda: (rng.randrange(3),))()
        steps.append((what, *arguments))
    return steps


def diverging_machine_steps(seed, count=30):
    """Machines at different versions and lost answers, so that one continues what another began."""
    rng, values = random.Random(seed), [None, b"1" * 50, b"2" * 50]
    steps = [("loss", 0.3), ("lag", 1, 200.0), ("lag", 2, 200.0)]
    for _ in range(count):
        steps.append(("change", [(rng.randrange(10), rng.choice(values)) for _ in range(4)]))
        steps.append(("run", rng.choice([0.05, 0.4, 2.0])))
        if rng.random() < 0.2:
            steps.append((rng.choice(["join", "leave"]), rng.randrange(3)))
    return steps


def test_long_random_runs_break_no_invariant():
    for seed in range(100):
        for batch, steps in ((500, random_steps(seed)), (100, diverging_machine_steps(seed))):
            with patch.object(publisher, "MAX_BATCH_BYTES", batch):  # so that deltas and pieces are split
                run_steps(Net(seed, double=0.2, max_tombstones=[0, 2, 1000][seed % 3]), steps)


def complete_ignoring_need(self):
    return not self.missing and self.position is not None


def partial_version_offered(self, more):
    news = self._staging.differs() and not self._staging.missing
    return Input.CHANGED if news else Input.MORE if more else Input.CURRENT


def staged_version_acknowledged(self, poll=Subscriber._poll):
    asked = poll(self)
    return msgspec.structs.replace(asked, applied=asked.version)


def position_of_the_newest_piece(self, asked, piece, add_piece=Staging.add_piece):
    before = self.position
    add_piece(self, asked, piece)
    self.position = piece.version if before is None else max(before, piece.version)


def compaction_without_raising_the_floor(self):
    floor = self.floor
    compact(self)
    self.floor = floor


def move_without_a_tombstone(self, entry):
    self._insert(entry)
    return {entry.shard}


def returned_shards_retained(self, shards, retarget=Staging.retarget):
    held = self._holdings.shards & set(shards)
    retarget(self, shards)
    self.retained = set(held)
    self.missing = [shard for shard in self.missing if shard not in held]


compact = Catalogue._compact
MUTATIONS = {
    "partial version applied": (Subscriber, "_read_delta", partial_version_offered),
    "versions mixed": (Staging, "complete", complete_ignoring_need),
    "acknowledged before applied": (Subscriber, "_poll", staged_version_acknowledged),
    "changes between pieces lost": (Staging, "add_piece", position_of_the_newest_piece),
    "deletions lost": (Catalogue, "_compact", compaction_without_raising_the_floor),
    "move without a tombstone": (Catalogue, "_apply_entry", move_without_a_tombstone),
    "returned shard not refetched": (Staging, "retarget", returned_shards_retained),
    "removed keys stay": (Staging, "_still_there", lambda self, key, after: True),
}


@pytest.mark.parametrize("name", MUTATIONS)
def test_the_random_runs_find_each_mutation(name):
    with pytest.raises(AssertionError), patch.object(*MUTATIONS[name]):
        test_long_random_runs_break_no_invariant()

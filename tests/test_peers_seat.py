"""A shard has one leader at a time and forgets nothing it promised, under message loss, delays, cut links,
pauses and restarts."""

from unittest.mock import patch

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ryestack.peers import shard as shards
from ryestack.peers.groups import group
from ryestack.peers.shard import Shard

from .peers_net import LEASE, NAMES, World


def test_an_owner_with_its_replicas_acts_and_what_it_takes_is_covered():
    w = World(1, loss=0.0, mean_delay=0.01)
    w.run(1.0)
    assert w.can_act("k")
    w.take("n")
    w.run(0.3)
    assert (w.promised, w.violations) == ({"n"}, [])
    assert all("n" in w.shards[n].contents.items for n in NAMES)


def test_one_replica_takes_over_a_killed_owners_work_after_the_lease_and_not_before():
    w = World(2, loss=0.0, mean_delay=0.01)
    w.run(1.0)
    w.take("n")
    w.run(0.2)
    w.stopped.add("k")
    w.run(LEASE - 0.8)
    assert not any(w.can_act(n) for n in "gh")
    w.run(3.0)
    assert [w.can_act(n) for n in "gh"].count(True) == 1
    assert not w.violations


def test_an_owner_paused_past_its_lease_sends_nothing_when_it_resumes():
    w = World(3, loss=0.0, mean_delay=0.01)
    w.run(1.0)
    w.take("n")
    w.run(0.2)
    w.stopped.add("k")
    w.run(3 * LEASE)
    w.stopped.discard("k")
    assert not w.can_act("k")  # before any message arrives
    w.run(2.0)
    assert not w.can_act("k") and not w.violations
    assert w.shards["k"].epoch > len(NAMES)


def test_the_owners_next_life_takes_over_at_once_with_its_folder_and_after_the_lease_without():
    for released, min_wait, max_wait in ((True, 0.0, 0.6), (False, LEASE - 0.3, 2 * LEASE)):
        w = World(4, loss=0.0, mean_delay=0.01)
        w.run(1.0)
        w.take("n")
        w.run(0.2)
        w.forget("k")
        began = w.now
        w.shards["k"].claim(w.clock("k"), released)
        while not any(w.can_act(n) for n in NAMES):
            w.step(0.02)
        assert min_wait <= w.now - began <= max_wait, released
        assert not w.violations


def test_a_failed_candidate_does_not_disturb_the_leader():
    w = World(5, loss=0.0, mean_delay=0.01)
    w.run(1.0)
    w.take("n")
    w.run(0.2)
    w.cut = {("k", "g"), ("g", "k")}  # one replica receives nothing, the other everything
    w.run(6 * LEASE)
    assert w.can_act("k") and w.shards["k"].epoch == len(NAMES) and not w.violations
    w.cut = set()
    w.run(LEASE)
    assert w.can_act("k") and not w.violations


def test_a_restarted_replica_gets_a_snapshot_and_covers_again():
    w = World(7, loss=0.0, mean_delay=0.01)
    w.run(1.0)
    w.take("n1")
    w.run(0.3)
    w.stopped.add("g")
    w.forget("h")
    w.run(2 * LEASE)
    w.take("n2")
    w.run(0.3)
    assert w.promised == {"n1", "n2"} == set(w.shards["h"].contents.items) and not w.violations


FAULTS = st.sampled_from(
    ["stop", "go", "kill", "cut", "heal", "take", "take", "end", "wait", "wait", "forget"]
)


def run_moves(seed, moves, loss, mean_delay, shard_class=Shard) -> World:
    w, taken, forgot = World(seed, loss, mean_delay, shard_class), 0, False
    w.run(1.0)
    for move, member, other, seconds in moves:
        if move == "stop" or (move == "kill" and member != "k"):
            w.stopped.add(member)
        elif move == "go":
            w.resume(member)
        elif move == "forget" and not forgot and member != "k":  # a minority of the group, once
            w.forget(member)
            forgot = True
        elif move == "cut" and member != other:
            w.cut.add((member, other))
        elif move == "heal":
            w.cut.clear()
        elif move == "take":
            taken += 1
            w.take(f"n{taken}")
        elif move == "end":
            w.end(f"n{max(1, taken)}")
        w.run(seconds, 0.1)
    w.stopped.clear()
    w.cut.clear()
    w.loss = 0.0
    w.run(6 * LEASE, 0.1)
    return w


MOVES = st.lists(
    st.tuples(FAULTS, st.sampled_from(NAMES), st.sampled_from(NAMES), st.floats(0.1, 4.0)), max_size=14
)


@settings(max_examples=120)
@given(st.integers(0, 2**32), MOVES, st.sampled_from([0.0, 0.1, 0.3]), st.sampled_from([0.02, 0.3, 2.0]))
def test_one_acts_and_nothing_covered_is_forgotten(seed, moves, loss, mean_delay):
    w = run_moves(seed, moves, loss, mean_delay)
    assert not w.violations, w.violations[:3]
    if mean_delay < 1.0 and w.promised - w.ended:
        assert any(w.can_act(n) for n in NAMES), "no member acts although all are running"


class NoLease(Shard):
    def acts_until(self):
        return float("inf") if self.acting else float("-inf")


class NoEpoch(Shard):
    def on_append(self, now, sender, msg):
        self.epoch = min(self.epoch, msg.epoch) if self.state == "follower" else self.epoch
        return super().on_append(now, sender, msg)


class NoWaitOut(Shard):
    def free_at(self):
        return 0.0 if self.state != "leader" else super().free_at()

    def tick(self, now):
        self.grant_end = min(self.grant_end, now) if self.state == "follower" else self.grant_end
        super().tick(now)


class NoCover(Shard):
    def covered(self):
        return self.last[1]


def paused(shard_class, seed):
    """The owner is paused past its lease, and resumes cut off from the replica that took over."""
    w = World(seed, 0.0, 0.05, shard_class)
    w.run(1.0)
    w.take("n1")
    w.run(0.5)
    w.stopped.add("k")
    w.run(3 * LEASE)
    [other] = [n for n in "gh" if w.can_act(n)] or ["g"]
    w.cut = {("k", other), (other, "k")}
    w.resume("k")
    w.run(2 * LEASE)
    return w


def cut_off(shard_class, seed):
    """No message of the owner arrives any more, then it is lost with its state folder."""
    w = World(seed, 0.0, 0.05, shard_class)
    w.run(1.0)
    w.cut = {("k", "g"), ("k", "h")}
    w.take("n1")
    w.run(0.5)
    w.stopped.add("k")
    w.run(3 * LEASE)
    w.shards["g"].claim(w.clock("g"), False)
    w.run(8 * LEASE)  # it may have lost data: the others must reply, or time must pass
    return w


def one_link_cut(shard_class, seed):
    """One replica receives nothing from the owner, which acts by the lease that the other grants."""
    w = World(seed, 0.0, 0.05, shard_class)
    w.run(1.0)
    w.take("n1")
    w.run(0.5)
    w.cut = {("k", "g")}
    w.run(4 * LEASE)
    return w


@pytest.mark.parametrize("shard_class", [Shard, NoLease, NoEpoch, NoWaitOut, NoCover])
def test_each_mutation_violates_the_rules_and_the_shard_itself_does_not(shard_class):
    violations = [
        scenario(shard_class, seed).violations
        for scenario in (paused, cut_off, one_link_cut)
        for seed in range(10)
    ]
    assert any(violations) == (shard_class is not Shard), shard_class.__name__


def test_groups_are_deterministic_span_zones_and_change_little():
    zones = {f"r{i}": "abc"[i % 3] for i in range(30)}
    groups = {n: group(n, zones, 2) for n in zones}
    for name, (owner, *guards) in groups.items():
        assert owner == name and len({*guards, name}) == 3
        assert len({zones[g] for g in (name, *guards)}) == 3
    fewer = {n: z for n, z in zones.items() if n != "r7"}
    changed = sum(group(n, fewer, 2) != groups[n] for n in fewer)
    assert changed == sum("r7" in g for n, g in groups.items() if n != "r7")
    assert group("a", {"a": "z"}, 2) == ("a",)


def test_a_lease_is_counted_from_the_request_by_the_leaders_clock():
    with patch.object(shards, "MAX_CLOCK_DRIFT", 0.02):
        w = World(6, loss=0.0, mean_delay=0.01)
        w.run(1.0)
        shard = w.shards["k"]
        latest = max(m.granted_at for m in shard.others.values())
        assert shard.acts_until() == latest + LEASE <= w.clock("k") + LEASE

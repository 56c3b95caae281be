"""One leader at a time, nothing promised forgotten: a shard under losses, delays, cuts, pauses, restarts."""

from unittest.mock import patch

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ryestack.peers import shard as shards
from ryestack.peers.groups import group
from ryestack.peers.shard import Shard

from .peers_net import LEASE, NAMES, World


def test_a_keeper_alone_with_its_guards_acts_and_what_it_takes_is_covered():
    w = World(1, loss=0.0, late=0.01)
    w.run(1.0)
    assert w.can_act("k")
    w.take("n")
    w.run(0.3)
    assert (w.promised, w.broken) == ({"n"}, [])
    assert all("n" in w.shards[n].contents.items for n in NAMES)


def test_a_killed_keepers_work_goes_on_at_one_guard_after_the_lease_and_not_before():
    w = World(2, loss=0.0, late=0.01)
    w.run(1.0)
    w.take("n")
    w.run(0.2)
    w.stopped.add("k")
    w.run(LEASE - 0.8)
    assert not any(w.can_act(n) for n in "gh")
    w.run(3.0)
    assert [w.can_act(n) for n in "gh"].count(True) == 1
    assert not w.broken


def test_a_keeper_that_stood_still_past_its_lease_sends_nothing_when_it_goes_on():
    w = World(3, loss=0.0, late=0.01)
    w.run(1.0)
    w.take("n")
    w.run(0.2)
    w.stopped.add("k")
    w.run(3 * LEASE)
    w.stopped.discard("k")
    assert not w.can_act("k")  # before it has heard of anything
    w.run(2.0)
    assert not w.can_act("k") and not w.broken
    assert w.shards["k"].epoch > len(NAMES)


def test_the_keepers_next_life_with_its_folder_waits_for_nobody_and_without_it_for_the_lease():
    for released, least, most in ((True, 0.0, 0.6), (False, LEASE - 0.3, 2 * LEASE)):
        w = World(4, loss=0.0, late=0.01)
        w.run(1.0)
        w.take("n")
        w.run(0.2)
        w.forget("k")
        began = w.now
        w.shards["k"].claim(w.clock("k"), released)
        while not any(w.can_act(n) for n in NAMES):
            w.step(0.02)
        assert least <= w.now - began <= most, released
        assert not w.broken


def test_who_asks_in_vain_does_not_trouble_the_holder():
    w = World(5, loss=0.0, late=0.01)
    w.run(1.0)
    w.take("n")
    w.run(0.2)
    w.cut = {("k", "g"), ("g", "k")}  # one guard hears nothing, the other all
    w.run(6 * LEASE)
    assert w.can_act("k") and w.shards["k"].epoch == len(NAMES) and not w.broken
    w.cut = set()
    w.run(LEASE)
    assert w.can_act("k") and not w.broken


def test_a_guard_that_starts_anew_is_told_the_whole_again_and_covers():
    w = World(7, loss=0.0, late=0.01)
    w.run(1.0)
    w.take("n1")
    w.run(0.3)
    w.stopped.add("g")
    w.forget("h")
    w.run(2 * LEASE)
    w.take("n2")
    w.run(0.3)
    assert w.promised == {"n1", "n2"} == set(w.shards["h"].contents.items) and not w.broken


FAULTS = st.sampled_from(
    ["stop", "go", "kill", "cut", "heal", "take", "take", "end", "wait", "wait", "forget"]
)


def played(seed, moves, loss, late, kind=Shard) -> World:
    w, taken, forgot = World(seed, loss, late, kind), 0, False
    w.run(1.0)
    for move, who, other, span in moves:
        if move == "stop" or (move == "kill" and who != "k"):
            w.stopped.add(who)
        elif move == "go":
            w.resume(who)
        elif move == "forget" and not forgot and who != "k":  # a minority of the group, once
            w.forget(who)
            forgot = True
        elif move == "cut" and who != other:
            w.cut.add((who, other))
        elif move == "heal":
            w.cut.clear()
        elif move == "take":
            taken += 1
            w.take(f"n{taken}")
        elif move == "end":
            w.end(f"n{max(1, taken)}")
        w.run(span, 0.1)
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
def test_one_acts_and_nothing_covered_is_forgotten(seed, moves, loss, late):
    w = played(seed, moves, loss, late)
    assert not w.broken, w.broken[:3]
    if late < 1.0 and w.promised - w.ended:
        assert any(w.can_act(n) for n in NAMES), "work stands still though all are there"


class NoLease(Shard):
    def acts_until(self):
        return float("inf") if self.acting else float("-inf")


class NoEpoch(Shard):
    def on_append(self, now, sender, a):
        self.epoch = min(self.epoch, a.epoch) if self.state == "follower" else self.epoch
        return super().on_append(now, sender, a)


class NoWaitOut(Shard):
    def busy_until(self):
        return 0.0 if self.state != "leader" else super().busy_until()

    def tick(self, now):
        self.grant_until = min(self.grant_until, now) if self.state == "follower" else self.grant_until
        super().tick(now)


class NoCover(Shard):
    def covered(self):
        return self.at[1]


def paused(kind, seed):
    """The owner stands still past its lease, and goes on where it hears nobody but one guard."""
    w = World(seed, 0.0, 0.05, kind)
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


def cut_off(kind, seed):
    """Nothing of what the owner says arrives, then it is lost with its folder."""
    w = World(seed, 0.0, 0.05, kind)
    w.run(1.0)
    w.cut = {("k", "g"), ("k", "h")}
    w.take("n1")
    w.run(0.5)
    w.stopped.add("k")
    w.run(3 * LEASE)
    w.shards["g"].claim(w.clock("g"), False)
    w.run(8 * LEASE)  # it asks as one that may have forgotten: the others must answer, or time pass
    return w


def half_deaf(kind, seed):
    """One guard does not hear the owner, which acts by the other's grant."""
    w = World(seed, 0.0, 0.05, kind)
    w.run(1.0)
    w.take("n1")
    w.run(0.5)
    w.cut = {("k", "g")}
    w.run(4 * LEASE)
    return w


@pytest.mark.parametrize("kind", [Shard, NoLease, NoEpoch, NoWaitOut, NoCover])
def test_each_mutation_is_found_and_the_seat_as_it_is_is_not(kind):
    broken = [play(kind, seed).broken for play in (paused, cut_off, half_deaf) for seed in range(10)]
    assert any(broken) == (kind is not Shard), kind.__name__


def test_groups_are_the_same_everywhere_span_zones_and_move_little():
    zones = {f"r{i}": "abc"[i % 3] for i in range(30)}
    made = {n: group(n, zones, 2) for n in zones}
    for name, (owner, *guards) in made.items():
        assert owner == name and len({*guards, name}) == 3
        assert len({zones[g] for g in (name, *guards)}) == 3
    fewer = {n: z for n, z in zones.items() if n != "r7"}
    changed = sum(group(n, fewer, 2) != made[n] for n in fewer)
    assert changed == sum("r7" in g for n, g in made.items() if n != "r7")
    assert group("a", {"a": "z"}, 2) == ("a",)


def test_a_lease_holds_by_the_clock_that_asked():
    with patch.object(shards, "DRIFT", 0.02):
        w = World(6, loss=0.0, late=0.01)
        w.run(1.0)
        shard = w.shards["k"]
        latest = max(m.granted for m in shard.others.values())
        assert shard.acts_until() == latest + LEASE <= w.clock("k") + LEASE

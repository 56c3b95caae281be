"""Moves within headroom at each step, few bytes, the same plan whatever the order, nothing where nothing
is gained."""

import itertools
import os
import random

import pytest
from hypothesis import Phase, given, settings
from hypothesis import strategies as st

from ryestack.placement import moves
from ryestack.placement.model import Node, Placement, Shard, State
from ryestack.placement.plan import AT_ONCE, plan

PHASES = [Phase.explicit, Phase.generate]  # no shrinking: it takes minutes
STATES = [State.UP, State.UP, State.UP, State.JOINING, State.DRAINING, State.GONE]


@st.composite
def cases(draw):
    nodes = [
        Node(f"n{i}", draw(st.integers(10, 200)), draw(st.sampled_from("abc")), draw(st.sampled_from(STATES)))
        for i in range(draw(st.integers(1, 7)))
    ]
    shards, used = [], dict.fromkeys((n.name for n in nodes), 0)
    for i in range(draw(st.integers(0, 14))):
        size, growth, copies = draw(st.integers(1, 40)), draw(st.integers(0, 4)), draw(st.integers(1, 3))
        on = draw(st.lists(st.sampled_from([n.name for n in nodes]), max_size=3, unique=True))
        fits = [n for n in nodes if n.name in on and used[n.name] + size + growth <= n.allowance]
        for node in fits:
            used[node.name] += size + growth
        shards.append(Shard(f"s{i}", size, tuple(n.name for n in fits), copies, growth))
    return nodes, shards


def played(nodes, shards, made):
    """The placing after the plan; raises where a step is not what a move may be."""
    at = Placement.of(nodes, shards)
    for step in made.steps:
        busy = {}
        for move in step:
            assert move.source in at.holders[move.shard] and move.target not in at.holders[move.shard]
            at.add(move.shard, move.target)
            for name in (move.source, move.target):
                busy[name] = busy.get(name, 0) + 1
        assert all(at.free(n) >= 0 for n in {m.target for m in step}), "over its headroom"
        assert max(busy.values()) <= AT_ONCE
        for move in step:
            if move.drops:
                at.drop(move.shard, move.drops)
    return at


@settings(max_examples=int(os.environ.get("RYESTACK_TEST_CASES", "800")), phases=PHASES)
@given(cases())
def test_no_node_passes_its_headroom_at_any_step_and_no_copy_is_lost(case):
    nodes, shards = case
    made, before = plan(nodes, shards), Placement.of(nodes, shards)
    at = played(nodes, shards, made)
    for shard in shards:
        assert len(at.holders[shard.name]) >= min(len(before.holders[shard.name]), 1)
        assert len(at.holders[shard.name]) >= len(before.holders[shard.name])
    lacking = {shard for _, shard, _ in made.shortfalls}
    for shard in (s for s in shards if before.holders[s.name]):
        drains = any(at.nodes[n].state is State.DRAINING for n in at.holders[shard.name])
        if drains or len(at.holders[shard.name]) < shard.copies:
            assert shard.name in lacking, "what it is for was not reached, and nobody says so"


@settings(max_examples=200, phases=PHASES)
@given(cases(), st.randoms(use_true_random=False))
def test_the_order_of_rows_changes_nothing(case, chance):
    nodes, shards = case
    mixed = chance.sample(nodes, len(nodes)), chance.sample(shards, len(shards))
    assert plan(nodes, shards) == plan(*mixed)


@settings(max_examples=200, phases=PHASES)
@given(cases())
def test_what_a_plan_has_done_it_does_not_do_again(case):
    """Nothing oscillates: a second plan moves nothing for load or zones."""
    nodes, shards = case
    at = played(nodes, shards, plan(nodes, shards))
    after = [Shard(s.name, s.size, tuple(sorted(at.holders[s.name])), s.copies, s.growth) for s in shards]
    again = plan(nodes, after)
    assert not [
        m for m in again.moves() if m.why in ("its node is fuller than others", "its copies share a zone")
    ]


def test_a_level_cluster_under_noise_is_left_alone():
    chance = random.Random(1)
    nodes = [Node(f"n{i}", 1000, "ab"[i % 2]) for i in range(6)]
    for _ in range(50):
        shards = [
            Shard(f"s{i}", 100 + chance.randrange(-8, 9), (f"n{i % 6}", f"n{(i + 1) % 6}")) for i in range(18)
        ]
        assert plan(nodes, shards).steps == []


def test_a_swap_without_room_goes_by_way_of_a_third():
    nodes = [Node("a", 100, state=State.DRAINING), Node("b", 100), Node("c", 40)]
    shards = [Shard("large", 90, ("a",), 1), Shard("small", 30, ("b",), 1)]
    made = plan(nodes, shards)
    assert [(m.shard, m.source, m.target) for m in made.moves()] == [("small", "b", "c"), ("large", "a", "b")]
    played(nodes, shards, made)


def test_where_nothing_fits_it_says_which_node_lacks_how_many_bytes_and_moves_what_it_can():
    nodes = [Node("a", 100, state=State.DRAINING), Node("b", 50)]
    made = plan(nodes, [Shard("large", 70, ("a",), 1), Shard("small", 20, ("a",), 1)])
    assert [m.shard for m in made.moves()] == ["small"] and made.shortfalls == [("b", "large", 20)]


@pytest.mark.parametrize("heard", list(itertools.product(sorted({h for _, h, _ in moves.ROWS}), repeat=3)))
def test_one_copy_is_in_force_whatever_is_heard(heard):
    state = "planned"
    for what in heard:
        before, state = state, moves.after(state, what)
        if moves.in_force(before) == "target":
            assert moves.in_force(state) == "target"
        if state == "cancelled":
            assert before in ("planned", "copying", "verified", "cancelled")

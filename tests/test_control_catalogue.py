"""The catalogue compared with a simple model: deltas, pieces, moves, compaction, snapshots."""

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ryestack.control.catalogue import BelowFloor, Catalogue, OutOfOrder
from ryestack.control.messages import ALL_SHARDS, Entry, position

SHARDS = ("eu/1", "eu/2", "us/1", "*")
KEYS = tuple(f"destination/{number}" for number in range(6))
CHANGE = st.tuples(
    st.sampled_from(KEYS), st.sampled_from(SHARDS), st.one_of(st.none(), st.binary(max_size=9))
)
CHANGES = st.lists(st.lists(CHANGE, max_size=3), max_size=20)


def catalogue_after(changes, max_tombstones=1000):
    """A catalogue after these changes, one version each, and the model: version -> key -> (shard, value)."""
    catalogue, states = Catalogue(max_tombstones), [{}]
    for version, change in enumerate(changes, 1):
        catalogue.apply(version, [Entry(key, version, shard, value) for key, shard, value in change])
        state = dict(states[-1])
        for key, shard, value in change:
            if value is None:
                state.pop(key, None)
            else:
                state[key] = (shard, value)
        states.append(state)
    return catalogue, states


def select(state, shards):
    return {key: row for key, row in state.items() if row[0] in shards or ALL_SHARDS in shards}


def merged(state, entries):
    """The state of a reader after it applies the entries of a delta, shard by shard."""
    tables = {(shard, key): value for key, (shard, value) in state.items()}
    for entry in entries:
        tables[entry.shard, entry.key] = entry.value
    return {key: (shard, value) for (shard, key), value in tables.items() if value is not None}


@given(CHANGES, st.sets(st.sampled_from(SHARDS)), st.data())
def test_a_delta_updates_any_version_to_the_newest(changes, shards, data):
    catalogue, states = catalogue_after(changes)
    since = data.draw(st.integers(0, catalogue.version))
    limit = data.draw(st.integers(1, 200))
    state = select(states[since], shards)
    while True:
        delta = catalogue.delta(sorted(shards), since, limit)
        assert [entry.version for entry in delta.entries] == sorted(entry.version for entry in delta.entries)
        assert all(since < entry.version <= delta.version for entry in delta.entries)
        state, since = merged(state, delta.entries), delta.version
        if delta.complete:
            break
    assert state == select(states[-1], shards)


@given(CHANGES, st.data())
def test_a_follower_that_applies_all_deltas_has_the_same_entries(changes, data):
    catalogue, states = catalogue_after(changes)
    since = data.draw(st.integers(0, catalogue.version))
    follower, _ = catalogue_after(changes[:since])
    delta = catalogue.delta([ALL_SHARDS], since)
    follower.apply(delta.version, delta.entries)
    for shard in SHARDS:
        assert set(follower.live(shard)) == set(catalogue.live(shard))


@given(CHANGES, st.integers(0, 4), st.sets(st.sampled_from(SHARDS)))
def test_no_deletion_is_lost_above_the_floor(changes, max_tombstones, shards):
    catalogue, states = catalogue_after(changes, max_tombstones)
    for since in range(catalogue.version + 1):
        if since < catalogue.floor:
            with pytest.raises(BelowFloor):
                catalogue.delta(sorted(shards), since)
        else:
            delta = catalogue.delta(sorted(shards), since)
            assert merged(select(states[since], shards), delta.entries) == select(states[-1], shards)


@given(CHANGES, st.lists(st.sampled_from(SHARDS), min_size=1, unique=True), st.integers(1, 100))
def test_pieces_contain_each_entry_once(changes, shards, limit):
    catalogue, states = catalogue_after(changes)
    found, missing, after = [], list(shards), ""
    while missing:
        part = catalogue.piece(missing, after, limit)
        found += part.entries
        missing = missing[missing.index(part.shard) + part.done :]
        after = "" if part.done else part.entries[-1].key
    wanted = select(states[-1], shards)
    assert sorted((e.key, (e.shard, e.value)) for e in found) == sorted(wanted.items())


@given(CHANGES, st.integers(1, 100))
def test_pieces_of_all_shards_contain_each_entry_once(changes, limit):
    catalogue, states = catalogue_after(changes)
    found, done = [], False
    while not done:
        part = catalogue.piece([ALL_SHARDS], position(found[-1]) if found else "", limit)
        found, done = found + part.entries, part.done
    assert sorted((e.key, (e.shard, e.value)) for e in found) == sorted(states[-1].items())


@given(CHANGES, st.integers(0, 4), st.data())
def test_a_restored_snapshot_gives_the_same_deltas(changes, max_tombstones, data):
    catalogue, states = catalogue_after(changes, max_tombstones)
    restored = Catalogue.restore(catalogue.snapshot(), max_tombstones)
    assert (restored.version, restored.floor) == (catalogue.version, catalogue.floor)
    since = data.draw(st.integers(catalogue.floor, catalogue.version))
    for shards in ([ALL_SHARDS], *[[shard] for shard in SHARDS]):
        assert set(restored.delta(shards, since).entries) == set(catalogue.delta(shards, since).entries)
    for key in KEYS:
        assert restored.get(key) == catalogue.get(key)


def test_entries_out_of_order_are_refused_and_none_is_applied():
    catalogue, _ = catalogue_after([[("destination/1", "eu/1", b"1")]] * 3)
    for version, entries in (
        (2, []),
        (4, [Entry("a", 3, "*", b"")]),
        (4, [Entry("a", 5, "*", b"")]),
        (6, [Entry("a", 6, "*", b""), Entry("b", 5, "*", b"")]),
    ):
        with pytest.raises(OutOfOrder):
            catalogue.apply(version, entries)
    assert catalogue.version == 3 and catalogue.get("a") is None


def test_the_cost_of_a_delta_is_proportional_to_the_changes_in_its_shards():
    """Of 40,000 entries in 4,000 shards, a delta of 14 shards visits only those that changed."""
    rng, catalogue = random.Random(1), Catalogue()
    shards = [f"eu/{n}" for n in range(4000)]
    catalogue.apply(1, [Entry(f"destination/{n}", 1, shards[n % 4000], b"x" * 200) for n in range(40_000)])
    for version in range(2, 300):
        number = rng.randrange(40_000)
        catalogue.apply(version, [Entry(f"destination/{number}", version, shards[number % 4000], b"y")])
    catalogue.apply(300, [Entry("destination/7", 300, "eu/7", b"z")])

    visited = []

    class Counted(dict):
        def values(self):
            return CountedValues(super().values())

    class CountedValues(list):
        def __reversed__(self):
            for entry in super().__reversed__():
                visited.append(entry)
                yield entry

    scope = shards[:14]
    for shard in scope:
        catalogue._shards[shard] = Counted(catalogue._shards[shard])
    delta = catalogue.delta(scope, 299)
    assert [entry.key for entry in delta.entries] == ["destination/7"]
    assert len(visited) <= len(scope) + 1

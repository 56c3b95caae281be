"""What voters of the change log do in single cases: elections, refusals, snapshots, messages of any bytes."""

import random
from contextlib import suppress

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ryestack.control.consensus import Misdirected, NoQuorum, NotLeader
from ryestack.control.consensus_messages import VoteRequest, decode, encode
from ryestack.control.consensus_state import NewEntries, NewPiece
from ryestack.control.messages import BadMessage

from .consensus_net import Calm, Net
from .consensus_voter import PIECE, TIMEOUT

STEPS = 1500


def test_a_change_is_committed_and_applied_by_all():
    net = Calm()
    net.go(4 * TIMEOUT)
    net.propose(net.leader())
    net.go(0.1)
    assert [row[2] for row in net.acknowledged] == ["1"]
    assert all(voter.state[-1][2] == "1" for voter in net.voters.values())


def test_a_member_that_comes_and_goes_troubles_no_leader():
    net = Calm()
    net.go(4 * TIMEOUT)
    leader, term = net.leader(), net.leader().replica.state.term
    other = next(name for name in net.names if name != leader.name)
    for _ in range(5):
        net.isolate(other)
        net.go(3 * TIMEOUT)
        net.cuts.clear()
        net.go(2 * TIMEOUT)
    assert net.leader() is leader and leader.replica.state.term == term


def test_a_leader_without_a_majority_refuses_within_a_timeout_and_the_rest_goes_on():
    net = Calm()
    net.go(4 * TIMEOUT)
    old = net.leader()
    net.isolate(old.name)
    net.go(1.1 * TIMEOUT)
    with pytest.raises(NoQuorum):
        old.replica.propose(b"x", old.now)
    net.go(4 * TIMEOUT)
    new = net.leader()
    assert new is not old
    net.propose(new)
    net.go(0.2)
    assert len(net.acknowledged) == 1
    net.cuts.clear()
    net.go(2 * TIMEOUT)
    with pytest.raises(NotLeader, match=new.name):
        old.replica.propose(b"x", old.now)
    assert old.state == new.state


def test_a_process_that_stood_still_does_not_take_the_others_for_lost():
    net = Calm()
    net.go(4 * TIMEOUT)
    leader, term = net.leader(), net.leader().replica.state.term
    for stall in (0.6, 1.0, 3.0, 20.0):
        net.now += stall * TIMEOUT  # all stand still, as when one computer runs them
        net.go(2 * TIMEOUT)
        assert net.leader() is leader and leader.replica.state.term == term


def lagging_behind_a_snapshot() -> tuple[Calm, object, object]:
    """A leader that has compacted its log, and a voter whose log ends before it."""
    net = Calm()
    net.go(4 * TIMEOUT)
    leader = net.leader()
    behind = next(voter for voter in net.voters.values() if voter is not leader)
    net.isolate(behind.name)
    for _ in range(20):
        net.propose(leader)
        net.go(0.1)
    leader.compact(0)
    assert leader.disk.snapshot[0] == 21 and len(leader.disk.snapshot[2]) > 5 * PIECE
    net.cuts.clear()
    return net, leader, behind


def test_a_voter_behind_the_compacted_log_gets_the_snapshot_in_pieces():
    net, leader, behind = lagging_behind_a_snapshot()
    pieces = []
    store = behind.disk.store
    behind.disk.store = lambda record: (pieces.append(record), store(record))
    net.go(3 * TIMEOUT)
    sizes = [len(piece.data) for piece in pieces if isinstance(piece, NewPiece)]
    assert max(sizes) == PIECE and sum(sizes) == len(leader.disk.snapshot[2])
    assert behind.state == leader.state


def test_a_snapshot_goes_on_where_a_cut_stopped_it():
    net, leader, behind = lagging_behind_a_snapshot()
    while behind.replica.follower.offset < 3 * PIECE:
        net.now += 0.05
        leader.replica.tick(leader.now)
        net.pass_on()
    net.isolate(behind.name)
    net.go(3 * TIMEOUT)
    offset = behind.replica.follower.offset
    net.cuts.clear()
    pieces = []
    store = behind.disk.store
    behind.disk.store = lambda record: (pieces.append(record), store(record))
    net.go(3 * TIMEOUT)
    assert [piece.offset for piece in pieces if isinstance(piece, NewPiece)][0] == offset >= 3 * PIECE
    assert behind.state == leader.state


def test_a_lost_voter_does_not_keep_the_log_from_being_compacted():
    net, leader, behind = lagging_behind_a_snapshot()
    while not behind.replica.follower.offset:
        net.now += 0.05
        leader.replica.tick(leader.now)
        net.pass_on()
    behind.crash()
    assert not leader.replica.can_compact()
    net.go(50 * TIMEOUT)
    assert leader.replica.can_compact()


def test_a_foreign_cluster_and_a_wrong_address_are_refused():
    net = Calm()
    replica = net.voters["a"].replica
    good = dict(term=9, pre_vote=False, last_position=9, last_term=9)
    for cluster, sender, recipient in (("x", "b", "a"), ("test", "x", "a"), ("test", "b", "c")):
        with pytest.raises(Misdirected):
            replica.receive(VoteRequest(cluster, sender, recipient, **good), 0.0)
    assert not replica.take()


@given(st.binary(max_size=200))
def test_any_bytes_give_messages_or_badmessage(body):
    with suppress(BadMessage):
        assert isinstance(decode(body), list)


def real_bodies() -> list[bytes]:
    net, bodies = Net(5), []
    arrive = net.arrive
    net.arrive = lambda sender, to, body: (bodies.append(body), arrive(sender, to, body))
    net.run(STEPS)
    return bodies


BODIES = real_bodies()


@given(st.integers(0, 2**32))
def test_a_damaged_message_gives_messages_or_badmessage(seed):
    chance = random.Random(seed)
    body = bytearray(chance.choice(BODIES))
    for _ in range(chance.randint(1, 3)):
        body[chance.randrange(len(body))] = chance.randrange(256)
    with suppress(BadMessage):
        for message in decode(bytes(body[: chance.randint(1, len(body))])):
            encode([message])


def test_entries_with_a_gap_are_no_message():
    net = Calm()
    net.go(4 * TIMEOUT)
    leader = net.leader()
    leader.replica.take()
    leader.replica.propose(b"x", leader.now)
    leader.replica.propose(b"y", leader.now)
    ready = leader.replica.take()
    entries = [
        entry for record in ready.records if isinstance(record, NewEntries) for entry in record.entries
    ]
    append = next(message for message in ready.messages if message.entries)
    append.entries[:] = entries[1:]
    with pytest.raises(BadMessage, match="follows"):
        decode(encode([append]))

"""Voters of the change log in single cases: elections, refusals, snapshots, damaged messages."""

import random
from contextlib import suppress

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ryestack.control.consensus import Misdirected, NoQuorum, NotLeader
from ryestack.control.consensus_messages import VoteRequest, decode, encode
from ryestack.control.consensus_state import NewEntries, NewPiece
from ryestack.control.messages import BadMessage

from .consensus_net import FaultFreeNet, Net
from .consensus_voter import PIECE, TIMEOUT

STEPS = 1500


def test_a_change_is_committed_and_applied_by_all():
    net = FaultFreeNet()
    net.run_for(4 * TIMEOUT)
    net.propose(net.leader())
    net.run_for(0.1)
    assert [row[2] for row in net.acknowledged] == ["1"]
    assert all(voter.state[-1][2] == "1" for voter in net.voters.values())


def test_a_voter_that_disconnects_repeatedly_does_not_disrupt_the_leader():
    net = FaultFreeNet()
    net.run_for(4 * TIMEOUT)
    leader, term = net.leader(), net.leader().replica.state.term
    other = next(name for name in net.names if name != leader.name)
    for _ in range(5):
        net.isolate(other)
        net.run_for(3 * TIMEOUT)
        net.cuts.clear()
        net.run_for(2 * TIMEOUT)
    assert net.leader() is leader and leader.replica.state.term == term


def test_a_leader_without_a_majority_refuses_within_a_timeout_and_the_others_continue():
    net = FaultFreeNet()
    net.run_for(4 * TIMEOUT)
    old = net.leader()
    net.isolate(old.name)
    net.run_for(1.1 * TIMEOUT)
    with pytest.raises(NoQuorum):
        old.replica.propose(b"x", old.now)
    net.run_for(4 * TIMEOUT)
    new = net.leader()
    assert new is not old
    net.propose(new)
    net.run_for(0.2)
    assert len(net.acknowledged) == 1
    net.cuts.clear()
    net.run_for(2 * TIMEOUT)
    with pytest.raises(NotLeader, match=new.name):
        old.replica.propose(b"x", old.now)
    assert old.state == new.state


def test_a_suspended_process_does_not_consider_the_others_lost():
    net = FaultFreeNet()
    net.run_for(4 * TIMEOUT)
    leader, term = net.leader(), net.leader().replica.state.term
    for stall in (0.6, 1.0, 3.0, 20.0):
        net.now += stall * TIMEOUT  # all are suspended, as when they run on one host
        net.run_for(2 * TIMEOUT)
        assert net.leader() is leader and leader.replica.state.term == term


def lagging_behind_a_snapshot() -> tuple[FaultFreeNet, object, object]:
    """A leader with a compacted log, and a voter whose log ends before the leader's log starts."""
    net = FaultFreeNet()
    net.run_for(4 * TIMEOUT)
    leader = net.leader()
    behind = next(voter for voter in net.voters.values() if voter is not leader)
    net.isolate(behind.name)
    for _ in range(20):
        net.propose(leader)
        net.run_for(0.1)
    leader.compact(0)
    assert leader.disk.snapshot[0] == 21 and len(leader.disk.snapshot[2]) > 5 * PIECE
    net.cuts.clear()
    return net, leader, behind


def test_a_voter_behind_the_compacted_log_receives_the_snapshot_in_pieces():
    net, leader, behind = lagging_behind_a_snapshot()
    pieces = []
    store = behind.disk.store
    behind.disk.store = lambda record: (pieces.append(record), store(record))
    net.run_for(3 * TIMEOUT)
    sizes = [len(piece.data) for piece in pieces if isinstance(piece, NewPiece)]
    assert max(sizes) == PIECE and sum(sizes) == len(leader.disk.snapshot[2])
    assert behind.state == leader.state


def test_a_snapshot_transfer_resumes_after_a_disconnection():
    net, leader, behind = lagging_behind_a_snapshot()
    while behind.replica.log_acceptor.offset < 3 * PIECE:
        net.now += 0.05
        leader.replica.tick(leader.now)
        net.deliver_all()
    net.isolate(behind.name)
    net.run_for(3 * TIMEOUT)
    offset = behind.replica.log_acceptor.offset
    net.cuts.clear()
    pieces = []
    store = behind.disk.store
    behind.disk.store = lambda record: (pieces.append(record), store(record))
    net.run_for(3 * TIMEOUT)
    assert [piece.offset for piece in pieces if isinstance(piece, NewPiece)][0] == offset >= 3 * PIECE
    assert behind.state == leader.state


def test_a_lost_voter_does_not_prevent_log_compaction():
    net, leader, behind = lagging_behind_a_snapshot()
    while not behind.replica.log_acceptor.offset:
        net.now += 0.05
        leader.replica.tick(leader.now)
        net.deliver_all()
    behind.crash()
    assert not leader.replica.can_compact()
    net.run_for(50 * TIMEOUT)
    assert leader.replica.can_compact()


def test_messages_of_a_wrong_cluster_or_address_are_refused():
    net = FaultFreeNet()
    replica = net.voters["a"].replica
    good = dict(term=9, pre_vote=False, last_position=9, last_term=9)
    for cluster, sender, recipient in (("x", "b", "a"), ("test", "x", "a"), ("test", "b", "c")):
        with pytest.raises(Misdirected):
            replica.receive(VoteRequest(cluster, sender, recipient, **good), 0.0)
    assert not replica.take()


@given(st.binary(max_size=200))
def test_arbitrary_bytes_give_messages_or_badmessage(body):
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
    rng = random.Random(seed)
    body = bytearray(rng.choice(BODIES))
    for _ in range(rng.randint(1, 3)):
        body[rng.randrange(len(body))] = rng.randrange(256)
    with suppress(BadMessage):
        for message in decode(bytes(body[: rng.randint(1, len(body))])):
            encode([message])


def test_entries_with_a_gap_are_refused():
    net = FaultFreeNet()
    net.run_for(4 * TIMEOUT)
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

"""The change log's consensus: Raft's rules under any schedule of faults; faults of our own must be found."""

import random
from contextlib import suppress

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ryestack.control.consensus import Misdirected, NoQuorum, NotLeader
from ryestack.control.consensus_messages import VoteRequest, decode, encode
from ryestack.control.consensus_state import NewEntries, NewPiece, ReplicaState, Role
from ryestack.control.leadership import Leadership
from ryestack.control.log_acceptance import Follower
from ryestack.control.messages import BadMessage

from .consensus_net import PIECE, TIMEOUT, Broken, Net, examples

STEPS = 1500
SCHEDULES_TO_FIND = 400  # within so many schedules a fault of our own must be seen


@settings(max_examples=examples(60))
@given(st.integers(0, 2**32))
def test_raft_holds_under_any_schedule(seed):
    net = Net(seed)
    net.run(STEPS)
    net.settle()


def vote_not_stored(patch):
    def set_term(self, term, vote):
        self.term, self.vote = term, vote

    patch.setattr(ReplicaState, "set_term", set_term)


def old_term_committed_by_count(patch):
    """Two writers: a leader commits what an earlier one left once a majority has it."""

    def advance(self, now):
        matches = sorted([self.on_disk, *(p.match for p in self.progress.values())], reverse=True)
        self.state.commit = max(self.state.commit, matches[self.state.majority - 1])

    patch.setattr(Leadership, "_advance_commit", advance)


def acknowledged_before_majority(patch):
    def advance(self, now):
        self.state.commit = max(self.state.commit, self.on_disk)

    patch.setattr(Leadership, "_advance_commit", advance)


def conflict_not_truncated(patch):
    def store(self, entries):
        new = [entry for entry in entries if entry.position > self.state.log.last_position]
        if new:
            self.state.append(new)

    patch.setattr(Follower, "_store", store)


def first_found(count: int) -> tuple[int, str]:
    """The first schedule that breaks a rule, and which."""
    for seed in range(count):
        net = Net(seed)
        try:
            net.run(STEPS)
            net.settle()
        except (Broken, AssertionError) as found:
            return seed, str(found)
    return -1, ""


FAULTS = [vote_not_stored, acknowledged_before_majority, conflict_not_truncated]


@pytest.mark.parametrize("fault", FAULTS, ids=lambda fault: fault.__name__)
def test_a_fault_of_our_own_is_found(fault, monkeypatch):
    fault(monkeypatch)
    seed, rule = first_found(SCHEDULES_TO_FIND)
    print(f"{fault.__name__}: schedule {seed}: {rule}")
    assert seed >= 0


def test_two_writers_are_found(monkeypatch):
    """Chance did not come by the schedule that shows this in 400: it is played on purpose."""
    entry_of_an_old_term_on_a_majority()
    old_term_committed_by_count(monkeypatch)
    with pytest.raises(Broken, match="lacks 2 of 1"):
        entry_of_an_old_term_on_a_majority()


class Calm(Net):
    """Three voters without faults but those a test makes."""

    def __init__(self, seed: int = 1, size: int = 3):
        super().__init__(seed, size)

    def go(self, seconds: float) -> None:
        until = self.now + seconds
        while self.now < until:
            self.now += 0.05
            for voter in self.voters.values():
                if voter.replica:
                    voter.replica.tick(voter.now)
            for _ in range(6):
                self.pass_on()

    def pass_on(self) -> None:
        for voter in self.voters.values():
            if voter.replica:
                voter.work()
                voter.work()
        flying, self.flying = self.flying, []
        for sender, recipient, body in flying:
            self.arrive(sender, recipient, body)
        self.check()

    def leader(self):
        return next(v for v in self.voters.values() if v.replica and v.replica.state.role is Role.LEADER)

    def isolate(self, name: str) -> None:
        self.cuts |= {(a, b) for a in self.names for b in self.names if a != b and name in (a, b)}


class Schedule(Calm):
    """Five voters; only `reach` hear each other, and time goes on for one at a time."""

    def __init__(self):
        super().__init__(size=5)
        self.append_bytes = 1
        for voter in self.voters.values():
            voter.start()

    def only(self, reach: str) -> None:
        self.cuts = {(a, b) for a in self.names for b in self.names if not (a in reach and b in reach)}
        self.flying.clear()

    def elect(self, name: str, reach: str):
        self.only(reach)
        voter = self.voters[name]
        self.now += 3 * TIMEOUT
        for _ in range(20):
            self.now += 0.5 * TIMEOUT
            voter.replica.tick(voter.now)
            if voter.replica.state.role is Role.LEADER:
                return voter
            self.pass_on()
        raise AssertionError(f"{name} is not elected: {voter.replica.state.role}")


def entry_of_an_old_term_on_a_majority() -> None:
    """Figure 8 of Raft: an entry of term 1 reaches a majority in term 3, and is replaced in term 4."""
    net = Schedule()
    first = net.elect("a", "abcde")
    for _ in range(6):
        net.pass_on()
    net.only("ab")
    net.proposals = 1000  # a payload that leaves no room for another entry in an Append
    net.propose(first)
    net.pass_on()
    assert net.voters["b"].replica.state.log.last_position == 2
    last = net.elect("e", "cde")
    last.work()
    last.work()
    assert last.disk.entries[-1].term == 2
    last.crash()
    first = net.elect("a", "abc")
    for _ in range(10):
        if first.replica.leadership.progress["c"].match < 2:
            net.pass_on()
    assert first.replica.leadership.progress["c"].match == 2
    first.work()
    first.work()
    first.crash()
    net.only("cde")
    last.start()
    net.elect("e", "cde")
    for _ in range(6):
        net.pass_on()
    net.settle()


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
    with pytest.raises(BadMessage, match="behind"):
        decode(encode([append]))

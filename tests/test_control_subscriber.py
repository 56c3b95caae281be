"""A relay's subscription: answers that must not be applied, and failover between machines."""

import random
from collections import Counter

import pytest

from ryestack.control import messages
from ryestack.control.holdings import HoldingsSnapshot
from ryestack.control.messages import Entry
from ryestack.control.order import Failover, Machine, machine_order
from ryestack.control.subscriber import Subscriber
from ryestack.control.subscription import Identity, PendingRequest, State


def subscriber(kept=None, limit=1000):
    machines = [Machine(f"m{number}", f"m{number}:1") for number in range(3)]
    return Subscriber(Identity("c", "r0", 1, "eu", "a"), machines, 5.0, random.Random(1), 0.0, kept, limit)


def asked(subscriber, now):
    """The next request, after waiting for any backoff."""
    step = subscriber.step(max(now, subscriber.wake_at))
    assert isinstance(step, PendingRequest)
    return step


def entry(number, version, value=b"1", shard="eu/1"):
    return Entry(f"destination/{number}", version, shard, value)


def test_a_split_delta_is_not_completed_by_a_machine_behind_the_first_one():
    """Entry 7 changed at version 3 and again at 8, so the first machine sends it with the rest of its delta.

    The second machine is at 5. Its changes from 4 on do not include entry 7, which would stay at version 2.
    """
    s = subscriber(HoldingsSnapshot(2, ["*", "eu/1"], [entry(7, 2), entry(8, 2)]))
    s.handle_answer(asked(s, 1.0).number, messages.Delta(2, 4, [entry(8, 4, b"4")], 8, more=True), 1.0)
    assert asked(s, 1.0).request.version == 4
    s.handle_answer(s._outstanding.number, messages.Delta(4, 5, [], 5), 1.0)
    assert s.state is State.WAITING and s.holdings.version == 2
    s.handle_answer(asked(s, 9.0).number, messages.Delta(5, 8, [entry(7, 8, b"8")], 8), 9.0)
    update = s.step(9.0)
    assert (update.version, [e.version for e in update.entries], update.removed) == (8, [4, 8], [])


def test_a_refetch_from_a_machine_that_is_behind_is_not_applied():
    s = subscriber(HoldingsSnapshot(6, ["*"], [entry(7, 6, b"6", "*")]))
    s.handle_answer(asked(s, 1.0).number, messages.TooOld(6), 1.0)
    s.handle_answer(asked(s, 1.0).number, messages.Piece("*", 4, [entry(7, 3, b"3", "*")], True), 1.0)
    s.handle_answer(asked(s, 1.0).number, messages.Delta(4, 5, [], 5), 1.0)
    assert s.state is State.WAITING and s.holdings.by_key["destination/7"].version == 6
    s.handle_answer(asked(s, 9.0).number, messages.Delta(5, 7, [entry(7, 6, b"6", "*")], 7), 9.0)
    assert (s.step(9.0).entries, s.step(9.0).removed) == ([], [])


@pytest.mark.parametrize(
    "answer",
    [
        messages.Delta(1, 3, [], 3),
        messages.Delta(2, 1, [], 1),
        messages.Delta(2, 3, [], 4),
        messages.Delta(2, 2, [], 4, more=True),
        messages.Delta(2, 3, [entry(7, 2)], 3),
        messages.Delta(2, 3, [entry(7, 4)], 3),
        messages.Piece("*", 9, [], True),
    ],
)
def test_an_answer_that_does_not_match_the_request_changes_nothing(answer):
    s = subscriber(HoldingsSnapshot(2, ["*", "eu/1"], [entry(7, 2)]))
    s.handle_answer(asked(s, 1.0).number, answer, 1.0)
    assert s.state is State.WAITING and s.wake_at > 1.0 and not s._staging.differs()
    assert asked(s, 9.0).request.version == 2


def test_an_oversize_scope_is_rejected_with_its_key_and_the_holdings_stay():
    s = subscriber(HoldingsSnapshot(2, ["*", "eu/1"], [entry(7, 2)]), limit=1000)
    s.handle_answer(asked(s, 1.0).number, messages.Delta(2, 3, [entry(9, 3, b"x" * 2000)], 3), 1.0)
    assert s.rejected.key == "destination/9" and "1000 bytes" in s.rejected.reason
    assert s.holdings.version == 2 and s.wake_at > 20.0 and s._staging.bytes == 0
    assert asked(s, 1.0).request.rejected == s.rejected


def test_the_relays_of_a_lost_machine_spread_over_the_others_and_over_time():
    """Relays fail over within the machine's region first."""
    machines = [Machine(f"m{number}", f"m{number}:1", "eu" if number < 6 else "us") for number in range(12)]
    successors, delays = Counter(), []
    for number in range(2000):
        order = machine_order(f"r{number}", "eu", machines)
        assert {machine.region for machine in order[:6]} == {"eu"}
        if order[0].name == "m0":
            successors[order[1].name] += 1
            failover = Failover(order, random.Random(number))
            delays.append(failover.failed(0.0))
            assert failover.machine == order[1]
    assert 200 < len(delays) < 480 and max(successors.values()) < 0.35 * len(delays) and len(successors) == 5
    early = sum(delay < 0.4 for delay in delays)
    assert 0.25 * len(delays) < early < 0.45 * len(delays) and max(delays) <= 1.0


def test_a_relay_returns_to_its_first_machine_and_stays_at_its_current_one_while_that_is_lost():
    order = [Machine(f"m{number}", f"m{number}:1") for number in range(4)]
    failover = Failover(order, random.Random(1))
    failover.failed(0.0)
    failover.failed(1.0)
    failover.answered()
    assert failover.choose(20.0).name == "m2" and failover.choose(95.0).name == "m0"
    failover.failed(97.0)  # still lost: returns at once, without trying those in between
    assert failover.machine.name == "m2"
    failover.answered()
    assert failover.choose(200.0).name == "m0"
    failover.answered()
    assert failover.choose(1000.0).name == "m0"


def test_a_first_scope_is_complete_with_its_last_piece():
    s = subscriber()
    s.handle_answer(asked(s, 1.0).number, messages.Scope(4, ["*", "eu/1"]), 1.0)
    s.handle_answer(asked(s, 1.0).number, messages.Piece("*", 4, [entry(1, 2, shard="*")], False), 1.0)
    s.handle_answer(asked(s, 1.0).number, messages.Piece("eu/1", 4, [entry(2, 3)], True), 1.0)
    assert [e.version for e in s.step(1.0).entries] == [2, 3] and s.step(1.0).version == 4


def test_a_scope_that_only_lost_shards_is_complete_at_once():
    s = subscriber(HoldingsSnapshot(2, ["*", "eu/1"], [entry(7, 2)]))
    s.handle_answer(asked(s, 1.0).number, messages.Scope(4, ["*"]), 1.0)
    assert (s.step(1.0).version, s.step(1.0).removed) == (2, ["destination/7"])


def test_polls_are_not_held_while_a_version_is_incomplete_unless_it_was_rejected():
    s = subscriber()
    s.handle_answer(asked(s, 1.0).number, messages.Scope(4, ["*", "eu/1"]), 1.0)
    s.handle_answer(asked(s, 1.0).number, messages.Piece("*", 5, [], True), 1.0)
    s.handle_answer(asked(s, 1.0).number, messages.Piece("eu/1", 4, [entry(2, 3)], True), 1.0)  # two versions
    request = asked(s, 1.0).request
    assert (request.version, request.hold, request.applied) == (4, 0.0, 0)
    s.handle_answer(s._outstanding.number, messages.Delta(4, 5, [], 5), 1.0)
    s.reject("destination/2", "no", 1.0)
    request = asked(s, 1.0).request
    assert (request.version, request.applied, request.rejected.version) == (5, 0, 5) and request.hold >= 4.0
    s.handle_answer(s._outstanding.number, messages.Delta(5, 5, [], 5), 5.0)
    assert s.step(5.0).version == 5
    s.reject("destination/2", "no", 5.0)
    s.handle_answer(asked(s, 5.0).number, messages.Delta(5, 5, [], 5), 5.0)  # not held
    s.reject("destination/2", "no", 5.0)
    assert s.wake_at >= 7.0


def test_the_answer_timeout_grows_with_consecutive_failures():
    failover, timeouts = Failover([Machine(f"m{n}", f"m{n}:1") for n in range(3)], random.Random(1)), []
    for number in range(7):
        timeouts.append(failover.answer_timeout())
        failover.failed(float(number))
    assert timeouts == [2.0, 2.0, 4.0, 8.0, 16.0, 16.0, 16.0]
    failover.answered()
    assert failover.answer_timeout() == 2.0

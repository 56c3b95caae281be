"""The publisher: which polls a change wakes and when, refused requests, limits."""

import json
import random
from math import inf

import pytest

from ryestack.control import publisher as publisher_module
from ryestack.control.catalogue import Catalogue
from ryestack.control.messages import (
    ALL_SHARDS,
    MAX_FETCH_SHARDS,
    Delta,
    Entry,
    Fetch,
    Follow,
    Piece,
    Poll,
    Rejection,
    Scope,
    TooOld,
    Unavailable,
)
from ryestack.control.publisher import Publisher, Refused

RELAYS = 60


def make_publisher(relays=RELAYS, **more):
    """60 relays in 3 zones of one region with 12 shards, 2 relays per shard, an entry in each shard."""
    publisher = Publisher("c", Catalogue(**more), 2, random.Random(1), 12)
    place = [json.dumps({"region": "eu", "zone": zone}).encode() for zone in "abc"]
    publisher.apply(1, [Entry(f"relay/r{n}", 1, "@", place[n % 3]) for n in range(relays)], 0.0)
    publisher.apply(2, [Entry(f"destination/{n}", 2, f"eu/{n}", b"1") for n in range(12)], 0.0)
    publisher.due(1.0)
    return publisher


def poll(publisher, relay="r0", **more):
    fields = {"session": 1, "version": publisher.catalogue.version, "hold": 5.0}
    fields["scope"] = publisher.scopes.of(relay).digest
    return Poll("c", relay, region="eu", zone="a", **{**fields, **more})


def hold_all(publisher, now=1.0):
    for n in range(RELAYS):
        assert publisher.handle(poll(publisher, f"r{n}"), now, f"r{n}") is None


def test_a_change_wakes_only_the_relays_that_hold_its_shard_and_only_once():
    publisher = make_publisher()
    hold_all(publisher)
    publisher.apply(3, [Entry("destination/4", 3, "eu/4", b"2")], 2.0)
    publisher.apply(
        4, [Entry("destination/4", 4, "eu/4", b"3"), Entry("destination/16", 4, "eu/4", b"1")], 2.1
    )
    assert publisher.due(2.0) == []
    answers = dict(publisher.due(publisher.wake_at))
    assert set(answers) == set(publisher.scopes.relays_of("eu/4")) and len(answers) == 2
    for answer in answers.values():
        assert answer.version == answer.target == 4 and [e.version for e in answer.entries] == [4, 4]
    assert publisher.wake_at >= 6.0 and publisher.held() == RELAYS - 2


@pytest.mark.parametrize("changes", [1, 100])
def test_changes_for_all_relays_are_sent_over_a_spread(changes):
    publisher = make_publisher()
    hold_all(publisher)
    for number in range(changes):
        publisher.apply(3 + number, [Entry("setting/settings", 3 + number, "*", b"2")], 2.0 + number / 1000.0)
    times = []
    while publisher.held():
        now = publisher.wake_at
        times += [now for _ in publisher.due(now)]
    assert len(times) == RELAYS and max(times) < 2.0 + 2.5
    assert all(sum(at <= time < at + 0.5 for time in times) < RELAYS / 2 for at in times)


def test_polls_without_changes_are_answered_at_their_deadline_with_the_newest_version():
    publisher = make_publisher()
    hold_all(publisher)
    publisher.apply(3, [], 2.0)
    assert publisher.wake_at == 6.0
    answers = publisher.due(6.0)
    assert len(answers) == RELAYS and publisher.wake_at == inf
    assert all(answer == Delta(2, 3, [], 3) for _, answer in answers)


def test_a_leaving_relay_changes_the_scope_of_the_affected_relays_only():
    publisher = make_publisher()
    hold_all(publisher)
    leaving = publisher.scopes.relays_of("eu/4")[0]
    publisher.apply(3, [Entry(f"relay/{leaving}", 3, "@", None)], 2.0)
    answers = {}
    while publisher.wake_at < 5.9:
        answers |= dict(publisher.due(publisher.wake_at))
    assert isinstance(answers[leaving], Scope) and answers[leaving].shards == ["*"]
    assert len(answers) > 1 and all(isinstance(answer, Scope) for answer in answers.values())
    assert all(publisher.scopes.of(relay).digest != poll(make_publisher(), relay).scope for relay in answers)
    assert leaving not in publisher.scopes.members() and len(set(publisher.scopes.members())) == RELAYS - 1


@pytest.mark.parametrize("hold, version", [(5.0, 2), (0.0, 2), (5.0, 1)])
def test_no_version_is_sent_before_the_scope_is_computed_for_it(hold, version):
    """Otherwise a relay would acknowledge a change that gave it a shard before it has that shard."""
    publisher = make_publisher()
    leaving = publisher.scopes.relays_of("eu/4")[0]
    before = publisher.scopes.of(leaving).digest
    publisher.apply(3, [Entry(f"relay/{leaving}", 3, "@", None)], 2.0)
    assert (
        publisher.handle(poll(publisher, leaving, hold=hold, version=version, scope=before), 2.1, 1) is None
    )
    publisher.apply(4, [Entry("destination/4", 4, "eu/4", b"2")], 2.2)
    assert publisher.due(2.45) == []
    while publisher.held():
        [(_, answer)] = publisher.due(publisher.wake_at) or [(0, None)]
    assert answer == Scope(4, ["*"])


def test_an_unknown_relay_has_only_the_shared_shard():
    publisher = make_publisher()
    assert publisher.handle(poll(publisher, "r77", scope=""), 1.0, 1) == Scope(2, ["*"])


def test_reports_are_stored_and_an_older_session_is_refused_until_the_newer_one_times_out():
    publisher = make_publisher()
    rejected = Rejection(2, "setting/settings", "no")
    publisher.handle(poll(publisher, session=7, applied=1, rejected=rejected), 1.0, 1)
    assert (publisher.reports["r0"].applied, publisher.reports["r0"].rejected) == (1, rejected)
    with pytest.raises(Refused, match="session 6"):
        publisher.handle(poll(publisher, session=6), 2.0, 2)
    assert publisher.reports["r0"].session == 7 and publisher.reports["r0"].heard_at == 1.0
    assert publisher.handle(poll(publisher, session=6), 32.0, 3) is None


def test_a_newer_poll_of_a_relay_ends_the_earlier_one():
    publisher = make_publisher()
    publisher.handle(poll(publisher), 1.0, "first")
    publisher.handle(poll(publisher, session=2), 2.0, "second")
    assert publisher.wake_at == -inf
    [(token, answer)] = publisher.due(2.0)
    assert token == "first" and isinstance(answer, Unavailable)
    assert [token for token, _ in publisher.due(7.0)] == ["second"]


def test_a_released_request_is_not_answered():
    publisher = make_publisher()
    publisher.handle(poll(publisher), 1.0, "first")
    publisher.release("first")
    assert publisher.due(60.0) == [] and publisher.wake_at == inf and publisher.held() == 0


def test_held_polls_and_reports_are_limited(monkeypatch):
    publisher = make_publisher()
    monkeypatch.setattr(publisher._relays, "_limit", 5)
    monkeypatch.setattr(publisher_module, "MAX_REPORTS", 7)
    answers = [publisher.handle(poll(publisher, f"r{n}"), 1.0, n) for n in range(20)]
    assert answers[:5] == [None] * 5 and all(isinstance(answer, Delta) for answer in answers[5:])
    assert list(publisher.reports) == [f"r{n}" for n in range(13, 20)]


@pytest.mark.parametrize(
    "request_",
    [
        Poll("other", "r0", 1, "eu", "a", 0, "", 1.0),
        Poll("c", "", 1, "eu", "a", 0, "", 1.0),
        Poll("c", "r" * 129, 1, "eu", "a", 0, "", 1.0),
        Fetch("c", "r0", []),
        Fetch("c", "r0", ["*"] * (MAX_FETCH_SHARDS + 1)),
        Fetch("c", "r0", [ALL_SHARDS, "*"]),
        Follow("other", "m1", 0, 1.0),
    ],
)
def test_an_invalid_request_is_refused_and_leaves_no_state(request_):
    publisher = make_publisher()
    with pytest.raises(Refused):
        publisher.handle(request_, 1.0, 1)
    assert not publisher.reports and not publisher.held()


def test_a_machine_that_is_behind_the_requester_or_not_ready_is_unavailable():
    publisher = make_publisher()
    assert isinstance(publisher.handle(poll(publisher, version=3), 1.0, 1), Unavailable)
    assert isinstance(publisher.handle(Follow("c", "m1", 3, 1.0), 1.0, 1), Unavailable)
    publisher.ready = False
    for asked in (poll(publisher), Follow("c", "m1", 0, 1.0), Fetch("c", "r0", ["*"])):
        assert isinstance(publisher.handle(asked, 1.0, 1), Unavailable)


def test_a_refetch_is_needed_below_the_floor_and_for_a_version_too_large_for_a_delta():
    publisher = make_publisher(max_tombstones=0)
    publisher.apply(3, [Entry("destination/4", 3, "eu/4", None)], 1.0)
    assert publisher.handle(poll(publisher, version=2), 1.0, 1) == TooOld(3)
    publisher.apply(4, [Entry(f"setting/{n}", 4, "*", b"x" * 60_000) for n in range(10)], 1.0)
    assert publisher.handle(poll(publisher, version=3), 1.0, 1) == TooOld(4)
    piece = publisher.handle(Fetch("c", "r0", ["*"]), 1.0, 1)
    assert isinstance(piece, Piece) and len(piece.entries) == 1 and not piece.done


def test_a_follower_receives_every_change_at_once():
    publisher = make_publisher()
    assert publisher.handle(Follow("c", "m1", 2, 5.0), 1.0, "m1") is None
    publisher.apply(3, [Entry("destination/4", 3, "us/4", b"2"), Entry("relay/r9", 3, "@", None)], 2.0)
    assert 2.0 < publisher.wake_at < 2.1
    [(token, answer)] = publisher.due(publisher.wake_at)
    other = make_publisher()
    other.apply(answer.version, answer.entries, 2.0)
    assert token == "m1" and (
        set(other.catalogue.snapshot().entries) == set(publisher.catalogue.snapshot().entries)
    )


def test_a_relay_with_an_invalid_entry_serves_nothing():
    publisher = make_publisher()
    for version, value in enumerate((b"{}", b'{"region": "eu", "zone": "a", "weight": -1}', b"\xff"), 3):
        publisher.apply(version, [Entry("relay/r0", version, "@", value)], 2.0)
        publisher.due(9.0)
        assert "r0" not in publisher.scopes.members()

"""What a control machine answers: who is woken by what and when, who is refused, what is bounded."""

import json
import random
from math import inf

import pytest

from ryestack.control import publisher as publishers
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


def publisher(relays=RELAYS, **more):
    """60 relays in 3 zones of one region, 12 shards of it, 2 relays a shard; an entry in each shard."""
    made = Publisher("c", Catalogue(**more), 2, random.Random(1), 12)
    place = [json.dumps({"region": "eu", "zone": zone}).encode() for zone in "abc"]
    made.apply(1, [Entry(f"relay/r{n}", 1, "@", place[n % 3]) for n in range(relays)], 0.0)
    made.apply(2, [Entry(f"destination/{n}", 2, f"eu/{n}", b"1") for n in range(12)], 0.0)
    made.due(1.0)
    return made


def poll(made, relay="r0", **more):
    told = {"session": 1, "version": made.catalogue.version, "hold": 5.0}
    told["scope"] = made.scopes.of(relay).digest
    return Poll("c", relay, region="eu", zone="a", **{**told, **more})


def hold_all(made, now=1.0):
    for n in range(RELAYS):
        assert made.handle(poll(made, f"r{n}"), now, f"r{n}") is None


def test_a_change_wakes_the_relays_that_hold_its_shard_once_and_no_other():
    made = publisher()
    hold_all(made)
    made.apply(3, [Entry("destination/4", 3, "eu/4", b"2")], 2.0)
    made.apply(4, [Entry("destination/4", 4, "eu/4", b"3"), Entry("destination/16", 4, "eu/4", b"1")], 2.1)
    assert made.due(2.0) == []
    told = dict(made.due(made.wake_at))
    assert set(told) == set(made.scopes.relays_of("eu/4")) and len(told) == 2
    for answer in told.values():
        assert answer.version == answer.target == 4 and [e.version for e in answer.entries] == [4, 4]
    assert made.wake_at >= 6.0 and made.held() == RELAYS - 2


@pytest.mark.parametrize("changes", [1, 100])
def test_what_all_hold_is_told_over_a_spread(changes):
    made = publisher()
    hold_all(made)
    for number in range(changes):
        made.apply(3 + number, [Entry("setting/settings", 3 + number, "*", b"2")], 2.0 + number / 1000.0)
    times = []
    while made.held():
        now = made.wake_at
        times += [now for _ in made.due(now)]
    assert len(times) == RELAYS and max(times) < 2.0 + 2.5
    assert all(sum(at <= time < at + 0.5 for time in times) < RELAYS / 2 for at in times)


def test_polls_with_nothing_new_are_answered_at_their_time_with_the_newest_version():
    made = publisher()
    hold_all(made)
    made.apply(3, [], 2.0)
    assert made.wake_at == 6.0
    answers = made.due(6.0)
    assert len(answers) == RELAYS and made.wake_at == inf
    assert all(answer == Delta(2, 3, [], 3) for _, answer in answers)


def test_a_relay_that_joins_and_one_that_leaves_change_the_scope_of_those_concerned():
    made = publisher()
    hold_all(made)
    gone = made.scopes.relays_of("eu/4")[0]
    made.apply(3, [Entry(f"relay/{gone}", 3, "@", None)], 2.0)
    told = {}
    while made.wake_at < 5.9:
        told |= dict(made.due(made.wake_at))
    assert isinstance(told[gone], Scope) and told[gone].shards == ["*"]
    assert len(told) > 1 and all(isinstance(answer, Scope) for answer in told.values())
    assert all(made.scopes.of(relay).digest != poll(publisher(), relay).scope for relay in told)
    assert gone not in made.scopes.members() and len(set(made.scopes.members())) == RELAYS - 1


@pytest.mark.parametrize("hold, version", [(5.0, 2), (0.0, 2), (5.0, 1)])
def test_no_version_is_told_before_the_scope_is_of_it(hold, version):
    """Else a relay would acknowledge the change that gave it a shard without having the shard."""
    made = publisher()
    gone = made.scopes.relays_of("eu/4")[0]
    before = made.scopes.of(gone).digest
    made.apply(3, [Entry(f"relay/{gone}", 3, "@", None)], 2.0)
    assert made.handle(poll(made, gone, hold=hold, version=version, scope=before), 2.1, 1) is None
    made.apply(4, [Entry("destination/4", 4, "eu/4", b"2")], 2.2)
    assert made.due(2.45) == []
    while made.held():
        [(_, answer)] = made.due(made.wake_at) or [(0, None)]
    assert answer == Scope(4, ["*"])


def test_a_relay_that_is_in_no_set_has_what_all_share():
    made = publisher()
    assert made.handle(poll(made, "r77", scope=""), 1.0, 1) == Scope(2, ["*"])


def test_what_is_told_of_a_relay_is_kept_and_an_older_session_refused_while_the_later_lives():
    made = publisher()
    rejected = Rejection(2, "setting/settings", "no")
    made.handle(poll(made, session=7, applied=1, rejected=rejected), 1.0, 1)
    assert (made.reports["r0"].applied, made.reports["r0"].rejected) == (1, rejected)
    with pytest.raises(Refused, match="session 6"):
        made.handle(poll(made, session=6), 2.0, 2)
    assert made.reports["r0"].session == 7 and made.reports["r0"].heard_at == 1.0
    assert made.handle(poll(made, session=6), 32.0, 3) is None


def test_a_later_poll_of_the_same_relay_ends_the_one_before():
    made = publisher()
    made.handle(poll(made), 1.0, "first")
    made.handle(poll(made, session=2), 2.0, "second")
    assert made.wake_at == -inf
    [(token, answer)] = made.due(2.0)
    assert token == "first" and isinstance(answer, Unavailable)
    assert [token for token, _ in made.due(7.0)] == ["second"]


def test_a_request_that_is_gone_is_not_answered():
    made = publisher()
    made.handle(poll(made), 1.0, "first")
    made.release("first")
    assert made.due(60.0) == [] and made.wake_at == inf and made.held() == 0


def test_polls_and_reports_are_bounded(monkeypatch):
    made = publisher()
    monkeypatch.setattr(made._relays, "_limit", 5)
    monkeypatch.setattr(publishers, "MAX_REPORTS", 7)
    answers = [made.handle(poll(made, f"r{n}"), 1.0, n) for n in range(20)]
    assert answers[:5] == [None] * 5 and all(isinstance(answer, Delta) for answer in answers[5:])
    assert list(made.reports) == [f"r{n}" for n in range(13, 20)]


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
def test_what_cannot_be_answered_is_refused_and_leaves_nothing(request_):
    made = publisher()
    with pytest.raises(Refused):
        made.handle(request_, 1.0, 1)
    assert not made.reports and not made.held()


def test_a_machine_that_is_behind_the_asker_or_not_ready_says_so():
    made = publisher()
    assert isinstance(made.handle(poll(made, version=3), 1.0, 1), Unavailable)
    assert isinstance(made.handle(Follow("c", "m1", 3, 1.0), 1.0, 1), Unavailable)
    made.ready = False
    for asked in (poll(made), Follow("c", "m1", 0, 1.0), Fetch("c", "r0", ["*"])):
        assert isinstance(made.handle(asked, 1.0, 1), Unavailable)


def test_who_is_below_the_floor_fetches_and_a_version_too_large_for_a_delta_too():
    made = publisher(max_tombstones=0)
    made.apply(3, [Entry("destination/4", 3, "eu/4", None)], 1.0)
    assert made.handle(poll(made, version=2), 1.0, 1) == TooOld(3)
    made.apply(4, [Entry(f"setting/{n}", 4, "*", b"x" * 60_000) for n in range(10)], 1.0)
    assert made.handle(poll(made, version=3), 1.0, 1) == TooOld(4)
    piece = made.handle(Fetch("c", "r0", ["*"]), 1.0, 1)
    assert isinstance(piece, Piece) and len(piece.entries) == 1 and not piece.done


def test_a_follower_is_told_every_change_at_once():
    made = publisher()
    assert made.handle(Follow("c", "m1", 2, 5.0), 1.0, "m1") is None
    made.apply(3, [Entry("destination/4", 3, "us/4", b"2"), Entry("relay/r9", 3, "@", None)], 2.0)
    assert 2.0 < made.wake_at < 2.1
    [(token, answer)] = made.due(made.wake_at)
    other = publisher()
    other.apply(answer.version, answer.entries, 2.0)
    assert token == "m1" and set(other.catalogue.snapshot().entries) == set(made.catalogue.snapshot().entries)


def test_a_relay_entry_that_says_nothing_usable_serves_nothing():
    made = publisher()
    for version, value in enumerate((b"{}", b'{"region": "eu", "zone": "a", "weight": -1}', b"\xff"), 3):
        made.apply(version, [Entry("relay/r0", version, "@", value)], 2.0)
        made.due(9.0)
        assert "r0" not in made.scopes.members()

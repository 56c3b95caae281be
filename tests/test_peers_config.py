"""`[peers]`: what cannot be used is one line and status 2, any bytes at the peers' address change nothing."""

import asyncio
import contextlib
import random
import socket

import aiohttp
import pytest
from hypothesis import given
from hypothesis import strategies as st

from ryestack.lab.peers import Cluster
from ryestack.lab.trial import TrialFailed
from ryestack.lifecycle.replication.incarnations import Incarnations
from ryestack.operator.schema import Peer, Peers, peers_rules
from ryestack.peers import messages
from ryestack.peers.messages import Append, BadMessage, Envelope, Record, Vote, Voted
from ryestack.peers.node import LIVES, Node, Refused, Terms
from ryestack.peers.transport import PeerClient, PeerListener

RELAYS = [Peer(f"r{i}", f"127.0.0.1:{9000 + i}", "ab"[i % 2]) for i in range(3)]


@pytest.mark.parametrize(
    "change, key, said",
    [
        ({"relays": [*RELAYS, RELAYS[0]]}, "peers.relays", "names r0 twice"),
        ({"relays": [*RELAYS, Peer("r9", RELAYS[0].address)]}, "peers.relays", "one address twice"),
        ({"relays": [Peer("r0", "nowhere"), RELAYS[1]], "guards": 1}, "peers.relays", "must be address:port"),
        ({"name": "r7"}, "peers.name", "r7"),
        ({"guards": 3}, "peers.guards", "2 other relays"),
        ({"cluster": ""}, "peers.cluster", "must be named"),
    ],
)
def test_each_fault_names_its_key(change, key, said):
    good = {"cluster": "c", "name": "r0", "relays": RELAYS, "guards": 2}
    assert peers_rules(Peers(**good)) == []
    [(found, what)] = peers_rules(Peers(**{**good, **change}))
    assert found == key and said in what


def node(now=0.0):
    zones = {"r0": "a", "r1": "b", "r2": "a"}
    return Node(Terms("c", "r0", zones, 2, 1.0), 5, False, random.Random(1), now)


def envelope(message, **more):
    head = {"cluster": "c", "sender": "r1", "life": 3, "to": "r0", "number": 1}
    return Envelope(**{**head, **more}, message=message)


APPEND = Append(("r1", 3), 3, 0.0, 0, [], True)


@pytest.mark.parametrize(
    "more",
    [{"cluster": "d"}, {"sender": "r9"}, {"to": "r2"}, {"sender": "r0"}],
)
def test_a_foreign_letter_changes_nothing(more):
    n = node()
    with pytest.raises(Refused):
        n.hear(envelope(APPEND, **more), 1.0)
    assert list(n.shards) == [("r0", 5)] and n.refused == 1


def test_lives_that_no_relay_has_do_not_pile_up():
    n = node()
    for life in range(1, 300):
        try:
            n.hear(envelope(Append(("r1", life), 3, 0.0, 0, [], True), number=life), 5.0)
        except Refused as why:
            assert "too many lives" in str(why)
    assert len(n.shards) == LIVES + 1


def test_an_answer_of_many_pieces_is_read_whole():
    """All that a shard holds comes in one answer: what stops at its first piece never takes over."""
    records = [Record(f"n{i}", bytes(60_000)) for i in range(60)]
    said = envelope(Voted(("r1", 3), 4, True, 4, 0.0, (3, 60), records, True))

    async def play():
        listener, told = PeerListener(("127.0.0.1", 0), lambda _: said), asyncio.Queue()
        listener.bind()
        address = await listener.open()
        client = PeerClient({"r1": address}, told.put_nowait, lambda _: None)
        client.send("r1", envelope(Vote(("r1", 3), 4)))
        try:
            return await asyncio.wait_for(told.get(), 5.0)
        finally:
            await client.close()
            await listener.close()

    assert asyncio.run(play()) == said


def test_a_new_life_waits_for_room_on_the_disk_and_a_finished_one_is_asked_after_again(tmp_path):
    lives = Incarnations(str(tmp_path), True)
    first = lives.life
    assert lives.begin_next(first + 1) and lives.unfinished == [first]
    lives.path = tmp_path / "none" / "lives"  # nothing can be written there
    assert not lives.begin_next(first + 2) and (lives.life, lives.unfinished) == (first + 1, [first])
    lives.forget({first})
    assert lives.unfinished == [first]
    again = Incarnations(str(tmp_path), True)
    assert again.unfinished == [first, first + 1] and again.life > first + 1 and again.sole


def test_old_lives_doubled_letters_and_a_second_relay_of_a_name_are_refused_and_a_folder_proves_it_is_none():
    n = node()
    n.hear(envelope(APPEND), 5.0)
    for more, why in (({}, "said before"), ({"life": 2}, "over"), ({"life": 4, "number": 2}, "still speaks")):
        with pytest.raises(Refused, match=why):
            n.hear(envelope(APPEND, **more), 5.1)
    n.hear(envelope(APPEND, life=4, number=2, sole=True), 5.2)
    with pytest.raises(Refused, match="over"):
        n.hear(envelope(APPEND, number=9), 5.3)


@given(st.binary(max_size=400))
def test_any_bytes_are_a_letter_or_no_word(data):
    with contextlib.suppress(BadMessage):
        messages.decode(data)


@given(st.integers(0, 2**32))
def test_a_hundred_thousand_bodies_change_nothing(seed):
    """A thousand bodies an example: random bytes, and envelopes with a byte changed."""
    chance, n = random.Random(seed), node()
    good = messages.encode(envelope(Append(("r1", 3), 3, 0.0, 0, [Record("x", b"y")], True)))
    for number in range(1000):
        body = bytearray(good if number % 2 else chance.randbytes(chance.randrange(80)))
        if body:
            body[chance.randrange(len(body))] = chance.randrange(256)
        with contextlib.suppress(BadMessage, Refused):
            n.hear(messages.decode(bytes(body)), 5.0)
    assert len(n.shards) < 12 and len(n.roster.peers) == 2


@given(
    st.lists(
        st.sampled_from([Vote(("r1", 3), 4), Vote(("r1", 3), -1), APPEND, Append(("r9", 1), 3, 0.0, 0, [])])
    )
)
def test_words_of_any_order_raise_nothing_but_refusals(said):
    n = node()
    for number, message in enumerate(said, 1):
        with contextlib.suppress(Refused):
            n.hear(envelope(message, number=number), 5.0 + number)


def test_an_address_in_use_and_a_name_that_another_has_end_a_start_with_status_2(tmp_path):
    async def play():
        cluster = Cluster(tmp_path, 3, 7)
        held = socket.create_server(("127.0.0.1", int(cluster.peers["r2"].rpartition(":")[2])))
        try:
            with pytest.raises(TrialFailed, match="ended with 2") as taken:
                await cluster.start()
            held.close()
            await cluster.restart("r2")
            await asyncio.sleep(2.0)
            async with aiohttp.ClientSession() as session:
                for body in (b"", b"x" * 100, b"\x85"):
                    async with session.post(f"http://{cluster.peers['r0']}/peers", data=body) as said:
                        assert said.status == 400
                async with session.get(f"http://{cluster.peers['r0']}/else") as said:
                    assert said.status == 404
            # Another relay with the name of the first, in a folder of its own.
            twin = cluster.twin("r0")
            await twin.start()
            status = await asyncio.wait_for(twin.process.wait(), 12.0)
            return str(taken.value), status, twin.tail()
        finally:
            held.close()
            await cluster.close()

    said, status, tail = asyncio.run(play())
    assert "peers.relays: r2" in said
    assert status == 2 and "another relay of that name still speaks" in tail

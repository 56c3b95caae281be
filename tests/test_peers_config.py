"""`[peers]`: invalid configuration ends the start with one line and status 2, and invalid bytes at the peers'
address change nothing."""

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
from ryestack.peers.messages import (
    Append,
    AppendReply,
    BadMessage,
    Envelope,
    Record,
    VoteReply,
    VoteRequest,
)
from ryestack.peers.node import MAX_LIVES, ClusterConfig, Node, Refused
from ryestack.peers.transport import PeerClient, PeerListener

RELAYS = [Peer(f"r{i}", f"127.0.0.1:{9000 + i}", "ab"[i % 2]) for i in range(3)]


@pytest.mark.parametrize(
    "change, key, message",
    [
        ({"relays": [*RELAYS, RELAYS[0]]}, "peers.relays", "names r0 twice"),
        ({"relays": [*RELAYS, Peer("r9", RELAYS[0].address)]}, "peers.relays", "one address twice"),
        ({"relays": [Peer("r0", "nowhere"), RELAYS[1]], "guards": 1}, "peers.relays", "must be address:port"),
        ({"name": "r7"}, "peers.name", "r7"),
        ({"guards": 3}, "peers.guards", "2 other relays"),
        ({"cluster": ""}, "peers.cluster", "must be named"),
    ],
)
def test_each_fault_names_its_key(change, key, message):
    good = {"cluster": "c", "name": "r0", "relays": RELAYS, "guards": 2}
    assert peers_rules(Peers(**good)) == []
    [(found, what)] = peers_rules(Peers(**{**good, **change}))
    assert found == key and message in what


def node(now=0.0):
    zones = {"r0": "a", "r1": "b", "r2": "a"}
    return Node(ClusterConfig("c", "r0", zones, 2, 1.0), 5, False, random.Random(1), now)


def envelope(message, **more):
    head = {"cluster": "c", "sender": "r1", "life": 3, "recipient": "r0", "number": 1}
    return Envelope(**{**head, **more}, message=message)


APPEND = Append(("r1", 3), 3, 0.0, 0, [], True)


@pytest.mark.parametrize(
    "more",
    [{"cluster": "d"}, {"sender": "r9"}, {"recipient": "r2"}, {"sender": "r0"}],
)
def test_an_envelope_that_is_not_for_this_relay_changes_nothing(more):
    n = node()
    with pytest.raises(Refused):
        n.handle_request(envelope(APPEND, **more), 1.0)
    assert list(n.shards) == [("r0", 5)] and n.refused == 1


def test_shards_of_made_up_lives_are_limited():
    n = node()
    for life in range(1, 300):
        try:
            n.handle_request(envelope(Append(("r1", life), 3, 0.0, 0, [], True), number=life), 5.0)
        except Refused as why:
            assert "too many lives" in str(why)
    assert len(n.shards) == MAX_LIVES + 1


def test_a_reply_in_many_chunks_is_read_to_its_end():
    """One reply holds all of a shard: a client that stops at its first chunk could never take over."""
    records = [Record(f"n{i}", bytes(60_000)) for i in range(60)]
    reply = envelope(VoteReply(("r1", 3), 4, True, 4, 0.0, (3, 60), records, True))

    async def play():
        listener, replies = PeerListener(("127.0.0.1", 0), lambda _: reply), asyncio.Queue()
        listener.bind()
        address = await listener.open()
        client = PeerClient({"r1": address}, replies.put_nowait, lambda _: None)
        client.send("r1", envelope(VoteRequest(("r1", 3), 4)))
        try:
            return await asyncio.wait_for(replies.get(), 5.0)
        finally:
            await client.close()
            await listener.close()

    assert asyncio.run(play()) == reply


def test_a_new_life_waits_until_it_can_be_written_and_an_unwritten_end_of_one_is_repeated(tmp_path):
    lives = Incarnations(str(tmp_path), True)
    first = lives.life
    assert lives.begin_next(first + 1) and lives.unfinished == [first]
    lives.path = tmp_path / "none" / "lives"  # cannot be written
    assert not lives.begin_next(first + 2) and (lives.life, lives.unfinished) == (first + 1, [first])
    lives.forget({first})
    assert lives.unfinished == [first]
    again = Incarnations(str(tmp_path), True)
    assert again.unfinished == [first, first + 1] and again.life > first + 1 and again.sole


def test_old_lives_duplicates_and_a_second_relay_of_a_name_are_refused_unless_its_folder_proves_it_is_sole():
    n = node()
    n.handle_request(envelope(APPEND), 5.0)
    for more, why in (({}, "said before"), ({"life": 2}, "over"), ({"life": 4, "number": 2}, "still speaks")):
        with pytest.raises(Refused, match=why):
            n.handle_request(envelope(APPEND, **more), 5.1)
    n.handle_request(envelope(APPEND, life=4, number=2, sole=True), 5.2)
    with pytest.raises(Refused, match="over"):
        n.handle_request(envelope(APPEND, number=9), 5.3)


RECORD = Record("n1", b"x", True, 9.5)
# Envelopes as builds with the former field names wrote them.
FORMER = [
    (
        Append(("r1", 3), 4, 1.5, 2, [RECORD], True, True),
        b"\x88\xa4type\xa6append\xa4seat\x92\xa2r1\x03\xa5epoch\x04\xa5asked\xcb?\xf8\0\0\0\0\0\0\xa4base\x02"
        b"\xa7records\x91\x94\xa2n1\xc4\x01x\xc3\xcb@#\0\0\0\0\0\0\xa5whole\xc3\xa7settled\xc3",
    ),
    (
        AppendReply(("r1", 3), 4, 1.5, True, (4, 7)),
        b"\x86\xa4type\xa8appended\xa4seat\x92\xa2r1\x03\xa5epoch\x04\xa5asked\xcb?\xf8\0\0\0\0\0\0"
        b"\xa7granted\xc3\xa2at\x92\x04\x07",
    ),
    (
        VoteRequest(("r1", 3), 5, True),
        b"\x84\xa4type\xa4vote\xa4seat\x92\xa2r1\x03\xa5epoch\x05\xa8released\xc3",
    ),
    (
        VoteReply(("r1", 3), 5, True, 5, 0.5, (4, 7), [RECORD], True),
        b"\x89\xa4type\xa5voted\xa4seat\x92\xa2r1\x03\xa5epoch\x05\xa3yes\xc3\xa7highest\x05"
        b"\xa4wait\xcb?\xe0\0\0\0\0\0\0\xa2at\x92\x04\x07"
        b"\xa7records\x91\x94\xa2n1\xc4\x01x\xc3\xcb@#\0\0\0\0\0\0\xa5knows\xc3",
    ),
]
HEAD = b"\x87\xa7cluster\xa1c\xa6sender\xa2r1\xa4life\x03\xa2to\xa2r0\xa6number\x06\xa4word"


@pytest.mark.parametrize("message, body", FORMER)
def test_messages_on_the_wire_keep_the_former_field_names(message, body):
    data = HEAD + body + b"\xa4sole\xc3"
    assert messages.decode(data) == envelope(message, number=6, sole=True)
    assert messages.encode(messages.decode(data)) == data


@given(st.binary(max_size=400))
def test_any_bytes_decode_or_raise_bad_message(data):
    with contextlib.suppress(BadMessage):
        messages.decode(data)


@given(st.integers(0, 2**32))
def test_a_hundred_thousand_bodies_change_nothing(seed):
    """A thousand bodies per example: random bytes, and envelopes with one byte changed."""
    rng, n = random.Random(seed), node()
    good = messages.encode(envelope(Append(("r1", 3), 3, 0.0, 0, [Record("x", b"y")], True)))
    for number in range(1000):
        body = bytearray(good if number % 2 else rng.randbytes(rng.randrange(80)))
        if body:
            body[rng.randrange(len(body))] = rng.randrange(256)
        with contextlib.suppress(BadMessage, Refused):
            n.handle_request(messages.decode(bytes(body)), 5.0)
    assert len(n.shards) < 12 and len(n.roster.peers) == 2


@given(
    st.lists(
        st.sampled_from(
            [VoteRequest(("r1", 3), 4), VoteRequest(("r1", 3), -1), APPEND, Append(("r9", 1), 3, 0.0, 0, [])]
        )
    )
)
def test_requests_in_any_order_raise_nothing_but_refusals(requests):
    n = node()
    for number, message in enumerate(requests, 1):
        with contextlib.suppress(Refused):
            n.handle_request(envelope(message, number=number), 5.0 + number)


def test_an_address_in_use_and_a_name_that_another_has_end_a_start_with_status_2(tmp_path):
    async def play():
        cluster = Cluster(tmp_path, 3, 7)
        held = socket.create_server(("127.0.0.1", int(cluster.peers["r2"].rpartition(":")[2])))
        try:
            with pytest.raises(TrialFailed, match="exited with status 2") as taken:
                await cluster.start()
            held.close()
            await cluster.restart("r2")
            await asyncio.sleep(2.0)
            async with aiohttp.ClientSession() as session:
                for body in (b"", b"x" * 100, b"\x85"):
                    async with session.post(f"http://{cluster.peers['r0']}/peers", data=body) as response:
                        assert response.status == 400
                async with session.get(f"http://{cluster.peers['r0']}/else") as response:
                    assert response.status == 404
            # Another relay with the name of the first, with its own state folder.
            twin = cluster.twin("r0")
            await twin.start()
            status = await asyncio.wait_for(twin.process.wait(), 12.0)
            return str(taken.value), status, twin.tail()
        finally:
            held.close()
            await cluster.close()

    message, status, tail = asyncio.run(play())
    assert "peers.relays: r2" in message
    assert status == 2 and "another relay of that name still speaks" in tail

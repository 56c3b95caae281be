"""A relay's control client: changes, rejections, failover after invalid answers, traffic of idle polls."""

import asyncio
import json
import random

import pytest

from ryestack.control import messages
from ryestack.control.client import ControlClient, new_session
from ryestack.control.messages import MAX_MESSAGE_BYTES, Rejection
from ryestack.control.order import Machine
from ryestack.control.subscription import Identity

from .control_server import ControlServer, until
from .helpers import stand_in

PLACE = json.dumps({"region": "eu", "zone": "a"}).encode()
IDLE_POLL_BYTES = 700  # request and answer with headers; a relay may use 2 KB per second


class Follower:
    """A client, and the entries and failures that its callbacks received."""

    def __init__(self, machines, name="r0", session=None, hold=1.0, cluster="c"):
        self.held, self.versions, self.reported_failures = {}, [], []
        self.client = ControlClient(
            Identity(cluster, name, 1, "eu", "a"), machines, self.apply, self.check, hold=hold,
            clock=asyncio.get_running_loop().time, rng=random.Random(name), session=session,
            on_failure=self.reported_failures.append,
        )  # fmt: skip
        self.task = asyncio.ensure_future(self.client.run())

    def apply(self, entries, removed, version):
        for key in removed:
            del self.held[key]
        self.held |= {entry.key: entry.value for entry in entries}
        self.versions.append(version)

    def check(self, entries):
        bad = [entry.key for entry in entries if entry.value == b'"bad"']
        return Rejection(0, bad[0], "it is bad") if bad else None

    async def close(self):
        self.task.cancel()
        await asyncio.gather(self.task, return_exceptions=True)
        await self.client.close()


def test_many_clients_sharing_a_session_receive_changes():
    async def scenario():
        server, session = await ControlServer().open(), new_session()
        server.change(*((f"relay/r{n}", "@", PLACE) for n in range(3)))
        followers = [Follower([server.machine], f"r{n}", session) for n in range(3)]
        server.change(("destination/1", "eu/1", b"1"), ("setting/settings", "*", b"2"))
        await until(lambda: all("setting/settings" in f.held for f in followers))
        await until(lambda: sum("destination/1" in f.held for f in followers) == 2)
        newest = server.change(("destination/1", "eu/1", None))
        await until(lambda: all(f.client.version == newest for f in followers))
        assert not any("destination/1" in f.held for f in followers)
        assert all(f.client.age() < 3.0 and not f.client.failures for f in followers)
        assert {report.applied for report in server.publisher.reports.values()} <= {newest - 1, newest}
        for follower in followers:
            await follower.close()
        assert not session.closed
        await session.close()
        await server.close()

    asyncio.run(scenario())


def test_a_bad_value_is_rejected_by_key_and_a_later_value_repairs_it():
    async def scenario():
        server = await ControlServer().open()
        server.change(("setting/settings", "*", b"1"))
        follower = Follower([server.machine])
        await until(lambda: follower.held)
        bad = server.change(("setting/settings", "*", b'"bad"'), ("setting/other", "*", b"1"))
        await until(lambda: server.publisher.reports["r0"].rejected is not None)
        assert server.publisher.reports["r0"].rejected == Rejection(bad, "setting/settings", "it is bad")
        assert server.publisher.reports["r0"].applied == bad - 1
        assert follower.held == {"setting/settings": b"1"}
        server.change(("setting/settings", "*", b"3"))
        await until(lambda: follower.held == {"setting/settings": b"3", "setting/other": b"1"})
        await until(lambda: server.publisher.reports["r0"].rejected is None)
        await follower.close()
        await server.close()

    asyncio.run(scenario())


INVALID_ANSWERS = {
    "no message": lambda: b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc",
    "a status": lambda: b"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n",
    "no http": lambda: b"\x00\x01\x02\r\n\r\n",
    "no end": lambda: b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    + b"100000\r\n" + b"x" * 1048576 + b"\r\n1\r\nx\r\n",
    "nothing": lambda: None,
    "another's answer": lambda: _answer(messages.Piece("*", 5, [], True)),
    "a delta from elsewhere": lambda: _answer(messages.Delta(7, 9, [], 9)),
    "an older scope": lambda: _answer(messages.TooOld(3)),
}  # fmt: skip


def _answer(message):
    body = messages.encode(message)
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)


@pytest.mark.parametrize("kind", INVALID_ANSWERS)
def test_an_invalid_answer_causes_a_failover_and_changes_nothing(kind):
    async def scenario():
        assert MAX_MESSAGE_BYTES == 1048576
        server = await ControlServer("m1", "us").open()
        version = server.change(("setting/settings", "*", b"1"))
        other, address = await stand_in(lambda head, body: INVALID_ANSWERS[kind]())
        follower = Follower([Machine("m0", address, "eu"), server.machine])
        await until(lambda: follower.client.version == version)
        assert follower.held == {"setting/settings": b"1"}
        assert follower.reported_failures[0].startswith("m0: ")
        await follower.close()
        other.close()
        await server.close()

    asyncio.run(scenario())


def test_a_wrong_cluster_is_refused_and_the_holdings_stay():
    async def scenario():
        server = await ControlServer().open()
        server.change(("setting/settings", "*", b"1"))
        follower = Follower([server.machine], cluster="another")
        await until(lambda: len(follower.reported_failures) > 1)
        assert "409" in follower.reported_failures[0] and not follower.held and not server.publisher.reports
        await follower.close()
        await server.close()

    asyncio.run(scenario())


def test_failover_from_a_closed_machine_and_to_a_restarted_one():
    async def scenario():
        servers = [await ControlServer(f"m{n}").open() for n in range(2)]
        for server in servers:
            server.change(("setting/settings", "*", b"1"))
        follower = Follower([server.machine for server in servers])
        await until(lambda: follower.held)
        lost = next(s for s in servers if s.machine == follower.client.subscriber.machine)
        remaining = next(s for s in servers if s is not lost)
        await lost.close()
        version = remaining.change(("setting/settings", "*", b"2"))
        await until(lambda: follower.client.version == version)
        await remaining.close()
        await until(lambda: follower.client.age() > 1.5)
        assert follower.held == {"setting/settings": b"2"}
        back = ControlServer(remaining.name, port=remaining.port)
        back.publisher = remaining.publisher
        await back.open()
        version = back.change(("setting/settings", "*", b"3"))
        await until(lambda: follower.client.version == version)
        await follower.close()
        await back.close()

    asyncio.run(scenario())


def test_an_idle_poll_is_small():
    """Counts bytes in both directions with headers; a relay polls every four to five seconds."""

    async def scenario():
        server = await ControlServer().open()
        server.change(("relay/r0", "@", PLACE), ("setting/settings", "*", b"1"))
        counted, polls = [0], [0]

        async def pipe(reader, writer):
            while data := await reader.read(65536):
                counted[0] += len(data)
                polls[0] += data.startswith(b"POST ")
                writer.write(data)
            writer.close()

        async def link(reader, writer):
            there = await asyncio.open_connection("127.0.0.1", server.port)
            await asyncio.gather(pipe(reader, there[1]), pipe(there[0], writer), return_exceptions=True)

        between = await asyncio.start_server(link, "127.0.0.1", 0)
        port = between.sockets[0].getsockname()[1]
        follower = Follower([Machine("m0", f"127.0.0.1:{port}", "eu")], hold=0.2)
        await until(lambda: follower.held and polls[0] > 5)
        counted[0] = polls[0] = 0
        await until(lambda: polls[0] >= 5)
        print(f"bytes an idle poll: {counted[0] / polls[0]:.0f}")
        assert counted[0] / polls[0] < IDLE_POLL_BYTES
        await follower.close()
        between.close()
        await server.close()

    asyncio.run(scenario())

"""Races: an answer before the end of a request, a kill before the first byte, a full accept queue handed
over."""

import asyncio
import os
import shutil
import socket
import tempfile
from contextlib import suppress
from types import SimpleNamespace
from unittest import mock

from ryestack import interface
from ryestack.interface import Result
from ryestack.lifecycle.owner import Owner
from ryestack.lifecycle.terms import Terms
from ryestack.ports import Submission, Verdict
from ryestack.store.journal import Journal
from ryestack.store.ledger import Ledger
from ryestack.wire.calls import CallDispatcher
from ryestack.wire.endpoint_connection import EndpointConnection
from ryestack.wire.server import ClientListener

from .helpers import http, keep_connections, members, push_message, settings, take
from .test_wire import RAW

WHOLE = RAW % 1 + b"x"


async def far_end(listener) -> socket.socket:
    sock, _ = await asyncio.wait_for(asyncio.get_running_loop().sock_accept(listener), 3.0)
    sock.setblocking(False)
    return sock


async def read_until(sock, mark: bytes) -> None:
    data = b""
    async with asyncio.timeout(3.0):
        while mark not in data:
            data += await asyncio.get_running_loop().sock_recv(sock, 65536)


async def all_that_comes(sock) -> int:
    """The number of bytes until the connection is closed or reset."""
    got = 0
    with suppress(ConnectionResetError):
        async with asyncio.timeout(3.0):
            while data := await asyncio.get_running_loop().sock_recv(sock, 1 << 20):
                got += len(data)
    return got


async def outcome(events: asyncio.Queue) -> interface.Outcome:
    """The next outcome in the queue."""
    async with asyncio.timeout(3.0):
        while not isinstance(each := await events.get(), interface.Outcome):
            pass
    return each


async def with_calls(story) -> None:
    """Run story(calls, listener of the endpoint "a", queue of events)."""
    queue, listener = asyncio.Queue(), socket.create_server(("127.0.0.1", 0))
    listener.setblocking(False)
    host, port = listener.getsockname()
    clock = asyncio.get_running_loop().time
    tell = lambda events: [queue.put_nowait(each) for each in events]  # noqa: E731
    calls = CallDispatcher(settings(connection_idle=5.0), members(address=f"{host}:{port}"), clock, tell, 50)
    try:
        await story(calls, listener, queue)
    finally:
        await calls.close()
        listener.close()


def push(name="n", body=b"x"):
    return push_message(name, 0, 5.0, "k", body, None)


def test_after_a_refusal_before_our_last_byte_the_rest_is_not_sent():
    """A refusal then means that the request never ran, whether or not it answers this request. The HTTP
    library has accepted the body, but most of it is still in our buffers and must not be sent."""
    body, made = b"b" * 60_000, EndpointConnection.connection_made

    def with_little_room(connection, transport):
        transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 2048)
        made(connection, transport)

    async def story(calls, listener, queue):
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)
        with mock.patch.object(EndpointConnection, "connection_made", with_little_room):
            calls.start("a", [push(body=body)])
            sock = await far_end(listener)
            await read_until(sock, b"\r\n\r\nb")
        [connection] = calls.pool.connections
        assert connection.raw_transport.get_write_buffer_size() > 10_000
        sock.send(http(503))
        assert (await outcome(queue)).result is Result.FULL
        assert await all_that_comes(sock) < len(body) - 10_000
        sock.close()

    asyncio.run(with_calls(story))


def test_an_answer_behind_an_unexpected_one_does_not_answer_the_next_call():
    """After our last byte an unexpected 200 looks like the answer. The true answer that follows must not
    be taken for the answer to the next call."""

    async def story(calls, listener, queue):
        keep_connections(calls, "a")
        calls.start("a", [push("first")])
        sock = await far_end(listener)
        await read_until(sock, b"\r\n\r\nx")
        sock.send(http(200))
        assert (await outcome(queue)).result is Result.DELIVERED
        sock.send(http(500))  # the true answer, too late: no further request uses that connection
        calls.start("a", [push("next")])
        other = await far_end(listener)
        await read_until(other, b"\r\n\r\nx")
        other.send(http(200))
        assert (await outcome(queue)).result is Result.DELIVERED
        assert await all_that_comes(sock) == 0
        for each in (sock, other):
            each.close()

    asyncio.run(with_calls(story))


def owner(folder: str, now: float, start) -> tuple[Owner, list]:
    """An owner over a folder, and the notices that it sends."""
    notices, ledger = [], Ledger(Journal(folder, 100_000))
    ledger.recover()
    made = Owner(settings(), 1, ledger, lambda: now, 1000.0)
    made.dispatcher = SimpleNamespace(drop_removed_endpoints=lambda: None, start=start)
    made.dispatcher.close_idle = made.dispatcher.cancel_unsent = lambda _: None
    made.notices = SimpleNamespace(add=lambda name, notice: notices.append((name, notice)))
    return made, notices


def test_a_kill_between_the_push_record_and_the_first_byte_counts_as_a_push_that_may_have_run():
    listed = interface.ListUpdate((interface.Endpoint("a", "z", "shared", 7, rate=50.0),), whole=True)

    async def story(folder, left):
        killed, loop = [], asyncio.get_running_loop()

        def killed_here(_, items):
            killed.extend(i.id for i in items)
            shutil.copytree(folder, left, dirs_exist_ok=True)

        first, _ = owner(folder, 10.0, killed_here)
        first.brain.round(0.0, [listed])
        names = {"one": "once", "two": "again"}
        handed = [
            Submission(take(name, topic, 30.0), "", b"x", loop.create_future(), loop.create_future())
            for name, topic in names.items()
        ]
        first.round(handed)
        assert sorted(killed) == sorted(names)
        assert [message.verdict.result()[0] for message in handed] == [Verdict.ACCEPTED] * 2
        first.ledger.journal.close()
        pushed = []
        second, notices = owner(left, 11.0, lambda _, items: pushed.extend((i.id, i.push) for i in items))
        second.recover([listed])
        second.clock = lambda: 11.1
        second.round([interface.TimerFired()])
        second.ledger.journal.close()
        assert (notices, pushed) == ([("one", {"state": "failed"})], [("two", 1)])

    with tempfile.TemporaryDirectory() as folder, tempfile.TemporaryDirectory() as left:
        asyncio.run(story(folder, left))


def test_a_full_accept_queue_is_handed_over_completely():
    """The old process accepts no connection: some wait in the accept queue, some for a place in it. Closing
    its descriptor must reset none of them."""

    async def ask(address) -> bytes:
        reader, writer = await asyncio.open_connection(*address)
        writer.write(WHOLE)
        status_line = await reader.read(12)
        writer.close()
        return status_line

    async def story():
        before = socket.create_server(("127.0.0.1", 0), backlog=4, reuse_port=True)
        asked = [asyncio.ensure_future(ask(before.getsockname()[:2])) for _ in range(12)]
        await asyncio.sleep(0.2)
        assert not any(each.done() for each in asked)
        clock, handed = asyncio.get_running_loop().time, socket.socket(fileno=os.dup(before.fileno()))
        take_on = lambda message: message.verdict.set_result((Verdict.THROTTLED, 0.0))  # noqa: E731
        clients = ClientListener(settings(), Terms(settings()), members(), clock, take_on, asked.append, 50)
        await clients.listen(*before.getsockname()[:2], handed)
        before.close()
        async with asyncio.timeout(5.0):
            answers = await asyncio.gather(*asked)
        clients.stop_listening()
        await clients.server.shutdown(0.1)
        assert answers == [b"HTTP/1.1 503"] * 12

    asyncio.run(story())

"""Ends of client connections, each crossed by bytes at the very point: raw sockets, no sleep that hopes."""

import asyncio
import socket
import unittest
from unittest import mock

from ryestack.lifecycle.terms import Terms
from ryestack.ports import Verdict
from ryestack.wire import client_connection
from ryestack.wire.client_connection import MAX_DISCARDED_BYTES, MAX_LINGERING
from ryestack.wire.server import ClientListener

from .helpers import members, settings
from .test_wire import RAW

WHOLE = RAW % 1 + b"x"
ANOTHER = WHOLE.replace(b"X-Request-Id: n", b"X-Request-Id: m")


class Served:
    """Clients' side in this loop, and raw sockets to it."""

    async def asyncSetUp(self):
        self.submitted, self.gone = [], []
        self.loop = asyncio.get_running_loop()
        self.clients = ClientListener(
            settings(), Terms(settings()), members(), self.loop.time, self.take, self.gone.append, 50
        )
        await self.clients.listen("127.0.0.1", 0)
        self.clients.ready, self.open = True, []
        self.at = self.clients.listener.sockets[0].getsockname()[:2]

    async def asyncTearDown(self):
        for sock in self.open:
            sock.close()
        self.clients.stop_listening()
        await self.clients.server.shutdown(0.1)

    def take(self, message):
        self.submitted.append(message.notification.id)
        message.verdict.set_result((Verdict.ACCEPTED, 0.0))

    async def connect(self) -> socket.socket:
        """A client's socket, once the server has its connection."""
        before = len(self.clients.server.connections)
        sock = socket.create_connection(self.at, timeout=2.0)
        sock.setblocking(False)
        self.open.append(sock)
        while len(self.clients.server.connections) == before:
            await asyncio.sleep(0)
        await self.until(lambda: self.clients.server.connections[-1].idle())
        return sock

    async def until(self, ready):
        async with asyncio.timeout(3.0):
            while not ready():
                await asyncio.sleep(0.001)

    async def rest(self, sock) -> bytes:
        """All that comes, to a clean end: a reset raises."""
        said = b""
        async with asyncio.timeout(3.0):
            while data := await self.loop.sock_recv(sock, 65536):
                said += data
        return said

    def crossing(self, sock, data):
        """A look that finds nothing, and the client's bytes right after it: no close comes sooner."""

        def look(_):
            sock.send(data)
            return False

        return mock.patch.object(client_connection, "has_unread", look)


class Crossed(Served, unittest.IsolatedAsyncioTestCase):
    async def test_a_request_that_crosses_our_end_is_not_taken_on_and_meets_no_reset(self):
        for end in (
            lambda c: c.close_if_quiet(0.0),
            lambda c: c.force_close(),
            lambda c: setattr(c, "_next_keepalive_close_time", 0.0) or c._process_keepalive(),
        ):
            sock = await self.connect()
            [connection] = self.clients.server.connections
            with self.crossing(sock, WHOLE):
                end(connection)
            if not connection.ending.discarded:
                sock.send(WHOLE)
            self.assertEqual(await self.rest(sock), b"")
            await self.until(lambda c=connection: c.ending.discarded >= len(WHOLE))
            sock.close()
            await self.until(lambda: not self.clients.server.connections)
        self.assertEqual(self.submitted, [])

    async def test_a_request_that_has_come_by_then_is_answered(self):
        for end in (
            lambda c: c.close_if_quiet(0.0),
            lambda c: setattr(c, "_next_keepalive_close_time", 0.0) or c._process_keepalive(),
        ):
            sock = await self.connect()
            [connection] = self.clients.server.connections
            sock.send(WHOLE)
            end(connection)
            await self.until(lambda: self.submitted)
            self.assertEqual((await self.loop.sock_recv(sock, 65536))[9:12], b"202")
            self.submitted.clear()
            sock.close()
            await self.until(lambda: not self.clients.server.connections)

    async def test_an_idle_connection_with_a_request_does_not_make_room_for_another(self):
        self.clients.max_connections = 2
        first, second = await self.connect(), await self.connect()
        first.send(WHOLE)
        third = self.clients.accept()
        self.assertIsInstance(third, client_connection.ClientConnection)
        self.assertEqual(await self.rest(second), b"")
        self.assertEqual((await self.loop.sock_recv(first, 65536))[9:12], b"202")

    async def test_a_request_with_nonsense_behind_it_is_answered_before_the_end(self):
        for nonsense in (b"\x00\x01 no request\r\n\r\n", b"POST /api HTTP/9\r\n\r\n", b"\r\n" * 3 + b"x\r\n"):
            waiting = []
            self.clients.submit = waiting.append
            sock = await self.connect()
            sock.send(WHOLE)
            await self.until(lambda w=waiting: w)
            sock.send(nonsense)
            await asyncio.sleep(0.05)
            waiting[0].verdict.set_result((Verdict.ACCEPTED, 0.0))
            self.assertEqual((await self.rest(sock))[9:12], b"202")

    async def test_an_answer_that_says_close_is_read_whole_behind_bytes_we_never_wanted(self):
        twice = RAW.replace(b"Content-Length", b"Content-Length: 4\r\nContent-Length")
        for head in (RAW % 60_000_000, twice % 9):
            sock = await self.connect()
            await self.loop.sock_sendall(sock, head + b"x" * 50_000)
            [connection] = self.clients.server.connections
            await self.until(lambda c=connection: c.ending)
            await self.loop.sock_sendall(sock, b"x" * 50_000)
            said = await self.rest(sock)
            self.assertIn(said[9:12], (b"400", b"413"))
            sock.close()
            await self.until(lambda: not self.clients.server.connections)

    async def test_while_it_leaves_all_that_was_read_is_answered_and_nothing_behind_that_read(self):
        self.clients.start_drain()
        sock = await self.connect()
        [connection] = self.clients.server.connections
        await self.loop.sock_sendall(sock, WHOLE + ANOTHER)
        await self.until(lambda: connection.ending)
        sock.send(WHOLE.replace(b"X-Request-Id: n", b"X-Request-Id: o"))
        said = await self.rest(sock)
        answers = said.split(b"HTTP/1.1 ")[1:]
        self.assertEqual([answer[:3] for answer in answers], [b"202", b"202"])
        self.assertEqual([b"connection: close" in a.lower() for a in answers], [False, True])
        await self.until(lambda: connection.ending.discarded)
        self.assertEqual(self.submitted, ["n", "m"])

    async def test_a_client_that_neither_ends_nor_stops_is_cut_off(self):
        sock = await self.connect()
        [connection] = self.clients.server.connections
        connection.force_close()
        with self.assertRaises(ConnectionError):
            for _ in range(10 * MAX_DISCARDED_BYTES // 65536):
                await asyncio.wait_for(self.loop.sock_sendall(sock, b"x" * 65536), 3.0)
                await asyncio.sleep(0)
        self.assertLess(connection.ending.discarded, MAX_DISCARDED_BYTES + 1024 * 1024)
        silent = await self.connect()
        [connection] = self.clients.server.connections
        connection.force_close()
        await self.until(lambda: not self.clients.server.connections)
        silent.close()

    async def test_past_the_bound_a_request_hears_503_and_what_rests_after_our_end_holds_nothing(self):
        self.clients.max_connections = 1
        self.clients.submit = lambda message: self.submitted.append(message.notification.id)
        busy = await self.connect()
        busy.send(WHOLE)  # its verdict never comes
        await self.until(lambda: self.submitted)
        socks = [socket.create_connection(self.at, timeout=2.0) for _ in range(MAX_LINGERING + 2)]
        self.open += socks
        for sock in socks:
            sock.setblocking(False)
        await self.until(lambda: len(client_connection.RefusedConnection.active) == MAX_LINGERING)
        for sock in socks[MAX_LINGERING:]:
            self.assertEqual(await self.rest(sock), b"")
        for sock in socks[:MAX_LINGERING]:
            sock.send(ANOTHER)
        for sock in socks[:MAX_LINGERING]:
            self.assertEqual((await self.rest(sock))[9:12], b"503")
        for sock in socks:
            sock.close()
        await self.until(lambda: not client_connection.RefusedConnection.active)
        self.assertEqual(self.submitted, ["n"])

    async def test_those_that_linger_are_cut_off_past_their_bound(self):
        self.clients.max_connections = 1
        socks = []
        for _ in range(MAX_LINGERING + 3):
            socks.append(await self.connect())
            self.clients.server.connections[-1].force_close()
        self.assertLessEqual(len(self.clients.server.connections), 1 + MAX_LINGERING + 1)

    async def test_once_the_listener_is_shut_each_idle_client_is_ended_cleanly(self):
        socks = [await self.connect() for _ in range(5)]
        await self.loop.sock_sendall(socks[0], WHOLE)
        self.clients.start_drain()
        self.clients.stop_accepting()
        said = [await self.rest(sock) for sock in socks]
        self.assertEqual([part[9:12] for part in said], [b"202", b"", b"", b"", b""])
        self.assertIn(b"Connection: close", said[0])


if __name__ == "__main__":
    unittest.main()

"""Base of tests that play an endpoint on raw sockets against a CallDispatcher."""

import asyncio
import socket
import unittest
from math import inf

from ryestack import interface
from ryestack.interface import Result
from ryestack.wire.calls import CallDispatcher

from .helpers import http, keep_connections, members, push_message, settings


def message(name="n", push=0, timeout=5.0, body=b"x", acknowledged=None, begin_within=inf):
    """timeout, begin_within: seconds from now."""
    return push_message(name, push, timeout, "k", body, acknowledged, begin_within)


class EndpointSockets(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.loop, self.events, self.accepted = asyncio.get_running_loop(), asyncio.Queue(), []
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.listener.setblocking(False)
        host, port = self.listener.getsockname()
        self.calls = CallDispatcher(
            settings(connection_idle=5.0), members(address=f"{host}:{port}"), self.loop.time, self.publish, 50
        )

    async def asyncTearDown(self):
        await self.calls.close()
        for sock in (self.listener, *self.accepted):
            sock.close()

    def publish(self, events):
        for event in events:
            self.events.put_nowait(event)

    async def next_event(self, kind=interface.Outcome):
        async with asyncio.timeout(3.0):
            while not isinstance(event := await self.events.get(), kind):
                pass
        return event

    async def accept(self) -> socket.socket:
        sock, _ = await asyncio.wait_for(self.loop.sock_accept(self.listener), 3.0)
        sock.setblocking(False)
        self.accepted.append(sock)
        return sock

    async def receive_until(self, sock, mark=b"\r\n\r\nx") -> bytes:
        data = b""
        async with asyncio.timeout(3.0):
            while mark not in data:
                data += await self.loop.sock_recv(sock, 65536)
        return data

    async def receive_rest(self, sock) -> bytes:
        """The bytes still received; a connection that is closed with unread bytes is reset: then none."""
        try:
            return await asyncio.wait_for(self.loop.sock_recv(sock, 100), 3.0)
        except ConnectionResetError:
            return b""

    async def idle_connection(self) -> socket.socket:
        """The endpoint's socket of an idle connection that has carried a call."""
        keep_connections(self.calls, "a")
        self.calls.start("a", [message("first")])
        sock = await self.accept()
        await self.receive_until(sock)
        sock.send(http(200))
        self.assertEqual((await self.next_event()).result, Result.DELIVERED)
        return sock

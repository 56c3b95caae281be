"""The HTTP server of a control machine: limits on connections and bodies, closed connections."""

import asyncio
import socket
import time

from ryestack.control.server import ControlServer, Response, Route
from ryestack.lab.ports import free_port


class Served:
    """A server with one path that answers the body's length, or holds the request if the body is `hold`."""

    def __init__(self):
        self.port, self.bodies = free_port(), []
        self.server = ControlServer(("127.0.0.1", self.port), [Route("POST", "/x", 100, self.answer)])

    async def answer(self, body: bytes, _: str) -> Response:
        self.bodies.append(body)
        if body == b"hold":
            await asyncio.sleep(60)
        return Response(200, str(len(body)).encode(), "text/plain")

    async def __aenter__(self):
        self.server.bind()
        await self.server.open()
        return self

    async def __aexit__(self, *_):
        await self.server.close()

    def request(self, body: bytes) -> bytes:
        return b"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)

    async def ask(self, body: bytes):
        """Opens a connection and sends a request."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        writer.write(self.request(body))
        return reader, writer


async def status(reader) -> int:
    line = await asyncio.wait_for(reader.readline(), 10)
    return int(line.split()[1]) if line else 0


def test_a_request_on_a_closed_connection_is_not_handled():
    async def scenario():
        async with Served() as served:
            for _ in range(20):
                closed_connection = socket.create_connection(("127.0.0.1", served.port))
                closed_connection.sendall(served.request(b"gone"))
                closed_connection.close()
            time.sleep(0.1)  # blocks the loop, so that all requests have arrived when it continues
            reader, _ = await served.ask(b"there")
            assert await status(reader) == 200
            assert served.bodies == [b"there"]

    asyncio.run(asyncio.wait_for(scenario(), 20))


def test_bodies_above_the_limit_are_refused():
    async def scenario():
        async with Served() as served:
            reader, _ = await served.ask(b"x" * 101)
            assert await status(reader) == 413
            assert served.bodies == []

    asyncio.run(asyncio.wait_for(scenario(), 20))


def test_at_the_limit_idle_connections_are_closed_and_busy_ones_stay():
    async def scenario():
        async with Served() as served:
            served.server._max_connections = 3
            held = [await served.ask(b"hold") for _ in range(2)]
            idle = await served.ask(b"idle")
            assert await status(idle[0]) == 200
            reader, writer = await served.ask(b"new")
            assert await status(reader) == 200
            await idle[0].read()  # closed
            writer.write(served.request(b"hold"))
            while served.bodies.count(b"hold") < 3:
                await asyncio.sleep(0.01)
            refused, _ = await served.ask(b"refused")
            assert await refused.read() == b""
            assert b"refused" not in served.bodies
            assert not any(reader.at_eof() for reader, _ in held)

    asyncio.run(asyncio.wait_for(scenario(), 20))

"""The second address, for the operators' staff: a few calls, each on a connection of its own.

Its listener and its bound are its own, so that clients that fill the front keep nobody out here.
"""

import asyncio

from aiohttp import web

from .acceptor import Acceptor
from .binding import bound_socket
from .client_connection import QUIET, ClientConnection, ConnectionServer

MOST = (
    16  # connections; at the bound the oldest makes room: a call is whole within a moment of its connection
)
HELD = 5.0  # seconds that a connection without a whole call may stand
BODY = 0.5  # seconds for a body, which no call needs
LARGEST = 4096  # bytes of it


class StaffServer:
    """calls: (method, path) -> a coroutine function that returns status, content type and text."""

    def __init__(self, calls: dict, at: tuple[str, int]):
        self.calls, self.at, self.listener = calls, at, None
        self.server = ConnectionServer(
            self.handle, access_log=None, keepalive_timeout=HELD, lingering_time=0.0, logger=QUIET
        )

    async def open(self) -> str:
        sock = await bound_socket(*self.at)
        self.listener = Acceptor(sock, self.accept)
        host, port = sock.getsockname()[:2]
        return f"{host}:{port}"

    def accept(self) -> asyncio.Protocol:
        if self.server.full(MOST):
            held = [c for c in self.server.connections if c not in self.server.ending]
            min(held, key=lambda c: (not ClientConnection.idle(c), c.since)).force_close()
        return self.server()

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        methods = [method for method, path in self.calls if path == request.raw_path]
        if not methods:
            return _answer(404, "text/plain", "no such path\n")
        if request.method not in methods:
            return _answer(405, "text/plain", f"{methods[0]} only\n", Allow=methods[0])
        try:  # a body left unread would reset the connection under the answer
            async with asyncio.timeout(BODY):
                while await request.content.readany():
                    if request.content.total_bytes > LARGEST:
                        return _answer(413, "text/plain", f"{LARGEST} bytes at most\n")
        except TimeoutError:
            return _answer(408, "text/plain", "the body did not come\n")
        return _answer(*await self.calls[request.method, request.raw_path]())

    async def close(self) -> None:
        if self.listener:
            self.listener.close()
            await self.server.shutdown(0.0)


def _answer(status: int, kind: str, text: str, **headers: str) -> web.Response:
    answer = web.Response(status=status, body=text.encode(), headers={"Content-Type": kind, **headers})
    answer.force_close()
    return answer

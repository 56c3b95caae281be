"""The operators' HTTP address: a few calls, each on a connection of its own.

It has its own listener and connection limit, so that clients that fill the other one keep no operator out.
"""

import asyncio

from aiohttp import web

from .acceptor import Acceptor
from .binding import bound_socket
from .client_connection import LOGGER, ClientConnection
from .connection_server import ConnectionServer

MAX_CONNECTIONS = 16  # then the oldest is evicted: a call is complete soon after its connection is opened
IDLE_TIMEOUT_S = 5.0  # of a connection without a complete call
BODY_TIMEOUT_S = 0.5  # no call needs a body
MAX_BODY_BYTES = 4096


class StaffServer:
    """Serves the operators' calls.

    calls: (method, path) -> a coroutine function that returns status, content type and text.
    """

    def __init__(self, calls: dict, address: tuple[str, int]):
        self.calls, self.address, self.listener = calls, address, None
        self.server = ConnectionServer(
            self.handle,
            access_log=None,
            keepalive_timeout=IDLE_TIMEOUT_S,
            lingering_time=0.0,
            logger=LOGGER,
        )

    async def open(self) -> str:
        """Start to listen; returns the address."""
        sock = await bound_socket(*self.address)
        self.listener = Acceptor(sock, self.accept)
        host, port = sock.getsockname()[:2]
        return f"{host}:{port}"

    def accept(self) -> asyncio.Protocol:
        """The protocol for a new connection; at the limit the oldest is evicted, idle ones first."""
        if self.server.full(MAX_CONNECTIONS):
            candidates = [c for c in self.server.connections if c not in self.server.lingering]
            min(candidates, key=lambda c: (not ClientConnection.idle(c), c.opened_at)).force_close()
        return self.server()

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one call."""
        methods = [method for method, path in self.calls if path == request.raw_path]
        if not methods:
            return _answer(404, "text/plain", "no such path\n")
        if request.method not in methods:
            return _answer(405, "text/plain", f"{methods[0]} only\n", Allow=methods[0])
        try:  # an unread body would reset the connection, and discard the answer
            async with asyncio.timeout(BODY_TIMEOUT_S):
                while await request.content.readany():
                    if request.content.total_bytes > MAX_BODY_BYTES:
                        return _answer(413, "text/plain", f"{MAX_BODY_BYTES} bytes at most\n")
        except TimeoutError:
            return _answer(408, "text/plain", "the body did not come\n")
        return _answer(*await self.calls[request.method, request.raw_path]())

    async def close(self) -> None:
        """Stop listening, and close all connections."""
        if self.listener:
            self.listener.close()
            await self.server.shutdown(0.0)


def _answer(status: int, content_type: str, text: str, **headers: str) -> web.Response:
    answer = web.Response(
        status=status, body=text.encode(), headers={"Content-Type": content_type, **headers}
    )
    answer.force_close()
    return answer

"""The address of a control machine: HTTP in bounded size, time and number of connections. It decides nothing.

Relays and followers hold one connection each while their polls wait; above the bound a connection without a
request makes room, else the newcomer is closed.
"""

import asyncio
import logging
import resource
import socket
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import aiohttp
from aiohttp import web

SILENT_LOGGER = logging.getLogger(
    "ryestack.control"
)  # bad requests are answered; a traceback of each helps nobody
SILENT_LOGGER.setLevel(logging.CRITICAL)
IDLE_TIMEOUT_SECONDS = 75.0  # that a connection may stand unused
BODY_TIMEOUT_SECONDS = 10.0  # for a whole request body
MAX_CONNECTIONS = 16_384
EOF_CHECK_ROUNDS = 3  # rounds of the loop in which a connection's end is read
SPARE_DESCRIPTORS = 128  # that are not for connections here
BACKLOG = 1024


@dataclass(frozen=True, slots=True)
class Response:
    """status, body and media type of an answer."""

    status: int
    body: bytes
    media: str = "application/json"


Handler = Callable[[bytes, str], Awaitable[Response]]
"""(body, rest of the path) -> the answer."""


@dataclass(frozen=True, slots=True)
class Route:
    """path: whole, or with a "/" at its end what any rest may follow; limit: of the body, bytes."""

    method: str
    path: str
    limit: int
    handler: Handler


class ControlServer:
    """address: host and port to listen at; `close` ends all that waits."""

    def __init__(self, address: tuple[str, int], routes: list[Route]):
        self._address, self._routes = address, {route.path: route for route in routes}
        self._busy: set[asyncio.Protocol] = set()
        self._socket = self._listener = None
        self._max_connections = min(
            MAX_CONNECTIONS, resource.getrlimit(resource.RLIMIT_NOFILE)[0] - SPARE_DESCRIPTORS
        )
        self._server = web.Server(
            self._handle,
            access_log=None,
            keepalive_timeout=IDLE_TIMEOUT_SECONDS,
            lingering_time=0.0,
            logger=SILENT_LOGGER,
            handler_cancellation=True,
        )

    def bind(self) -> None:
        """Raises OSError where the address is in use."""
        self._socket = socket.create_server(self._address, backlog=BACKLOG)

    async def open(self) -> None:
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(self._accept, sock=self._socket, backlog=BACKLOG)

    async def close(self) -> None:
        if self._listener:
            self._listener.close()
            for connection in list(self._server.connections):
                connection.force_close()
            await self._server.shutdown(0.5)
        elif self._socket:
            self._socket.close()

    def _accept(self) -> asyncio.Protocol:
        connections = self._server.connections
        if len(connections) >= self._max_connections:
            idle = next((one for one in connections if one not in self._busy), None)
            if idle is None:
                return _RejectedConnection()
            idle.force_close()
        return self._server()

    async def _handle(self, request: web.BaseRequest) -> web.Response:
        protocol = request.protocol
        self._busy.add(protocol)
        try:
            return await self._answer(request)
        except TimeoutError:
            return _closing_response(408)
        except (OSError, aiohttp.ClientError, web.RequestPayloadError):
            return _closing_response(400)
        finally:
            self._busy.discard(protocol)

    async def _answer(self, request: web.BaseRequest) -> web.Response:
        route, rest = self._route(request.raw_path)
        if route is None:
            return web.Response(status=404, text="no such path\n")
        if request.method != route.method:
            return web.Response(status=405, headers={"Allow": route.method})
        body = await _read(request, route.limit)
        if body is None:
            return _closing_response(413)
        for _ in range(EOF_CHECK_ROUNDS):
            await asyncio.sleep(0)  # an asker that is gone cancels this: its request costs no more
        answer = await route.handler(body, rest)
        return web.Response(status=answer.status, body=answer.body, content_type=answer.media)

    def _route(self, path: str) -> tuple[Route | None, str]:
        if path in self._routes and not path.endswith("/"):
            return self._routes[path], ""
        base, _, rest = path.rpartition("/")
        return self._routes.get(base + "/"), rest


class _RejectedConnection(asyncio.Protocol):
    """A connection above the bound."""

    def connection_made(self, transport) -> None:
        transport.abort()


async def _read(request: web.BaseRequest, limit: int) -> bytes | None:
    """The body, None where it is larger than the limit. Raises TimeoutError."""
    body = bytearray()
    async with asyncio.timeout(BODY_TIMEOUT_SECONDS):
        async for chunk in request.content.iter_any():
            body += chunk
            if len(body) > limit:
                return None
    return bytes(body)


def _closing_response(status: int) -> web.Response:
    answer = web.Response(status=status)
    answer.force_close()
    return answer

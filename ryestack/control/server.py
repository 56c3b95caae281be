"""The HTTP server of a control machine, with limits on request size, time and number of connections.

Relays and followers use one connection each while their polls are held. At the connection limit an idle
connection is closed for a new one; if there is none, the new connection is closed.
"""

import asyncio
import logging
import resource
import socket
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import aiohttp
from aiohttp import web

# Bad requests get an error status; tracebacks of them would flood the log.
SILENT_LOGGER = logging.getLogger("ryestack.control")
SILENT_LOGGER.setLevel(logging.CRITICAL)
IDLE_TIMEOUT_SECONDS = 75.0  # until an unused connection is closed
BODY_TIMEOUT_SECONDS = 10.0  # for a whole request body
MAX_CONNECTIONS = 16_384
EOF_CHECK_ROUNDS = 3  # event loop iterations, in which a closed connection is detected
SPARE_DESCRIPTORS = 128  # file descriptors reserved for other uses than connections
BACKLOG = 1024


@dataclass(frozen=True, slots=True)
class Response:
    """The status, body and media type of an HTTP response."""

    status: int
    body: bytes
    media: str = "application/json"


Handler = Callable[[bytes, str], Awaitable[Response]]
"""(request body, rest of the path) -> response."""


@dataclass(frozen=True, slots=True)
class Route:
    """path: an exact path, or a prefix if it ends in "/"; limit: maximum body size in bytes."""

    method: str
    path: str
    limit: int
    handler: Handler


class ControlServer:
    """address: host and port to listen on; `close` also ends requests in progress."""

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
        """Binds the socket. Raises OSError if the address is in use."""
        self._socket = socket.create_server(self._address, backlog=BACKLOG)

    async def open(self) -> None:
        """Starts accepting connections."""
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(self._accept, sock=self._socket, backlog=BACKLOG)

    async def close(self) -> None:
        """Stops listening and closes all connections."""
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
            await asyncio.sleep(0)  # lets a closed connection cancel this handler before it does any work
        answer = await route.handler(body, rest)
        return web.Response(status=answer.status, body=answer.body, content_type=answer.media)

    def _route(self, path: str) -> tuple[Route | None, str]:
        if path in self._routes and not path.endswith("/"):
            return self._routes[path], ""
        base, _, rest = path.rpartition("/")
        return self._routes.get(base + "/"), rest


class _RejectedConnection(asyncio.Protocol):
    """A connection above the limit; it is closed at once."""

    def connection_made(self, transport) -> None:
        transport.abort()


async def _read(request: web.BaseRequest, limit: int) -> bytes | None:
    """The body, or None if it is larger than the limit. Raises TimeoutError."""
    body = bytearray()
    async with asyncio.timeout(BODY_TIMEOUT_SECONDS):
        async for chunk in request.content.iter_any():
            body += chunk
            if len(body) > limit:
                return None
    return bytes(body)


def _closing_response(status: int) -> web.Response:
    """A response after which the connection is closed."""
    answer = web.Response(status=status)
    answer.force_close()
    return answer

"""The HTTP client session for calls to endpoints, with the relay's own connections and requests."""

import asyncio
from functools import partial

import aiohttp
from aiohttp import hdrs

from ..brain.connection_reuse import ConnectionReuse
from .answer_stream import MAX_HEAD_BYTES
from .connection_pool import ConnectionPool
from .endpoint_connection import EndpointConnection

IDLE_FRACTION = 0.95  # of the time after which endpoints close an idle connection: this side closes it first


class EndpointRequest(aiohttp.ClientRequest):
    """A call's request, which asks for the close if it is the last on its connection."""

    async def send(self, conn) -> aiohttp.ClientResponse:
        """Raise aiohttp.ClientConnectionError if the call must not begin: the library then closes conn."""
        await conn.protocol.hear_late_news()
        conn.protocol.check_may_begin()
        if conn.protocol.stream.last:
            self.headers[hdrs.CONNECTION] = "close"
        return await super().send(conn)


def open_session(idle_timeout: float, pool: ConnectionPool, reuse: ConnectionReuse) -> aiohttp.ClientSession:
    """A session for calls. idle_timeout: seconds after which endpoints close an idle connection, or 0."""
    keep = {"keepalive_timeout": idle_timeout * IDLE_FRACTION} if idle_timeout else {"force_close": True}
    connector = aiohttp.TCPConnector(limit=0, happy_eyeballs_delay=None, **keep)
    # aiohttp offers no public way to replace the protocol class.
    connector._factory = partial(EndpointConnection, asyncio.get_running_loop(), pool, reuse)
    return aiohttp.ClientSession(
        connector=connector,
        request_class=EndpointRequest,
        max_line_size=MAX_HEAD_BYTES,
        max_field_size=MAX_HEAD_BYTES,
        cookie_jar=aiohttp.DummyCookieJar(),
        skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding", "Content-Type"),
        auto_decompress=False,
    )

"""HTTP transport between relays: POST /peers with an envelope as body, the reply's body is an envelope.

A refused envelope is answered with a plain 4xx. Requests in flight to each peer are limited; further ones are
dropped, and the core sends them again, so that a slow peer neither delays other peers nor uses memory.
"""

import asyncio
import logging
import socket
from collections import Counter

import aiohttp
from aiohttp import web

from ..observe.log import event
from . import messages
from .node import Refused

# Suppresses aiohttp's log: malformed requests are answered, and a traceback for each is of no use.
SILENT_LOGGER = logging.getLogger("ryestack.peers")
SILENT_LOGGER.setLevel(logging.CRITICAL)
PATH = "/peers"
MAX_IN_FLIGHT = 4  # requests to a peer: a lost one must not block the next
REQUEST_TIMEOUT_S = 10.0  # the core repeats a request long before
IDLE_TIMEOUT_S = 30.0  # of a connection
MAX_CONNECTIONS = 64  # from peers


class PeerListener:
    """Server for peers' envelopes. handle_request(envelope) returns the reply, or raises Refused."""

    def __init__(self, address: tuple[str, int], handle_request):
        self.address, self.handle_request, self.listener, self.sock = address, handle_request, None, None
        self.server = web.Server(
            self.handle,
            access_log=None,
            keepalive_timeout=IDLE_TIMEOUT_S,
            lingering_time=0.0,
            logger=SILENT_LOGGER,
        )

    def bind(self) -> None:
        """Binds the socket; raises OSError if the address is in use."""
        self.sock = socket.create_server(self.address, backlog=MAX_CONNECTIONS)

    async def open(self) -> str:
        """Starts to serve; returns the address as host:port."""
        self.listener = await asyncio.get_running_loop().create_server(self.accept, sock=self.sock)
        host, port = self.sock.getsockname()[:2]
        return f"{host}:{port}"

    def accept(self) -> asyncio.Protocol:
        """Makes the handler of a new connection; past MAX_CONNECTIONS the oldest one is closed."""
        connections = self.server.connections
        if len(connections) >= MAX_CONNECTIONS:
            connections[0].force_close()
        return self.server()

    async def handle(self, request: web.BaseRequest) -> web.Response:
        """Answers one HTTP request; any fault of it is a 4xx."""
        if request.raw_path != PATH:
            return web.Response(status=404)
        if request.method != "POST":
            return web.Response(status=405, headers={"Allow": "POST"})
        body = bytearray()
        try:
            async with asyncio.timeout(REQUEST_TIMEOUT_S):
                async for chunk in request.content.iter_any():
                    body += chunk
                    if len(body) > messages.MAX_MESSAGE_BYTES:
                        return _closing(413)
            return web.Response(body=messages.encode(self.handle_request(messages.decode(bytes(body)))))
        except messages.BadMessage:
            return web.Response(status=400, text="no letter\n")
        except Refused as reason:
            return web.Response(status=409, text=f"{reason}\n")
        except TimeoutError:
            return _closing(408)
        except (OSError, aiohttp.ClientError, web.RequestPayloadError):
            return _closing(400)

    async def close(self) -> None:
        """Stops to serve and closes all connections."""
        if self.listener:
            self.listener.close()
            for connection in list(self.server.connections):
                connection.force_close()  # peers keep connections open for their next envelope
            await self.server.shutdown(0.5)
        elif self.sock:
            self.sock.close()


class PeerClient:
    """Sends envelopes to peers."""

    def __init__(self, addresses: dict[str, str], handle_reply, handle_refusal):
        """handle_reply(envelope) is called with each valid reply, handle_refusal(why) with each refusal."""
        self.addresses, self.handle_reply, self.handle_refusal = addresses, handle_reply, handle_refusal
        self.in_flight, self.dropped = Counter(), 0
        self.tasks: set[asyncio.Task] = set()
        connector = aiohttp.TCPConnector(limit=0, keepalive_timeout=IDLE_TIMEOUT_S * 0.9)
        self.session = aiohttp.ClientSession(connector=connector, cookie_jar=aiohttp.DummyCookieJar())

    def send(self, to: str, envelope: messages.Envelope) -> None:
        """Starts a request, or drops the envelope if too many are in flight to that peer."""
        if self.in_flight[to] >= MAX_IN_FLIGHT:
            self.dropped += 1
            return
        self.in_flight[to] += 1
        task = asyncio.ensure_future(self.request(to, messages.encode(envelope)))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def request(self, to: str, body: bytes) -> None:
        """Posts an envelope and passes the reply on; failures are logged or ignored."""
        try:
            async with asyncio.timeout(REQUEST_TIMEOUT_S):
                response = await self.session.post(f"http://{self.addresses[to]}{PATH}", data=body)
                async with response:  # in chunks: the contents of a shard are many
                    received = bytearray()
                    async for chunk in response.content.iter_any():
                        received += chunk
                        if len(received) > messages.MAX_MESSAGE_BYTES:
                            raise messages.BadMessage("an answer without bounds")
            if response.status == 200:
                self.handle_reply(messages.decode(bytes(received)))
            elif response.status == 409:
                why = bytes(received[:200]).decode(errors="replace").strip()
                event("peer.refuses", peer=to, why=why)
                self.handle_refusal(why)
        except messages.BadMessage as problem:
            event("peer.senseless", peer=to, why=str(problem))
        except (aiohttp.ClientError, OSError, TimeoutError):
            pass  # the message is lost: the core sends it again
        finally:
            self.in_flight[to] -= 1

    async def close(self) -> None:
        """Cancels all requests and closes the connections."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        await self.session.close()


def _closing(status: int) -> web.Response:
    """A response after which the connection is closed."""
    response = web.Response(status=status)
    response.force_close()
    return response

"""The sockets between relays: envelopes as bodies of POST /peers, an answer an envelope. It decides nothing.

A envelope refused is a plain 4xx. To each peer only so many envelopes are out at once; the next ones are
dropped and said again by the core, so that a slow peer slows nobody else and holds no memory.
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

QUIET = logging.getLogger("ryestack.peers")  # bad requests are answered; a traceback of each helps nobody
QUIET.setLevel(logging.CRITICAL)
PATH = "/peers"
OUT = 4  # envelopes to a peer at once: a lost one must not hold up the next
PATIENCE = 10.0  # seconds for an answer; what comes later is asked for again long before
IDLE = 30.0  # seconds that a connection may stand unused
MOST = 64  # connections of peers at once


class PeerListener:
    """Where peers' envelopes arrive. hear(envelope) -> its answer, or raises Refused."""

    def __init__(self, at: tuple[str, int], hear):
        self.address, self.hear, self.listener, self.sock = at, hear, None, None
        self.server = web.Server(
            self.handle, access_log=None, keepalive_timeout=IDLE, lingering_time=0.0, logger=QUIET
        )

    def bind(self) -> None:
        """Raises OSError where the address is in use."""
        self.sock = socket.create_server(self.address, backlog=MOST)

    async def open(self) -> str:
        self.listener = await asyncio.get_running_loop().create_server(self.accept, sock=self.sock)
        host, port = self.sock.getsockname()[:2]
        return f"{host}:{port}"

    def accept(self) -> asyncio.Protocol:
        connections = self.server.connections
        if len(connections) >= MOST:
            connections[0].force_close()
        return self.server()

    async def handle(self, request: web.BaseRequest) -> web.Response:
        if request.raw_path != PATH:
            return web.Response(status=404)
        if request.method != "POST":
            return web.Response(status=405, headers={"Allow": "POST"})
        body = bytearray()
        try:
            async with asyncio.timeout(PATIENCE):
                async for chunk in request.content.iter_any():
                    body += chunk
                    if len(body) > messages.LONGEST:
                        return _last(413)
            return web.Response(body=messages.encode(self.hear(messages.decode(bytes(body)))))
        except messages.BadMessage:
            return web.Response(status=400, text="no letter\n")
        except Refused as why:
            return web.Response(status=409, text=f"{why}\n")
        except TimeoutError:
            return _last(408)
        except (OSError, aiohttp.ClientError, web.RequestPayloadError):
            return _last(400)

    async def close(self) -> None:
        if self.listener:
            self.listener.close()
            for connection in list(self.server.connections):
                connection.force_close()  # a peer keeps its own open for the next envelope
            await self.server.shutdown(0.5)
        elif self.sock:
            self.sock.close()


class PeerClient:
    """Carries envelopes to peers."""

    def __init__(self, addresses: dict[str, str], answered, refused):
        """answered(envelope) is told each answer that is one, refused(why) each that turns one down."""
        self.addresses, self.answered, self.refused = addresses, answered, refused
        self.out, self.dropped = Counter(), 0
        self.tasks: set[asyncio.Task] = set()
        connector = aiohttp.TCPConnector(limit=0, keepalive_timeout=IDLE * 0.9)
        self.session = aiohttp.ClientSession(connector=connector, cookie_jar=aiohttp.DummyCookieJar())

    def send(self, to: str, envelope: messages.Envelope) -> None:
        if self.out[to] >= OUT:
            self.dropped += 1
            return
        self.out[to] += 1
        task = asyncio.ensure_future(self.ask(to, messages.encode(envelope)))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def ask(self, to: str, body: bytes) -> None:
        try:
            async with asyncio.timeout(PATIENCE):
                said = await self.session.post(f"http://{self.addresses[to]}{PATH}", data=body)
                async with said:  # a piece at a time: what a shard holds comes in many
                    answer = bytearray()
                    async for chunk in said.content.iter_any():
                        answer += chunk
                        if len(answer) > messages.LONGEST:
                            raise messages.BadMessage("an answer without bounds")
            if said.status == 200:
                self.answered(messages.decode(bytes(answer)))
            elif said.status == 409:
                why = bytes(answer[:200]).decode(errors="replace").strip()
                event("peer.refuses", peer=to, why=why)
                self.refused(why)
        except messages.BadMessage as problem:
            event("peer.senseless", peer=to, why=str(problem))
        except (aiohttp.ClientError, OSError, TimeoutError):
            pass  # a message lost: the core says it again
        finally:
            self.out[to] -= 1

    async def close(self) -> None:
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        await self.session.close()


def _last(status: int) -> web.Response:
    answer = web.Response(status=status)
    answer.force_close()
    return answer

"""One client's connection, on aiohttp's low-level server, and the one way in which we end it.

A close over bytes that are still unread resets the connection, and an answer on its way goes with it. So an
end of ours is a half-close: our sending ends behind what is written, what the client still sends is read and
thrown away, and the connection closes with the client's own end, or after LINGER.
"""

import asyncio
import logging
from collections import Counter

from aiohttp import web

from ..observe.log import detailed, event
from ..ports import CloseReason
from .sockets import unread, waited

IDLE = 2.2  # seconds: a connection with no open request may end after 2, and a bad client must hear within 3
QUIET_FOR = 0.3  # seconds that one which is let go has said nothing
BODY = 2.6  # seconds for a first request from its connection on, for a later one from its head on
GONE = 0.4  # seconds after which a client has given its request up
HAND_IN = b"POST /api"
LINGER = 0.5  # seconds for a client to end its side: it does so as it reads our end, or has gone
MOST_THROWN = 256 * 1024  # bytes thrown away meanwhile: a request has less; a flood is cut off
MOST_ENDING = 8  # connections past the bound that linger, and that are told so: half of the spare descriptors
UNHEARD = 1.0  # seconds that a connection past the bound has for its first bytes
REFUSED = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
QUIET = logging.getLogger("ryestack.clients")  # bad requests are answered; a traceback of each helps nobody
QUIET.setLevel(logging.CRITICAL)


class Ending:
    """A transport that is half-closed first. thrown: counts what comes until its end."""

    def __init__(self, transport: asyncio.Transport, loop):
        self.transport, self.thrown = transport, 0
        self.timer = loop.call_later(LINGER, transport.abort)
        try:
            transport.write_eof()
            transport.resume_reading()
        except (OSError, RuntimeError):  # it is gone already
            transport.abort()

    def throw_away(self, data: bytes) -> None:
        self.thrown += len(data)
        if self.thrown > MOST_THROWN:
            self.transport.abort()


class HalfClosing:
    """What the library takes for its transport: all of it, but its close is ours."""

    def __init__(self, transport: asyncio.Transport, close):
        self.transport, self.close = transport, close
        self.write, self.is_closing = transport.write, transport.is_closing

    def __getattr__(self, name: str):
        return getattr(self.transport, name)


class ClientConnection(web.RequestHandler):
    """One client's connection. What cannot be read ends it with an error, behind the answers to all requests
    that were read before it."""

    def __init__(self, manager, *, loop, **more):
        super().__init__(manager, loop=loop, **more)
        self.since = self.heard_at = self.came_at = loop.time()  # came_at: when its last bytes got here
        self.spoilt, self.ending, self.raw_transport = False, None, None  # whole: the transport itself
        self.why = CloseReason.CLIENT

    def connection_made(self, transport: asyncio.Transport) -> None:
        super().connection_made(transport)
        self.raw_transport, self.transport = transport, HalfClosing(transport, self.end)

    def connection_lost(self, exc: BaseException | None) -> None:
        if self.ending:
            self.ending.timer.cancel()
        if self._manager is not None:
            self._manager.closed_connections[self.why] += 1
        if detailed():
            event("client.closed", why=self.why.value, requests=self._request_count)
        super().connection_lost(exc)

    def has_read_more(self) -> bool:
        """Whether requests that were read wait behind the open one."""
        return any(hasattr(message, "headers") for message, _ in self._messages)

    def end_with_reason(self, why: CloseReason) -> None:
        """The one way in which we end it."""
        if self.why is CloseReason.CLIENT:
            self.why = why
        self.force_close()

    def is_owed_an_answer(self) -> bool:
        """Whether a request was read that has no answer: then it may not be closed."""
        return self._current_request is not None or self.has_read_more()

    def end(self) -> None:
        """Nothing that is read from here on is taken on."""
        if self.why is CloseReason.CLIENT:
            self.why = CloseReason.AFTER_LAST_ANSWER
        if self.is_owed_an_answer() and not self.raw_transport.is_closing():
            self._manager.on_unanswered_close()
        self._force_close = True
        if self.ending is None and not self.raw_transport.is_closing():
            self.ending = Ending(self.raw_transport, self._loop)
            self._manager.ending[self] = None

    def data_received(self, data: bytes) -> None:
        if self.ending:
            self.ending.throw_away(data)
            return
        if self.spoilt:
            return
        self.heard_at = self._loop.time()
        self.came_at = self.heard_at - waited(self.raw_transport)
        if self.given_up(data):
            event("front.stale", waited=round(self.heard_at - self.came_at, 3))
            self.raw_transport.write(REFUSED)
            self.end_with_reason(CloseReason.STALE_REQUEST)
            return
        super().data_received(data)
        if self._messages and not hasattr(self._messages[-1][0], "headers"):  # the parser's own error
            self.spoilt = True  # requests before it are answered, then the error, then the connection ends
            if self.transport is not None:
                self.transport.pause_reading()

    def given_up(self, data: bytes) -> bool:
        """Whether a hand-in begins whose client has gone: under overload all work would be for such."""
        return self.heard_at > self.came_at + GONE and data.startswith(HAND_IN) and self.idle()

    def _process_keepalive(self) -> None:
        """The library's end of an idle connection: not over a request that has come and is not read yet."""
        if self.ending is None and self.idle() and self.transport is not None and unread(self.raw_transport):
            self._keepalive_handle = self._loop.call_soon(self._process_keepalive)
        else:
            super()._process_keepalive()
            if self._force_close and self.why is CloseReason.AFTER_LAST_ANSWER:
                self.why = CloseReason.IDLE_TIMEOUT

    def idle(self) -> bool:
        """Whether it waits for a request of which nothing whole has come."""
        return self._waiter is not None and not self._waiter.done()  # done: one has come and is not begun

    def ends(self) -> float:
        """When it ends if no request comes."""
        return self._next_keepalive_close_time

    def end_if_quiet(self, since: float = QUIET_FOR) -> None:
        """End it unless it may have a request: one on its way is answered, and ends it then."""
        if self.transport is None or not self.idle() or self._loop.time() < self.heard_at + since:
            return
        if not unread(self.raw_transport):
            self.end_with_reason(CloseReason.SHUTDOWN_OR_DRAIN)

    def until(self, now: float) -> float:
        """When the open request must have come whole."""
        return (self.since if self._request_count == 1 else now) + BODY


class ConnectionServer(web.Server):
    """The library's server, with connections of our own."""

    def __init__(self, *args, **more):
        super().__init__(*args, **more)
        self.ending: dict[ClientConnection, None] = {}  # half-closed, the oldest first
        self.closed_connections: Counter[CloseReason] = Counter()
        self.on_unanswered_close = lambda: None  # told where one is ended over a request that was read

    def __call__(self) -> ClientConnection:
        return ClientConnection(self, loop=self._loop, **self._kwargs)

    def connection_lost(self, handler, exc: BaseException | None = None) -> None:
        self.ending.pop(handler, None)
        super().connection_lost(handler, exc)

    def full(self, most: int) -> bool:
        """Whether as many are open as may be; those that linger count apart, up to their own bound."""
        lingering = len(self._connections) - most - MOST_ENDING
        for connection in list(self.ending)[: max(0, lingering + 1)]:
            connection.raw_transport.abort()
        return len(self._connections) - len(self.ending) >= most

    def longest_idle(self) -> ClientConnection | None:
        """The connection that makes room for another: none whose request has come and is not read yet."""
        idle = sorted(filter(ClientConnection.idle, self._connections), key=ClientConnection.ends)
        return next((c for c in idle if not unread(c.raw_transport)), None)


class Full(asyncio.Protocol):
    """Meets a connection past the bound: its request is answered 503 unread, a few at a time; the others are
    closed. The answer waits for the first bytes: before them a client would take it for a mistake."""

    there: set["Full"] = set()

    def connection_made(self, transport: asyncio.Transport) -> None:
        self.transport, self.ending = transport, None
        if len(self.there) >= MOST_ENDING:
            transport.close()
            return
        self.there.add(self)
        self.timer = asyncio.get_running_loop().call_later(UNHEARD, transport.abort)

    def data_received(self, data: bytes) -> None:
        if self.ending:
            self.ending.throw_away(data)
            return
        self.transport.write(REFUSED)
        self.ending = Ending(self.transport, asyncio.get_running_loop())

    def connection_lost(self, exc: BaseException | None) -> None:
        if self in self.there:
            self.there.discard(self)
            self.timer.cancel()
        if self.ending:
            self.ending.timer.cancel()

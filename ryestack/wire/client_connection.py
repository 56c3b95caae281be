"""One client's connection, on aiohttp's low-level server."""

import asyncio
import logging
import select

from aiohttp import web

IDLE = 2.2  # seconds: a connection with no open request may end after 2, and a bad client must hear within 3
QUIET_FOR = 0.3  # seconds that one which is let go has said nothing
BODY = 2.6  # seconds for a first request from its connection on, for a later one from its head on
QUIET = logging.getLogger("ryestack.clients")  # bad requests are answered; a traceback of each helps nobody
QUIET.setLevel(logging.CRITICAL)


class ClientConnection(web.RequestHandler):
    """One client's connection. What cannot be read ends it: with an error if it comes first, behind an open
    request at once, with all that waits."""

    def __init__(self, manager, *, loop, **more):
        super().__init__(manager, loop=loop, **more)
        self.since = self.heard_at = loop.time()
        self.spoilt = False

    def data_received(self, data: bytes) -> None:
        if self.spoilt:
            return
        self.heard_at = self._loop.time()
        super().data_received(data)
        if self._messages and not hasattr(self._messages[-1][0], "headers"):  # the parser's own error
            self.spoilt = True
            if self._waiter is None or len(self._messages) > 1:  # none waits: a request is under way
                self.force_close()
            elif self.transport is not None:
                self.transport.pause_reading()

    def idle(self) -> bool:
        """Whether it waits for a request of which nothing whole has come."""
        return self._waiter is not None and not self._waiter.done()  # done: one has come and is not begun

    def ends(self) -> float:
        """When it ends if no request comes."""
        return self._next_keepalive_close_time

    def end_if_quiet(self) -> None:
        """End it unless it may have a request: one on its way is answered, and ends it then."""
        if self.transport is None or not self.idle() or self._loop.time() < self.heard_at + QUIET_FOR:
            return
        waiting = select.poll()
        waiting.register(self.transport.get_extra_info("socket").fileno(), select.POLLIN)
        if not waiting.poll(0):
            self.force_close()

    def until(self, now: float) -> float:
        """When the open request must have come whole."""
        return (self.since if self._request_count == 1 else now) + BODY


class ConnectionServer(web.Server):
    """The library's server, with connections of our own."""

    def __call__(self) -> ClientConnection:
        return ClientConnection(self, loop=self._loop, **self._kwargs)


class Full(asyncio.Protocol):
    """Meets a connection past the bound: it ends at once, before anything is read."""

    def connection_made(self, transport: asyncio.Transport) -> None:
        transport.close()

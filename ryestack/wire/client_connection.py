"""One client's connection, on aiohttp's low-level server, and the one way in which the relay ends it.

A close while bytes are still unread resets the connection, and discards an answer on its way. So the relay
ends a connection with a half-close: its sending ends behind what is written, what the client still sends is
read and discarded, and the connection closes with the client's own end, or after LINGER_TIMEOUT_S.
"""

import asyncio
import logging
from collections import deque

from ..connection_reasons import CloseReason, ConnectionState
from ..observe.log import event, is_debug_enabled
from .bounded_requests import BoundedRequests
from .lingering import UNAVAILABLE_RESPONSE, LingeringClose
from .shared_input import CLIENT_TIMEOUT_S
from .sockets import has_unread, peer_has_ended, seconds_since_received

IDLE_TIMEOUT_S = 2.2  # an idle connection may end after 2, and a malformed request must be answered within 3
QUIET_PERIOD_S = 0.3  # that a connection has received nothing before it is closed at a drain
BODY_TIMEOUT_S = 2.6  # for a first request from its connection on, for a later one from its head on
SUBMISSION_PREFIX = b"POST /api"
MAX_REMEMBERED_IDS = 32  # of the submissions that came last on a connection
LOGGER = logging.getLogger("ryestack.clients")  # bad requests are answered: no tracebacks of them
LOGGER.setLevel(logging.CRITICAL)


class HalfClosingTransport:
    """Passed to the library as its transport; only its close is replaced, and when it goes on reading."""

    def __init__(self, transport: asyncio.Transport, connection: "ClientConnection"):
        self.transport, self.connection, self.close = transport, connection, connection.half_close
        self.write, self.is_closing = transport.write, transport.is_closing

    def resume_reading(self) -> None:
        if not (self.connection.paced or self.connection.reads_no_further):
            self.transport.resume_reading()

    def __getattr__(self, name: str):
        return getattr(self.transport, name)


class ClientConnection(BoundedRequests):
    """One client's connection.

    Bytes that cannot be parsed end it with an error, behind the answers to all requests read before them.

    read_at: when its last bytes were read. received_at: when the kernel received them. unparsable: whether
    bytes could not be parsed.
    """

    def __init__(self, manager, *, loop, **options):
        super().__init__(manager, loop=loop, **options)
        self.opened_at = self.read_at = self.received_at = loop.time()
        self.unparsable, self.ending = False, None
        self.close_reason = CloseReason.CLIENT
        self.submitted: deque[str] = deque(maxlen=MAX_REMEMBERED_IDS)

    def connection_made(self, transport: asyncio.Transport) -> None:
        super().connection_made(transport)
        self.transport = HalfClosingTransport(transport, self)

    def connection_lost(self, exc: BaseException | None) -> None:
        if self.ending:
            self.ending.timer.cancel()
        if self._manager is not None:
            self._manager.closed_connections[self.close_reason] += 1
        if is_debug_enabled():
            event("client.closed", why=self.close_reason.value, requests=self._request_count)
        super().connection_lost(exc)

    def is_copy(self, submission_id: str) -> bool:
        """Whether a submission with that id came on this connection before; it is remembered.

        A client gives each submission a new id, so its bytes came twice. It does not wait for a second
        answer: one would be read as that to its next request.
        """
        if submission_id in self.submitted:
            self._manager.copies += 1
            event("request.copied", id=submission_id)
            return True
        self.submitted.append(submission_id)
        return False

    def client_has_left(self) -> bool:
        """Whether the client has ended the connection; that may be unread behind other requests."""
        return peer_has_ended(self.raw_transport)

    def has_read_more(self) -> bool:
        """Whether requests that were read wait behind the open one."""
        return any(hasattr(message, "headers") for message, _ in self._messages)

    def end_with_reason(self, reason: CloseReason) -> None:
        """End the connection; a reason that was given before stays."""
        if self.close_reason is CloseReason.CLIENT:
            self.close_reason = reason
        self.force_close()

    def half_close(self) -> None:
        """Close the connection for the library; nothing that is read from here on is accepted."""
        if self.close_reason is CloseReason.CLIENT:
            self.close_reason = CloseReason.AFTER_LAST_ANSWER
        if self.has_unanswered_request() and not self.raw_transport.is_closing():
            self._manager.on_unanswered_close()
        self._force_close = True
        self.shared.forget(self)
        if self.ending is None and not self.raw_transport.is_closing():
            self.ending = LingeringClose(self.raw_transport, self._loop)
            self._manager.lingering[self] = None

    def data_received(self, data: bytes) -> None:
        if self.ending:
            self.ending.discard(data)
            return
        if self.unparsable or self.refused:
            return
        if not data:  # the library goes on with what it has read
            self.feed_and_check(data)
            return
        self.read_at = self._loop.time()
        self.received_at = self.read_at - seconds_since_received(self.raw_transport)
        if self.is_stale(data):
            event("front.stale", waited=round(self.read_at - self.received_at, 3))
            self.raw_transport.write(UNAVAILABLE_RESPONSE)
            self.end_with_reason(CloseReason.STALE_REQUEST)
            return
        self.feed_and_check(data)

    def feed_and_check(self, data: bytes) -> None:
        """Pass bytes to the library; read no more behind bytes that cannot be parsed."""
        self.feed(data)
        if self._messages and not hasattr(self._messages[-1][0], "headers"):  # the parser's own error
            self.unparsable = True  # earlier requests are answered, then the error, then it ends
            self._messages[-1][0].exc.__traceback__ = None  # its frames refer to it
            if self.transport is not None:
                self.transport.pause_reading()

    def is_stale(self, data: bytes) -> bool:
        """Whether the client of a new submission has given up: under overload all work would be for such."""
        return (
            self.read_at > self.received_at + CLIENT_TIMEOUT_S
            and data.startswith(SUBMISSION_PREFIX)
            and self.idle()
        )

    def _process_keepalive(self) -> None:
        """The library's end of an idle connection; put off while a received request is unread."""
        if (
            self.ending is None
            and self.idle()
            and not self.reads_no_further
            and self.transport is not None
            and has_unread(self.raw_transport)
        ):
            self._keepalive_handle = self._loop.call_soon(self._process_keepalive)
        else:
            super()._process_keepalive()
            if self._force_close and self.close_reason is CloseReason.AFTER_LAST_ANSWER:
                self.close_reason = CloseReason.IDLE_TIMEOUT

    def state(self) -> ConnectionState:
        """What it is doing."""
        if self.ending:
            return ConnectionState.ENDING
        request = self._current_request
        if request is None:
            return ConnectionState.IDLE
        return ConnectionState.ANSWERING if request.content.is_eof() else ConnectionState.RECEIVING

    def idle(self) -> bool:
        """Whether it waits for a request of which no complete head has come."""
        # The waiter is done if a request has come whose handling has not begun.
        return self._waiter is not None and not self._waiter.done()

    def idle_deadline(self) -> float:
        """When it ends if no request comes."""
        return self._next_keepalive_close_time

    def close_if_quiet(self, quiet_period: float = QUIET_PERIOD_S) -> None:
        """End it unless it may have a request: one on its way is answered, and ends the connection then."""
        if self.transport is None or not self.idle() or self._loop.time() < self.read_at + quiet_period:
            return
        if not has_unread(self.raw_transport):
            self.end_with_reason(CloseReason.SHUTDOWN_OR_DRAIN)

    def body_deadline(self, now: float) -> float:
        """When the open request must be complete."""
        return (self.opened_at if self._request_count == 1 else now) + BODY_TIMEOUT_S

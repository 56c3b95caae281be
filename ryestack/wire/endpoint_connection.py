"""A layer between the sockets and the parser of aiohttp's client, for connections to endpoints.

The library's parser reads ahead: bytes behind an answer spoil that answer, or answer the next call, and a
first line is lost if what follows it cannot be read. So this layer passes on the bytes of one answer and no
more, as `AnswerStream` cuts them, reports the first line as it comes, and closes the connection on any other
bytes. `ConnectionReuse` decides how many calls a connection carries.
"""

import asyncio
from itertools import count

import aiohttp
from aiohttp.client_proto import ResponseHandler

from ..brain.connection_reuse import ConnectionReuse
from ..connection_reasons import EndpointCloseReason
from ..observe.log import event, is_debug_enabled
from .answer_stream import (
    AnswerEvent,
    AnswerStream,
    Ended,
    Head,
    Phase,
    SkippedHead,
    StatusLine,
    Unusable,
    header_value,
)
from .call_progress import CURRENT_CALL
from .connection_pool import ConnectionPool
from .guarded_transport import GuardedTransport
from .sockets import has_unacknowledged, has_unread, reset

WAIT_HEADER = "X-Retry-In-Ms"
ABANDONED_HEAD_TIMEOUT_S = 0.15  # for the head of an answer to an abandoned call; a later wait is useless
READ_BYTES = 16 * 1024  # at once: most of a longer answer is thrown away
FRESH_S = 0.1  # after its decision a call is up to date: for so long, calls within a wait get through
NEWS_DELAY_S = 0.015  # for a round of decisions with what has come
CONNECTION_NUMBERS = count(1)


class EndpointConnection(ResponseHandler):
    """One connection to an endpoint, idle or carrying the call whose answer it reads.

    pool: the open connections, this one included. number: of the connection, in this process. message: what
    the parser made of the answer's head. skipped: whether an answer was skipped that may have been the
    call's. abandoned: the timer that closes the connection once its call is abandoned.
    """

    def __init__(self, loop, pool: ConnectionPool, reuse: ConnectionReuse):
        super().__init__(loop)
        self.pool, self.reuse, self.call, self.endpoint = pool, reuse, None, ""
        self.idle_since, self.skipped = loop.time(), False
        self.stream, self.message, self.number = AnswerStream(), None, next(CONNECTION_NUMBERS)
        self.raw_transport, self.abandoned = None, None

    def connection_made(self, transport) -> None:
        super().connection_made(transport)
        self.raw_transport = transport
        transport.max_size = READ_BYTES  # of asyncio's transports: what one read asks the system for
        self.transport = GuardedTransport(transport, self.before_write, self.close_gracefully)
        self.pool.add(self)

    def connection_lost(self, exc) -> None:
        self.pool.remove(self)
        if self.abandoned:
            self.abandoned.cancel()
        if self.call is not None and self.skipped:
            self.reuse.record_last_answer(self.endpoint, marked=False)
        super().connection_lost(exc)

    def close_gracefully(self) -> None:
        """Close the connection for the library.

        A half-close abandons a call whose answer may be on its way: a wait in the answer's head holds all the
        same and is still read.
        """
        if not self.raw_transport.is_closing() and not self.abandoned:
            self.pool.count_closed(self, self.close_reason())
        if self.raw_transport.get_write_buffer_size() or (
            self.call is not None and has_unacknowledged(self.raw_transport)
        ):
            reset(self.raw_transport)  # an abandoned call must not be sent later, from any buffer
        elif self.call is None or not self.call.begun or not self.stream.awaits_answer():
            self.raw_transport.close()
        elif self.abandoned is None and not self.raw_transport.is_closing():
            self.abandoned = self._loop.call_later(ABANDONED_HEAD_TIMEOUT_S, self.raw_transport.abort)
            try:
                self.raw_transport.write_eof()
                self.raw_transport.resume_reading()
            except (OSError, RuntimeError):  # the connection is closed already
                self.raw_transport.abort()

    def close_reason(self) -> EndpointCloseReason:
        """Why the library closes the connection."""
        if self.call is not None and self.stream.phase is not Phase.RESTING:
            return EndpointCloseReason.GIVEN_UP
        return EndpointCloseReason.LAST_CALL if self.stream.last else EndpointCloseReason.IDLE

    def is_connected(self) -> bool:
        """Whether it can be used again; the library asks before it does.

        Unread bytes, or an unread end, are no answer to the next call.
        """
        if not super().is_connected():
            return False
        if self.call is not None:
            return True
        return not has_unread(self.transport)

    def set_response_params(self, **params) -> None:
        """Called by the library once a call has this connection; nothing of the call is written yet."""
        super().set_response_params(**params)
        self.call, self.message = CURRENT_CALL.get(), None
        self.call.reused, self.endpoint = self.stream.calls > 0, self.call.endpoint
        self.stream.begin_call(last=self.stream.calls + 1 >= self.reuse.max_calls(self.endpoint))
        if self.stream.last:
            self.force_close()  # once this call is over; the library keeps it no longer

    async def hear_late_news(self) -> None:
        """Before a call begins long after it was decided, let a wait or a drain that has come call it off."""
        if self._loop.time() > self.call.decided_at + FRESH_S:
            await asyncio.sleep(NEWS_DELAY_S)

    def check_may_begin(self, unexpected_bytes: bool = False) -> None:
        """Raise aiohttp.ClientConnectionError if the call must not begin.

        Its connection may be late, or lead to where the endpoint is no more.
        """
        is_late = self.call.start_deadline < self._loop.time()
        if unexpected_bytes or is_late or not self.call.target_holds():
            self.call.too_late = True
            self.discard(EndpointCloseReason.NO_CALL if unexpected_bytes else EndpointCloseReason.NOT_BEGUN)
            raise aiohttp.ClientConnectionError("call not begun: late, unexpected bytes, or another address")

    def before_write(self) -> None:
        """Mark the call as begun: its first byte is about to be written, and from here on it may run.

        Bytes that have come by now are no answer to it, but would be read as one.
        """
        if self.call is not None and not self.call.begun:
            self.check_may_begin(has_unread(self.transport))
            self.call.begun, self.call.connection = True, self
            if is_debug_enabled():
                names = {"route": self.endpoint, "ids": ",".join(self.call.ids)}
                event("call.began", **names, connection=self.number, call=self.stream.calls)

    def recall(self) -> bool:
        """Reset the connection if the call's last byte is still buffered; returns whether it was."""
        if self.transport is None or not self.transport.get_write_buffer_size():
            return False
        reset(self.raw_transport)
        return True

    def start_timeout(self) -> None:
        """Called by the library once a request is written whole, and perhaps again."""
        super().start_timeout()
        if self.call is not None and self.call.on_written:
            on_written, self.call.on_written = self.call.on_written, None
            on_written()

    def data_received(self, data: bytes) -> None:
        if not data:  # the parser continues after a pause
            return super().data_received(data)
        if self.call is None or not self.call.begun:  # no call, or none of it written: no bytes may come
            return self.discard(EndpointCloseReason.NO_CALL)
        self.call.bytes_received = True
        for received in self.stream.receive(data, not self.raw_transport.get_write_buffer_size()):
            self.handle(received)

    def handle(self, received: AnswerEvent) -> None:
        """Act on one part of what the connection brought."""
        if isinstance(received, Unusable):
            self.discard(received.reason)
        elif isinstance(received, Ended):
            self.answer_ended()
        elif self.raw_transport.is_closing():
            pass  # the parser has rejected the head
        elif isinstance(received, StatusLine):
            self.status_line_received(received.status)
        elif isinstance(received, SkippedHead):
            self.answer_skipped(received)
        elif isinstance(received, Head):
            self.head_received(received)
        else:
            self.body_received(received.data)

    def status_line_received(self, status: int) -> None:
        if not self.abandoned:
            self.call.status = status
            self.call.on_status_line()

    def head_received(self, head: Head) -> None:
        """Parse a whole head and report it."""
        if self.stream.last:
            self.reuse.record_last_answer(self.endpoint, head.announces_close)
        super().data_received(head.data)
        if self.message is None:  # the parser rejected it, and has closed the connection
            return
        self.call.on_wait(self.message.headers.get(WAIT_HEADER))
        if self.abandoned:
            self.raw_transport.abort()

    def answer_skipped(self, answer: SkippedHead) -> None:
        """Report an answer that may be that of another call; a wait in it holds all the same."""
        self.skipped = True
        self.pool.skipped_answers += 1
        place = {"connection": self.number, "call": self.stream.calls}
        event("answer.skipped", route=self.endpoint, **place, status=answer.status)
        self.call.on_wait(header_value(answer.data, WAIT_HEADER))

    def feed_data(self, data: tuple, size: int = 0) -> None:
        """Called by the parser with a parsed head, which goes on to the call."""
        self.message = data[0]
        super().feed_data(data, size)

    def body_received(self, data: bytes) -> None:
        """Pass on bytes of the body."""
        super().data_received(data)
        if self.stream.remaining is None and self._payload is not None and self._payload.is_eof():
            self.stream.end_body()
            self.answer_ended()

    def answer_ended(self) -> None:
        """The answer is complete.

        One that ends before this side's last byte is written says that the call never ran: that byte must not
        be sent.
        """
        self.call, self.idle_since = None, self._loop.time()
        if self.raw_transport.get_write_buffer_size():
            self.discard(EndpointCloseReason.EARLY)

    def discard(self, reason: EndpointCloseReason) -> None:
        """Close at once; an answer that was read whole before stays valid."""
        self.pool.count_closed(self, reason)
        self.force_close()
        if self.raw_transport.get_write_buffer_size():
            reset(self.raw_transport)
        else:
            self.raw_transport.close()

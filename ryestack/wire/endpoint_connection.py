"""A layer between the sockets and the parser of aiohttp's client, for connections to endpoints.

The library's parser reads ahead: bytes behind an answer spoil that answer, or answer the next call, and a
first line is lost if what follows it cannot be read. So this layer reports the first line as it comes, passes
on the bytes of one answer and no more, and closes a connection on which any other bytes come.
"""

import asyncio
import re
from contextvars import ContextVar
from dataclasses import dataclass
from math import inf

import aiohttp
from aiohttp.client_proto import ResponseHandler

from .sockets import has_unacknowledged, has_unread, reset

FIRST_LINE = re.compile(rb"HTTP/1\.[01] ([1-5]\d\d)(?: [^\r\n]*)?\r\n")
HEAD_END = b"\r\n\r\n"
MAX_HEAD_BYTES = 64 * 1024  # of all that comes before a body; endpoints send a few hundred
BODILESS = (204, 304)
ABANDONED_HEAD_TIMEOUT_S = 0.15  # for the head of an answer to an abandoned call; a later wait is useless


@dataclass(slots=True, eq=False)
class CallProgress:
    """How far a call has come.

    Until a byte of it is written none of its messages can have run. `status` is that of the first line,
    reported to `on_status_line` as it comes, and the head to `on_head`, even if the rest never comes.
    """

    endpoint: str
    on_status_line: object = None
    on_head: object = None
    on_written: object = None  # called once the call's last byte is written
    timeout: object = None  # the asyncio.Timeout of the call while it runs
    connection: object = None  # the one that carries the call, while it runs
    begun: bool = False  # its first byte is written
    recalled: bool = False  # it was recalled before its last byte was written
    reused: bool = False  # its connection has carried a call before
    bytes_received: bool = False  # any byte has come back
    status: int = 0
    wait: float = 0.0  # seconds
    start_deadline: float = inf  # a time of the loop's clock: nothing of the call may be written later
    too_late: bool = False
    local_fault: bool = False  # this machine had no socket or port for it

    @property
    def not_attempted(self) -> bool:
        """Whether, if nothing was sent, the reason for that lies on this side."""
        return self.too_late or self.local_fault

    def recall(self) -> bool:
        """Prevent an unwritten last byte, with which an endpoint begins a call, from being sent.

        Returns whether that succeeded, now or before.
        """
        self.recalled = self.recalled or (self.connection is not None and self.connection.recall())
        return self.recalled


CURRENT_CALL: ContextVar[CallProgress] = ContextVar("call")  # the call that the running task makes


class GuardedTransport:
    """Passed to the library as its transport: calls before_write before the bytes of a call are written."""

    def __init__(self, transport: asyncio.Transport, before_write, close):
        self.transport, self.before_write, self.close = transport, before_write, close
        self.is_closing = transport.is_closing

    def write(self, data) -> None:
        self.before_write()
        self.transport.write(data)

    def writelines(self, parts) -> None:
        self.before_write()
        self.transport.writelines(parts)

    def __getattr__(self, name: str):
        return getattr(self.transport, name)


class EndpointConnection(ResponseHandler):
    """One connection to an endpoint, idle or carrying the call whose answer it reads.

    pool: the open connections, this one included. head: bytes of an answer's head so far, None once that is
    complete. skipped: bytes of interim answers. pending: bytes of the body still to come, or -1 where only
    the parser or the end of the connection shows its end. message: what the parser made of the head.
    abandoned: the timer that closes the connection once its call is abandoned.
    """

    def __init__(self, loop, pool: dict):
        super().__init__(loop)
        self.pool, self.call, self.endpoint, self.idle_since = pool, None, "", loop.time()
        self.head, self.skipped, self.pending, self.message = b"", 0, 0, None
        self.raw_transport, self.abandoned = None, None

    def connection_made(self, transport) -> None:
        super().connection_made(transport)
        self.raw_transport = transport
        self.transport = GuardedTransport(transport, self.before_write, self.close_gracefully)
        self.pool[self] = None

    def connection_lost(self, exc) -> None:
        self.pool.pop(self, None)
        if self.abandoned:
            self.abandoned.cancel()
        super().connection_lost(exc)

    def close_gracefully(self) -> None:
        """Close the connection for the library.

        A half-close abandons a call whose answer may be on its way: a wait in the answer's head holds all the
        same and is still read.
        """
        if self.raw_transport.get_write_buffer_size() or (
            self.call is not None and has_unacknowledged(self.raw_transport)
        ):
            reset(self.raw_transport)  # an abandoned call must not be sent later, from any buffer
        elif self.call is None or not self.call.begun or self.head is None:
            self.raw_transport.close()
        elif self.abandoned is None and not self.raw_transport.is_closing():
            self.abandoned = self._loop.call_later(ABANDONED_HEAD_TIMEOUT_S, self.raw_transport.abort)
            try:
                self.raw_transport.write_eof()
                self.raw_transport.resume_reading()
            except (OSError, RuntimeError):  # the connection is closed already
                self.raw_transport.abort()

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
        self.call = CURRENT_CALL.get()
        self.call.reused, self.endpoint = bool(self.endpoint), self.call.endpoint
        self.head, self.skipped, self.pending = b"", 0, 0
        self.check_may_begin()

    def check_may_begin(self, unexpected_bytes: bool = False) -> None:
        """Raise aiohttp.ClientConnectionError if the call must not begin; its connection may be late."""
        if unexpected_bytes or self.call.start_deadline < self._loop.time():
            self.call.too_late = True
            self.discard()
            raise aiohttp.ClientConnectionError("call not begun: past its deadline, or unexpected bytes")

    def before_write(self) -> None:
        """Mark the call as begun: its first byte is about to be written, and from here on it may run.

        Bytes that have come by now are no answer to it, but would be read as one.
        """
        if self.call is not None and not self.call.begun:
            self.check_may_begin(has_unread(self.transport))
            self.call.begun, self.call.connection = True, self

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
            return self.discard()
        if self.head is None:
            return self.body_received(data)
        self.head, self.call.bytes_received = self.head + data, True
        while found := FIRST_LINE.match(self.head):
            status = int(found[1])
            if status == 200 and self.raw_transport.get_write_buffer_size():
                return self.discard()  # no answer to this call: an endpoint begins a call with its last byte
            if status >= 200 and not self.call.status and not self.abandoned:
                self.call.status = status
                self.call.on_status_line()
            head, end, rest = self.head.partition(HEAD_END)
            if not end:
                break
            if status >= 200:
                return self.head_received(head + end, rest, status)
            self.head, self.skipped = rest, self.skipped + len(head)  # an interim answer
        malformed = not found and (b"\n" in self.head or not b"HTTP/1.".startswith(self.head[:7]))
        if malformed or self.skipped + len(self.head) > MAX_HEAD_BYTES:
            self.discard()

    def head_received(self, head: bytes, rest: bytes, status: int) -> None:
        """Parse a whole head and report it; rest: the bytes behind it."""
        self.head = self.message = None
        super().data_received(head)
        if self.message is None:  # the parser rejected it, and has closed the connection
            return
        headers, self.pending = self.message.headers, -1
        self.call.on_head(headers)
        if self.abandoned:
            return self.raw_transport.abort()
        if status in BODILESS:
            self.pending = 0
        elif "Transfer-Encoding" not in headers and "Content-Length" in headers:
            self.pending = int(headers["Content-Length"])
        self.body_received(rest)

    def feed_data(self, data: tuple, size: int = 0) -> None:
        """Called by the parser with a parsed head, which goes on to the call."""
        self.message = data[0]
        super().feed_data(data, size)

    def body_received(self, data: bytes) -> None:
        """Pass on the bytes of the body, and discard a connection that brings more.

        An answer that ends before this side's last byte is written says that the call never ran: that byte
        must not be sent.
        """
        surplus = b""
        if self.pending >= 0:
            data, surplus = data[: self.pending], data[self.pending :]
            self.pending -= len(data)
        if data:
            super().data_received(data)
        if self.pending == 0 or (self.pending < 0 and self._payload is not None and self._payload.is_eof()):
            self.call, self.idle_since = None, self._loop.time()
        if surplus or (self.call is None and self.raw_transport.get_write_buffer_size()):
            self.discard()

    def discard(self) -> None:
        """Close at once; an answer that was read whole before stays valid."""
        self.force_close()
        reset(
            self.raw_transport
        ) if self.raw_transport.get_write_buffer_size() else self.raw_transport.close()

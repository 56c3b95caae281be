"""The answers of endpoints: a thin layer under the library's client, between its sockets and its parser.

The library's parser reads ahead: what comes behind an answer spoils the answer, or answers the next call,
and a first line is lost if what follows cannot be read. So this layer tells the first line as it comes,
passes on the bytes of one answer and no more, and closes a connection that brings any other.
"""

import asyncio
import re
from contextvars import ContextVar
from dataclasses import dataclass
from math import inf

import aiohttp
from aiohttp.client_proto import ResponseHandler

from .sockets import reset, unconfirmed, unread

FIRST_LINE = re.compile(rb"HTTP/1\.[01] ([1-5]\d\d)(?: [^\r\n]*)?\r\n")
END = b"\r\n\r\n"
MOST_HEAD = 64 * 1024  # bytes, of all that goes before a body: what endpoints say takes a few hundred
BODILESS = (204, 304)
LAST_WORD = (
    0.15  # seconds for the head of an answer to a call given up: past them its wait is late in any case
)


@dataclass(slots=True, eq=False)
class Progress:
    """How far a call came. Until a byte of it is written none of it can have run; the status is that of the
    first line, told to `heard` as it comes, and the head to `told`, whatever becomes of the rest."""

    endpoint: str
    heard: object = None
    told: object = None
    wrote: object = None  # told once the call's last byte is written
    limit: object = None  # the time-out that the call runs under, while it does
    connection: object = None  # the one that it goes out on, until it is over
    begun: bool = False  # its first byte is written
    unsent: bool = False  # it was called back with its last byte not yet written
    kept: bool = False  # the connection is one from before
    words: bool = False  # anything has come back
    status: int = 0
    wait: float = 0.0
    begin: float = inf  # a time of the loop's clock: past it none of the call may go out
    too_late: bool = False
    local_fault: bool = False  # this machine had no socket or port for it

    @property
    def not_tried(self) -> bool:
        """Whether, if nothing of it went out, the endpoint had no part in that."""
        return self.too_late or self.local_fault

    def call_back(self) -> bool:
        """Whether its last byte is not written, and never will be: an endpoint begins a call with that."""
        self.unsent = self.unsent or (self.connection is not None and self.connection.take_back())
        return self.unsent


CALL: ContextVar[Progress] = ContextVar("call")  # the call that the running task makes


class Gate:
    """What the library takes for its transport: the last look before the first byte of a call is written."""

    def __init__(self, transport: asyncio.Transport, begin, close):
        self.transport, self.begin, self.close = transport, begin, close
        self.is_closing = transport.is_closing

    def write(self, data) -> None:
        self.begin()
        self.transport.write(data)

    def writelines(self, parts) -> None:
        self.begin()
        self.transport.writelines(parts)

    def __getattr__(self, name: str):
        return getattr(self.transport, name)


class EndpointConnection(ResponseHandler):
    """One connection to an endpoint, idle or with the call whose answer it reads."""

    def __init__(self, loop, kept: dict):
        super().__init__(loop)
        self.kept, self.call, self.endpoint, self.idle_since = kept, None, "", loop.time()
        self.head, self.passed, self.left, self.said = b"", 0, 0, None
        self.raw_transport, self.given_up = (
            None,
            None,
        )  # the transport itself; the time-out of a call that is given up

    def connection_made(self, transport) -> None:
        super().connection_made(transport)
        self.raw_transport, self.transport = transport, Gate(transport, self.begin, self.end)
        self.kept[self] = None

    def connection_lost(self, exc) -> None:
        self.kept.pop(self, None)
        if self.given_up:
            self.given_up.cancel()
        super().connection_lost(exc)

    def end(self) -> None:
        """The library closes it. The end of our sending gives a call up; its answer may be on its way, and
        the wait in its head binds all the same: that is still read."""
        if self.raw_transport.get_write_buffer_size() or (
            self.call is not None and unconfirmed(self.raw_transport)
        ):
            reset(
                self.raw_transport
            )  # what is given up must not go out later, from our buffer or the system's
        elif self.call is None or not self.call.begun or self.head is None:
            self.raw_transport.close()
        elif self.given_up is None and not self.raw_transport.is_closing():
            self.given_up = self._loop.call_later(LAST_WORD, self.raw_transport.abort)
            try:
                self.raw_transport.write_eof()
                self.raw_transport.resume_reading()
            except (OSError, RuntimeError):  # it is gone already
                self.raw_transport.abort()

    def is_connected(self) -> bool:
        """Asked before it is used again: bytes or an end that wait unread are no answer to the next call."""
        if not super().is_connected():
            return False
        if self.call is not None:
            return True
        return not unread(self.transport)

    def set_response_params(self, **params) -> None:
        """A call has this connection now; nothing of it is written yet."""
        super().set_response_params(**params)
        self.call = CALL.get()
        self.call.kept, self.endpoint = bool(self.endpoint), self.call.endpoint
        self.head, self.passed, self.left = b"", 0, 0
        self.look()

    def look(self, stray: bool = False) -> None:
        """Whether the call may still begin: its connection may have come up late."""
        if stray or self.call.begin < self._loop.time():
            self.call.too_late = True
            self.spoilt()
            raise aiohttp.ClientConnectionError("too late to begin, or on a connection that is spoilt")

    def begin(self) -> None:
        """The first byte is about to be written: from here on the call may run.

        What has come by now is no answer to it, but would be read as one.
        """
        if self.call is not None and not self.call.begun:
            self.look(unread(self.transport))
            self.call.begun, self.call.connection = True, self

    def take_back(self) -> bool:
        if self.transport is None or not self.transport.get_write_buffer_size():
            return False
        reset(self.raw_transport)
        return True

    def start_timeout(self) -> None:
        """The library calls it once a request is written whole, and perhaps again."""
        super().start_timeout()
        if self.call is not None and self.call.wrote:
            wrote, self.call.wrote = self.call.wrote, None
            wrote()

    def data_received(self, data: bytes) -> None:
        if not data:  # the parser goes on after a pause
            return super().data_received(data)
        if self.call is None or not self.call.begun:  # none is open, or none of it written: nothing may come
            return self.spoilt()
        if self.head is None:
            return self.body(data)
        self.head, self.call.words = self.head + data, True
        while found := FIRST_LINE.match(self.head):
            status = int(found[1])
            if status == 200 and self.raw_transport.get_write_buffer_size():
                return self.spoilt()  # an endpoint begins a call with its last byte: this is no answer to it
            if status >= 200 and not self.call.status and not self.given_up:
                self.call.status = status
                self.call.heard()
            head, end, rest = self.head.partition(END)
            if not end:
                break
            if status >= 200:
                return self.whole_head(head + end, rest, status)
            self.head, self.passed = rest, self.passed + len(head)  # it goes before an answer
        noise = not found and (b"\n" in self.head or not b"HTTP/1.".startswith(self.head[:7]))
        if noise or self.passed + len(self.head) > MOST_HEAD:
            self.spoilt()

    def whole_head(self, head: bytes, rest: bytes, status: int) -> None:
        self.head = self.said = None
        super().data_received(head)
        if self.said is None:  # the parser would not have it, and has closed
            return
        headers, self.left = self.said.headers, -1
        self.call.told(headers)
        if self.given_up:
            return self.raw_transport.abort()
        if status in BODILESS:
            self.left = 0
        elif "Transfer-Encoding" not in headers and "Content-Length" in headers:
            self.left = int(headers["Content-Length"])
        self.body(rest)

    def feed_data(self, data: tuple, size: int = 0) -> None:
        """What the parser made of a head, on its way to the call."""
        self.said = data[0]
        super().feed_data(data, size)

    def body(self, data: bytes) -> None:
        """left: bytes still to come, or -1 where only the parser or the connection's end tells.

        An answer that ends before our last byte is gone says that the call never ran: it must not go out.
        """
        more = b""
        if self.left >= 0:
            data, more = data[: self.left], data[self.left :]
            self.left -= len(data)
        if data:
            super().data_received(data)
        if self.left == 0 or (self.left < 0 and self._payload is not None and self._payload.is_eof()):
            self.call, self.idle_since = None, self._loop.time()
        if more or (self.call is None and self.raw_transport.get_write_buffer_size()):
            self.spoilt()

    def spoilt(self) -> None:
        """Close at once; what was read whole before stays as it is."""
        self.force_close()
        reset(
            self.raw_transport
        ) if self.raw_transport.get_write_buffer_size() else self.raw_transport.close()

"""The end of a client's connection: what is written still arrives, what still comes is discarded."""

import asyncio

from .sockets import has_unread

LINGER_TIMEOUT_S = 0.5  # for a client to end its side: it does so as it reads the relay's end, or has gone
MAX_DISCARDED_BYTES = 256 * 1024  # while lingering: a request has less, a flood is cut off
MAX_LINGERING = 8  # connections beyond the limit, lingering or answered 503: half of the spare descriptors
MAX_REFUSED = 2 * MAX_LINGERING  # while the listener closes, which accepts all that wait
FIRST_BYTES_TIMEOUT_S = 0.2  # for the first bytes on a connection beyond the limit: others wait for its place
UNAVAILABLE_RESPONSE = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"


class LingeringClose:
    """Half-closes a transport, and aborts it after LINGER_TIMEOUT_S. discarded: bytes received since."""

    def __init__(self, transport: asyncio.Transport, loop):
        self.transport, self.discarded = transport, 0
        self.timer = loop.call_later(LINGER_TIMEOUT_S, transport.abort)
        try:
            transport.write_eof()
            transport.resume_reading()
        except (OSError, RuntimeError):  # the connection is closed already
            transport.abort()

    def discard(self, data: bytes) -> None:
        """Count bytes that the client still sends; abort the connection if there are too many."""
        self.discarded += len(data)
        if self.discarded > MAX_DISCARDED_BYTES:
            self.transport.abort()


class RefusedConnection(asyncio.Protocol):
    """A connection beyond the limit: its request is answered 503 unread.

    Up to MAX_LINGERING are answered at a time, and the next ones wait to be accepted. The answer waits for
    the first bytes: a client would take an earlier one for a protocol error.
    """

    active: set["RefusedConnection"] = set()

    @classmethod
    def has_place(cls, opening: int) -> bool:
        """Whether one more can be answered, beside that many connections that are being opened."""
        return len(cls.active) + opening < MAX_LINGERING

    def connection_made(self, transport: asyncio.Transport) -> None:
        self.transport, self.ending, self.timer = transport, None, None
        self.loop = asyncio.get_running_loop()
        if len(self.active) >= MAX_REFUSED:
            transport.close()
            return
        self.active.add(self)
        self.timer = self.loop.call_later(FIRST_BYTES_TIMEOUT_S, self.give_up)

    def give_up(self) -> None:
        """Close the connection, unless its first bytes have come and are read next."""
        if has_unread(self.transport):
            self.timer = self.loop.call_later(FIRST_BYTES_TIMEOUT_S, self.transport.abort)
        else:
            self.transport.abort()

    def data_received(self, data: bytes) -> None:
        if self.ending:
            self.ending.discard(data)
            return
        if self.timer:
            self.timer.cancel()  # from here on the end has its own time
        self.transport.write(UNAVAILABLE_RESPONSE)
        self.ending = LingeringClose(self.transport, self.loop)

    def connection_lost(self, exc: BaseException | None) -> None:
        self.active.discard(self)
        if self.timer:
            self.timer.cancel()
        if self.ending:
            self.ending.timer.cancel()

"""Bounds what one client's connection holds in memory, on aiohttp's low-level server.

The library reads up to 256 KiB at once and parses 32 requests ahead, on each connection and whatever the
others hold. Here a read is small, two requests at most are parsed ahead, a head and the framing of a body
have a limit, and what a request holds counts against the budget of all connections.
"""

import asyncio

from aiohttp import web
from aiohttp.http import HttpRequestParser

from ..connection_reasons import CloseReason, RefusedInput
from ..observe.log import event, is_debug_enabled
from .read_pacer import CHUNKED_READ_COST, READ_COST
from .shared_input import RESPONSES, SharedInput

READ_BYTES = 2 * 1024  # at once: an ordinary request, or 340 of the smallest chunks
MAX_QUEUED_REQUESTS = 2  # parsed behind the one that is being answered
MAX_HEAD_BYTES = 16 * 1024
MAX_FRAMING_BYTES = 4 * 1024  # of the chunks of a body, and as much again as its bytes
# Memory of a parsed head: two pairs of objects a field, and the request itself.
FIELD_BYTES, REQUEST_BYTES = 350, 2500
MAX_UNREAD_ANSWER_BYTES = 8 * 1024  # that wait in this process for the client to read
UNREAD_ANSWER_TIMEOUT_S = 2.2  # for a client to go on reading
HEAD_END = b"\r\n\r\n"


class InputRefused(Exception):
    """The rest of a request is not read: its connection has been refused."""


class BoundedRequests(web.RequestHandler):
    """The part of a client's connection that bounds what it holds.

    received: bytes of the request that is not complete yet; began_at, received_last: when its first and its
    last bytes were read; partial_fields: header fields of its head so far; body: the last one that the parser
    has begun; refused: that what still comes is discarded; paced: that it waits for its turn to read;
    reads_no_further: that it reads no more as the relay leaves.
    """

    def __init__(self, manager, *, loop, **options):
        super().__init__(manager, loop=loop, **options)
        self._max_msg_queue_size, self._msg_queue_resume_size = MAX_QUEUED_REQUESTS, 1
        self._parser = HttpRequestParser(
            self,
            loop,
            self._read_bufsize,
            payload_exception=web.RequestPayloadError,
            auto_decompress=options.get("auto_decompress", True),
            max_msg_queue_size=MAX_QUEUED_REQUESTS,
        )
        self.shared: SharedInput = manager.shared_input
        self.received = self.partial_fields = 0
        self.began_at = self.received_last = 0.0
        self.refused = self.paced = self.reads_no_further = False
        self.body = None
        self.read_cost = READ_COST
        self.unread_timer: asyncio.TimerHandle | None = None
        self.raw_transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:
        super().connection_made(transport)
        self.raw_transport = transport
        transport.max_size = READ_BYTES  # of asyncio's transports: what one read asks the system for
        transport.set_write_buffer_limits(high=MAX_UNREAD_ANSWER_BYTES)

    def connection_lost(self, exc: BaseException | None) -> None:
        self.shared.forget(self)
        if self.unread_timer:
            self.unread_timer.cancel()
        super().connection_lost(exc)
        self.body = None  # it refers to its connection: only the garbage collector would free both

    def resume_reading(self, resume_parser: bool = True) -> None:
        """Go on reading, if it was paused: the library calls this for each chunk of a body."""
        if self._reading_paused:
            super().resume_reading(resume_parser)

    def pause_writing(self) -> None:
        super().pause_writing()
        self.unread_timer = self._loop.call_later(UNREAD_ANSWER_TIMEOUT_S, self.raw_transport.abort)

    def resume_writing(self) -> None:
        super().resume_writing()
        self.unread_timer.cancel()

    # -- what it holds ------------------------------------------------------------------------------

    def is_in_body(self) -> bool:
        """Whether the body of the last request has not come whole."""
        return self.body is not None and not self.body.is_eof()

    def has_unanswered_request(self) -> bool:
        """Whether a request has come whole that has no answer: then the connection must not be closed."""
        if self._current_request is not None and self._current_request.content.is_eof():
            return True
        return any(body.is_eof() for message, body in self._messages if hasattr(message, "headers"))

    def is_receiving(self) -> bool:
        """Whether a request has come in part and none waits for its answer: it may be refused."""
        begun = self.received > 0 or self.is_in_body()
        return begun and not self._force_close and not self.has_unanswered_request()

    def held_bytes(self) -> int:
        """An estimate of the memory that its requests hold."""
        heads = [(message, body) for message, body in self._messages if hasattr(message, "headers")]
        if self._current_request is not None:
            heads.append((self._current_request, self._current_request.content))
        fields = self.partial_fields + sum(len(head.raw_headers) for head, _ in heads)
        bodies = sum(body.total_bytes for _, body in heads)
        head = 0 if self.is_in_body() else self.received
        return REQUEST_BYTES * len(heads) + FIELD_BYTES * fields + bodies + head

    def feed(self, data: bytes) -> None:
        """Pass bytes to the library; count and bound what the connection holds then."""
        requests, was_in_body = self._request_count, self.is_in_body()
        body_bytes = self.body.total_bytes if was_in_body else 0
        super().data_received(data)
        has_begun = self._request_count > requests
        if has_begun and self._messages:
            message, self.body = self._messages[-1]
            self.read_cost = CHUNKED_READ_COST if getattr(message, "chunked", False) else READ_COST
            body_bytes = 0
        now = self._loop.time()
        self.received_last = now
        self.count(data, has_begun, has_begun or was_in_body, body_bytes, now)
        if not self.shared.budget.hold(self, self.held_bytes(), now):
            self.shared.make_room(self, now)
        if self.received and not self.refused:
            self.bound_request()

    def count(self, data: bytes, has_begun: bool, may_be_whole: bool, body_bytes: int, now: float) -> None:
        """Count the bytes and header fields of the request that is incomplete now.

        has_begun: whether these bytes had the end of a head; may_be_whole: or the end of a body, of which
        body_bytes had come before.
        """
        head_end = data.rfind(HEAD_END) + len(HEAD_END) if has_begun and HEAD_END in data else 0
        if may_be_whole and not self.is_in_body():
            self.received = 0
            self.shared.receiving.pop(self, None)
            self.partial_fields = data.count(b"\n", head_end + self.body.total_bytes - body_bytes)
            return
        if self.received == 0 or has_begun:
            self.began_at = now
            self.shared.receiving.pop(self, None)
            self.shared.receiving[self] = None
        if self.is_in_body():
            self.received = len(data) - head_end if has_begun else self.received + len(data)
            self.partial_fields = 0
        else:
            self.received += len(data)
            self.partial_fields += data.count(b"\n")

    def bound_request(self) -> None:
        """Refuse a request that is too large; a large one waits for its turn to go on."""
        in_body = self.is_in_body()
        if not in_body and self.received > MAX_HEAD_BYTES:
            self.refuse_if_alone(RefusedInput.HEAD_TOO_LARGE)
        elif in_body and self.received > 2 * self.body.total_bytes + MAX_FRAMING_BYTES:
            self.refuse_if_alone(RefusedInput.TOO_MANY_CHUNKS)
        elif self.received >= READ_BYTES:
            self.pace()

    def refuse_if_alone(self, reason: RefusedInput) -> None:
        """Refuse the incomplete request, unless an earlier one still waits for its answer."""
        if self.is_receiving():
            self.refuse(reason)

    def refuse(self, reason: RefusedInput) -> None:
        """Answer the incomplete request with an error, and end the connection; nothing of it has run."""
        self.refused = True
        self.shared.refused[reason] += 1
        if is_debug_enabled():
            event("client.refused", why=reason.value, held=self.held_bytes())
        self.shared.forget(self)
        self.raw_transport.write(RESPONSES[reason])
        self.end_with_reason(CloseReason.REFUSED)
        if self.is_in_body():
            self.body.set_exception(InputRefused())

    def end_with_reason(self, reason: CloseReason) -> None:
        """End the connection by a half-close."""
        raise NotImplementedError

    # -- whose turn it is ---------------------------------------------------------------------------

    def pace(self) -> None:
        """Wait for the next read until it is this connection's turn."""
        if not self.paced and self.raw_transport is not None:
            self.paced = True
            self.raw_transport.pause_reading()
            self.shared.pacer.add(self, first=self.received < 2 * READ_BYTES)

    def resume_paced(self) -> None:
        self.paced = False
        held = self._reading_paused or self._buffer_paused or self.reads_no_further
        if self.raw_transport is not None and not held:
            self.raw_transport.resume_reading()

    def read_no_further(self, last: bool) -> None:
        """While the relay leaves, read no more requests than have begun; last: whether it does leave.

        A client that writes without end would never come to its last answer.
        """
        before, self.reads_no_further = self.reads_no_further, last and not self.is_in_body()
        if before is self.reads_no_further or self.raw_transport is None or self.raw_transport.is_closing():
            return
        if self.reads_no_further:
            self.raw_transport.pause_reading()
        elif not self.paced:
            self.resume_paced()

    def request_ended(self) -> None:
        """A request was answered: what it held is free."""
        if self._manager is not None and not self.refused:  # the connection is still there
            self.shared.budget.hold(self, self.held_bytes(), self._loop.time())

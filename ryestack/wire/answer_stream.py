"""The answers on one connection to an endpoint, as a state machine without I/O (HTTP/1.1, RFC 9112).

It cuts what is received into the head and the body of the one answer that the call in flight may get. What
ties an answer to that call is its place: it is the first on the connection, or it announces the close that
only this last call asked for (RFC 9112, 9.6). An answer without that mark belongs to an earlier call and is
skipped; bytes that cannot belong to any make the connection unusable.
"""

import re
from dataclasses import dataclass
from enum import Enum, auto

from ..connection_reasons import EndpointCloseReason

FIRST_LINE = re.compile(rb"HTTP/1\.[01] ([1-5]\d\d)(?: [^\r\n]*)?\r\n")
CONTENT_LENGTH = re.compile(rb"\r\ncontent-length:[ \t]*(\d{1,18})[ \t]*(?=\r\n)", re.IGNORECASE)
TRANSFER_ENCODING = re.compile(rb"\r\ntransfer-encoding:", re.IGNORECASE)
CONNECTION = re.compile(rb"\r\nconnection:([^\r\n]*)(?=\r\n)", re.IGNORECASE)
VERSION = b"HTTP/1."
HEAD_END = b"\r\n\r\n"
MAX_HEAD_BYTES = 64 * 1024  # of all that comes before a body; endpoints send a few hundred
BODILESS = (204, 304)


@dataclass(frozen=True, slots=True)
class StatusLine:
    """The first line of the call's answer."""

    status: int


@dataclass(frozen=True, slots=True)
class Head:
    """The whole head of the call's answer, with the empty line behind it.

    announces_close: whether it says that the connection ends behind it.
    """

    status: int
    data: bytes
    announces_close: bool


@dataclass(frozen=True, slots=True)
class SkippedHead:
    """The head of an answer that cannot be shown to be the call's own."""

    status: int
    data: bytes


@dataclass(frozen=True, slots=True)
class Body:
    """Bytes of the body of the call's answer."""

    data: bytes


@dataclass(frozen=True, slots=True)
class Ended:
    """The call's answer is complete."""


@dataclass(frozen=True, slots=True)
class Unusable:
    """The connection must be closed: what comes on it can be tied to no call."""

    reason: EndpointCloseReason


AnswerEvent = StatusLine | Head | SkippedHead | Body | Ended | Unusable


class Phase(Enum):
    """What the next byte belongs to."""

    RESTING = auto()
    HEAD = auto()
    BODY = auto()
    SKIPPED_BODY = auto()
    UNUSABLE = auto()


class AnswerStream:
    """Reads the answers to the calls of one connection, one call at a time.

    calls: how many have begun. last: whether the call in flight is the last, and asked for the close.
    remaining: bytes of the body still to come, None where only its parser or the end of the connection shows
    its end.
    """

    def __init__(self):
        self.phase, self.calls, self.last = Phase.RESTING, 0, False
        self.head, self.skipped_bytes, self.status_seen = b"", 0, False
        self.remaining: int | None = 0

    def begin_call(self, last: bool) -> None:
        """A call begins. last: whether its request asks for the close; a second call must be the last."""
        self.calls, self.last = self.calls + 1, last
        self.phase, self.head, self.skipped_bytes, self.status_seen = Phase.HEAD, b"", 0, False

    def awaits_answer(self) -> bool:
        """Whether the head of the call's answer has not come yet."""
        return self.phase in (Phase.HEAD, Phase.SKIPPED_BODY)

    def end_body(self) -> None:
        """A body without a length is complete, as its parser says."""
        if self.phase is Phase.BODY:
            self.phase = Phase.RESTING

    def receive(self, data: bytes, call_written: bool) -> list[AnswerEvent]:
        """What the bytes mean. call_written: whether the last byte of the call in flight was written."""
        events: list[AnswerEvent] = []
        while data:
            if self.phase is Phase.HEAD:
                data = self._receive_head(data, call_written, events)
            elif self.phase is Phase.BODY:
                data = self._receive_body(data, events)
            elif self.phase is Phase.SKIPPED_BODY:
                data = self._skip_body(data)
            else:
                reason = EndpointCloseReason.SURPLUS if Ended() in events else EndpointCloseReason.NO_CALL
                return self._unusable(events, reason)
        return events

    def _unusable(self, events: list[AnswerEvent], reason: EndpointCloseReason) -> list[AnswerEvent]:
        if self.phase is not Phase.UNUSABLE:
            events.append(Unusable(reason))
        self.phase = Phase.UNUSABLE
        return events

    def _receive_head(self, data: bytes, call_written: bool, events: list[AnswerEvent]) -> bytes:
        """Add to the head; returns the bytes behind it."""
        self.head += data
        while found := FIRST_LINE.match(self.head):
            status = int(found[1])
            if status == 200 and not call_written:  # an endpoint begins a call with its last byte
                self._unusable(events, EndpointCloseReason.EARLY)
                return b""
            if status >= 200 and self.calls == 1:
                self._report_status(status, events)
            head, end, rest = self.head.partition(HEAD_END)
            if not end:
                break
            if status >= 200:
                return self._head_complete(status, head + end, rest, events)
            self.head, self.skipped_bytes = rest, self.skipped_bytes + len(head)  # an interim answer
        malformed = not found and (b"\n" in self.head or not VERSION.startswith(self.head[: len(VERSION)]))
        if malformed or self.skipped_bytes + len(self.head) > MAX_HEAD_BYTES:
            self._unusable(events, EndpointCloseReason.MALFORMED)
        return b""

    def _report_status(self, status: int, events: list[AnswerEvent]) -> None:
        if not self.status_seen:
            self.status_seen = True
            events.append(StatusLine(status))

    def _head_complete(self, status: int, head: bytes, rest: bytes, events: list[AnswerEvent]) -> bytes:
        """A whole head has come; returns the bytes behind it that do not belong to it."""
        self.head, self.remaining = b"", body_length(status, head)
        closes = announces_close(head)
        if self.calls > 1 and VERSION in head[len(VERSION) :]:  # part of an answer, with another behind it
            self._unusable(events, EndpointCloseReason.MALFORMED)
            return b""
        if self.calls > 1 and not closes:
            return self._skip_answer(status, head, rest, events)
        self._report_status(status, events)
        events.append(Head(status, head, closes))
        self.phase = Phase.BODY
        if self.remaining == 0:
            self._end(events)
        return rest

    def _skip_answer(self, status: int, head: bytes, rest: bytes, events: list[AnswerEvent]) -> bytes:
        events.append(SkippedHead(status, head))
        if self.remaining is None:  # where the next answer begins is not known
            self._unusable(events, EndpointCloseReason.UNPROVEN)
            return b""
        self.phase = Phase.SKIPPED_BODY
        return self._skip_body(rest)

    def _skip_body(self, data: bytes) -> bytes:
        """Skip bytes of the body of a skipped answer; returns those behind it."""
        skipped = min(self.remaining, len(data))
        self.remaining -= skipped
        if self.remaining == 0:
            self.phase = Phase.HEAD
        return data[skipped:]

    def _receive_body(self, data: bytes, events: list[AnswerEvent]) -> bytes:
        """Pass on bytes of the body; returns those behind it."""
        if self.remaining is None:
            events.append(Body(data))
            return b""
        body, rest = data[: self.remaining], data[self.remaining :]
        self.remaining -= len(body)
        events.append(Body(body))
        if self.remaining == 0:
            self._end(events)
        return rest

    def _end(self, events: list[AnswerEvent]) -> None:
        self.phase = Phase.RESTING
        events.append(Ended())


def body_length(status: int, head: bytes) -> int | None:
    """Bytes of the body behind a head, None if the head does not tell."""
    if status in BODILESS:
        return 0
    lengths = CONTENT_LENGTH.findall(head)
    if len(lengths) != 1 or TRANSFER_ENCODING.search(head):
        return None
    return int(lengths[0])


def announces_close(head: bytes) -> bool:
    """Whether a head says that the connection ends behind its answer."""
    options = [option for value in CONNECTION.findall(head) for option in value.split(b",")]
    return any(option.strip().lower() == b"close" for option in options)


def header_value(head: bytes, name: str) -> str | None:
    """The value of the first header of that name in a head, None if there is none."""
    found = re.search(rb"\r\n" + re.escape(name.encode()) + rb":[ \t]*([^\r\n]*)", head, re.IGNORECASE)
    return found[1].decode("latin-1") if found else None

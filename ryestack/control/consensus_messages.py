"""Messages between the voters of the change log, and their encoding.

Decoding arbitrary bytes gives messages or raises `BadMessage`. Positions (Raft's log indexes) start at 1.
Every message names its cluster, sender and recipient, so that a message sent to a wrong address is never
counted as another voter's.
"""

from typing import Annotated

import msgspec
from msgspec import Meta

from .messages import MAX_NAME_LENGTH, BadMessage

MAX_PAYLOAD_BYTES = 1024 * 1024  # of one entry of the log
MAX_APPEND_BYTES = 1024 * 1024  # of payloads in one Append; a single larger entry is sent alone
MAX_PIECE_BYTES = 256 * 1024  # of a snapshot in one SnapshotPiece
MAX_BODY_BYTES = 4 * 1024 * 1024  # of one request body with several messages
MAX_BATCH = 64  # messages in one request body

Name = Annotated[str, Meta(max_length=MAX_NAME_LENGTH)]
Count = Annotated[int, Meta(ge=0, lt=2**62)]


class LogEntry(msgspec.Struct, frozen=True, array_like=True):
    """One entry of the replicated log. The first entry of each leader's term has an empty payload."""

    position: Count
    term: Count
    payload: bytes


class VoteRequest(msgspec.Struct, frozen=True, tag="vote_request"):
    """A candidate requests a vote in `term`; pre_vote: it only asks whether it would get it in that term."""

    cluster: Name
    sender: Name
    recipient: Name
    term: Count
    pre_vote: bool
    last_position: Count
    last_term: Count


class VoteReply(msgspec.Struct, frozen=True, tag="vote_reply"):
    """Answers a VoteRequest. term: the candidate's if granted, else the voter's own."""

    cluster: Name
    sender: Name
    recipient: Name
    term: Count
    pre_vote: bool
    granted: bool


class Append(msgspec.Struct, frozen=True, tag="append"):
    """The entries after previous_position, for a log whose entry there has previous_term.

    Without entries it is a heartbeat. commit: the leader's commit position.
    """

    cluster: Name
    sender: Name
    recipient: Name
    term: Count
    previous_position: Count
    previous_term: Count
    entries: list[LogEntry]
    commit: Count


class AppendReply(msgspec.Struct, frozen=True, tag="append_reply"):
    """Answers an Append.

    position: up to which the logs match if accepted, else the position to try next; previous_position: that
    of the answered Append.
    """

    cluster: Name
    sender: Name
    recipient: Name
    term: Count
    accepted: bool
    previous_position: Count
    position: Count


class SnapshotPiece(msgspec.Struct, frozen=True, tag="snapshot_piece"):
    """Part of the leader's snapshot at `position`, for a voter whose log ends before the leader's starts."""

    cluster: Name
    sender: Name
    recipient: Name
    term: Count
    position: Count
    position_term: Count
    offset: Count
    data: Annotated[bytes, Meta(max_length=MAX_PIECE_BYTES)]
    done: bool


class SnapshotReply(msgspec.Struct, frozen=True, tag="snapshot_reply"):
    """Answers a SnapshotPiece. offset: of the next piece; done: the voter has the state at `position`."""

    cluster: Name
    sender: Name
    recipient: Name
    term: Count
    position: Count
    offset: Count
    done: bool


Message = VoteRequest | VoteReply | Append | AppendReply | SnapshotPiece | SnapshotReply

_decoder = msgspec.msgpack.Decoder(Annotated[list[Message], Meta(max_length=MAX_BATCH)])
_encoder = msgspec.msgpack.Encoder()
_FAULTS = (msgspec.MsgspecError, UnicodeDecodeError, RecursionError, OverflowError)


def encode(messages: list[Message]) -> bytes:
    """Encodes messages to one voter as a request body."""
    return _encoder.encode(messages)


def decode(body: bytes) -> list[Message]:
    """Decodes a request body. Raises BadMessage for anything that is not a list of messages."""
    if len(body) > MAX_BODY_BYTES:
        raise BadMessage(f"{len(body)} bytes, {MAX_BODY_BYTES} at most")
    try:
        messages = _decoder.decode(body)
    except _FAULTS as error:
        raise BadMessage(str(error)) from None
    for message in messages:
        if isinstance(message, Append):
            _check_entries(message)
    return messages


def _check_entries(message: Append) -> None:
    """Raises BadMessage unless positions are consecutive and terms do not decrease."""
    position, term = message.previous_position, message.previous_term
    for entry in message.entries:
        if entry.position != position + 1 or not term <= entry.term <= message.term:
            raise BadMessage(f"entry {entry.position} of term {entry.term} follows {position} of term {term}")
        if len(entry.payload) > MAX_PAYLOAD_BYTES:
            raise BadMessage(f"entry {entry.position} has {len(entry.payload)} bytes")
        position, term = entry.position, entry.term

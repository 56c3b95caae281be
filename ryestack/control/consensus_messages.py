"""Messages between the voters of the change log, and their encoding. Any bytes give them or `BadMessage`.

A position counts the entries of the log from 1, a term the elections. Every message names its cluster, sender
and recipient, so that a wrong address never counts as somebody else's vote.
"""

from typing import Annotated

import msgspec
from msgspec import Meta

from .messages import MAX_NAME_LENGTH, BadMessage

MAX_PAYLOAD_BYTES = 1024 * 1024  # of one entry of the log
MAX_APPEND_BYTES = 1024 * 1024  # of the payloads in one Append, unless a single entry is larger
MAX_PIECE_BYTES = 256 * 1024  # of a snapshot in one SnapshotPiece
MAX_BODY_BYTES = 4 * 1024 * 1024  # of the messages that are sent together
MAX_BATCH = 64  # messages that are sent together

Name = Annotated[str, Meta(max_length=MAX_NAME_LENGTH)]
Count = Annotated[int, Meta(ge=0, lt=2**62)]


class LogEntry(msgspec.Struct, frozen=True, array_like=True):
    """One entry of the replicated log. An empty payload is the first entry of a leader's term."""

    position: Count
    term: Count
    payload: bytes


class VoteRequest(msgspec.Struct, frozen=True, tag="vote_request"):
    """A candidate asks for a vote in `term`; pre_vote: whether it would get it, before it raises its term."""

    cluster: Name
    sender: Name
    recipient: Name
    term: Count
    pre_vote: bool
    last_position: Count
    last_term: Count


class VoteReply(msgspec.Struct, frozen=True, tag="vote_reply"):
    """term: the candidate's where granted, the voter's own where not."""

    cluster: Name
    sender: Name
    recipient: Name
    term: Count
    pre_vote: bool
    granted: bool


class Append(msgspec.Struct, frozen=True, tag="append"):
    """The entries behind previous_position, for a log that has previous_term there.

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
    """position: up to which the logs agree where accepted, else the position to try next.

    previous_position: of the Append that this answers.
    """

    cluster: Name
    sender: Name
    recipient: Name
    term: Count
    accepted: bool
    previous_position: Count
    position: Count


class SnapshotPiece(msgspec.Struct, frozen=True, tag="snapshot_piece"):
    """Bytes of the leader's snapshot as of `position`, for a log that ends before the leader's begins."""

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
    """offset: of the piece wanted next; done: the state as of `position` is there."""

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
    """The body that carries messages to one voter."""
    return _encoder.encode(messages)


def decode(body: bytes) -> list[Message]:
    """Raises BadMessage for anything that is no list of messages."""
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
    """Entries follow each other without a gap, and their terms never fall."""
    position, term = message.previous_position, message.previous_term
    for entry in message.entries:
        if entry.position != position + 1 or not term <= entry.term <= message.term:
            raise BadMessage(f"entry {entry.position} of term {entry.term} behind {position} of term {term}")
        if len(entry.payload) > MAX_PAYLOAD_BYTES:
            raise BadMessage(f"entry {entry.position} has {len(entry.payload)} bytes")
        position, term = entry.position, entry.term

"""Messages between relays and their msgpack encoding. Any bytes decode to an envelope or raise BadMessage.

Times in messages are seconds of the sender's clock; only the sender compares them with other times.
Field names given with `msgspec.field` are the names on the wire, which relays of other builds use.
"""

import msgspec

# Bytes of a message: all that one relay owes fits in its journal's size limit, and so in one message.
MAX_MESSAGE_BYTES = 16 * 1024 * 1024
ShardName = tuple[str, int]  # an owner's name and its life: a number that grows with each start


class BadMessage(Exception):
    """The bytes are not a valid envelope, or a response exceeds the size limit."""


class Record(msgspec.Struct, frozen=True, array_like=True):
    """One fact about one notification; this package does not interpret `fact`.

    over: the notification is finished; due: its deadline, wall clock.
    """

    id: str
    fact: bytes = b""
    over: bool = False
    due: float = 0.0


class Append(msgspec.Struct, frozen=True, tag="append"):
    """Replication request of a leader, also its heartbeat and its lease request.

    records: those after position base or, if whole, a snapshot of the shard at base, which replaces what the
    member holds; settled: all that the leader took over is replicated in this epoch, so nothing else of the
    shard can appear any more.
    """

    shard: ShardName = msgspec.field(name="seat")
    epoch: int
    sent_at: float = msgspec.field(name="asked")
    base: int
    records: list[Record]
    whole: bool = False
    settled: bool = False


class AppendReply(msgspec.Struct, frozen=True, tag="appended"):
    """granted: this member votes for nobody else for the length of a lease; position: the epoch and position
    up to which it holds the shard; sent_at: as in the request."""

    shard: ShardName = msgspec.field(name="seat")
    epoch: int
    sent_at: float = msgspec.field(name="asked")
    granted: bool
    position: tuple[int, int] = msgspec.field(name="at")


class VoteRequest(msgspec.Struct, frozen=True, tag="vote"):
    """The sender wants to lead the shard in that epoch. released: the owner's life has ended, as its state
    folder proves."""

    shard: ShardName = msgspec.field(name="seat")
    epoch: int
    released: bool = False


class VoteReply(msgspec.Struct, frozen=True, tag="voted"):
    """granted: with everything this member holds (complete: it has lost none of it by a restart);
    else with the highest epoch known here and the seconds until its lease grant expires."""

    shard: ShardName = msgspec.field(name="seat")
    epoch: int
    granted: bool = msgspec.field(name="yes")
    highest: int
    wait: float = 0.0
    position: tuple[int, int] = msgspec.field(name="at", default=(0, 0))
    records: list[Record] = []
    complete: bool = msgspec.field(name="knows", default=False)


Message = Append | AppendReply | VoteRequest | VoteReply


class Envelope(msgspec.Struct, frozen=True):
    """A message with its cluster, sender and the sender's life, recipient, and a number that increases.

    sole: the sender's state folder proves that no earlier life of it is running.
    """

    cluster: str
    sender: str
    life: int
    recipient: str = msgspec.field(name="to")
    number: int
    message: Message = msgspec.field(name="word")
    sole: bool = False


_decoder, _encoder = msgspec.msgpack.Decoder(Envelope), msgspec.msgpack.Encoder()


def encode(envelope: Envelope) -> bytes:
    """The body of a request or reply."""
    return _encoder.encode(envelope)


def decode(body: bytes) -> Envelope:
    """Raises BadMessage for anything that is not an envelope."""
    try:
        return _decoder.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError, OverflowError) as problem:
        raise BadMessage(str(problem)) from None

"""What relays say to each other, and how it is written. Any bytes give a message or BadMessage.

Times in messages are seconds of the clock of whoever wrote them; only the writer compares them with anything.
"""

import msgspec

LONGEST = (
    16 * 1024 * 1024
)  # bytes of a message: all that one relay owes fits its journal's allowance, and so here
ShardName = tuple[str, int]  # an owner's name and its life


class BadMessage(Exception):
    """Bytes that are no message, or one that is not for us."""


class Record(msgspec.Struct, frozen=True, array_like=True):
    """One fact about one notification: opaque here. over: nothing is owed any more; due: its time, wall
    clock."""

    id: str
    fact: bytes = b""
    over: bool = False
    due: float = 0.0


class Append(msgspec.Struct, frozen=True, tag="append"):
    """The leader's records from position base on; whole: all there is at base, in place of what was there;
    settled: all that the leader took up is covered in this epoch, so that nothing else of the shard can
    come up."""

    shard: ShardName = msgspec.field(name="seat")
    epoch: int
    asked: float
    base: int
    records: list[Record]
    whole: bool = False
    settled: bool = False


class Appended(msgspec.Struct, frozen=True, tag="appended"):
    """granted: nobody else gets our vote for a lease from now; at: epoch and position of what we have."""

    shard: ShardName = msgspec.field(name="seat")
    epoch: int
    asked: float
    granted: bool
    at: tuple[int, int]


class Vote(msgspec.Struct, frozen=True, tag="vote"):
    """Who asks would hold the shard in that epoch. released: the owner's life is over, as its folder
    proves."""

    shard: ShardName = msgspec.field(name="seat")
    epoch: int
    released: bool = False


class Voted(msgspec.Struct, frozen=True, tag="voted"):
    """yes, with all we have (knows: since before any of it was covered); or no, with the highest epoch
    known here and how long our grant still runs."""

    shard: ShardName = msgspec.field(name="seat")
    epoch: int
    yes: bool
    highest: int
    wait: float = 0.0
    at: tuple[int, int] = (0, 0)
    records: list[Record] = []
    knows: bool = False


Message = Append | Appended | Vote | Voted


class Envelope(msgspec.Struct, frozen=True):
    """A message with whose it is: cluster, sender and its life, receiver, and a number that grows.

    sole: the sender's folder proves that no earlier life of it runs.
    """

    cluster: str
    sender: str
    life: int
    to: str
    number: int
    message: Message = msgspec.field(name="word")
    sole: bool = False


_read, _write = msgspec.msgpack.Decoder(Envelope), msgspec.msgpack.Encoder()


def encode(envelope: Envelope) -> bytes:
    return _write.encode(envelope)


def decode(body: bytes) -> Envelope:
    """Raises BadMessage for anything that is no envelope."""
    try:
        return _read.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError, OverflowError) as problem:
        raise BadMessage(str(problem)) from None

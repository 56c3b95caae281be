"""Messages between relays and control machines, and their encoding. Any bytes give a message or
`BadMessage`.

A version is the position of a change in the replicated log: it only grows, and every control machine
means the same state by it. Times are seconds.
"""

from collections.abc import Iterable
from hashlib import blake2b

import msgspec

PATH = "/control"  # a request is the body of a POST to it, its answer the body of a 200
MAX_MESSAGE_BYTES = 1024 * 1024  # of any message: a snapshot comes in pieces far smaller than this
MAX_BATCH_BYTES = 64 * 1024  # of entries in one Delta or Piece, unless a single entry is larger
MAX_NAME_LENGTH = 128
MAX_FETCH_SHARDS = 256  # named in one Fetch

SHARED_SHARD = "*"  # holds the entries that every relay has: settings
CONTROL_SHARD = "@"  # holds the entries that only control machines have: the relays and their places
ALL_SHARDS = "**"  # asks for the entries of every shard: what a control machine that follows another holds


class BadMessage(Exception):
    """Bytes that are no message of this protocol."""


class Entry(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """The newest value of one key.

    key: `destination/7`, `setting/limits`, `relay/r1`; version: of the change that gave the value;
    shard: the group of entries it belongs to; value: JSON, None where the key was deleted.
    """

    key: str
    version: int
    shard: str
    value: bytes | None


class Rejection(msgspec.Struct, frozen=True):
    """A version that a relay could not apply: it stays whole on the one before."""

    version: int
    key: str
    reason: str


class Poll(msgspec.Struct, frozen=True, tag="poll"):
    """A relay asks for what changed in its shards since a version, and acknowledges the one it has
    applied.

    session: grows with each start of the relay; version: that the changes are asked from; scope:
    `scope_digest` of the shards asked for; hold: seconds that the answer may wait for something new;
    applied: the version in force at the relay, whole; rejected: set while the relay refuses a newer
    one.
    """

    cluster: str
    relay: str
    session: int
    region: str
    zone: str
    version: int
    scope: str
    hold: float
    applied: int = 0
    rejected: Rejection | None = None


class Follow(msgspec.Struct, frozen=True, tag="follow"):
    """A control machine that is no voter asks another for all that changed since its version."""

    cluster: str
    machine: str
    version: int
    hold: float


class Fetch(msgspec.Struct, frozen=True, tag="fetch"):
    """Asks for the entries of shards, one shard after the other as they are named, each in order of key.

    shards: MAX_FETCH_SHARDS at most; after: of the first of them, the key to go on behind; "" begins at
    its first. ALL_SHARDS is asked for alone: its order is by shard and key, and `after` is `position`
    of an entry.
    """

    cluster: str
    sender: str
    shards: list[str]
    after: str = ""


class Delta(msgspec.Struct, frozen=True, tag="delta"):
    """The newest entries of the asker's shards with since < entry.version <= version, in order of
    version.

    target: the version that the machine had. more: version < target; the rest comes with a further Poll
    from `version`. An entry that changed again between version and target is told with the rest alone,
    so nothing below target may be applied, also where another machine tells the rest. No entries and a
    newer version: nothing in scope changed.
    """

    since: int
    version: int
    entries: list[Entry]
    target: int
    more: bool = False


class Scope(msgspec.Struct, frozen=True, tag="scope"):
    """The shards that the relay should hold as of `version`: they differ from those that its Poll
    named."""

    version: int
    shards: list[str]


class Piece(msgspec.Struct, frozen=True, tag="piece"):
    """Part of the fetched shards, read at `version`: those named before `shard` whole, and a part of
    that one.

    done: nothing of `shard` is behind the last entry.
    """

    shard: str
    version: int
    entries: list[Entry]
    done: bool


class TooOld(msgspec.Struct, frozen=True, tag="too_old"):
    """Deletions since the asked version are no longer known: the shards have to be fetched anew.

    oldest: the lowest version that can be polled from.
    """

    oldest: int


class Unavailable(msgspec.Struct, frozen=True, tag="unavailable"):
    """The machine can't answer: it is behind the asker, or has not caught up since its start."""

    version: int
    reason: str


Request = Poll | Follow | Fetch
Answer = Delta | Scope | Piece | TooOld | Unavailable

_requests = msgspec.msgpack.Decoder(Request)
_answers = msgspec.msgpack.Decoder(Answer)
_encoder = msgspec.msgpack.Encoder()
_FAULTS = (msgspec.MsgspecError, UnicodeDecodeError, RecursionError, OverflowError)


def scope_digest(shards: Iterable[str]) -> str:
    """A short mark of a set of shards, in whatever order they come."""
    return blake2b("\n".join(sorted(shards)).encode(), digest_size=8).hexdigest()


def position(entry: Entry) -> str:
    """Where an entry stands in the order of ALL_SHARDS."""
    return f"{entry.shard}\n{entry.key}"


def encode(message: Request | Answer) -> bytes:
    """The bytes of a message."""
    return _encoder.encode(message)


def decode_request(body: bytes) -> Request:
    """Raises BadMessage for anything that is no request."""
    return _decode(_requests, body)


def decode_answer(body: bytes) -> Answer:
    """Raises BadMessage for anything that is no answer."""
    return _decode(_answers, body)


def _decode(decoder: msgspec.msgpack.Decoder, body: bytes):
    if len(body) > MAX_MESSAGE_BYTES:
        raise BadMessage(f"{len(body)} bytes, {MAX_MESSAGE_BYTES} at most")
    try:
        return decoder.decode(body)
    except _FAULTS as error:
        raise BadMessage(str(error)) from None

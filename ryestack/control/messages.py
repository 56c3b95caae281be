"""Messages between relays and control machines, and their encoding.

Decoding arbitrary bytes gives a message or raises `BadMessage`.

A version is the position of a change in the replicated log. It never decreases, and a given version denotes
the same state on every control machine. Times are in seconds.
"""

from collections.abc import Iterable
from hashlib import blake2b

import msgspec

PATH = "/control"  # requests are POSTed here; a 200 response carries the answer
MAX_MESSAGE_BYTES = 1024 * 1024  # of any message; snapshots are sent in much smaller pieces
MAX_BATCH_BYTES = 64 * 1024  # of entries in one Delta or Piece; a single larger entry is sent alone
MAX_NAME_LENGTH = 128
MAX_FETCH_SHARDS = 256  # in one Fetch

SHARED_SHARD = "*"  # entries that every relay holds: settings
CONTROL_SHARD = "@"  # entries that only control machines hold: relays, regions, zones
ALL_SHARDS = "**"  # requests every shard, as control machines without a vote do


class BadMessage(Exception):
    """The bytes are not a message of this protocol."""


class Entry(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """The newest value of one key.

    key: for example `destination/7`, `setting/limits` or `relay/r1`; version: of the change that set the
    value; shard: the group of entries it belongs to; value: JSON, or None if the key was deleted.
    """

    key: str
    version: int
    shard: str
    value: bytes | None


class Rejection(msgspec.Struct, frozen=True):
    """A version that a relay could not apply: it applied no part of it and stays on the previous one."""

    version: int
    key: str
    reason: str


class Poll(msgspec.Struct, frozen=True, tag="poll"):
    """A relay's long poll for the changes in its shards since a version; acknowledges the applied version.

    session: increases with each start of the relay; version: changes after it are requested; scope:
    `scope_digest` of the requested shards; hold: seconds for which the answer may be held until something
    changes; applied: the version that is completely in force at the relay; rejected: set while the relay
    rejects a newer version.
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
    """Long poll of a control machine without a vote: requests all changes since its version."""

    cluster: str
    machine: str
    version: int
    hold: float


class Fetch(msgspec.Struct, frozen=True, tag="fetch"):
    """Requests the entries of shards, in the given order of shards and ordered by key within each shard.

    shards: at most MAX_FETCH_SHARDS; after: the key in the first shard after which to continue, "" to start
    at its first key. ALL_SHARDS must be requested alone: entries are then ordered by shard and key, and
    `after` is the `position` of an entry.
    """

    cluster: str
    sender: str
    shards: list[str]
    after: str = ""


class Delta(msgspec.Struct, frozen=True, tag="delta"):
    """The newest entries of the requested shards with since < entry.version <= version, in version order.

    target: the machine's version when it answered; more: version < target, and the rest follows on a Poll
    from `version`. An entry that changed again between version and target is sent only with the rest, so
    no version below target may be applied, even if another machine sends the rest. No entries and a newer
    version mean that nothing in scope changed.
    """

    since: int
    version: int
    entries: list[Entry]
    target: int
    more: bool = False


class Scope(msgspec.Struct, frozen=True, tag="scope"):
    """The shards that the relay should hold as of `version`; sent when they differ from those of its Poll."""

    version: int
    shards: list[str]


class Piece(msgspec.Struct, frozen=True, tag="piece"):
    """Part of the fetched shards, read at `version`: all shards listed before `shard`, and a part of `shard`.

    done: `shard` has no entries after the last one here.
    """

    shard: str
    version: int
    entries: list[Entry]
    done: bool


class TooOld(msgspec.Struct, frozen=True, tag="too_old"):
    """The machine no longer knows all deletions since the requested version: the shards must be refetched.

    oldest: the lowest version from which changes can be requested.
    """

    oldest: int


class Unavailable(msgspec.Struct, frozen=True, tag="unavailable"):
    """The machine cannot answer: it is behind the requester, or has not caught up since its start."""

    version: int
    reason: str


Request = Poll | Follow | Fetch
Answer = Delta | Scope | Piece | TooOld | Unavailable

_requests = msgspec.msgpack.Decoder(Request)
_answers = msgspec.msgpack.Decoder(Answer)
_encoder = msgspec.msgpack.Encoder()
_FAULTS = (msgspec.MsgspecError, UnicodeDecodeError, RecursionError, OverflowError)


def scope_digest(shards: Iterable[str]) -> str:
    """A short digest of a set of shards, independent of their order."""
    return blake2b("\n".join(sorted(shards)).encode(), digest_size=8).hexdigest()


def position(entry: Entry) -> str:
    """The sort key of an entry in a fetch of ALL_SHARDS."""
    return f"{entry.shard}\n{entry.key}"


def encode(message: Request | Answer) -> bytes:
    """Encodes a message."""
    return _encoder.encode(message)


def decode_request(body: bytes) -> Request:
    """Decodes a request. Raises BadMessage for anything else."""
    return _decode(_requests, body)


def decode_answer(body: bytes) -> Answer:
    """Decodes an answer. Raises BadMessage for anything else."""
    return _decode(_answers, body)


def _decode(decoder: msgspec.msgpack.Decoder, body: bytes):
    if len(body) > MAX_MESSAGE_BYTES:
        raise BadMessage(f"{len(body)} bytes, {MAX_MESSAGE_BYTES} at most")
    try:
        return decoder.decode(body)
    except _FAULTS as error:
        raise BadMessage(str(error)) from None

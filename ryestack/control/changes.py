"""Changes submitted by operators: validation, encoding in the log, and conversion to entries. Pure.

A body is `{"changes": [{"key": "destination/7", "value": {...}}, {"key": "setting/x", "delete": true}]}`. All
changes of a body take effect at the same version, or none does.
"""

import re
from typing import Annotated, Literal

import msgspec
from msgspec import Meta

from .assignment import SHARDS_PER_REGION, shard_of
from .consensus_messages import MAX_PAYLOAD_BYTES
from .messages import CONTROL_SHARD, MAX_NAME_LENGTH, SHARED_SHARD, Entry

MAX_BODY_BYTES = 1024 * 1024
MAX_CHANGES = 10_000  # in one body
MAX_VALUE_BYTES = 64 * 1024
MAX_ENDPOINTS = 256  # of one destination
NAME = rf"^[A-Za-z0-9._-]{{1,{MAX_NAME_LENGTH}}}$"
DESTINATION, SETTING, RELAY = "destination/", "setting/", "relay/"
ALLOWED_KEYS = f"{DESTINATION}<number>, {SETTING}<name> or {RELAY}<name>"

Name = Annotated[str, Meta(pattern=NAME)]
Text = Annotated[str, Meta(min_length=1, max_length=255)]


class BadChange(Exception):
    """The body is invalid; the text names the key and its index."""


class Endpoint(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One endpoint of a destination; address: host:port; weight: relative to the other endpoints."""

    name: Text
    zone: Annotated[str, Meta(max_length=255)]
    type: Text
    address: Text
    status: Literal["up", "draining", "removed"] = "up"
    weight: Annotated[float, Meta(ge=0, le=1e9)] = 1.0


class Destination(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The value of a `destination/` key; region: its home region."""

    region: Name
    endpoints: Annotated[list[Endpoint], Meta(max_length=MAX_ENDPOINTS)]


class Relay(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The value of a `relay/` key; weight: its capacity relative to the other relays."""

    region: Name
    zone: Annotated[str, Meta(max_length=255)]
    weight: Annotated[float, Meta(gt=0, le=1e9)] = 1.0


class Change(msgspec.Struct, frozen=True, array_like=True):
    """One key's new value as JSON, or None to delete the key."""

    key: str
    value: bytes | None


class _Asked(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    key: str
    value: msgspec.Raw = msgspec.Raw(b"")
    delete: bool = False


class _Body(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    changes: Annotated[list[_Asked], Meta(min_length=1, max_length=MAX_CHANGES)]


_FAULTS = (msgspec.MsgspecError, UnicodeDecodeError, RecursionError, OverflowError)
_bodies = msgspec.json.Decoder(_Body)
_values = {
    DESTINATION: msgspec.json.Decoder(Destination),
    SETTING: msgspec.json.Decoder(dict),
    RELAY: msgspec.json.Decoder(Relay),
}
_payloads = msgspec.msgpack.Decoder(list[Change])


def read_body(body: bytes) -> list[Change]:
    """Decodes and validates a request body. Raises BadChange with a one-line message."""
    if len(body) > MAX_BODY_BYTES:
        raise BadChange(f"the body has {len(body)} bytes, {MAX_BODY_BYTES} at most")
    try:
        requested = _bodies.decode(body).changes
    except _FAULTS as error:
        raise BadChange(_one_line(error)) from None
    changes, seen = [], set()
    for index, item in enumerate(requested):
        place = f"changes[{index}] {item.key[:MAX_NAME_LENGTH]!r}"
        if item.key in seen:
            raise BadChange(f"{place}: the key is given twice")
        seen.add(item.key)
        changes.append(_read_change(item, place))
    return changes


def encode(changes: list[Change]) -> bytes:
    """Encodes changes as the payload of a log entry. Raises BadChange if they are too large for one."""
    payload = msgspec.msgpack.encode(changes)
    if len(payload) > MAX_PAYLOAD_BYTES:
        raise BadChange(f"the changes have {len(payload)} bytes, {MAX_PAYLOAD_BYTES} at most")
    return payload


def entries_of(payload: bytes, version: int) -> list[Entry]:
    """The entries that result from a log entry's payload; none for the empty first entry of a term."""
    changes = _payloads.decode(payload) if payload else []
    return [Entry(change.key, version, _shard(change), change.value) for change in changes]


def _read_change(requested: _Asked, place: str) -> Change:
    kind = _kind(requested.key, place)
    raw = bytes(requested.value)
    if requested.delete:
        if raw:
            raise BadChange(f'{place}: has both a value and "delete": true')
        return Change(requested.key, None)
    if not raw:
        raise BadChange(f'{place}: has no value and no "delete": true')
    try:
        _values[kind].decode(raw)
        value = msgspec.json.format(raw, indent=-1)
    except _FAULTS as error:
        raise BadChange(f"{place}: {_one_line(error)}") from None
    if len(value) > MAX_VALUE_BYTES:
        raise BadChange(f"{place}: the value has {len(value)} bytes, {MAX_VALUE_BYTES} at most")
    return Change(requested.key, value)


def _kind(key: str, place: str) -> str:
    """The kind of a key, as its prefix. Raises BadChange."""
    number = key.removeprefix(DESTINATION)
    if number != key and re.fullmatch(r"0|[1-9][0-9]{0,17}", number):
        return DESTINATION
    for kind in (SETTING, RELAY):
        if key.startswith(kind) and re.fullmatch(NAME, key.removeprefix(kind)):
            return kind
    raise BadChange(f"{place}: is not a key; allowed are {ALLOWED_KEYS}")


def _shard(change: Change) -> str:
    """The shard of a changed key.

    A destination's shard depends on its home region. For a deleted one it is "": the catalogue knows it.
    """
    if change.key.startswith(SETTING):
        return SHARED_SHARD
    if change.key.startswith(RELAY):
        return CONTROL_SHARD
    if change.value is None:
        return ""
    region = _values[DESTINATION].decode(change.value).region
    return shard_of(region, change.key.removeprefix(DESTINATION), SHARDS_PER_REGION)


def _one_line(error: BaseException) -> str:
    return str(error).encode("unicode_escape").decode()

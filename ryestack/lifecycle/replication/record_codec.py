"""Encodes an open notification and the facts about it as replicated records, and decodes them. No I/O."""

from math import inf

import msgspec

from ...peers.messages import Record
from ...store.owed import Owed

_encode, _decode = msgspec.msgpack.Encoder().encode, msgspec.msgpack.Decoder().decode


def encode_taken(owed: Owed) -> Record:
    """An accepted notification."""
    may_have_run_at = None if owed.may_have_run_at == inf else owed.may_have_run_at
    head = [
        owed.due,
        owed.destination,
        owed.topic_type,
        owed.customer.encode(errors="replace").decode(),  # earlier versions accepted any bytes
        owed.order_key,
        owed.key,
        owed.body,
        owed.terms,
        owed.pushes - len(owed.open_pushes),
        may_have_run_at,
    ]
    return Record(owed.id, _encode(["taken", *head]), due=owed.due)


def encode_all(owed: Owed) -> list[Record]:
    """A notification with its history."""
    facts = [
        encode_taken(owed),
        *(encode_push(owed, push, sent, owed.busy_until) for push, sent in owed.open_pushes.items()),
    ]
    return [*facts, encode_notice(owed, owed.notice)] if owed.notice else facts


def encode_push(owed: Owed, push: int, sent: float, until: float) -> Record:
    """sent, until: when the push is sent and when its relay gives it up, in wall-clock seconds."""
    return Record(owed.id, _encode(["push", push, sent, until]), due=owed.due)


def encode_outcome(owed: Owed, push: int, never_ran: bool) -> Record:
    """The end of a push."""
    return Record(owed.id, _encode(["outcome", push, never_ran]), due=owed.due)


def encode_notice(owed: Owed, notice: dict) -> Record:
    """The notice that is owed."""
    return Record(owed.id, _encode(["notice", notice]), due=owed.due)


def encode_over(name: str, due: float) -> Record:
    """Nothing is owed of the notification any more."""
    return Record(name, b"", True, due)


def decode(records: list[Record]) -> Owed | None:
    """The notification that the records describe; None if they are invalid, as those of another relay may
    be."""
    owed, give_up_times = None, {}
    try:
        for record in records:
            kind, *rest = _decode(record.fact)
            if kind == "taken":
                due, destination, topic, customer, order_key, key, body, terms, pushes, may_have_run_at = rest
                may_have_run_at = inf if may_have_run_at is None else may_have_run_at
                owed = Owed(
                    record.id,
                    due,
                    destination,
                    topic,
                    customer,
                    order_key,
                    key,
                    body,
                    terms,
                    pushes,
                    may_have_run_at,
                )
            elif kind == "push":
                owed.open_pushes[rest[0]], owed.pushes = rest[1], owed.pushes + 1
                give_up_times[rest[0]] = float(rest[2])
            elif kind == "outcome":
                sent, _ = owed.open_pushes.pop(rest[0], inf), give_up_times.pop(rest[0], None)
                owed.may_have_run_at = owed.may_have_run_at if rest[1] else min(owed.may_have_run_at, sent)
            elif kind == "notice":
                owed.notice = rest[0]
    except (msgspec.MsgspecError, ValueError, TypeError, AttributeError, KeyError, IndexError):
        return None
    if owed:
        owed.busy_until = max(give_up_times.values(), default=0.0)
    return owed

"""What a replica keeps of a notification: the ledger's facts as records, and a notification owed made of
them. Pure."""

from math import inf

import msgspec

from ...peers.messages import Record
from ...store.owed import Owed

_write, _read = msgspec.msgpack.Encoder().encode, msgspec.msgpack.Decoder().decode


def taken(o: Owed) -> Record:
    maybe = None if o.may_have_run_at == inf else o.may_have_run_at
    head = [
        o.due,
        o.destination,
        o.topic,
        o.customer,
        o.order_key,
        o.key,
        o.body,
        o.terms,
        o.pushes - len(o.open_pushes),
        maybe,
    ]
    return Record(o.id, _write(["taken", *head]), due=o.due)


def all_of(o: Owed) -> list[Record]:
    """A notification with the history it has."""
    facts = [taken(o), *(pushed(o, push, at, o.busy_until) for push, at in o.open_pushes.items())]
    return [*facts, noticed(o, o.notice)] if o.notice else facts


def pushed(o: Owed, push: int, at: float, until: float) -> Record:
    """at, until: when it went and when its relay gives it up, of the wall's clock."""
    return Record(o.id, _write(["push", push, at, until]), due=o.due)


def ended(o: Owed, push: int, never_ran: bool) -> Record:
    return Record(o.id, _write(["outcome", push, never_ran]), due=o.due)


def noticed(o: Owed, notice: dict) -> Record:
    return Record(o.id, _write(["notice", notice]), due=o.due)


def over(name: str, due: float) -> Record:
    return Record(name, b"", True, due)


def decode(records: list[Record]) -> Owed | None:
    """None where the facts make no sense: they are another's messages."""
    made, out = None, {}
    try:
        for record in records:
            kind, *rest = _read(record.fact)
            if kind == "taken":
                due, dest, topic, customer, order_key, key, body, rules, pushes, maybe = rest
                maybe = inf if maybe is None else maybe
                made = Owed(record.id, due, dest, topic, customer, order_key, key, body, rules, pushes, maybe)
            elif kind == "push":
                made.open_pushes[rest[0]], made.pushes = rest[1], made.pushes + 1
                out[rest[0]] = float(rest[2])
            elif kind == "outcome":
                sent, _ = made.open_pushes.pop(rest[0], inf), out.pop(rest[0], None)
                made.may_have_run_at = made.may_have_run_at if rest[1] else min(made.may_have_run_at, sent)
            elif kind == "notice":
                made.notice = rest[0]
    except (msgspec.MsgspecError, ValueError, TypeError, AttributeError, KeyError, IndexError):
        return None
    if made:
        made.busy_until = max(out.values(), default=0.0)
    return made

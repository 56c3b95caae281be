"""The records of a journal: what each kind says, and what applying one changes in the ledger."""

import json
from math import inf

from .journal import FileIdentity
from .owed import Owed, record, terms_of
from .timeline import Timeline

HISTORY = 256  # bytes kept for a message's pushes in a rewritten file


class Records:
    """The part of a ledger that writes and reads records; the same code applies one in both cases."""

    def taken(self, o: Owed, numbers: list | None = None) -> bytes:
        maybe = None if o.maybe_at == inf else o.maybe_at
        before = o.pushes - len(o.open)
        rules = (numbers or self.rules).index(o.rules) if o.rules else None
        head = [o.id, o.due, o.dest, o.topic, o.customer, o.order_key, o.key, before, maybe, rules]
        return record("taken", *head, body=o.body)

    def summary(self, o: Owed, numbers: list | None = None) -> list[bytes]:
        lines = [self.taken(o, numbers)] + [record("push", o.id, push, at) for push, at in o.open.items()]
        lines += [record("alone", o.id)] if o.alone else []
        return lines + ([record("notice", o.id, o.notice)] if o.notice else [])

    def apply(self, payload: bytes) -> None:
        head, _, body = payload.partition(b"\n")
        kind, name, *rest = json.loads(head)
        self.APPLY[kind](self, name, rest, body)

    def on_taken(self, name: str, rest: list, body: bytes) -> None:
        due, dest, topic, customer, order_key, key, pushes, maybe, *rules = rest  # none in an older file
        rules = self.rules[rules[0]] if rules and rules[0] is not None else None
        maybe = inf if maybe is None else maybe
        owed = Owed(name, due, dest, topic, customer, order_key, key, body, rules, pushes, maybe)
        self.owed[name] = owed
        self.resize(owed, len(body) + 2 * HISTORY)

    def on_clock(self, _: str, rest: list, __: bytes) -> None:
        boot, offset, began = rest
        self.timeline, self.timeline_written = Timeline(str(boot), float(offset), float(began)), True

    def on_adopted(self, name: str, rest: list, _: bytes) -> None:
        size, checksum = rest
        self.adopted.add(FileIdentity(name, int(size), int(checksum)))

    def on_rules(self, _: str, rest: list, __: bytes) -> None:
        terms_of("", rest[0])  # what cannot be read is no rule
        self.rules.append(rest[0])

    def on_push(self, name: str, rest: list, _: bytes) -> None:
        owed = self.owed[name]
        owed.open[rest[0]] = rest[1]
        owed.pushes += 1

    def on_outcome(self, name: str, rest: list, _: bytes) -> None:
        owed = self.owed[name]
        sent = owed.open.pop(rest[0], inf)
        if not rest[1]:
            owed.maybe_at = min(owed.maybe_at, sent)

    def on_notice(self, name: str, rest: list, _: bytes) -> None:
        owed = self.owed[name]
        owed.notice, owed.body = rest[0], b""
        self.resize(owed, 2 * HISTORY)

    def on_alone(self, name: str, rest: list, _: bytes) -> None:
        self.owed[name].alone = True

    def on_over(self, name: str, rest: list, _: bytes) -> None:
        self.guests.discard(name)
        self.resize(self.owed.pop(name), 0)

    def resize(self, owed: Owed, size: int) -> None:
        self.live += size - owed.size
        owed.size = size

    APPLY = {
        "clock": on_clock,
        "adopted": on_adopted,
        "rules": on_rules,
        "taken": on_taken,
        "push": on_push,
        "outcome": on_outcome,
        "notice": on_notice,
        "alone": on_alone,
        "over": on_over,
    }

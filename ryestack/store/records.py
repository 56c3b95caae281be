"""The kinds of journal records: how each is encoded, and what applying one changes in the ledger."""

import json
from math import inf

from .journal import FileIdentity
from .owed import Owed, record, terms_of
from .timeline import Timeline

HISTORY_BYTES = 256  # reserved for the records of a notification's pushes in a rewritten file


class Records:
    """The part of a ledger that encodes and applies records; the same code applies one after a write and
    after a read."""

    def taken_record(self, owed: Owed, numbers: list | None = None) -> bytes:
        """numbers: the terms by number, by default those that the file has records of."""
        maybe_at = None if owed.maybe_at == inf else owed.maybe_at
        ended = owed.pushes - len(owed.open)
        rules = (numbers or self.rules).index(owed.rules) if owed.rules else None
        head = [owed.id, owed.due, owed.dest, owed.topic, owed.customer, owed.order_key, owed.key]
        return record("taken", *head, ended, maybe_at, rules, body=owed.body)

    def records_of(self, owed: Owed, numbers: list | None = None) -> list[bytes]:
        """All records of a notification in its current state."""
        payloads = [self.taken_record(owed, numbers)]
        payloads += [record("push", owed.id, push, sent) for push, sent in owed.open.items()]
        payloads += [record("alone", owed.id)] if owed.alone else []
        return payloads + ([record("notice", owed.id, owed.notice)] if owed.notice else [])

    def apply(self, payload: bytes) -> None:
        """Apply one record. Raises ValueError, KeyError, TypeError or IndexError if it is invalid."""
        head, _, body = payload.partition(b"\n")
        kind, name, *rest = json.loads(head)
        self.HANDLERS[kind](self, name, rest, body)

    def on_taken(self, name: str, rest: list, body: bytes) -> None:
        # Files of older versions have no terms.
        due, dest, topic, customer, order_key, key, pushes, maybe_at, *rules = rest
        rules = self.rules[rules[0]] if rules and rules[0] is not None else None
        maybe_at = inf if maybe_at is None else maybe_at
        owed = Owed(name, due, dest, topic, customer, order_key, key, body, rules, pushes, maybe_at)
        self.owed[name] = owed
        self.resize(owed, len(body) + 2 * HISTORY_BYTES)

    def on_clock(self, _: str, rest: list, __: bytes) -> None:
        boot, offset, began = rest
        self.timeline, self.timeline_written = Timeline(str(boot), float(offset), float(began)), True

    def on_adopted(self, name: str, rest: list, _: bytes) -> None:
        size, checksum = rest
        self.adopted.add(FileIdentity(name, int(size), int(checksum)))

    def on_rules(self, _: str, rest: list, __: bytes) -> None:
        terms_of("", rest[0])  # raises if the terms cannot be decoded
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
        self.resize(owed, 2 * HISTORY_BYTES)

    def on_alone(self, name: str, rest: list, _: bytes) -> None:
        self.owed[name].alone = True

    def on_over(self, name: str, rest: list, _: bytes) -> None:
        self.foreign_ids.discard(name)
        self.resize(self.owed.pop(name), 0)

    def resize(self, owed: Owed, size: int) -> None:
        """Change the bytes that are reserved for a notification."""
        self.live_bytes += size - owed.size
        owed.size = size

    HANDLERS = {
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

"""The kinds of journal records: how each is encoded, and what applying one changes in the ledger."""

import json
from math import inf

from .. import interface
from .ended_ids import batches
from .journal import FileIdentity
from .owed import Owed, decode_terms, record
from .timeline import Timeline

HISTORY_BYTES = 256  # reserved for the records of a notification's pushes in a rewritten file


class Records:
    """The part of a ledger that encodes and applies records; the same code applies one after a write and
    after a read."""

    def taken_record(self, owed: Owed, numbers: list | None = None) -> bytes:
        """numbers: the terms by number, by default those that the file has records of."""
        maybe_at = None if owed.may_have_run_at == inf else owed.may_have_run_at
        ended = owed.pushes - len(owed.open_pushes)
        rules = (numbers or self.known_terms).index(owed.terms) if owed.terms else None
        head = [
            owed.id,
            owed.due,
            owed.destination,
            owed.topic_type,
            owed.customer,
            owed.order_key,
            owed.key,
            ended,
            maybe_at,
            rules,
        ]
        return record("taken", *head, body=owed.body)

    def records_of(self, owed: Owed, numbers: list | None = None) -> list[bytes]:
        """All records of a notification in its current state."""
        payloads = [self.taken_record(owed, numbers)] + [
            record("push", owed.id, push, sent) for push, sent in owed.open_pushes.items()
        ]
        payloads += [record("alone", owed.id)] if owed.unreplicated else []
        return payloads + ([record("notice", owed.id, owed.notice)] if owed.notice else [])

    def apply(self, payload: bytes) -> None:
        """Apply one record. Raises ValueError, KeyError, TypeError or IndexError if it is invalid."""
        head, _, body = payload.partition(b"\n")
        kind, name, *rest = json.loads(head)
        self.HANDLERS[kind](self, name, rest, body)

    def on_taken(self, name: str, rest: list, body: bytes) -> None:
        # Files of older versions have no terms.
        due, dest, topic, customer, order_key, key, pushes, maybe_at, *rules = rest
        rules = self.known_terms[rules[0]] if rules and rules[0] is not None else None
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
        decode_terms("", rest[0])  # raises if the terms cannot be decoded
        self.known_terms.append(rest[0])

    def on_push(self, name: str, rest: list, _: bytes) -> None:
        owed = self.owed[name]
        owed.open_pushes[rest[0]] = rest[1]
        owed.pushes += 1

    def on_outcome(self, name: str, rest: list, _: bytes) -> None:
        owed = self.owed[name]
        sent = owed.open_pushes.pop(rest[0], inf)
        if not rest[1]:
            owed.may_have_run_at = min(owed.may_have_run_at, sent)

    def on_notice(self, name: str, rest: list, _: bytes) -> None:
        owed = self.owed[name]
        owed.notice, owed.body = rest[0], b""
        self.resize(owed, 2 * HISTORY_BYTES)

    def on_alone(self, name: str, rest: list, _: bytes) -> None:
        self.owed[name].unreplicated = True

    def on_over(self, name: str, rest: list, _: bytes) -> None:
        self.foreign_ids.discard(name)
        owed = self.owed.pop(name)
        self.resize(owed, 0)
        if owed.pushes and owed.stored_effect() is not interface.Effect.REPEATABLE:
            self.ended.add(name, owed.due)

    def on_ended(self, _: str, rest: list, __: bytes) -> None:
        self.ended.merge(rest[0])

    def ended_records(self, rows: list[list]) -> list[bytes]:
        """The records of ids that have ended."""
        return [record("ended", "", batch) for batch in batches(rows)]

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
        "ended": on_ended,
    }

"""The messages that this relay owes an end, in memory and in the journal alike.

Each change is one record; the same code applies it when it is written and when it is read at a start.
Times in records are of the file's timeline, so that they hold over a restart.
"""

import json
from math import inf

from ..observe.log import event
from .adoption import Adoption
from .journal import FRAME, FileIdentity, Journal
from .owed import Owed, record, terms_of
from .timeline import Timeline, continued, read_clock

LIVE_PART = 0.4  # of the allowance for what is owed: an old and a new file stand side by side at a rewrite
DEAD, SMALL = 4, 100_000  # past so many times what is owed and so many bytes a file is slow to read
DEAD_PART = 1 / 16  # of the allowance: fewer dead bytes are not worth the writing of all that lives
UNUSED = 32  # terms that no message has any more: past so many a start leaves them out
LONG_AGO = 0.0  # of any timeline: past every window
HISTORY = 256  # bytes kept for a message's pushes in a rewritten file


class Ledger(Adoption):
    """timeline: the axis of all times in it, from the recovery on; read: gives the machine's clocks."""

    def __init__(self, journal: Journal, read=read_clock):
        super().__init__()
        self.journal, self.owed, self.live, self.well = journal, {}, 0, True
        self.read_clock, self.timeline = read, None
        self.timeline_written = False
        self.guests: set[str] = set()  # owed for another relay: its guards keep them, our file does not
        self.rules: list[list] = []  # those that the file names so far, by number

    def recover(self) -> None:
        """Read what the lives before have left; a record that makes no sense is passed over.

        Raises OSError where the folder gives no file at all.
        """
        bad = self.read(self.journal.read())
        found, now = self.timeline, self.read_clock()
        self.timeline = continued(found or self.timeline_beside(), now)
        self.timeline_written = found == self.timeline
        self.from_own_file = set(self.owed)
        used = [rules for rules in self.rules if any(o.rules == rules for o in self.owed.values())]
        if unused := len(self.rules) - len(used) > UNUSED:
            self.rules = used
        if self.journal.damaged:
            self.doubt()
        if self.journal.damaged or unused:
            try:
                self.rewrite()
            except OSError as problem:
                event("journal.blocked", why=str(problem))
                self.well = False  # the next write begins with a rewrite
        if bad or self.journal.dropped:
            event("journal.torn", records=bad, bytes=self.journal.dropped)
        self.adopt()
        self.from_own_file = set()

    def read(self, payloads: list[bytes]) -> int:
        """Apply what a file says; returns how many records make no sense."""
        bad = 0
        for payload in payloads:
            try:
                self.apply(payload)
            except (ValueError, KeyError, TypeError, IndexError):
                bad += 1
        return bad

    def doubt(self) -> None:
        """Pushes may have been written behind damage: all that came before it may have run."""
        for owed in self.owed.values():
            owed.maybe_at = min(owed.maybe_at, LONG_AGO)

    # -- promises: written first, and not made where there is no room --------------------------------

    def has_room(self, body: bytes) -> bool:
        return self.live + len(body) + 2 * HISTORY <= self.journal.most * LIVE_PART

    def take(self, owed: Owed) -> bool:
        if not self.has_room(owed.body):
            return False
        if owed.rules and owed.rules not in self.rules and not self.write(record("rules", "", owed.rules)):
            return False
        return self.write(self.taken(owed))

    def push(self, name: str, push: int, at: float) -> bool:
        payload = record("push", name, push, at)
        if name in self.guests:
            self.apply(payload)
            return True
        return self.write(payload)

    # -- what has happened: known to this life even where it cannot be written ------------------------

    def alone(self, name: str) -> None:
        self.note(name, record("alone", name))

    def welcome(self, owed: Owed) -> None:
        """One of another relay's, taken over: in memory only."""
        self.guests.add(owed.id)
        self.owed[owed.id] = owed
        self.resize(owed, len(owed.body) + 2 * HISTORY)

    def is_guest(self, name: str) -> bool:
        return name in self.guests

    def outcome(self, name: str, push: int, never_ran: bool) -> None:
        self.note(name, record("outcome", name, push, never_ran))

    def owe_notice(self, name: str, notice: dict) -> None:
        self.note(name, record("notice", name, notice))

    def over(self, name: str) -> None:
        self.note(name, record("over", name))

    def note(self, name: str, payload: bytes) -> None:
        if name in self.owed and (name in self.guests or not self.write(payload)):
            self.apply(payload)

    def write(self, payload: bytes) -> bool:
        try:
            payloads = [*self.head(), payload]
            size, more = self.journal.size, sum(len(each) + FRAME.size for each in payloads)
            large = size > DEAD * self.live + SMALL or not self.journal.fits(more, self.live)
            # Where hardly any of it is dead, as once the allowance is halved, a rewrite wins nothing: one a
            # record is seconds in which nobody is heard. After a failure the file may lack what has happened.
            gains = size > self.live + DEAD_PART * self.journal.most or size + more > self.journal.most
            if self.must_rewrite() or (large and gains):
                self.rewrite()
                payloads = [payload]
            self.journal.append(*payloads)
        except OSError as problem:
            if self.well:
                event("journal.blocked", why=str(problem))
            self.well = False
            return False
        if not self.well:
            event("journal.flowing")
        self.well = True
        for each in payloads:
            self.apply(each)
        return True

    def must_rewrite(self) -> bool:
        """Whether the file lacks what has happened, or can't go on as it stands."""
        return not self.well or self.journal.tail_left

    def rewrite(self) -> None:
        self.timeline_written = False
        named = [record("rules", "", each) for each in self.rules]
        named += [record("adopted", *identity) for identity in sorted(self.adopted)]
        ours = (owed for owed in self.owed.values() if owed.id not in self.guests)
        self.journal.rewrite([*self.head(), *named, *(p for owed in ours for p in self.summary(owed))])
        self.timeline_written = True

    def head(self) -> list[bytes]:
        """The record of our timeline, unless the file has it."""
        if self.timeline_written or self.timeline is None:
            return []
        return [record("clock", "", self.timeline.boot, self.timeline.offset, self.timeline.began)]

    # -- records ----------------------------------------------------------------------------------

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

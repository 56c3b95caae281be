"""The messages that this relay owes an end, in memory and in the journal alike.

Each change is one record; the same code applies it when it is written and when it is read at a start.
Times in records are of the wall clock, so that they hold over a restart.
"""

import json
from math import inf

from ..observe.log import event
from . import files
from .journal import FRAME, Journal, torn
from .owed import Owed, record, terms_of

LIVE_PART = 0.4  # of the allowance for what is owed: an old and a new file stand side by side at a rewrite
DEAD, SMALL = 4, 100_000  # past so many times what is owed and so many bytes a file is slow to read
DEAD_PART = 1 / 16  # of the allowance: fewer dead bytes are not worth the writing of all that lives
UNUSED = 32  # terms that no message has any more: past so many a start leaves them out
LONG_AGO = 0.0  # of the wall clock: past every window
HISTORY = 256  # bytes kept for a message's pushes in a rewritten file


class Ledger:
    def __init__(self, journal: Journal):
        self.journal, self.owed, self.live, self.well = journal, {}, 0, True
        self.stuck = False  # a file of a process that is gone could not be taken over yet
        self.guests: set[str] = set()  # owed for another relay: its guards keep them, our file does not
        self.rules: list[list] = []  # those that the file names so far, by number

    def recover(self) -> None:
        """Read what the lives before have left; a record that makes no sense is passed over."""
        bad = self.read(self.journal.read())
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

    def adopt(self) -> list[Owed]:
        """Take over what processes that are gone have left in files of their own; returns it.

        A file is copied whole behind ours, in one write, and only then taken away. A kill between the two
        leaves both as they were: the same messages twice, which count once.
        """
        taken, self.stuck = [], False
        for path in self.journal.beside():
            fd = files.lock(path)
            if fd is None:
                continue  # its process lives
            with open(fd, "rb") as file:
                found, left = torn(file.read()), Ledger(None)
                bad = left.read(found.records)
                if found.damaged:
                    left.doubt()
                new = [owed for owed in left.owed.values() if owed.id not in self.owed]
                try:
                    self.copy(new)
                except OSError as problem:  # it stays where it is, and is tried again
                    event("journal.blocked", why=f"{path.name}: {problem}")
                    self.stuck = True
                    continue
                path.unlink(missing_ok=True)
                files.fresh(path).unlink(missing_ok=True)
            if bad or found.dropped:
                event("journal.torn", records=bad, bytes=found.dropped)
            event("journal.adopted", file=path.name, owed=len(new))
            taken += [self.owed[owed.id] for owed in new]
        return taken

    def copy(self, new: list[Owed]) -> None:
        """Raises OSError where there is no room; then nothing of it is there."""
        rules = [o.rules for o in new if o.rules and o.rules not in self.rules]
        rules = [each for n, each in enumerate(rules) if each not in rules[:n]]
        numbers = [*self.rules, *rules]
        payloads = [record("rules", "", each) for each in rules]
        payloads += [p for o in new for p in self.summary(o, numbers)]
        if not payloads:
            return
        more = sum(len(p) + FRAME.size for p in payloads)
        if not self.well or not self.journal.fits(more, self.live):
            self.rewrite()
            self.well = True
        if self.journal.size + more > self.journal.most:
            raise OSError("no room to adopt it")
        self.journal.append(*payloads)
        self.read(payloads)

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
            size, more = self.journal.size, len(payload) + FRAME.size
            large = size > DEAD * self.live + SMALL or not self.journal.fits(more, self.live)
            # Where hardly any of it is dead, as once the allowance is halved, a rewrite wins nothing: one a
            # record is seconds in which nobody is heard. After a failure the file may lack what has happened.
            gains = size > self.live + DEAD_PART * self.journal.most or size + more > self.journal.most
            if not self.well or (large and gains):
                self.rewrite()
            self.journal.append(payload)
        except OSError as problem:
            if self.well:
                event("journal.blocked", why=str(problem))
            self.well = False
            return False
        if not self.well:
            event("journal.flowing")
        self.well = True
        self.apply(payload)
        return True

    def rewrite(self) -> None:
        named = [record("rules", "", each) for each in self.rules]
        ours = (owed for owed in self.owed.values() if owed.id not in self.guests)
        self.journal.rewrite([*named, *(p for owed in ours for p in self.summary(owed))])

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
        "rules": on_rules,
        "taken": on_taken,
        "push": on_push,
        "outcome": on_outcome,
        "notice": on_notice,
        "alone": on_alone,
        "over": on_over,
    }

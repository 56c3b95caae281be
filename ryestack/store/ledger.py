"""The messages that this relay owes an end, in memory and in the journal alike.

Each change is one record; the same code applies it when it is written and when it is read at a start.
Times in records are of the file's timeline, so that they hold over a restart.
"""

from ..observe.log import event
from .adoption import Adoption
from .journal import FRAME, Journal
from .owed import Owed, record
from .records import HISTORY, Records
from .timeline import continued, read_clock

LIVE_PART = 0.4  # of the allowance for what is owed: an old and a new file stand side by side at a rewrite
DEAD, SMALL = 4, 100_000  # past so many times what is owed and so many bytes a file is slow to read
DEAD_PART = 1 / 16  # of the allowance: fewer dead bytes are not worth the writing of all that lives
UNUSED = 32  # terms that no message has any more: past so many a start leaves them out
LONG_AGO = 0.0  # of any timeline: past every window


class Ledger(Adoption, Records):
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

    def owe_notice(self, name: str, notice: dict) -> bool:
        """Whether it is written, or kept by others."""
        return self.note(name, record("notice", name, notice))

    def over(self, name: str) -> None:
        self.note(name, record("over", name))

    def note(self, name: str, payload: bytes) -> bool:
        """Whether it is written, or need not be."""
        if name not in self.owed:
            return True
        if name not in self.guests and self.write(payload):
            return True
        self.apply(payload)
        return name in self.guests

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

    def write_all(self) -> bool:
        """Whether the file has all that has happened; it is written anew where it has not."""
        if not self.must_rewrite():
            return True
        try:
            self.rewrite()
        except OSError:
            return False
        self.well = True
        event("journal.flowing")
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

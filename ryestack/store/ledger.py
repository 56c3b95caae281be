"""The notifications for which this relay owes a final answer, in memory and in the journal.

Each change is one record; the same code applies it when it is written and when it is read at a start. Times
in records are on the file's timeline, so that they stay valid over a restart.
"""

from ..observe.log import event
from .adoption import Adoption
from .journal import FRAME, Journal
from .owed import Owed, record
from .records import HISTORY_BYTES, Records
from .timeline import continued, read_clock

# Of the allowance, for open notifications: during a rewrite the old and the new file exist side by side.
MAX_LIVE_SHARE = 0.4
# A file larger than this many times its live bytes plus this many bytes is slow to read, and rewritten.
REWRITE_SIZE_RATIO, REWRITE_MIN_BYTES = 4, 100_000
MIN_DEAD_SHARE = 1 / 16  # of the allowance: fewer dead bytes do not justify a rewrite of all live ones
# Records of facts that a failed write left out and that the next one makes up for: more than this many bytes
# are made up for by a rewrite.
MAX_UNWRITTEN_BYTES = 64 * 1024
MAX_UNUSED_TERMS = 32  # terms that no notification has any more: a start drops them past this number
DISTANT_PAST = 0.0  # a time that is past every window on any timeline


class Ledger(Adoption, Records):
    """Open notifications by id, kept in a journal.

    timeline: the axis of all times in it, from the recovery on; read: returns the machine's clocks.
    unwritten: the records of facts that the file lacks after failed writes, in order; must_rewrite: it lacks
    others too; blocked: whether the last write failed.
    """

    def __init__(self, journal: Journal, read=read_clock):
        super().__init__()
        self.journal, self.owed, self.live_bytes = journal, {}, 0
        self.unwritten: list[bytes] = []
        self.must_rewrite = self.blocked = False
        self.read_clock, self.timeline = read, None
        self.timeline_written = False
        self.foreign_ids: set[str] = set()  # owed for another relay: its guards store them, our file does not
        self.known_terms: list[list] = []  # terms that the file has records of, by number

    def recover(self) -> None:
        """Read the records of earlier processes; an invalid record is skipped.

        Raises OSError where no file can be opened.
        """
        invalid = self.read(self.journal.read())
        found, now = self.timeline, self.read_clock()
        self.timeline = continued(found or self.timeline_of_other_files(), now)
        self.timeline_written = found == self.timeline
        self.ids_from_own_file = set(self.owed)
        used = [rules for rules in self.known_terms if any(o.terms == rules for o in self.owed.values())]
        if unused := len(self.known_terms) - len(used) > MAX_UNUSED_TERMS:
            self.known_terms = used
        if self.journal.damaged:
            self.assume_all_may_have_run()
        if self.journal.damaged or unused:
            try:
                self.rewrite()
            except OSError as problem:
                event("journal.blocked", why=str(problem))
                self.must_rewrite = self.blocked = True
        if invalid or self.journal.dropped:
            event("journal.torn", records=invalid, bytes=self.journal.dropped)
        self.adopt()
        self.ids_from_own_file = set()

    def read(self, payloads: list[bytes]) -> int:
        """Apply the records of a file; returns how many are invalid."""
        invalid = 0
        for payload in payloads:
            try:
                self.apply(payload)
            except (ValueError, KeyError, TypeError, IndexError):
                invalid += 1
        return invalid

    def assume_all_may_have_run(self) -> None:
        """Treat every notification as one that may have run: records of pushes may be lost behind damage."""
        for owed in self.owed.values():
            owed.may_have_run_at = min(owed.may_have_run_at, DISTANT_PAST)

    # -- written before they take effect, and refused where they cannot be written --------------------

    def has_room(self, body: bytes) -> bool:
        """Whether a notification with this body fits."""
        return self.live_bytes + len(body) + 2 * HISTORY_BYTES <= self.journal.max_bytes * MAX_LIVE_SHARE

    def take(self, owed: Owed) -> bool:
        """Record a new notification; False if it was not written."""
        if not self.has_room(owed.body):
            return False
        if (
            owed.terms
            and owed.terms not in self.known_terms
            and not self.write(record("rules", "", owed.terms))
        ):
            return False
        return self.write(self.taken_record(owed))

    def push(self, name: str, push: int, time: float) -> bool:
        """Record that a push goes out at `time`; False if it was not written."""
        payload = record("push", name, push, time)
        if name in self.foreign_ids:
            self.apply(payload)
            return True
        return self.write(payload)

    # -- facts: applied in memory even where they cannot be written -----------------------------------

    def mark_unreplicated(self, name: str) -> None:
        """Record that no guard has or will have a copy."""
        self.write_or_apply(name, record("alone", name))

    def add_foreign(self, owed: Owed) -> None:
        """Add a notification taken over from another relay: in memory only."""
        self.foreign_ids.add(owed.id)
        self.owed[owed.id] = owed
        self.resize(owed, len(owed.body) + 2 * HISTORY_BYTES)

    def is_foreign(self, name: str) -> bool:
        """Whether the notification was taken over from another relay."""
        return name in self.foreign_ids

    def outcome(self, name: str, push: int, never_ran: bool) -> None:
        """Record the end of a push. never_ran: it is certain that the endpoint did not process it."""
        self.write_or_apply(name, record("outcome", name, push, never_ran))

    def owe_notice(self, name: str, notice: dict) -> bool:
        """Record the notice that is owed; returns whether it is written, or stored by guards."""
        return self.write_or_apply(name, record("notice", name, notice))

    def finish(self, name: str) -> None:
        """Record that nothing is owed of the notification any more."""
        self.write_or_apply(name, record("over", name))

    def write_or_apply(self, name: str, payload: bytes) -> bool:
        """Write and apply a record, or only apply it where it cannot be written.

        Returns whether it is written, or need not be.
        """
        if name not in self.owed:
            return True
        foreign = name in self.foreign_ids
        if not foreign and self.write(payload):
            return True
        if not foreign:
            self.unwritten.append(payload)
        self.apply(payload)
        return foreign

    def write(self, payload: bytes) -> bool:
        """Append a record and apply it, with a rewrite first where one is needed; False if it failed."""
        if not self.append_with_unwritten(payload):
            return False
        self.apply(payload)
        return True

    def write_all(self) -> bool:
        """Write what the file lacks; returns whether it now holds everything."""
        return (self.in_sync and not self.journal.tail_remains) or self.append_with_unwritten()

    def append_with_unwritten(self, *payloads: bytes) -> bool:
        """Append the records that the file lacks and these, all or none; returns whether that succeeded."""
        try:
            head = self.head()
            missing = [*head, *self.unwritten]
            if self.needs_rewrite() or self.rewrite_gains([*missing, *payloads]):
                self.rewrite()
                head = missing = []
            self.journal.append(*missing, *payloads)
        except OSError as problem:
            if not self.blocked:
                event("journal.blocked", why=str(problem))
            self.blocked = True
            return False
        if self.blocked:
            event("journal.flowing")
        self.blocked, self.unwritten = False, []
        for each in head:
            self.apply(each)
        return True

    def rewrite_gains(self, payloads: list[bytes]) -> bool:
        """Whether the file is to be rewritten before these records are appended."""
        size, added = self.journal.size, sum(len(each) + FRAME.size for each in payloads)
        large = size > REWRITE_SIZE_RATIO * self.live_bytes + REWRITE_MIN_BYTES or not self.journal.fits(
            added, self.live_bytes
        )
        # Where hardly any bytes are dead, as once the allowance is halved, a rewrite gains nothing, and one
        # per record would block the relay for seconds.
        gains = (
            size > self.live_bytes + MIN_DEAD_SHARE * self.journal.max_bytes
            or size + added > self.journal.max_bytes
        )
        return large and gains

    @property
    def in_sync(self) -> bool:
        """Whether the file holds every fact."""
        return not (self.unwritten or self.must_rewrite)

    def needs_rewrite(self) -> bool:
        """Whether the file cannot be appended to, or lacks facts that an append does not make up for."""
        too_many = sum(map(len, self.unwritten)) > MAX_UNWRITTEN_BYTES
        return self.must_rewrite or self.journal.tail_remains or too_many

    def rewrite(self) -> None:
        """Replace the file by one with the live records only; raises OSError."""
        self.timeline_written = False
        named = [record("rules", "", each) for each in self.known_terms]
        named += [record("adopted", *identity) for identity in sorted(self.adopted)]
        ours = (owed for owed in self.owed.values() if owed.id not in self.foreign_ids)
        self.journal.rewrite([*self.head(), *named, *(p for owed in ours for p in self.records_of(owed))])
        self.timeline_written, self.must_rewrite, self.unwritten = True, False, []

    def head(self) -> list[bytes]:
        """The record of our timeline, unless the file has it already."""
        if self.timeline_written or self.timeline is None:
            return []
        return [record("clock", "", self.timeline.boot, self.timeline.offset, self.timeline.began)]

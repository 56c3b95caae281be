"""The notifications for which this relay owes a final answer, in memory and in the journal.

Each change is one record; the same code applies it when it is written and when it is read at a start. Times
in records are on the file's timeline, so that they stay valid over a restart.
"""

from functools import partial

from ..observe.log import event
from .adoption import Adoption
from .ended_ids import MAX_IDS, ROW_BYTES, EndedIds
from .journal import Journal
from .owed import Owed, record
from .records import HISTORY_BYTES, Records
from .staged_records import Undone
from .timeline import continued, read_clock
from .writing import Done, Writing, report

# Of the allowance, for open notifications: during a rewrite the old and the new file exist side by side.
MAX_LIVE_SHARE = 0.4
MAX_UNUSED_TERMS = 32  # terms that no notification has any more: a start drops them past this number
DISTANT_PAST = 0.0  # a time that is past every window on any timeline
ENDED_DISK_DIVISOR = 8  # this part of the allowance is for the ids that have ended


def max_ended_ids(allowance: int) -> int:
    """How many ids that have ended a folder of that many bytes has room for."""
    return min(MAX_IDS, allowance // ENDED_DISK_DIVISOR // ROW_BYTES)


class Ledger(Adoption, Writing, Records):
    """Open notifications by id, kept in a journal.

    timeline: the axis of all times in it, from the recovery on; read: returns the machine's clocks. ended:
    ids that have ended after a push, of notifications that may not run twice.
    """

    def __init__(self, journal: Journal, read=read_clock):
        super().__init__()
        self.journal, self.owed, self.live_bytes = journal, {}, 0
        self.read_clock, self.timeline = read, None
        self.ended = EndedIds(max_ended_ids(journal.allowance) if journal else MAX_IDS)
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
        self.ended.expire(self.timeline.now(now))
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

    def remember(self, rows: list[list]) -> None:
        """Record ids that have ended in another process of this relay."""
        for each in self.ended_records(rows):
            self.write_fact(each)

    def take(self, owed: Owed, done: Done = None) -> bool:
        """Record a new notification; False if it was not written. done: as for `write`."""
        unknown = owed.terms and owed.terms not in self.known_terms
        fits = self.has_room(owed.body)
        if not fits or (unknown and not self.write("", record("rules", "", owed.terms))):
            return report(done, False)
        return self.write(owed.id, self.taken_record(owed), done, partial(self.take_back, owed.id))

    def push(self, name: str, push: int, time: float, done: Done = None) -> bool:
        """Record that a push goes out at `time`; False if it was not written. done: as for `write`."""
        payload = record("push", name, push, time)
        if name in self.foreign_ids:
            self.apply(payload)
            return report(done, True)
        return self.write(name, payload, done, partial(self.take_push_back, name, push))

    def take_back(self, name: str) -> Undone:
        """Forget a notification that could not be recorded."""
        if name in self.owed:
            self.on_over(name, [], b"")
        return Undone.NOTIFICATION

    def take_push_back(self, name: str, push: int) -> Undone:
        """Forget a push that could not be recorded, unless it has ended meanwhile: it counts then."""
        owed = self.owed.get(name)
        if owed is None or owed.open_pushes.pop(push, None) is None:
            return Undone.NOTHING
        owed.pushes -= 1
        return Undone.RECORD

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

    def owe_notice(self, name: str, notice: dict, done: Done = None) -> bool:
        """Record the notice that is owed; returns whether it is written, or stored by guards.

        done: as for `write`.
        """
        return self.write_or_apply(name, record("notice", name, notice), done)

    def finish(self, name: str) -> None:
        """Record that nothing is owed of the notification any more."""
        self.write_or_apply(name, record("over", name))

    # -- files of dead processes ------------------------------------------------------------------

    def adopt(self) -> list[Owed]:
        """Adopt the files of dead processes; returns the notifications that they owed."""
        with self.written_at_once():
            return super().adopt()

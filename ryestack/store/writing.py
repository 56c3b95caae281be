"""How a ledger's records get into its file: each at once, or in groups."""

from collections.abc import Callable
from contextlib import contextmanager

from ..observe.log import event
from .ended_ids import ROW_BYTES
from .group_commit import GroupCommit
from .journal import FRAME
from .owed import record
from .staged_records import JournalWrite, StagedRecord, Undone

# A file larger than this many times its live bytes plus this many bytes is slow to read, and rewritten.
REWRITE_SIZE_RATIO, REWRITE_MIN_BYTES = 4, 100_000
MIN_DEAD_SHARE = 1 / 16  # of the allowance: fewer dead bytes do not justify a rewrite of all live ones
# Records of facts that a failed write left out and that the next one makes up for: more than this many bytes
# are made up for by a rewrite.
MAX_UNWRITTEN_BYTES = 64 * 1024

Done = Callable[[bool], None] | None  # called with whether a record is in the file
Undo = Callable[[], Undone]  # takes back a record that could not be written


def keep() -> Undone:
    """Take back nothing: the record is a fact."""
    return Undone.NOTHING


def report(done: Done, written: bool) -> bool:
    """Report whether a record was written, and return it."""
    if done:
        done(written)
    return written


class Writing:
    """The part of a ledger that writes.

    unwritten: the records of facts that the file lacks after failed writes, in order; must_rewrite: it lacks
    others too; blocked: whether the last write failed; timeline_written: whether the file has the timeline.
    commits: writes the records in groups, None while each is written at once.
    """

    def __init__(self):
        super().__init__()
        self.unwritten: list[bytes] = []
        self.must_rewrite = self.blocked = self.timeline_written = False
        self.commits: GroupCommit | None = None

    def write_or_apply(self, name: str, payload: bytes, done: Done = None) -> bool:
        """Write and apply a record, or only apply it where it cannot be written.

        Returns whether it is written, or need not be.
        """
        if name not in self.owed:
            return True
        foreign = name in self.foreign_ids
        if not foreign and self.commits:
            return self.write(name, payload, done)
        if not foreign and self.write(name, payload):
            return report(done, True)
        if not foreign:
            self.unwritten.append(payload)
        self.apply(payload)
        return report(done, foreign)

    def write_fact(self, payload: bytes) -> None:
        """Write and apply a record that belongs to no open notification, or only apply it."""
        if not self.write("", payload) and not self.commits:
            self.unwritten.append(payload)
            self.apply(payload)

    def write(self, name: str, payload: bytes, done: Done = None, undo: Undo = keep) -> bool:
        """Append a record and apply it, with a rewrite first where one is needed; False if it failed.

        In groups it is applied at once, and taken back by undo if its group fails; what is returned is True.
        done: called with whether it was written, once that is known.
        """
        if self.commits:
            self.apply(payload)
            self.commits.stage(StagedRecord(name, payload, done, undo))
            return True
        if not self.append_with_unwritten(payload):
            return report(done, False)
        self.apply(payload)
        return report(done, True)

    def write_all(self) -> bool:
        """Write what the file lacks; returns whether it now holds everything, in groups whether it did."""
        complete = not self.lacks_facts()
        if self.commits:
            self.commits.begin_soon()
            return complete and self.commits.idle
        return complete or self.append_with_unwritten()

    def lacks_facts(self) -> bool:
        """Whether the file lacks facts that a write can make up for."""
        return not self.in_sync or self.journal.tail_remains

    # -- in groups -------------------------------------------------------------------------------------

    def write_in_groups(self) -> None:
        """From now on, write in groups, which the event loop begins and completes."""
        self.commits = GroupCommit(self)

    @contextmanager
    def written_at_once(self):
        """Within the body each record is written at once, on this thread."""
        commits = self.commits
        self.flush()
        self.commits = None
        try:
            yield
        finally:
            self.commits = commits

    @property
    def idle(self) -> bool:
        """Whether nothing waits to be written."""
        return self.commits is None or self.commits.idle

    @property
    def writes_on_thread(self) -> bool:
        """Whether what is staged now is written on a thread, and may take long."""
        return self.commits is not None and self.commits.on_thread

    def call_when_gone(self, callback: Callable[[], None]) -> None:
        """Call it once the file has no record of the write that has just failed."""
        if self.commits:
            self.commits.call_when_gone(callback)
        else:
            callback()

    def flush(self) -> None:
        """Wait until all that is staged is written."""
        if self.commits:
            self.commits.flush()

    def close(self) -> None:
        """Write all that is staged, and close the file."""
        if self.commits:
            self.commits.close()
            self.commits = None
        self.journal.close()

    def prepare_write(self, payloads: list[bytes]) -> JournalWrite:
        """The write that brings the file up to date with these records, which are applied already."""
        missing = [*self.head(), *self.unwritten]
        if self.needs_rewrite() or self.rewrite_gains([*missing, *payloads]):
            return JournalWrite(True, self.live_records(), len(self.unwritten))
        return JournalWrite(False, [*missing, *payloads], len(self.unwritten))

    def complete_write(self, write: JournalWrite, problem: OSError | None) -> None:
        """A write has ended. problem: why it failed, None if it did not."""
        if problem is not None:
            return self.note_blocked(problem)
        self.note_flowing()
        self.unwritten = self.unwritten[write.facts :]
        self.timeline_written = self.timeline is not None
        if write.rewrites:
            self.must_rewrite = False

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
            self.note_blocked(problem)
            return False
        self.note_flowing()
        self.unwritten = []
        for each in head:
            self.apply(each)
        return True

    def note_blocked(self, problem: OSError) -> None:
        """A write failed."""
        if not self.blocked:
            event("journal.blocked", why=str(problem))
        self.blocked = True

    def note_flowing(self) -> None:
        """A write succeeded."""
        if self.blocked:
            event("journal.flowing")
        self.blocked = False

    def rewrite_gains(self, payloads: list[bytes]) -> bool:
        """Whether the file is to be rewritten before these records are appended."""
        size, added = self.journal.size, sum(len(each) + FRAME.size for each in payloads)
        live = self.live_bytes + ROW_BYTES * len(self.ended)
        large = size > REWRITE_SIZE_RATIO * live + REWRITE_MIN_BYTES or not self.journal.fits(added, live)
        # Where hardly any bytes are dead, as once the allowance is halved, a rewrite gains nothing, and one
        # per record would block the relay for seconds.
        gains = size > live + MIN_DEAD_SHARE * self.journal.max_bytes or size + added > self.journal.max_bytes
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
        self.journal.rewrite(self.live_records())
        self.timeline_written, self.must_rewrite, self.unwritten = True, False, []

    def live_records(self) -> list[bytes]:
        """All records of a file that holds nothing but what is live."""
        self.timeline_written = False
        named = [record("rules", "", each) for each in self.known_terms]
        named += [record("adopted", *identity) for identity in sorted(self.adopted)]
        if self.timeline:
            self.ended.expire(self.timeline.now(self.read_clock()))
        named += self.ended_records(self.ended.rows())
        ours = (owed for owed in self.owed.values() if owed.id not in self.foreign_ids)
        return [*self.head(), *named, *(payload for owed in ours for payload in self.records_of(owed))]

    def head(self) -> list[bytes]:
        """The record of our timeline, unless the file has it already."""
        if self.timeline_written or self.timeline is None:
            return []
        return [record("clock", "", self.timeline.boot, self.timeline.offset, self.timeline.began)]

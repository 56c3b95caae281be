"""Writes staged records to the journal in groups, on a thread: a slow disk holds up only what must wait.

A record is applied in memory as it is staged, and is in the file once its group is written. One group is
written at a time; what is staged meanwhile forms the next one. Whatever needs a record in the file waits for
its `done`.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from concurrent.futures import Future, ThreadPoolExecutor
from concurrent.futures import wait as wait_for
from dataclasses import dataclass, field
from enum import Enum, auto
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .journal import Journal
    from .ledger import Ledger


class Undone(Enum):
    """What was taken back of a record that could not be written."""

    NOTIFICATION = auto()  # with it fall all other records of its notification
    RECORD = auto()
    NOTHING = auto()  # what came after it builds on it: it is written later


@dataclass(slots=True)
class StagedRecord:
    """A record that is applied in memory and not in the file yet.

    done: called with whether it was written, None if nobody asks. undo: takes its effect in memory back where
    it cannot be written; a fact stays, and is written later.
    """

    name: str
    payload: bytes
    done: Callable[[bool], None] | None
    undo: Callable[[], Undone]


@dataclass(slots=True)
class JournalWrite:
    """One write of the file: it is rewritten with these records, or they are appended.

    facts: how many of the records that the file lacked it makes up for.
    """

    rewrites: bool
    payloads: list[bytes]
    facts: int
    group: list[StagedRecord] = field(default_factory=list)

    def run(self, journal: Journal) -> None:
        """Make the write; raises OSError."""
        if self.rewrites:
            journal.rewrite(self.payloads)
        elif self.payloads:
            journal.append(*self.payloads)


class GroupCommit:
    """The groups of one ledger. All methods are called on the event loop's thread."""

    def __init__(self, ledger: Ledger):
        self.ledger, self.loop = ledger, asyncio.get_running_loop()
        self.executor = ThreadPoolExecutor(1, thread_name_prefix="journal")
        self.staged: list[StagedRecord] = []
        self.write: JournalWrite | None = None  # on the thread now
        self.future: Future | None = None
        self.begins = False  # whether a group begins in this iteration of the loop

    @property
    def idle(self) -> bool:
        """Whether nothing is staged or being written."""
        return not self.staged and self.future is None

    def stage(self, record: StagedRecord) -> None:
        """Add a record to the next group."""
        self.staged.append(record)
        self.begin_soon()

    def begin_soon(self) -> None:
        """Begin a group once the callback that runs now is over, unless one is being written."""
        if not self.begins and self.future is None:
            self.begins = True
            self.loop.call_soon(self.begin)

    def begin(self) -> None:
        """Write what is staged and what the file lacks, unless a group is being written."""
        self.begins = False
        if self.future is not None or not (self.staged or self.ledger.lacks_facts()):
            return
        group, self.staged = self.staged, []
        self.write = self.ledger.prepare_write([record.payload for record in group])
        self.write.group = group
        self.future = self.executor.submit(self.write.run, self.ledger.journal)
        self.future.add_done_callback(self.notify)

    def notify(self, future: Future) -> None:
        """Have the group completed on the loop's thread; called on the journal's."""
        try:
            self.loop.call_soon_threadsafe(self.complete, future)
        except RuntimeError:  # the loop is closed: flush() has completed it
            return

    def complete(self, future: Future) -> None:
        """Report a group as written or not, and begin the next one."""
        if future is not self.future:  # flush() was here before
            return
        problem, write, self.future, self.write = future.exception(), self.write, None, None
        if problem is not None and not isinstance(problem, OSError):
            raise problem
        self.ledger.complete_write(write, problem)
        if problem is not None:
            self.undo(write.group)
        for record in write.group:
            if record.done:
                record.done(problem is None)
        if self.staged:
            self.begin()

    def undo(self, group: list[StagedRecord]) -> None:
        """Take back a group that could not be written, and what is staged for notifications that it took."""
        undone = [record.undo() for record in group]
        kinds = list(zip(group, undone, strict=True))
        taken_back = {record.name for record, what in kinds if what is Undone.NOTIFICATION}
        facts = [record for record, what in kinds if what is Undone.NOTHING and record.name not in taken_back]
        self.ledger.unwritten += [record.payload for record in facts]
        fallen = [record for record in self.staged if record.name in taken_back]
        self.staged = [record for record in self.staged if record.name not in taken_back]
        for record in fallen:
            if record.done:
                record.done(False)

    def flush(self) -> None:
        """Write all that is staged, and wait for the disk."""
        while not self.idle:
            self.begin()
            wait_for([self.future])
            self.complete(self.future)

    def close(self) -> None:
        """Write all that is staged, and end the thread."""
        self.flush()
        self.executor.shutdown()

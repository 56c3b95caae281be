"""Writes staged records to the journal in groups; while the disk is slow, on a thread, so that it holds up
only what must wait.

A record is applied in memory as it is staged, and is in the file once its group is written. One group is
written at a time; what is staged meanwhile forms the next one. Whatever needs a record in the file waits for
its `done`.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from concurrent.futures import Future, ThreadPoolExecutor
from concurrent.futures import wait as wait_for
from functools import partial

from .disk_pace import DiskPace
from .journal import UncertainWrite
from .staged_records import JournalWrite, StagedRecord, Undone, WritingLedger

UNCERTAIN_RETRY_S = 0.02  # a client whose hand-in is uncertain waits 0.35 s for its answer


class GroupCommit:
    """The groups of one ledger. All methods are called on the event loop's thread."""

    def __init__(self, ledger: WritingLedger):
        self.ledger, self.loop = ledger, asyncio.get_running_loop()
        self.pace = DiskPace()
        self.executor = ThreadPoolExecutor(1, thread_name_prefix="journal")
        self.staged: list[StagedRecord] = []
        self.late: list[Callable[[bool], None] | None] = []  # the `done` of facts that the file lacks
        self.write: JournalWrite | None = None  # being made now
        self.future: Future | None = None
        self.begins = False  # whether a group begins in this iteration of the loop
        self.uncertain = False  # within undo(): whether records of the group may be read at a start
        self.retry: asyncio.TimerHandle | None = None  # of the removal of such records
        self.when_gone: list[Callable[[], None]] = []  # called once no failed group has records in it

    @property
    def idle(self) -> bool:
        """Whether nothing is staged or being written."""
        return not self.staged and self.future is None

    @property
    def on_thread(self) -> bool:
        """Whether the next group is written on the thread."""
        return self.future is not None or self.pace.slow

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
        write = partial(self.write.run, self.ledger.journal)
        if self.pace.slow:
            self.future = self.executor.submit(self.pace.run, write)
            self.future.add_done_callback(self.notify)
            return
        problem = None
        try:
            self.pace.run(write)
        except OSError as error:
            problem = error
        self.complete(problem)

    def notify(self, future: Future) -> None:
        """Have the group completed on the loop's thread; called on the journal's."""
        try:
            self.loop.call_soon_threadsafe(self.complete_future, future)
        except RuntimeError:  # the loop is closed: flush() has completed it
            return

    def complete_future(self, future: Future) -> None:
        """The thread has made its write."""
        if future is not self.future:  # flush() was here before
            return
        problem, self.future = future.exception(), None
        if problem is not None and not isinstance(problem, OSError):
            raise problem
        self.complete(problem)

    def complete(self, problem: OSError | None) -> None:
        """Report the group that was written, or was not because of the problem; the next one follows."""
        write, self.write = self.write, None
        self.ledger.complete_write(write, problem)
        if problem is not None:
            self.uncertain = isinstance(problem, UncertainWrite)
            self.undo(write.group)
            self.uncertain = False
        else:
            reports, self.late = self.late + [record.done for record in write.group], []
            for done in filter(None, reports):
                done(True)
        self.settle_uncertain()
        if self.staged:
            self.begin_soon()

    def undo(self, group: list[StagedRecord]) -> None:
        """Take back a group that could not be written, and what is staged for notifications that it took."""
        undone = [(record, record.undo()) for record in group]
        taken_back = {record.name for record, what in undone if what is Undone.NOTIFICATION}
        facts = [
            record for record, what in undone if what is Undone.NOTHING and record.name not in taken_back
        ]
        self.ledger.unwritten += [record.payload for record in facts]
        self.late += [record.done for record in facts]
        fallen = [record for record in self.staged if record.name in taken_back]
        self.staged = [record for record in self.staged if record.name not in taken_back]
        for record in group + fallen:
            if record.done and record not in facts:
                record.done(False)

    def call_when_gone(self, callback: Callable[[], None]) -> None:
        """Call it once the file has no record of the group that has just failed: at once if it has none."""
        if self.uncertain:
            self.when_gone.append(callback)
        else:
            callback()

    def settle_uncertain(self) -> None:
        """Call what waits for records of failed groups to be gone, or try again soon to remove them."""
        if not self.when_gone:
            return
        if self.retry:
            self.retry.cancel()
        if self.ledger.journal.tail_remains:
            self.retry = self.loop.call_later(UNCERTAIN_RETRY_S, self.begin_soon)
            return
        callbacks, self.when_gone = self.when_gone, []
        for callback in callbacks:
            callback()

    def flush(self) -> None:
        """Write all that is staged and, once, what the file lacks; waits for the disk."""
        self.begin()
        while not self.idle:
            if self.future:
                wait_for([self.future])
                self.complete_future(self.future)
            self.begin()

    def close(self) -> None:
        """Write all that is staged, and end the thread."""
        self.flush()
        if self.retry:
            self.retry.cancel()  # nothing may be written once the file's lock is released
        self.executor.shutdown()

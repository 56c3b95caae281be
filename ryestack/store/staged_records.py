"""Records that are applied in memory and on their way to the journal, and what a group of them needs."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum, auto
from typing import Protocol

from .journal import Journal


class Undone(Enum):
    """What was taken back of a record that could not be written."""

    NOTIFICATION = auto()  # with it fall all other records of its notification
    RECORD = auto()
    NOTHING = auto()  # what came after it builds on it: it is written later


@dataclass(slots=True, eq=False)
class StagedRecord:
    """A record that is applied in memory and not in the file yet.

    done: called with whether it was written, None if nobody asks. undo: takes its effect in memory back where
    it cannot be written; a fact stays, and is reported once a later group has written it.
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


class WritingLedger(Protocol):
    """What the groups need of the ledger whose records they write.

    unwritten: the records of facts that the file lacks, in order.
    """

    journal: Journal
    unwritten: list[bytes]

    def lacks_facts(self) -> bool:
        """Whether the file lacks facts that a write can make up for."""

    def prepare_write(self, payloads: list[bytes]) -> JournalWrite:
        """The write that brings the file up to date with these records, which are applied already."""

    def complete_write(self, write: JournalWrite, problem: OSError | None) -> None:
        """A write has ended. problem: why it failed, None if it did not."""

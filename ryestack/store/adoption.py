"""Adopts the journal files of dead processes, in a folder whose disk may fail.

The live records of a file are appended to our own file in one write that also records the file's identity;
then the file is removed. A kill before that write changes nothing. After it the notifications are ours. A
file that is still there, because of a kill or because its removal failed, is recognised by its identity and
not adopted again.
"""

from contextlib import suppress
from pathlib import Path

from ..observe.log import event
from . import files
from .journal import FRAME, FileContents, FileIdentity, decode_frames, parse_file
from .owed import Owed, record
from .timeline import Timeline

HEAD_BYTES = 512  # read from the start of a file to get its first record, which holds the timeline


class NoRoom(OSError):
    """The disk allowance is too small for the records to be adopted."""


class Adoption:
    """The part of a ledger that adopts other processes' files.

    adopted: identities of adopted files that have not been removed yet; ids_from_own_file: during recovery,
    the ids that our own file lists as owed; retry_needed: a dead process's file could not be adopted or
    removed yet.
    """

    def __init__(self):
        super().__init__()
        self.adopted: set[FileIdentity] = set()
        self.ids_from_own_file: set[str] = set()
        self.retry_needed = False

    def adopt(self) -> list[Owed]:
        """Adopt the files of dead processes; returns the notifications that they owed."""
        adopted, self.retry_needed = [], False
        for path in self.journal.sibling_files():
            try:
                fd = files.lock(path)
                if fd is None:
                    continue  # its process is still running
                with open(fd, "rb") as file:
                    adopted += self.adopt_file(path, file.read())
            except OSError as problem:  # the file stays, and is tried again later
                event("journal.blocked", why=f"{path.name}: {problem}")
                self.retry_needed = True
        return adopted

    def adopt_file(self, path: Path, data: bytes) -> list[Owed]:
        """Copy one file and remove it once the copy is written; raises NoRoom, with nothing copied."""
        contents, other = parse_file(data), type(self)(None)
        invalid = other.read(contents.records)
        identity, new = FileIdentity.of(path, data, contents.size), []
        if identity not in self.adopted:
            new = self.copy_from(other, contents, identity)
            if invalid or contents.dropped:
                event("journal.torn", records=invalid, bytes=contents.dropped)
            event("journal.adopted", file=path.name, owed=len(new))
        if self.write_all():
            self.remove_file(path, identity)
        else:
            self.retry_needed = True
        return new

    def copy_from(self, other: "Adoption", contents: FileContents, identity: FileIdentity) -> list[Owed]:
        """Copy what the other ledger owes; returns our copies."""
        if contents.damaged:
            other.assume_all_may_have_run()
        # A process that had adopted our file holds the newer state of those notifications; ours is stale.
        stale = self.ids_from_own_file if self.journal.identity in other.adopted else set()
        new = [owed for owed in other.owed.values() if owed.id not in self.owed or owed.id in stale]
        shift = other.timeline.shift_to(self.timeline) if other.timeline and self.timeline else 0.0
        for owed in new:
            owed.shift(shift)
        self.copy(new, sorted(stale), identity if other.owed else None, other.ended.rows(shift))
        return [self.owed[owed.id] for owed in new]

    def timeline_of_other_files(self) -> Timeline | None:
        """The timeline of another process's file: the files of a folder share one where possible."""
        for path in self.journal.sibling_files():
            with suppress(OSError), open(path, "rb") as file:
                head = type(self)(None)
                head.read(decode_frames(file.read(HEAD_BYTES))[0][:1])
                if head.timeline:
                    return head.timeline
        return None

    def remove_file(self, path: Path, identity: FileIdentity) -> None:
        try:
            path.unlink(missing_ok=True)
            files.replacement_path(path).unlink(missing_ok=True)
        except OSError as problem:  # the content is adopted already: only the removal is retried
            event("journal.blocked", why=f"{path.name}: {problem}")
            self.retry_needed = True
            return
        self.adopted.discard(identity)

    def copy(
        self, new: list[Owed], stale: list[str], identity: FileIdentity | None, ended: list[list]
    ) -> None:
        """Append the records of `new`. stale: ids in our file that another process had adopted since;
        identity: of the adopted file, None if it owed nothing; ended: rows of ids that had ended there.
        Raises NoRoom, with nothing copied."""
        rules = [owed.terms for owed in new if owed.terms and owed.terms not in self.known_terms]
        rules = [each for n, each in enumerate(rules) if each not in rules[:n]]
        numbers = [*self.known_terms, *rules]
        payloads = [record("over", name) for name in stale]
        payloads += [record("rules", "", each) for each in rules]
        payloads += [payload for owed in new for payload in self.records_of(owed, numbers)]
        payloads += self.ended_records(ended)
        payloads += [record("adopted", *identity)] if identity else []
        if not payloads:
            return
        try:
            self.append_adopted([*self.head(), *payloads])
        except NoRoom:
            raise
        except OSError as problem:
            # Adopted in memory all the same, since their final answers are due; the next write is a rewrite.
            if self.live_bytes + sum(map(len, payloads)) > self.journal.max_bytes:
                raise NoRoom(
                    f"no room to adopt it: {self.live_bytes} bytes in use and {sum(map(len, payloads))} "
                    f"to adopt, {self.journal.max_bytes} allowed"
                ) from problem
            event("journal.blocked", why=f"adopting: {problem}")
            self.must_rewrite = self.blocked = True
        self.read(payloads)

    def append_adopted(self, payloads: list[bytes]) -> None:
        """Append all payloads in one write; raises OSError, or NoRoom, with none of them written."""
        added = sum(len(payload) + FRAME.size for payload in payloads)
        lacking = not self.in_sync or self.journal.tail_remains
        if lacking or not self.journal.fits(added, self.live_bytes):
            self.rewrite()
        if self.journal.size + added > self.journal.max_bytes:
            raise NoRoom(
                f"no room to adopt it: {self.journal.size} bytes in use and {added} to adopt, "
                f"{self.journal.max_bytes} allowed"
            )
        self.journal.append(*payloads)
        self.timeline_written = True

"""Taking over what processes that are gone have left in files of their own, in a folder that may fail.

A file is copied whole behind ours, in one write that also names it, and then taken away. A kill before that
write leaves all as it was. After it the messages are ours, and a file that is still there, because of a kill
or because it could not be taken away, is known by its content and never read into our work again.
"""

from contextlib import suppress
from pathlib import Path

from ..observe.log import event
from . import files
from .journal import FRAME, FileIdentity, Torn, torn, unframed
from .owed import Owed, record
from .timeline import Timeline

HEAD = 512  # bytes at the head of a file that hold its first record, which tells its timeline


class NoRoom(OSError):
    """The allowance does not hold what is to be adopted."""


class Adoption:
    """The part of a ledger that adopts. adopted: files whose content is ours, as long as they are there;
    from_own_file: at a start, what our own file says is owed; stuck: a file of a process that is gone could
    not be taken over, or taken away, yet."""

    def __init__(self):
        self.adopted: set[FileIdentity] = set()
        self.from_own_file: set[str] = set()
        self.stuck = False

    def adopt(self) -> list[Owed]:
        """Take over what is there of processes that are gone; returns what is owed by it."""
        taken, self.stuck = [], False
        for path in self.journal.beside():
            try:
                fd = files.lock(path)
                if fd is None:
                    continue  # its process lives
                with open(fd, "rb") as file:
                    taken += self.adopt_file(path, file.read())
            except OSError as problem:  # it stays where it is, and is tried again
                event("journal.blocked", why=f"{path.name}: {problem}")
                self.stuck = True
        return taken

    def adopt_file(self, path: Path, data: bytes) -> list[Owed]:
        """Copy one file, and take it away once that is written; raises NoRoom with nothing copied."""
        found, left = torn(data), type(self)(None)
        bad = left.read(found.records)
        identity, new = FileIdentity.of(path, data, found.size), []
        if identity not in self.adopted:
            new = self.copy_from(left, found, identity)
            if bad or found.dropped:
                event("journal.torn", records=bad, bytes=found.dropped)
            event("journal.adopted", file=path.name, owed=len(new))
        if self.write_all():
            self.take_away(path, identity)
        else:
            self.stuck = True
        return new

    def copy_from(self, left: "Adoption", found: Torn, identity: FileIdentity) -> list[Owed]:
        if found.damaged:
            left.doubt()
        # A process that had adopted our file knows what became of it since; our file does not.
        stale = self.from_own_file if self.journal.identity in left.adopted else set()
        new = [owed for owed in left.owed.values() if owed.id not in self.owed or owed.id in stale]
        shift = left.timeline.shift_to(self.timeline) if left.timeline and self.timeline else 0.0
        for owed in new:
            owed.shift(shift)
        self.copy(new, sorted(stale), identity if left.owed else None)
        return [self.owed[owed.id] for owed in new]

    def timeline_beside(self) -> Timeline | None:
        """That of another process's file: all files of a folder share one where they can."""
        for path in self.journal.beside():
            with suppress(OSError), open(path, "rb") as file:
                head = type(self)(None)
                head.read(unframed(file.read(HEAD))[0][:1])
                if head.timeline:
                    return head.timeline
        return None

    def take_away(self, path: Path, identity: FileIdentity) -> None:
        try:
            path.unlink(missing_ok=True)
            files.fresh(path).unlink(missing_ok=True)
        except OSError as problem:  # its content is ours: only the name is tried again
            event("journal.blocked", why=f"{path.name}: {problem}")
            self.stuck = True
            return
        self.adopted.discard(identity)

    def copy(self, new: list[Owed], stale: list[str], identity: FileIdentity | None) -> None:
        """stale: names that our file has and another had taken over since; identity: of the file, if it owed
        anything. Raises NoRoom; then nothing of it is there."""
        rules = [o.rules for o in new if o.rules and o.rules not in self.rules]
        rules = [each for n, each in enumerate(rules) if each not in rules[:n]]
        numbers = [*self.rules, *rules]
        payloads = [record("over", name) for name in stale]
        payloads += [record("rules", "", each) for each in rules]
        payloads += [p for o in new for p in self.summary(o, numbers)]
        payloads += [record("adopted", *identity)] if identity else []
        if not payloads:
            return
        try:
            self.append_copy([*self.head(), *payloads])
        except NoRoom:
            raise
        except OSError as problem:  # ours all the same: their ends are due; the next write is of all
            if self.live + sum(map(len, payloads)) > self.journal.most:
                raise NoRoom("no room to adopt it") from problem
            event("journal.blocked", why=f"adopting: {problem}")
            self.well = False
        self.read(payloads)

    def append_copy(self, payloads: list[bytes]) -> None:
        more = sum(len(p) + FRAME.size for p in payloads)
        if self.must_rewrite() or not self.journal.fits(more, self.live):
            self.rewrite()
            self.well = True
        if self.journal.size + more > self.journal.most:
            raise NoRoom("no room to adopt it")
        self.journal.append(*payloads)
        self.timeline_written = True

"""Read-only inspection of a relay's folder, whether the relay is running or dead, or a file is damaged.

A start drops everything behind the first invalid frame. This reader continues behind it, so that it can list
what a start would lose.
"""

from dataclasses import dataclass, field
from math import inf
from pathlib import Path

from . import files
from .journal import FRAME, decode_frames, find_next_frame
from .ledger import Ledger
from .owed import Owed
from .timeline import MachineClock, Timeline


class NoJournal(Exception):
    """The folder does not exist or cannot be read; the text says which."""


@dataclass(slots=True)
class Damage:
    """Bytes of the file that are not a valid record. tail: they reach the end of the file, as after a kill
    during a write."""

    at: int
    length: int
    tail: bool


@dataclass(slots=True)
class JournalReport:
    """The contents of a file: as the next start reads it, and what follows the first damage."""

    path: str
    size: int = 0
    records: int = 0
    # Offsets of complete records with invalid content.
    invalid_offsets: list[int] = field(default_factory=list)
    damage: list[Damage] = field(default_factory=list)
    owed: dict[str, Owed] = field(default_factory=dict)
    # Owed by records that a start would drop.
    owed_behind_damage: dict[str, Owed] = field(default_factory=dict)
    rewrite_pending: bool = False  # an unfinished rewrite of the file exists
    timeline: Timeline | None = None  # of the times in the file; None: they are wall-clock times

    def now(self, clock: MachineClock) -> float:
        """The current time on the file's timeline, in seconds."""
        return self.timeline.now(clock) if self.timeline else clock.wall

    def is_sound(self) -> bool:
        """Whether the file has no damage beyond what a kill during a write leaves."""
        return not self.invalid_offsets and all(d.tail for d in self.damage)


def inspect(folder: str) -> list[JournalReport]:
    """A report for each journal file of the folder, and for the first one even if it does not exist.

    Raises NoJournal.
    """
    if not Path(folder).is_dir():
        raise NoJournal(f"{folder}: is no folder")
    first = Path(folder) / files.FILE_NAMES[0]
    return [_inspect(path) for path in [first, *files.other_files(Path(folder), first)]]


def _inspect(path: Path) -> JournalReport:
    report = JournalReport(str(path), rewrite_pending=files.replacement_path(path).exists())
    try:
        data = path.read_bytes() if path.exists() else b""
    except OSError as problem:
        raise NoJournal(f"{path}: {problem.strerror}") from None
    report.size = len(data)
    ledger, offset, first = Ledger(None), 0, True
    while offset < len(data):
        records, length = decode_frames(data[offset:])
        _apply(report, ledger, records, offset)
        offset += length
        if first:
            report.owed = {name: _copy(owed) for name, owed in ledger.owed.items()}
            first = False
        if offset < len(data):
            begin = find_next_frame(data, offset + 1)
            report.damage.append(Damage(offset, begin - offset, begin == len(data)))
            offset = begin
    report.timeline = ledger.timeline
    report.owed_behind_damage = {
        owed_id: later for owed_id, later in ledger.owed.items() if owed_id not in report.owed
    }
    return report


def _apply(report: JournalReport, ledger: Ledger, records: list[bytes], offset: int) -> None:
    for payload in records:
        try:
            ledger.apply(payload)
        except (ValueError, KeyError, TypeError, IndexError, AttributeError):
            report.invalid_offsets.append(offset)
        report.records += 1
        offset += FRAME.size + len(payload)


def _copy(owed: Owed) -> Owed:
    return Owed(
        owed.id,
        owed.due,
        owed.destination,
        owed.topic_type,
        owed.customer,
        owed.order_key,
        "",
        b"",
        owed.terms,
        owed.pushes,
        owed.may_have_run_at,
        dict(owed.open_pushes),
        owed.notice,
    )


def summary_row(owed: Owed, now: float) -> dict:
    """One notification for display, without key and body.

    now and the times in the result are in seconds of the file's timeline.
    """
    first = owed.first_may_have_run_at()
    return {
        "id": owed.id,
        "destination": owed.destination,
        "topic_type": owed.topic_type,
        "customer": owed.customer,
        "due_in_s": round(owed.due - now, 3),
        "pushes": owed.pushes,
        "out": sorted(owed.open_pushes),
        "may_have_run": first < inf,
        "first_may_have_run_at": None if first == inf else first,
        "notice": owed.notice,
    }

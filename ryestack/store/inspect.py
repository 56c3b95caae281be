"""Reads a relay's folder without touching it: of a live relay, a dead one, or a damaged file.

A start drops all that stands behind the first bad frame; this reader goes on behind it, so that what would be
lost can be named.
"""

from dataclasses import dataclass, field
from math import inf
from pathlib import Path

from . import files
from .journal import FRAME, following, unframed
from .ledger import Ledger
from .owed import Owed
from .timeline import MachineClock, Timeline


class NoJournal(Exception):
    """There is no folder, or it cannot be read; the text says which."""


@dataclass(slots=True)
class Damage:
    """Bytes of the file that are no record. tail: they reach its end, as after a kill within a write."""

    at: int
    length: int
    tail: bool


@dataclass(slots=True)
class Found:
    """What the file holds: as the next start sees it, and what stands behind the first damage."""

    path: str
    size: int = 0
    records: int = 0
    senseless: list[int] = field(default_factory=list)  # offsets of whole records that make no sense
    damage: list[Damage] = field(default_factory=list)
    owed: dict[str, Owed] = field(default_factory=dict)
    behind: dict[str, Owed] = field(default_factory=dict)  # owed by records that a start would drop
    rewriting: bool = False  # a new file stands beside it
    timeline: Timeline | None = None  # of its times; None: they are of the wall clock

    def now(self, clock: MachineClock) -> float:
        return self.timeline.now(clock) if self.timeline else clock.wall

    def sound(self) -> bool:
        """Whether no more is wrong than a kill within a write explains."""
        return not self.senseless and all(d.tail for d in self.damage)


def inspect(folder: str) -> list[Found]:
    """Each file of the folder, the first one also where there is none; raises NoJournal."""
    if not Path(folder).is_dir():
        raise NoJournal(f"{folder}: is no folder")
    first = Path(folder) / files.NAMES[0]
    return [_inspect(path) for path in [first, *files.others(Path(folder), first)]]


def _inspect(path: Path) -> Found:
    found = Found(str(path), rewriting=files.fresh(path).exists())
    try:
        data = path.read_bytes() if path.exists() else b""
    except OSError as problem:
        raise NoJournal(f"{path}: {problem.strerror}") from None
    found.size = len(data)
    ledger, at, first = Ledger(None), 0, True
    while at < len(data):
        records, taken = unframed(data[at:])
        _apply(found, ledger, records, at)
        at += taken
        if first:
            found.owed = {name: _copy(owed) for name, owed in ledger.owed.items()}
            first = False
        if at < len(data):
            begin = following(data, at + 1)
            found.damage.append(Damage(at, begin - at, begin == len(data)))
            at = begin
    found.timeline = ledger.timeline
    found.behind = {n: o for n, o in ledger.owed.items() if n not in found.owed}
    return found


def _apply(found: Found, ledger: Ledger, records: list[bytes], at: int) -> None:
    for payload in records:
        try:
            ledger.apply(payload)
        except (ValueError, KeyError, TypeError, IndexError, AttributeError):
            found.senseless.append(at)
        found.records += 1
        at += FRAME.size + len(payload)


def _copy(o: Owed) -> Owed:
    return Owed(
        o.id,
        o.due,
        o.dest,
        o.topic,
        o.customer,
        o.order_key,
        "",
        b"",
        o.rules,
        o.pushes,
        o.maybe_at,
        dict(o.open),
        o.notice,
    )


def row(owed: Owed, now: float) -> dict:
    """One notification for people; no key and no body. now, times told: seconds of its file's timeline."""
    first = owed.first_maybe()
    return {
        "id": owed.id,
        "destination": owed.dest,
        "topic_type": owed.topic,
        "customer": owed.customer,
        "due_in_s": round(owed.due - now, 3),
        "pushes": owed.pushes,
        "out": sorted(owed.open),
        "may_have_run": first < inf,
        "first_may_have_run_at": None if first == inf else first,
        "notice": owed.notice,
    }

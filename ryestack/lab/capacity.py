"""The arithmetic of docs/CAPACITY.md: inputs as types, and each figure as slope times counts. Pure.

Everything is computed from docs/capacity.toml. A slope's unit cost is rounded to three significant digits and
a derived count to four before they are multiplied, so that a reader gets the page's figures from the numbers
that the page shows.
"""

import tomllib
from math import isnan, log10, nan, prod
from typing import Literal

import msgspec

from .slopes import Point

Known = Literal["measured", "hollow", "simulated", "on paper", "not run"]
KNOWN_ORDER = ("measured", "hollow", "simulated", "on paper", "not run")  # a row is known as its weakest part
Law = Literal["proportional", "line", "constant"]
Status = Literal["today", "this sitting", "missing"]
COST_DIGITS, COUNT_DIGITS = 3, 4


class BadInputs(Exception):
    """Inputs that do not fit together; the text names the entry."""


class Entry(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What all entries of the file are: closed to keys that nothing reads."""


class Count(Entry, frozen=True):
    """A given number: a size, a budget, a failure rate."""

    name: str
    value: float
    unit: str
    what: str


class Derived(Entry, frozen=True):
    """A number from others: the product of `of` by the product of `by`; `claimed` as the issue has it."""

    name: str
    of: list[str]
    what: str
    by: list[str] = []
    unit: str = ""
    claimed: float | None = None


class Slope(Entry, frozen=True):
    """What one more of something costs. points: (size, value); unit: of a value, s or B, a second with /s.

    proportional: value = cost * size. line: value = base + cost * size. constant: value = cost.
    `given` stands in place of points where it is on paper.
    """

    name: str
    what: str
    unit: str
    size: str
    law: Law
    known: Known
    mechanism: str
    command: str = ""
    commit: str = ""
    points: list[Point] = []
    exponent: float | None = None
    standard_error: float | None = None
    lowest: float | None = None
    highest: float | None = None
    fixed: str = ""
    given: float | None = None

    def cost(self) -> float:
        """One more unit of size, or the whole where the law is constant; nan where it was not run."""
        if self.given is not None:
            return self.given
        if not self.points:
            return nan
        (first, low), (last, high) = self.points[0], self.points[-1]
        laws = {
            "proportional": high / last,
            "line": (high - low) / (last - first) if last > first else 0.0,
            "constant": high,
        }
        return rounded(laws[self.law], COST_DIGITS)

    def base(self) -> float:
        """The value at size 0 of a line; 0 for the others."""
        if self.law != "line" or not self.points:
            return 0.0
        (first, low), (last, high) = self.points[0], self.points[-1]
        return rounded(low - (high - low) / (last - first) * first, COST_DIGITS)


class Row(Entry, frozen=True):
    """One figure: the slopes' costs, added, times the counts. The first count is the slopes' size.

    grows_with: the count in which the row is linear, by which its breaking size is told; limit: a budget's
    name, empty where none is set; needs: the missing mechanism that would bring it in; at: the count that
    is the slopes' size where that is not the first one.
    """

    role: str
    day: str
    what: str
    slopes: list[str]
    counts: list[str]
    unit: str
    status: Status
    limit: str = ""
    grows_with: str = ""
    needs: str = ""
    at: str = ""
    note: str = ""


class Missing(Entry, frozen=True):
    """A mechanism that the rows call for."""

    name: str
    what: str
    state: str


class Inputs(Entry, frozen=True):
    """The whole file."""

    count: list[Count]
    derived: list[Derived]
    slope: list[Slope]
    row: list[Row]
    missing: list[Missing]
    cannot_say: list[str]
    notes: list[str] = []


class Figure(msgspec.Struct, frozen=True):
    """A computed row; value is nan where a slope was not run.

    over: figure by limit; breaks_at: the size of `grows_with` at which that is 1; beyond: how many times the
    largest measured size the row's size is.
    """

    row: Row
    cost_unit: str
    base: float
    cost: float
    counts: list[tuple[str, float]]
    value: float
    known: Known
    beyond: float
    limit: float | None = None
    over: float | None = None
    breaks_at: float | None = None
    asked: float | None = None


class Rank(msgspec.Struct, frozen=True):
    """A missing mechanism and the figure of its rows that breaks first, as a part of the asked size."""

    missing: Missing
    figure: Figure
    part: float


def rounded(value: float, digits: int) -> float:
    """To so many significant digits."""
    if value == 0.0:
        return 0.0
    return round(value, digits - 1 - int(log10(abs(value)) // 1))


def read(text: str) -> Inputs:
    """Raises BadInputs with the entry at fault."""
    try:
        return msgspec.convert(tomllib.loads(text), Inputs)
    except (tomllib.TOMLDecodeError, msgspec.ValidationError) as problem:
        raise BadInputs(str(problem)) from None


def counts_of(inputs: Inputs) -> dict[str, float]:
    """All numbers by name, the derived ones computed in their order."""
    found = {count.name: count.value for count in inputs.count}
    for derived in inputs.derived:
        try:
            top, bottom = ([found[name] for name in names] for names in (derived.of, derived.by))
        except KeyError as problem:
            raise BadInputs(f"derived {derived.name}: there is no count {problem}") from None
        found[derived.name] = rounded(prod(top) / prod(bottom), COUNT_DIGITS)
    return found


def figures(inputs: Inputs) -> list[Figure]:
    """All rows, computed; raises BadInputs."""
    counts, slopes = counts_of(inputs), {slope.name: slope for slope in inputs.slope}
    found = []
    for row in inputs.row:
        try:
            found.append(figure(row, counts, [slopes[name] for name in row.slopes]))
        except KeyError as problem:
            raise BadInputs(f"row {row.what!r}: there is no {problem}") from None
    return found


def figure(row: Row, counts: dict[str, float], slopes: list[Slope]) -> Figure:
    """One row; raises KeyError for a name that is not there."""
    if len({slope.unit for slope in slopes}) != 1:
        raise BadInputs(f"row {row.what!r}: its slopes' units differ")
    base, cost = sum(slope.base() for slope in slopes), sum(slope.cost() for slope in slopes)
    named = [(name, counts[name]) for name in row.counts]
    value = base + cost * prod(number for _, number in named)
    known = max((slope.known for slope in slopes), key=KNOWN_ORDER.index)
    beyond = extrapolated(slopes, counts[row.at or row.counts[0]], counts)
    made = Figure(row, slopes[0].unit, base, cost, named, value, known, beyond)
    if not row.limit or isnan(value):
        return made
    limit = counts[row.limit]
    asked = counts[row.grows_with] if row.grows_with else None
    breaks = asked * (limit - base) / (value - base) if asked and value > base else None
    over = value / limit
    return msgspec.structs.replace(made, limit=limit, over=over, breaks_at=breaks, asked=asked)


def extrapolated(slopes: list[Slope], size: float, counts: dict[str, float]) -> float:
    """How many times the largest measured size that size is; a constant's size is the count it names."""
    beyond = 0.0
    for slope in (slope for slope in slopes if slope.points):
        asked = counts.get(slope.size, 0.0) if slope.law == "constant" else size
        beyond = max(beyond, asked / slope.points[-1][0])
    return beyond


def ranking(inputs: Inputs, computed: list[Figure]) -> list[Rank]:
    """Mechanisms by the part of the asked size at which the first of their rows breaks, smallest first."""
    ranks = []
    for missing in inputs.missing:
        broken = [f for f in computed if f.row.needs == missing.name and f.over and f.over > 1.0]
        if broken:
            worst = min(broken, key=part_of)
            ranks.append(Rank(missing, worst, part_of(worst)))
    return sorted(ranks, key=lambda rank: rank.part)


def part_of(figure: Figure) -> float:
    """The breaking size as a part of the asked one."""
    return (
        figure.breaks_at / figure.asked
        if figure.breaks_at is not None and figure.asked
        else 1.0 / figure.over
    )

"""The inputs of docs/CAPACITY.md as types, and how they are read. Pure.

A slope's unit cost is rounded to three significant digits, so that a reader gets the page's figures from the
numbers that the page shows.
"""

import tomllib
from math import log10, nan
from typing import Literal

import msgspec

from .slopes import Point

Known = Literal["measured", "hollow", "simulated", "on paper", "not run"]
Law = Literal["proportional", "line", "constant"]
Status = Literal["today", "this sitting", "missing"]
COST_DIGITS = 3


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


class Observed(Entry, frozen=True):
    """What a run of docs/studies/scale.json told at its sizes; nothing is extrapolated from it.

    path: of the value in a run, a story by its name; values: (relays, value); limit: a count's name.
    """

    what: str
    path: str
    unit: str
    known: Known
    values: list[Point]
    limit: str = ""


class Share(Entry, frozen=True):
    """A part of a relay's processor time, of 1."""

    name: str
    share: float


class Profile(Entry, frozen=True):
    """Where a relay's processor time goes.

    packages: in a package's own code, of all; functions: in one of ours or what it called, so that they hold
    each other.
    """

    command: str
    commit: str
    samples: int
    fixed: str
    packages: list[Share]
    functions: list[Share]


class Inputs(Entry, frozen=True):
    """The whole file."""

    count: list[Count]
    derived: list[Derived]
    slope: list[Slope]
    row: list[Row]
    missing: list[Missing]
    cannot_say: list[str]
    profile: Profile
    observed: list[Observed] = []
    notes: list[str] = []


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

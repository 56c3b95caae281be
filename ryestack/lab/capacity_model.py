"""Typed inputs of docs/CAPACITY.md and their reader. Pure.

A slope's unit cost is rounded to three significant digits, so that readers can recompute the page's figures
from the numbers that it shows.
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
    """Inputs that are inconsistent; the message names the entry."""


class Entry(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Base of all entries of the file; unknown keys are refused."""


class Count(Entry, frozen=True):
    """A given number: a size, a budget, a failure rate."""

    name: str
    value: float
    unit: str
    what: str


class Derived(Entry, frozen=True):
    """A computed number: the product of `of` divided by that of `by`; claimed: its value in the issue."""

    name: str
    of: list[str]
    what: str
    by: list[str] = []
    unit: str = ""
    claimed: float | None = None


class Slope(Entry, frozen=True):
    """The cost of one more unit of a size. points: (size, value); unit: of a value, s or B, or per second /s.

    proportional: value = cost * size. line: value = base + cost * size. constant: value = cost.
    `given` replaces points where the cost is only estimated (on paper).
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
        """Cost of one more unit of size, or the total of a constant law; nan where it was not run."""
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
        """The value of a line at size 0; 0 for other laws."""
        if self.law != "line" or not self.points:
            return 0.0
        (first, low), (last, high) = self.points[0], self.points[-1]
        return rounded(low - (high - low) / (last - first) * first, COST_DIGITS)


class Row(Entry, frozen=True):
    """One figure: the sum of the slopes' costs times the counts. The first count is the slopes' size.

    grows_with: the count in which the row is linear and its breaking size is given; limit: name of a budget,
    empty where none is set; needs: the missing mechanism that would bring the figure within its limit; at:
    the count that is the slopes' size where that is not the first one.
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
    """A missing mechanism that rows need."""

    name: str
    what: str
    state: str


class Observed(Entry, frozen=True):
    """A value observed in the runs of docs/studies/scale.json; nothing is extrapolated from it.

    path: dotted path of the value in a run, with stories by name; values: (relays, value); limit: name of a
    count.
    """

    what: str
    path: str
    unit: str
    known: Known
    values: list[Point]
    limit: str = ""


class Share(Entry, frozen=True):
    """A fraction (0 to 1) of a relay's processor time."""

    name: str
    share: float


class Profile(Entry, frozen=True):
    """Where a relay's processor time goes.

    packages: share of a package's own code; functions: share of one of our functions and its callees, so that
    the shares overlap.
    """

    command: str
    commit: str
    samples: int
    fixed: str
    packages: list[Share]
    functions: list[Share]


class Inputs(Entry, frozen=True):
    """All entries of the file."""

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
    """Rounds to so many significant digits."""
    if value == 0.0:
        return 0.0
    return round(value, digits - 1 - int(log10(abs(value)) // 1))


def read(text: str) -> Inputs:
    """Parses the text of the file; raises BadInputs, which names the invalid entry."""
    try:
        return msgspec.convert(tomllib.loads(text), Inputs)
    except (tomllib.TOMLDecodeError, msgspec.ValidationError) as problem:
        raise BadInputs(str(problem)) from None

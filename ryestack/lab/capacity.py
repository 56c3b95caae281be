"""Computes the figures of docs/CAPACITY.md: each is a slope times counts. Pure.

Before they are multiplied, a derived count is rounded to four significant digits and a slope's unit cost to
three.
"""

from math import isnan, prod

import msgspec

from .capacity_model import BadInputs, Inputs, Known, Missing, Row, Slope, rounded

KNOWN_ORDER = (
    "measured",
    "hollow",
    "simulated",
    "on paper",
    "not run",
)  # best to worst; a row is known as its worst slope
COUNT_DIGITS = 4


class Figure(msgspec.Struct, frozen=True):
    """A computed row; value is nan where a slope was not run.

    over: figure divided by limit; breaks_at: the size of `grows_with` at which that is 1; asked: the size of
    `grows_with` to design for; beyond: the row's size as a multiple of the largest measured size.
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
    """A missing mechanism and the first of its figures to break; part: the fraction of the asked size."""

    missing: Missing
    figure: Figure
    part: float


def counts_of(inputs: Inputs) -> dict[str, float]:
    """All counts by name, with the derived ones computed in their order; raises BadInputs."""
    found = {count.name: count.value for count in inputs.count}
    for derived in inputs.derived:
        try:
            top, bottom = ([found[name] for name in names] for names in (derived.of, derived.by))
        except KeyError as problem:
            raise BadInputs(f"derived {derived.name}: there is no count {problem}") from None
        found[derived.name] = rounded(prod(top) / prod(bottom), COUNT_DIGITS)
    return found


def figures(inputs: Inputs) -> list[Figure]:
    """Computes all rows; raises BadInputs."""
    counts, slopes = counts_of(inputs), {slope.name: slope for slope in inputs.slope}
    found = []
    for row in inputs.row:
        try:
            found.append(figure(row, counts, [slopes[name] for name in row.slopes]))
        except KeyError as problem:
            raise BadInputs(f"row {row.what!r}: there is no {problem}") from None
    return found


def figure(row: Row, counts: dict[str, float], slopes: list[Slope]) -> Figure:
    """Computes one row; raises KeyError for an unknown name, BadInputs for different units."""
    if len({slope.unit for slope in slopes}) != 1:
        raise BadInputs(f"row {row.what!r}: its slopes' units differ")
    base, cost = sum(slope.base() for slope in slopes), sum(slope.cost() for slope in slopes)
    named = [(name, counts[name]) for name in row.counts]
    value = base + cost * prod(number for _, number in named)
    known = max((slope.known for slope in slopes), key=KNOWN_ORDER.index)
    beyond = extrapolation_factor(slopes, counts[row.at or row.counts[0]], counts)
    made = Figure(row, slopes[0].unit, base, cost, named, value, known, beyond)
    if not row.limit or isnan(value):
        return made
    limit = counts[row.limit]
    asked = counts[row.grows_with] if row.grows_with else None
    breaks = asked * (limit - base) / (value - base) if asked and value > base else None
    over = value / limit
    return msgspec.structs.replace(made, limit=limit, over=over, breaks_at=breaks, asked=asked)


def extrapolation_factor(slopes: list[Slope], size: float, counts: dict[str, float]) -> float:
    """The size as a multiple of the largest measured one; a constant's size is the count that it names."""
    beyond = 0.0
    for slope in (slope for slope in slopes if slope.points):
        asked = counts.get(slope.size, 0.0) if slope.law == "constant" else size
        beyond = max(beyond, asked / slope.points[-1][0])
    return beyond


def ranking(inputs: Inputs, computed: list[Figure]) -> list[Rank]:
    """Mechanisms by the fraction of the asked size at which their first row breaks, smallest first."""
    ranks = []
    for missing in inputs.missing:
        broken = [f for f in computed if f.row.needs == missing.name and f.over and f.over > 1.0]
        if broken:
            worst = min(broken, key=breaking_fraction)
            ranks.append(Rank(missing, worst, breaking_fraction(worst)))
    return sorted(ranks, key=lambda rank: rank.part)


def breaking_fraction(figure: Figure) -> float:
    """The breaking size as a fraction of the asked one."""
    return (
        figure.breaks_at / figure.asked
        if figure.breaks_at is not None and figure.asked
        else 1.0 / figure.over
    )

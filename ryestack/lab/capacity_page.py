"""Generates docs/CAPACITY.md from docs/capacity.toml. Pure."""

from itertools import groupby
from math import isnan

from .capacity import Figure, Rank, counts_of, figures, ranking
from .capacity_model import Derived, Inputs, Slope, read

PAGE_HEAD = """# Capacity

Written from [capacity.toml](capacity.toml) by `make pages`; do not edit it here. `tests/test_capacity.py`
checks it.

What each role has to hold, say and compute at the size to design for. Each figure is slope x count: the unit
cost stands in the table of slopes, rounded to three digits, each count in the first two tables, so that a
pocket calculator gives the same. `known` says how far to trust a row: **measured** (on one core, with real
code and sockets where there are any), **hollow** (true control code without a relay around it),
**simulated**, **on paper**, **not run**. A row is known as its weakest slope; `measured, x8.6` was
measured up to a size 8.6 times smaller and extrapolated from there. `breaks at` is the size at which a figure
reaches its limit, all else as it is. Status: `today`, `this sitting` (brought in or mended in it), `missing`.
"""
SCALE_RUN = """## The scale run

Real control machines, 20 real relays and hollow ones beside them, one run a size
([studies/scale.json](studies/scale.json)). Three sizes over one decade are fewer than a slope needs:
nothing is extrapolated from them.
"""
UNIT_PREFIXES = ((1e9, "G"), (1e6, "M"), (1e3, "k"), (1.0, ""), (1e-3, "m"), (1e-6, "u"), (1e-9, "n"))


def significant(value: float, digits: int = 3) -> str:
    """Formats a value to significant digits with separators, without an exponent."""
    if value == 0.0:
        return "0"
    if abs(value) >= 1000.0:
        rounded = float(f"{value:.{max(digits, 4)}g}")
        return f"{rounded:,.0f}"
    text = f"{value:.{digits}g}"
    return f"{float(text):.10f}".rstrip("0").rstrip(".") if "e" in text else text


def quantity(value: float, unit: str) -> str:
    """Formats a value: SI prefix for seconds and bytes, fractions of a core in percent, else plain."""
    if unit == "cores":
        return f"{significant(value)} cores" if value > 1.0 else f"{significant(100.0 * value)}% of a core"
    if unit not in ("s", "B", "B/s") or value == 0.0:
        return f"{significant(value)} {unit}".strip()
    if unit == "s" and value >= 1.0:
        return f"{significant(value)} s"
    size, prefix = next((s, p) for s, p in UNIT_PREFIXES if abs(value) >= s * 0.9995 or s == 1e-9)
    return f"{significant(value / size)} {prefix}{unit}"


def number(value: float) -> str:
    """Formats a count to four significant digits."""
    return significant(value, 4)


def table(headers: list[str], rows: list[list[str]]) -> str:
    lines = [headers, ["---"] * len(headers), *rows]
    return "\n".join("| " + " | ".join(line) + " |" for line in lines) + "\n"


def given(inputs: Inputs) -> str:
    rows = [[c.what, f"`{c.name}`", quantity(c.value, c.unit)] for c in inputs.count]
    return "## Given\n\n" + table(["what", "name", "value"], rows)


def formula(derived: Derived, counts: dict[str, float]) -> str:
    top = " x ".join(number(counts[name]) for name in derived.of)
    bottom = "".join(f" / {number(counts[name])}" for name in derived.by)
    return f"{top}{bottom} = {number(counts[derived.name])} {derived.unit}".strip()


def derived(inputs: Inputs) -> str:
    counts, rows = counts_of(inputs), []
    for d in inputs.derived:
        claimed = number(d.claimed) if d.claimed is not None else "-"
        rows.append([d.what, f"`{d.name}`", formula(d, counts), claimed])
    return "## What that means\n\n" + table(["what", "name", "figure", "as the issue has it"], rows)


def law(slope: Slope) -> str:
    """Formats a slope's cost."""
    if isnan(slope.cost()):
        return "-"
    cost, unit = slope.cost(), slope.unit
    if slope.law == "constant":
        return quantity(cost, unit)
    each = f"{quantity(cost, unit)} x {slope.size}"
    return f"{quantity(slope.base(), unit)} + {each}" if slope.law == "line" else each


def exponent(slope: Slope) -> str:
    if slope.exponent is None:
        return "-"
    return f"{slope.exponent:.2f} +- {slope.standard_error:.2f} ({slope.lowest:.2f} to {slope.highest:.2f})"


def slopes(inputs: Inputs) -> str:
    rows = []
    for s in inputs.slope:
        points = "; ".join(f"{number(size)}: {quantity(value, s.unit)}" for size, value in s.points)
        rows.append([f"`{s.name}`", s.what, law(s), points or "-", exponent(s), s.fixed or "-", s.known])
    text = (
        "## Slopes\n\nExponent: of a power law through all points, its standard error, the lowest and the\n"
    )
    text += "highest between neighbouring points. A line goes through the first and the last point.\n\n"
    headers = ["slope", "what", "cost", "points", "exponent", "held fixed", "known"]
    rows_of = [
        [f"`{s.name}`", f"`{s.mechanism}`", f"`{s.command}`" if s.command else "-", s.commit or "-"]
        for s in inputs.slope
    ]
    return (
        text
        + table(headers, rows)
        + "\nWhere each comes from:\n\n"
        + table(["slope", "code", "command", "commit"], rows_of)
    )


def product(figure: Figure) -> str:
    """Formats a figure as slope x counts = value."""
    if isnan(figure.value):
        return "not run"
    factors = [quantity(figure.cost, figure.cost_unit), *(number(count) for _, count in figure.counts)]
    text = " x ".join(factors)
    if figure.base:
        text = f"{quantity(figure.base, figure.cost_unit)} + {text}"
    return f"{text} = **{quantity(figure.value, figure.row.unit)}**"


def verdict(figure: Figure) -> list[str]:
    if figure.limit is None or figure.over is None:
        return ["none set", "-", "-"]
    text = "fits" if figure.over <= 1.0 else f"over {significant(figure.over)}x"
    text += f" ({significant(100.0 * figure.over)}%)" if figure.over <= 1.0 else ""
    breaks_at = (
        f"{number(figure.breaks_at)} {figure.row.grows_with.replace('_', ' ')}"
        if figure.breaks_at is not None
        else "-"
    )
    return [f"{quantity(figure.limit, figure.row.unit)}", text, breaks_at]


def known(figure: Figure) -> str:
    return (
        f"{figure.known}, x{significant(figure.beyond, 2)}"
        if figure.known == "measured" and figure.beyond > 1.0
        else figure.known
    )


def roles(inputs: Inputs, computed: list[Figure]) -> str:
    mechanisms = {slope.name: slope.mechanism for slope in inputs.slope}
    headers = ["what", "figure", "limit", "against it", "breaks at", "mechanism", "status", "known"]
    parts = []
    for role, of_role in groupby(computed, key=lambda figure: figure.row.role):
        parts.append(f"## {role}\n")
        for day, of_day in groupby(of_role, key=lambda figure: figure.row.day):
            rows = []
            for figure in of_day:
                files = ", ".join(dict.fromkeys(f"`{mechanisms[name]}`" for name in figure.row.slopes))
                what = f"{figure.row.what}. {figure.row.note}" if figure.row.note else figure.row.what
                rows.append(
                    [what, product(figure), *verdict(figure), files, figure.row.status, known(figure)]
                )
            parts.append(f"### {day}\n\n" + table(headers, rows))
    return "\n".join(parts)


def breaking_size(rank: Rank) -> str:
    """Formats the size at which a figure breaks, and its fraction of the asked size."""
    figure = rank.figure
    if figure.breaks_at is None:
        return f"at any size: {significant(figure.over)} times its limit"
    size = f"{number(figure.breaks_at)} of {number(figure.asked)} {figure.row.grows_with.replace('_', ' ')}"
    return f"{size} ({significant(100.0 * rank.part)}% of the size)"


def ranked(inputs: Inputs, computed: list[Figure]) -> str:
    rows = []
    for place, rank in enumerate(ranking(inputs, computed), 1):
        what = f"**{rank.missing.name}**: {rank.missing.what}"
        first = f"{rank.figure.row.what}: {product(rank.figure)}"
        rows.append([str(place), what, first, breaking_size(rank), rank.missing.state])
    headers = ["", "mechanism", "the row that breaks first", "breaks at", "state"]
    text = (
        "## Ranking\n\nWhat is missing, by the part of the size at which its first row breaks, least first."
    )
    return f"{text}\n\n{table(headers, rows)}"


def scale_run(inputs: Inputs) -> str:
    """The section with the scale run's values by size, compared with their limits."""
    counts, rows = counts_of(inputs), []
    sizes = [size for size, _ in inputs.observed[0].values]
    for observed in inputs.observed:
        limit = counts[observed.limit] if observed.limit else None
        cells = [
            quantity(value, observed.unit) + ("" if limit is None or value <= limit else " (over)")
            for _, value in observed.values
        ]
        rows.append(
            [observed.what, *cells, quantity(limit, observed.unit) if limit else "none set", observed.known]
        )
    headers = ["what", *(f"{number(size)} relays" for size in sizes), "limit", "known"]
    return f"{SCALE_RUN}\n{table(headers, rows)}"


def profile(inputs: Inputs) -> str:
    """The section with the processor time of a message by package and function."""
    found, parts = inputs.profile, []
    for title, shares in (("in its own code", found.packages), ("in it and what it calls", found.functions)):
        rows = [[f"`{share.name}`", f"{significant(100.0 * share.share)}%"] for share in shares]
        parts.append(table([title, "of a relay's processor time"], rows))
    source = f"`{found.command}` on {found.commit}, {found.samples:,} samples; {found.fixed}."
    return "\n".join(["## Processor time of a message\n", f"{source}\n", *parts])


def page(text: str) -> str:
    """Generates the page from the text of capacity.toml; raises BadInputs."""
    inputs = read(text)
    computed = figures(inputs)
    parts = [
        PAGE_HEAD,
        given(inputs),
        derived(inputs),
        ranked(inputs, computed),
        roles(inputs, computed),
        slopes(inputs),
        scale_run(inputs),
        profile(inputs),
    ]
    for title, lines in (("Notes", inputs.notes), ("What this page can't say", inputs.cannot_say)):
        parts.append(f"## {title}\n\n" + "\n".join(f"- {line}" for line in lines) + "\n")
    return "\n".join(parts)

"""docs/CAPACITY.md, written from docs/capacity.toml. Pure."""

from itertools import groupby
from math import isnan

from .capacity import Figure, Rank, counts_of, figures, ranking
from .capacity_model import Derived, Inputs, Slope, read

HEAD = """# Capacity

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
STEPS = ((1e9, "G"), (1e6, "M"), (1e3, "k"), (1.0, ""), (1e-3, "m"), (1e-6, "u"), (1e-9, "n"))


def significant(value: float, digits: int = 3) -> str:
    """Plain digits with separators, no exponent."""
    if value == 0.0:
        return "0"
    if abs(value) >= 1000.0:
        rounded = float(f"{value:.{max(digits, 4)}g}")
        return f"{rounded:,.0f}"
    text = f"{value:.{digits}g}"
    return f"{float(text):.10f}".rstrip("0").rstrip(".") if "e" in text else text


def quantity(value: float, unit: str) -> str:
    """A value with a prefix for seconds and bytes, parts of a core in percent, else as it is."""
    if unit == "cores":
        return f"{significant(value)} cores" if value > 1.0 else f"{significant(100.0 * value)}% of a core"
    if unit not in ("s", "B", "B/s") or value == 0.0:
        return f"{significant(value)} {unit}".strip()
    if unit == "s" and value >= 1.0:
        return f"{significant(value)} s"
    size, prefix = next((s, p) for s, p in STEPS if abs(value) >= s * 0.9995 or s == 1e-9)
    return f"{significant(value / size)} {prefix}{unit}"


def number(value: float) -> str:
    """A count: whole where it is large."""
    return significant(value, 4)


def table(heads: list[str], rows: list[list[str]]) -> str:
    lines = [heads, ["---"] * len(heads), *rows]
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
    """What one more costs, as the page shows it."""
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
    heads = ["slope", "what", "cost", "points", "exponent", "held fixed", "known"]
    rows_of = [
        [f"`{s.name}`", f"`{s.mechanism}`", f"`{s.command}`" if s.command else "-", s.commit or "-"]
        for s in inputs.slope
    ]
    return (
        text
        + table(heads, rows)
        + "\nWhere each comes from:\n\n"
        + table(["slope", "code", "command", "commit"], rows_of)
    )


def product(f: Figure) -> str:
    """slope x counts = figure."""
    if isnan(f.value):
        return "not run"
    factors = [quantity(f.cost, f.cost_unit), *(number(count) for _, count in f.counts)]
    text = " x ".join(factors)
    if f.base:
        text = f"{quantity(f.base, f.cost_unit)} + {text}"
    return f"{text} = **{quantity(f.value, f.row.unit)}**"


def verdict(f: Figure) -> list[str]:
    if f.limit is None or f.over is None:
        return ["none set", "-", "-"]
    told = "fits" if f.over <= 1.0 else f"over {significant(f.over)}x"
    told += f" ({significant(100.0 * f.over)}%)" if f.over <= 1.0 else ""
    at = f"{number(f.breaks_at)} {f.row.grows_with.replace('_', ' ')}" if f.breaks_at is not None else "-"
    return [f"{quantity(f.limit, f.row.unit)}", told, at]


def known(f: Figure) -> str:
    return f"{f.known}, x{significant(f.beyond, 2)}" if f.known == "measured" and f.beyond > 1.0 else f.known


def roles(inputs: Inputs, computed: list[Figure]) -> str:
    mechanisms = {slope.name: slope.mechanism for slope in inputs.slope}
    heads = ["what", "figure", "limit", "against it", "breaks at", "mechanism", "status", "known"]
    parts = []
    for role, of_role in groupby(computed, key=lambda f: f.row.role):
        parts.append(f"## {role}\n")
        for day, of_day in groupby(of_role, key=lambda f: f.row.day):
            rows = []
            for f in of_day:
                files = ", ".join(dict.fromkeys(f"`{mechanisms[name]}`" for name in f.row.slopes))
                what = f"{f.row.what}. {f.row.note}" if f.row.note else f.row.what
                rows.append([what, product(f), *verdict(f), files, f.row.status, known(f)])
            parts.append(f"### {day}\n\n" + table(heads, rows))
    return "\n".join(parts)


def breaking_size(rank: Rank) -> str:
    """At which size, and which part of the asked one that is."""
    f = rank.figure
    if f.breaks_at is None:
        return f"at any size: {significant(f.over)} times its limit"
    size = f"{number(f.breaks_at)} of {number(f.asked)} {f.row.grows_with.replace('_', ' ')}"
    return f"{size} ({significant(100.0 * rank.part)}% of the size)"


def ranked(inputs: Inputs, computed: list[Figure]) -> str:
    rows = []
    for place, rank in enumerate(ranking(inputs, computed), 1):
        what = f"**{rank.missing.name}**: {rank.missing.what}"
        first = f"{rank.figure.row.what}: {product(rank.figure)}"
        rows.append([str(place), what, first, breaking_size(rank), rank.missing.state])
    heads = ["", "mechanism", "the row that breaks first", "breaks at", "state"]
    text = (
        "## Ranking\n\nWhat is missing, by the part of the size at which its first row breaks, least first."
    )
    return f"{text}\n\n{table(heads, rows)}"


def scale_run(inputs: Inputs) -> str:
    """What the scale run told, by size, against the limits."""
    counts, rows = counts_of(inputs), []
    sizes = [size for size, _ in inputs.observed[0].values]
    for seen in inputs.observed:
        limit = counts[seen.limit] if seen.limit else None
        cells = [
            quantity(value, seen.unit) + ("" if limit is None or value <= limit else " (over)")
            for _, value in seen.values
        ]
        rows.append([seen.what, *cells, quantity(limit, seen.unit) if limit else "none set", seen.known])
    heads = ["what", *(f"{number(size)} relays" for size in sizes), "limit", "known"]
    return f"{SCALE_RUN}\n{table(heads, rows)}"


def profile(inputs: Inputs) -> str:
    """Where the processor time of a message goes."""
    found, parts = inputs.profile, []
    for title, shares in (("in its own code", found.packages), ("in it and what it calls", found.functions)):
        rows = [[f"`{share.name}`", f"{significant(100.0 * share.share)}%"] for share in shares]
        parts.append(table([title, "of a relay's processor time"], rows))
    source = f"`{found.command}` on {found.commit}, {found.samples:,} samples; {found.fixed}."
    return "\n".join(["## Processor time of a message\n", f"{source}\n", *parts])


def page(text: str) -> str:
    """The page for the text of capacity.toml; raises BadInputs."""
    inputs = read(text)
    computed = figures(inputs)
    parts = [
        HEAD,
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

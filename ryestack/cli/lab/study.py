"""ryestack lab study: a question, a sweep, tables with intervals, plots."""

from pathlib import Path
from typing import Annotated

import typer

from ...lab import sweep as sweeping
from ...lab.runner import rules_broken
from ..output import Json, print_json, say, table, unusable
from .options import Cores
from .progress import ProgressBar


def study(
    name: Annotated[str, typer.Argument(help="One of those that `--list` tells.")] = "",
    out: Annotated[str | None, typer.Option(help="A folder for its plots.")] = None,
    seeds: Annotated[int, typer.Option(min=0, help="Seeds of each point; 0: as the study says.")] = 0,
    rows: Annotated[str | None, typer.Option(help="JSON lines of its days; gone on with if there.")] = None,
    cores: Cores = 0,
    names: Annotated[bool, typer.Option("--list", help="The studies and their questions.")] = False,
    as_json: Json = False,
) -> None:
    """Play a study: its question, a sweep, tables with intervals, plots."""
    from ...lab import studies

    if names or not name:
        table("", ["study", "question"], [[n, s.question] for n, s in studies.STUDIES.items()])
        return
    if name not in studies.STUDIES:
        raise unusable(f"study {name}: there is none of that name; known are {', '.join(studies.STUDIES)}")
    one = studies.STUDIES[name]
    points = sweeping.grid(one.vary)
    jobs = sweeping.jobs_of(one.table, points, list(range(1, (seeds or one.seeds) + 1)), one.policies)
    with ProgressBar(name) as bar:
        groups = _grouped(one, sweeping.run(jobs, rows, bar, cores))
    say(one.question)
    results = {}
    for figure in one.figures:
        curves = _curves(one, groups, figure)
        results[figure] = {group: _by_value(one, curve) for group, curve in curves.items()}
        if not as_json:
            table(figure, [next(iter(one.vary)), *curves], _cells(one, curves))
        if out:
            _plot(name, one, curves, figure, Path(out))
    broken = {group: sum(rules_broken(r) > 0 for r in mine) for group, mine in groups.items()}
    if as_json:
        print_json({"question": one.question, "figures": results, "days_with_a_rule_broken": broken})
    else:
        cells = [[group, count, len(groups[group])] for group, count in broken.items()]
        table("days with a rule broken", ["policy", "days", "of"], cells)


def _grouped(one, found: list[dict]) -> dict[str, list[dict]]:
    """Days by policy and by the keys that vary beside the first."""
    _, *others = one.vary
    groups: dict[str, list[dict]] = {}
    for row in found:
        more = ", ".join(f"{k.split('.')[-1]} {row['keys'][k]}" for k in others if len(one.vary[k]) > 1)
        groups.setdefault(" ".join(filter(None, [row["policy"], more])), []).append(row)
    return groups


def _curves(one, groups: dict[str, list[dict]], figure: str) -> dict[str, list[tuple]]:
    """(mean, low, high) of each group at each value of the first key."""
    from ...lab.compare import interval

    key, values = next(iter(one.vary.items()))
    return {
        group: [interval([r[figure] for r in mine if r["keys"][key] == x]) for x in values]
        for group, mine in groups.items()
    }


def _by_value(one, curve: list[tuple]) -> dict[str, tuple]:
    values = next(iter(one.vary.values()))
    return dict(zip(map(str, values), curve, strict=True))


def _cells(one, curves: dict[str, list[tuple]]) -> list[list]:
    cells = []
    for i, x in enumerate(next(iter(one.vary.values()))):
        points = [curve[i] for curve in curves.values()]
        cells.append([x, *(f"{mean:.3f} ({low:.3f} to {high:.3f})" for mean, low, high in points)])
    return cells


def _plot(name: str, one, curves: dict[str, list[tuple]], figure: str, folder: Path) -> None:
    from ...lab import plots

    key, values = next(iter(one.vary.items()))
    folder.mkdir(parents=True, exist_ok=True)
    title = f"{name}: {figure}, mean and 95%"
    made = plots.curves(values, curves, title, key, figure, one.log)
    (folder / f"{name}-{figure}.png").write_bytes(made)

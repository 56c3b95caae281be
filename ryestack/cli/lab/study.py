"""`ryestack lab study`: plays a study and prints its tables and plots."""

from pathlib import Path
from typing import Annotated

import typer

from ...lab import sweep as sweeping
from ...lab.runner import rules_broken
from ..output import Json, print_json, say, table, unusable
from .options import Cores
from .progress import ProgressBar


def study(
    name: Annotated[str, typer.Argument(help="A study, see `--list`.")] = "",
    out: Annotated[str | None, typer.Option(help="Folder for the plots.")] = None,
    seeds: Annotated[int, typer.Option(min=0, help="Seeds of each point; 0 for those of the study.")] = 0,
    rows: Annotated[
        str | None, typer.Option(help="JSON lines file of its days; resumed if it exists.")
    ] = None,
    cores: Cores = 0,
    names: Annotated[bool, typer.Option("--list", help="List the studies and their questions.")] = False,
    as_json: Json = False,
) -> None:
    """Play a study and show tables with intervals, and plots."""
    from ...lab import studies

    if names or not name:
        table("", ["study", "question"], [[n, s.question] for n, s in studies.STUDIES.items()])
        return
    if name not in studies.STUDIES:
        raise unusable(f"study {name}: unknown study; known are {', '.join(studies.STUDIES)}")
    selected = studies.STUDIES[name]
    points = sweeping.grid(selected.vary)
    jobs = sweeping.jobs_of(
        selected.table, points, list(range(1, (seeds or selected.seeds) + 1)), selected.policies
    )
    with ProgressBar(name) as bar:
        groups = _grouped(selected, sweeping.run(jobs, rows, bar, cores))
    say(selected.question)
    results = {}
    for figure in selected.figures:
        curves = _curves(selected, groups, figure)
        results[figure] = {group: _by_value(selected, curve) for group, curve in curves.items()}
        if not as_json:
            table(figure, [next(iter(selected.vary)), *curves], _cells(selected, curves))
        if out:
            _plot(name, selected, curves, figure, Path(out))
    broken = {group: sum(rules_broken(r) > 0 for r in days) for group, days in groups.items()}
    if as_json:
        print_json({"question": selected.question, "figures": results, "days_with_a_rule_broken": broken})
    else:
        cells = [[group, count, len(groups[group])] for group, count in broken.items()]
        table("days with a rule broken", ["policy", "days", "of"], cells)


def _grouped(selected, found: list[dict]) -> dict[str, list[dict]]:
    """The days by policy and by the varied keys other than the first."""
    _, *others = selected.vary
    groups: dict[str, list[dict]] = {}
    for row in found:
        other_values = ", ".join(
            f"{k.split('.')[-1]} {row['keys'][k]}" for k in others if len(selected.vary[k]) > 1
        )
        groups.setdefault(" ".join(filter(None, [row["policy"], other_values])), []).append(row)
    return groups


def _curves(selected, groups: dict[str, list[dict]], figure: str) -> dict[str, list[tuple]]:
    """(mean, low, high) of each group at each value of the first key."""
    from ...lab.compare import interval

    key, values = next(iter(selected.vary.items()))
    return {
        group: [interval([r[figure] for r in days if r["keys"][key] == x]) for x in values]
        for group, days in groups.items()
    }


def _by_value(selected, curve: list[tuple]) -> dict[str, tuple]:
    values = next(iter(selected.vary.values()))
    return dict(zip(map(str, values), curve, strict=True))


def _cells(selected, curves: dict[str, list[tuple]]) -> list[list]:
    cells = []
    for i, x in enumerate(next(iter(selected.vary.values()))):
        points = [curve[i] for curve in curves.values()]
        cells.append([x, *(f"{mean:.3f} ({low:.3f} to {high:.3f})" for mean, low, high in points)])
    return cells


def _plot(name: str, selected, curves: dict[str, list[tuple]], figure: str, folder: Path) -> None:
    from ...lab import plots

    key, values = next(iter(selected.vary.items()))
    folder.mkdir(parents=True, exist_ok=True)
    title = f"{name}: {figure}, mean and 95%"
    made = plots.curves(values, curves, title, key, figure, selected.log)
    (folder / f"{name}-{figure}.png").write_bytes(made)

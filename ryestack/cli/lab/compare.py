"""ryestack lab compare: two policies on the same days."""

from typing import Annotated

import typer

from ...lab import sweep as sweeping
from ...lab.compare import difference
from ..output import Json, console, print_json, unusable
from .options import Cores, read_scenario, require_policies, seeds_of
from .progress import ProgressBar


def compare(
    a: Annotated[str, typer.Argument(help="A policy.")],
    b: Annotated[str, typer.Argument(help="Another.")],
    scenario: Annotated[list[str], typer.Argument(help="Scenarios.")],
    seeds: Annotated[str, typer.Option(help="As 1-8 or 1,2,5.")] = "1-16",
    figure: Annotated[str, typer.Option(help="What is compared.")] = "G",
    cores: Cores = 0,
    as_json: Json = False,
) -> None:
    """Two policies on the same days, with a bootstrap interval; says when it can't tell."""
    require_policies(a, b)
    found, chosen = {}, seeds_of(seeds)
    for path in scenario:
        day = read_scenario(path)
        jobs = [(day, {}, seed, name) for name in (a, b) for seed in chosen]
        with ProgressBar(day.name) as bar:
            rows = sweeping.run(jobs, None, bar, cores)
        if figure not in rows[0]:
            raise unusable(f"--figure {figure}: there is no such figure")
        values = [row[figure] for row in rows]
        found[path] = difference(values[: len(chosen)], values[len(chosen) :])
    if as_json:
        names = ("mean", "low", "high", "days", "told")
        print_json({path: {name: getattr(d, name) for name in names} for path, d in found.items()})
        return
    for path, told in found.items():
        console().print(f"{path}: {told.words(a, b)}", markup=False, soft_wrap=True)

"""`ryestack lab compare`: compares two policies on the same days."""

from typing import Annotated

import typer

from ...lab import sweep as sweeping
from ...lab.compare import difference
from ..output import Json, console, print_json, unusable
from .options import Cores, read_scenario, require_policies, seeds_of
from .progress import ProgressBar


def compare(
    a: Annotated[str, typer.Argument(help="The first policy.")],
    b: Annotated[str, typer.Argument(help="The second policy.")],
    scenario: Annotated[list[str], typer.Argument(help="Scenario files.")],
    seeds: Annotated[str, typer.Option(help="A range or a list: 1-8 or 1,2,5.")] = "1-16",
    figure: Annotated[str, typer.Option(help="The figure to compare.")] = "G",
    cores: Cores = 0,
    as_json: Json = False,
) -> None:
    """Compare two policies on the same days, with a bootstrap interval of the difference."""
    require_policies(a, b)
    differences, seed_numbers = {}, seeds_of(seeds)
    for path in scenario:
        day = read_scenario(path)
        jobs = [(day, {}, seed, name) for name in (a, b) for seed in seed_numbers]
        with ProgressBar(day.name) as bar:
            rows = sweeping.run(jobs, None, bar, cores)
        if figure not in rows[0]:
            raise unusable(f"--figure {figure}: unknown figure")
        values = [row[figure] for row in rows]
        differences[path] = difference(values[: len(seed_numbers)], values[len(seed_numbers) :])
    if as_json:
        attributes = {"mean": "mean", "low": "low", "high": "high", "days": "days", "told": "significant"}
        print_json(
            {
                path: {key: getattr(d, name) for key, name in attributes.items()}
                for path, d in differences.items()
            }
        )
        return
    for path, result in differences.items():
        console().print(f"{path}: {result.describe(a, b)}", markup=False, soft_wrap=True)

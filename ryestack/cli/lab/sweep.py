"""`ryestack lab sweep`: plays days over keys, seeds and policies."""

import json
from pathlib import Path
from typing import Annotated

import typer

from ...lab import scenario as sc
from ...lab import sweep as sweeping
from ...lab.runner import rules_broken
from ..output import Json, print_json, say, table, unusable
from .options import Cores, File, require_policies, seeds_of
from .progress import ProgressBar


def values_of(text: str) -> tuple[str, list]:
    """The key and values of KEY=V1,V2,...; values that are not JSON are strings."""
    key, equals, rest = text.partition("=")
    if not key or not equals or not rest:
        raise unusable(f"--vary {text}: must be KEY=V1,V2,...")
    found = []
    for part in rest.split(","):
        try:
            found.append(json.loads(part))
        except ValueError:
            found.append(part)
    return key, found


def sweep(
    scenario: File,
    vary: Annotated[
        list[str] | None, typer.Option(help="KEY=V1,V2,...; list rows by number, as in group.0.headroom.")
    ] = None,
    seeds: Annotated[str, typer.Option(help="A range or a list: 1-8 or 1,2,5.")] = "1-8",
    policy: Annotated[
        list[str] | None, typer.Option(help="A policy name, or ryestack@REV; may be repeated.")
    ] = None,
    draw: Annotated[
        int, typer.Option(min=0, help="Number of random points from [minimum, maximum], instead of a grid.")
    ] = 0,
    draw_seed: Annotated[int, typer.Option(min=0, help="Seed of the random points.")] = 1,
    out: Annotated[str | None, typer.Option(help="JSON lines file of results; resumed if it exists.")] = None,
    report: Annotated[str | None, typer.Option(help="HTML page to write.")] = None,
    figure: Annotated[str, typer.Option(help="The figure of the tables.")] = "G",
    cores: Cores = 0,
    as_json: Json = False,
) -> None:
    """Play days over keys, seeds and policies, on all cores. Ctrl-C keeps finished days; a rerun resumes."""
    keys, policies = dict(map(values_of, vary or [])), policy or ["ryestack"]
    require_policies(*policies)
    try:
        base, _ = sc.read_table(scenario)
        points = sweeping.random_points(keys, draw, draw_seed) if draw else sweeping.grid(keys)
        jobs = sweeping.jobs_of(base, points, seeds_of(seeds), policies)
    except sc.BadScenario as error:
        raise unusable(str(error)) from None
    with ProgressBar("days") as bar:
        rows = sweeping.run(jobs, out, bar, cores)
    if report:
        from ...lab.report import of_sweep

        Path(report).write_text(of_sweep(rows, figure))
        say(f"{report} written")
    if as_json:
        print_json(rows)
        return
    heads = [*keys, "policy", f"mean {figure}", "95%", "days with a rule broken"]
    table(f"{len(rows)} days, seeds {seeds}", heads, _cells(rows, points, policies, figure))


def _cells(rows: list[dict], points: list[dict], policies: list[str], figure: str) -> list[list]:
    from ...lab.compare import interval

    cells = []
    for point in points:
        for name in policies:
            days = [r for r in rows if r["keys"] == point and r["policy"] == name]
            mean, low, high = interval([r[figure] for r in days])
            broken = sum(rules_broken(r) > 0 for r in days)
            cells.append([*point.values(), name, f"{mean:.4f}", f"{low:.4f} to {high:.4f}", broken])
    return cells

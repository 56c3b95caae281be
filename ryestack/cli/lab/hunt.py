"""ryestack lab hunt: the days on which a policy does worst."""

from pathlib import Path
from typing import Annotated

import typer

from ...lab import hunt as hunting
from ...lab import scenario as sc
from ..output import FOUND, Json, Seed, print_json, say, table
from .options import Cores, File, Policy, read_scenario, require_policies
from .progress import ProgressBar


def hunt(
    scenario: File,
    policy: Policy = "ryestack",
    budget: Annotated[int, typer.Option(min=1, help="Days drawn.")] = 64,
    keep: Annotated[int, typer.Option(min=1, help="Of the worst, cut down and saved.")] = 1,
    folder: Annotated[str, typer.Option(help="Where found scenarios go.")] = "found",
    seed: Seed = 1,
    cores: Cores = 0,
    as_json: Json = False,
) -> None:
    """Days on which a policy does worst or breaks a rule, each cut down to the least that still does it."""
    day = read_scenario(scenario)
    require_policies(policy)
    cores = cores or -1
    with ProgressBar("days") as bar:
        found = hunting.search(day, policy, budget, seed, bar, cores)
    worst = []
    for one in found[:keep]:
        say(f"seed {one.seed}: loses {one.lost:.3f}, {one.broken} rules broken; cutting it down")
        worst.append((one, hunting.shrink(one, policy, say, cores)))
    Path(folder).mkdir(parents=True, exist_ok=True)
    rows = [_save(day, one, least, folder) for one, least in worst]
    if as_json:
        print_json({"days": len(found), "worst": rows, "mean_lost": sum(f.lost for f in found) / len(found)})
    else:
        cells = [
            [r["file"], r["seed"], f"{r['lost']:.3f}", r["broken"], ", ".join(r["faults"])] for r in rows
        ]
        table(f"the worst of {len(found)} days", ["file", "seed", "lost", "rules broken", "faults"], cells)
    raise typer.Exit(FOUND if any(r["broken"] for r in rows) else 0)


def _save(day: sc.Scenario, found: hunting.Found, least: hunting.Found, folder: str) -> dict:
    """Write the day cut down as a scenario; returns a row of it."""
    name = f"{day.name}-{found.seed}"
    path = str(Path(folder) / f"{name}.toml")
    sc.write(hunting.copy_of(least.day, name=name), path)
    return {
        "file": path,
        "seed": found.seed,
        "lost": least.lost,
        "broken": least.broken,
        "faults": [fault.kind for fault in least.day.fault],
        "first": {"lost": found.lost, "broken": found.broken, "faults": found.summary["faults"]},
    }

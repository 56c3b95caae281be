"""`ryestack lab hunt`: searches for the days on which a policy does worst."""

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
    budget: Annotated[int, typer.Option(min=1, help="Number of days to draw.")] = 64,
    keep: Annotated[int, typer.Option(min=1, help="Number of the worst days to minimize and save.")] = 1,
    folder: Annotated[str, typer.Option(help="Folder for the scenarios found.")] = "found",
    seed: Seed = 1,
    cores: Cores = 0,
    as_json: Json = False,
) -> None:
    """Search for days on which a policy does worst or breaks a rule, and minimize each of them."""
    day = read_scenario(scenario)
    require_policies(policy)
    cores = cores or -1
    with ProgressBar("days") as bar:
        found = hunting.search(day, policy, budget, seed, bar, cores)
    worst = []
    for candidate in found[:keep]:
        say(f"seed {candidate.seed}: loses {candidate.lost:.3f}, {candidate.broken} rules broken; minimizing")
        worst.append((candidate, hunting.shrink(candidate, policy, say, cores)))
    Path(folder).mkdir(parents=True, exist_ok=True)
    rows = [_save(day, original, minimized, folder) for original, minimized in worst]
    if as_json:
        print_json({"days": len(found), "worst": rows, "mean_lost": sum(f.lost for f in found) / len(found)})
    else:
        cells = [
            [r["file"], r["seed"], f"{r['lost']:.3f}", r["broken"], ", ".join(r["faults"])] for r in rows
        ]
        table(f"the worst of {len(found)} days", ["file", "seed", "lost", "rules broken", "faults"], cells)
    raise typer.Exit(FOUND if any(r["broken"] for r in rows) else 0)


def _save(day: sc.Scenario, found: hunting.Found, minimized: hunting.Found, folder: str) -> dict:
    """Write a minimized day as a scenario; returns its row of the result."""
    name = f"{day.name}-{found.seed}"
    path = str(Path(folder) / f"{name}.toml")
    sc.write(hunting.copy_of(minimized.day, name=name), path)
    return {
        "file": path,
        "seed": found.seed,
        "lost": minimized.lost,
        "broken": minimized.broken,
        "faults": [fault.kind for fault in minimized.day.fault],
        "first": {"lost": found.lost, "broken": found.broken, "faults": found.summary["faults"]},
    }

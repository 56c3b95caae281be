"""`ryestack lab check`, `run` and `report`: commands for one scenario and one day."""

from pathlib import Path
from typing import Annotated

import typer

from ...lab import scenario as sc
from ...lab.compare import share_of_best
from ...lab.policies import CEILING, FLOOR
from ...lab.runner import bare, play, rules_broken
from ..output import FOUND, Json, Seed, console, print_json, say, table, unusable
from .options import File, Policy, read_scenario, require_policies

MAX_TRACED = 3  # submissions that are traced after rule violations


def check(scenario: File, as_json: Json = False) -> None:
    """Print all problems of a scenario; status 1 if there are any."""
    try:
        day, problems = sc.read(scenario), []
    except sc.BadScenario as bad:
        if not Path(scenario).exists():
            raise unusable(str(bad)) from None
        day, problems = None, str(bad).splitlines()
    if as_json:
        print_json({"good": not problems, "faults": problems})
    else:
        count = sum(g.count for g in day.group) if day else 0
        for line in problems or [f"good: {day.name}, {day.fleet.relays} relays, {count} destinations"]:
            console().print(line, markup=False, soft_wrap=True)
    raise typer.Exit(FOUND if problems else 0)


def run(
    scenario: File,
    seed: Seed = 1,
    policy: Policy = "ryestack",
    trace: Annotated[list[str] | None, typer.Option(help="Trace a submission by id, as in 12.0.")] = None,
    beside: Annotated[bool, typer.Option("--beside", help="Play the floor and the ceiling too.")] = False,
    as_json: Json = False,
) -> None:
    """Play one day; status 1 if a rule is broken. The result depends only on scenario, seed and policy."""
    day = read_scenario(scenario)
    require_policies(policy)
    found = play(day, seed, policy, trace or ())
    result = bare(found.summary)
    if beside:
        floor, ceiling = (play(day, seed, name).summary["G"] for name in (FLOOR, CEILING))
        result |= {"floor": floor, "ceiling": ceiling, "score": share_of_best(result["G"], floor, ceiling)}
    if rules_broken(result) and not trace:  # trace the submissions that broke one
        names = [line.split(", ")[1].split(":")[0] for line in result["broken"][:MAX_TRACED]]
        found.trace = play(day, seed, policy, names).trace
    if as_json:
        print_json({**result, "trace": found.trace})
    else:
        _print_day(f"{day.name}, seed {seed}", result, found.trace)
    raise typer.Exit(FOUND if rules_broken(result) else 0)


def _print_day(title: str, result: dict, trace: list[str]) -> None:
    single = {key: value for key, value in result.items() if not isinstance(value, (list, dict))}
    rows = [[key, f"{v:.4f}" if isinstance(v, float) else v] for key, v in single.items()]
    rows += [[f"rule {rule} broken", count] for rule, count in result["rules"].items()]
    table(title, ["what", "value"], rows)
    for line in [*result["faults"], *result["broken"], *trace]:
        console().print(line, markup=False, soft_wrap=True)


def report(
    scenario: File,
    out: Annotated[str, typer.Argument(help="The HTML file to write.")],
    seed: Seed = 1,
    policy: Policy = "ryestack",
) -> None:
    """Play one day and write an HTML page with plots, tables and a heat map; readable offline."""
    from ...lab.report import of_day

    require_policies(policy)
    Path(out).write_text(of_day(play(read_scenario(scenario), seed, policy)))
    say(f"{out} written")

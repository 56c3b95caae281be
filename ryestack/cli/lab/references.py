"""`ryestack lab validate` and `policies`: the references of the emulator."""

from typing import Annotated

import typer

from ...lab.policies import POLICIES
from ..output import FOUND, Json, Seed, print_json, table
from .options import Cores

FIELDS = ("model", "load", "what", "theory", "mean", "low", "high", "good")


def validate(
    count: Annotated[int, typer.Option(min=1000, help="Calls of each run.")] = 40_000,
    runs: Annotated[int, typer.Option(min=2, help="Number of independent runs.")] = 24,
    seed: Seed = 1,
    cores: Cores = 0,
    as_json: Json = False,
) -> None:
    """Compare the emulated queues with theory; status 1 if theory is outside an interval."""
    from ...lab.validity import check

    rows = check(count, runs, seed, cores or -1)
    if as_json:
        print_json([{name: getattr(row, name) for name in FIELDS} for row in rows])
    else:
        heads = ["model", "load", "what", "theory", "measured", "99%", "within"]
        table("", heads, [_cells(row) for row in rows])
    raise typer.Exit(0 if all(r.good for r in rows) else FOUND)


def _cells(row) -> list:
    interval = f"{row.low:.4f} to {row.high:.4f}"
    within = "yes" if row.good else "NO"
    return [row.model, row.load, row.what, f"{row.theory:.4f}", f"{row.mean:.4f}", interval, within]


def policies() -> None:
    """List the policies."""
    rows = [
        [name, (kind.__doc__ or "the decision module").strip().splitlines()[0]]
        for name, kind in POLICIES.items()
    ]
    table("", ["policy", "what it does"], rows)

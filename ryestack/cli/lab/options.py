"""Options shared by the lab commands, and their parsing; invalid values end the command with status 2."""

from typing import Annotated

import typer

from ...lab import scenario as sc
from ...lab.runner import policy_of
from ..output import unusable

File = Annotated[str, typer.Argument(help="A scenario file, as in examples/scenarios/.")]
Policy = Annotated[str, typer.Option(help="A policy name, or ryestack@REV for a git revision.")]
Cores = Annotated[int, typer.Option(min=0, help="Number of cores; 0 for all.")]
MAX_SEEDS = 100_000


def read_scenario(path: str) -> sc.Scenario:
    """Read a scenario file."""
    try:
        return sc.read(path)
    except sc.BadScenario as error:
        raise unusable(str(error)) from None


def require_policies(*names: str) -> None:
    """End the command if a policy does not exist."""
    try:
        for name in names:
            policy_of(name)
    except sc.BadScenario as error:
        raise unusable(str(error)) from None


def seeds_of(text: str) -> list[int]:
    """The seeds of a range or list, as in 1-8 or 1,2,5."""
    try:
        found = []
        for part in text.split(","):
            first, dash, last = part.partition("-")
            found += range(int(first), int(last) + 1) if dash else [int(first)]
        if not found or len(found) > MAX_SEEDS:
            raise ValueError
        return found
    except ValueError:
        raise unusable(f"--seeds {text}: must be a range or a list: 1-8 or 1,2,5") from None

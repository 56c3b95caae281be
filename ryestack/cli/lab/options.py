"""Options that several lab commands share, and what is read from them; else they end with status 2."""

from typing import Annotated

import typer

from ...lab import scenario as sc
from ...lab.runner import policy_of
from ..output import unusable

File = Annotated[str, typer.Argument(help="A scenario; examples/scenarios/ has some.")]
Policy = Annotated[str, typer.Option(help="By name, or ryestack@REV for the module of a git revision.")]
Cores = Annotated[int, typer.Option(min=0, help="0 for all.")]
MANY_SEEDS = 100_000


def read_scenario(path: str) -> sc.Scenario:
    try:
        return sc.read(path)
    except sc.BadScenario as bad:
        raise unusable(str(bad)) from None


def require_policies(*names: str) -> None:
    try:
        for name in names:
            policy_of(name)
    except sc.BadScenario as bad:
        raise unusable(str(bad)) from None


def seeds_of(text: str) -> list[int]:
    """Of 1-8 or 1,2,5."""
    try:
        found = []
        for part in text.split(","):
            first, dash, last = part.partition("-")
            found += range(int(first), int(last) + 1) if dash else [int(first)]
        if not found or len(found) > MANY_SEEDS:
            raise ValueError
        return found
    except ValueError:
        raise unusable(f"--seeds {text}: must be as 1-8 or 1,2,5") from None

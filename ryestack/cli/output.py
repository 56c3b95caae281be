"""Output shared by all commands: results as text or JSON, progress, and exit statuses."""

import json
import sys
from typing import Annotated

import typer
from rich.console import Console
from rich.table import Table

FOUND, UNUSABLE = 1, 2

Json = Annotated[bool, typer.Option("--json", help="Print the result as JSON.")]
Seed = Annotated[
    int, typer.Option("--seed", min=0, help="Seed of all random choices; the same seed repeats them.")
]


def console(err: bool = False) -> Console:
    """A console with colours on terminals only; elsewhere 200 columns wide, so that no line is folded."""
    stream = sys.stderr if err else sys.stdout
    return Console(stderr=err, highlight=False, width=None if stream.isatty() else 200)


def print_json(value) -> None:
    """Prints a value as JSON on standard output."""
    sys.stdout.write(json.dumps(value, indent=2, default=str) + "\n")


def say(text: str) -> None:
    """Prints a line of progress on standard error, apart from results."""
    console(err=True).print(text, markup=False, soft_wrap=True)


def unusable(text: str) -> typer.Exit:
    """Prints the reasons why a command cannot run, one a line; returns the exception to raise."""
    for line in str(text).splitlines():
        print(f"ryestack: {line}", file=sys.stderr)
    return typer.Exit(UNUSABLE)


def table(title: str, columns: list[str], rows: list[list]) -> None:
    """Prints a table on standard output; the first column is left-justified."""
    grid = Table(title=title, title_justify="left", show_edge=False, pad_edge=False)
    for name in columns:
        grid.add_column(name, justify="left" if name == columns[0] else "default", overflow="fold")
    for row in rows:
        grid.add_row(*(str(cell) for cell in row))
    console().print(grid)

"""What all commands share: results for people or machines, and an end with a status."""

import json
import sys
from typing import Annotated

import typer
from rich.console import Console
from rich.table import Table

FOUND, UNUSABLE = 1, 2

Json = Annotated[bool, typer.Option("--json", help="Print the result as JSON.")]
Seed = Annotated[int, typer.Option("--seed", min=0, help="Of all chance; the same seed draws the same.")]


def console(err: bool = False) -> Console:
    """Colours on terminals only; wide enough elsewhere that no line is folded."""
    stream = sys.stderr if err else sys.stdout
    return Console(stderr=err, highlight=False, width=None if stream.isatty() else 200)


def print_json(value) -> None:
    sys.stdout.write(json.dumps(value, indent=2, default=str) + "\n")


def say(text: str) -> None:
    """A line of progress: it never goes where a result does."""
    console(err=True).print(text, markup=False, soft_wrap=True)


def unusable(text: str) -> typer.Exit:
    """Say why it cannot be used as asked, a line each; to be raised."""
    for line in str(text).splitlines():
        print(f"ryestack: {line}", file=sys.stderr)
    return typer.Exit(UNUSABLE)


def table(title: str, columns: list[str], rows: list[list]) -> None:
    made = Table(title=title, title_justify="left", show_edge=False, pad_edge=False)
    for name in columns:
        made.add_column(name, justify="left" if name == columns[0] else "default", overflow="fold")
    for row in rows:
        made.add_row(*(str(cell) for cell in row))
    console().print(made)

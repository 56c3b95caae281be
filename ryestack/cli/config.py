"""ryestack config: prints the operator settings in force, their JSON Schema, or a first operator file."""

import os
from typing import Annotated

import msgspec
import typer

from ..operator import pages
from ..operator.checks import keys_of
from ..operator.layers import BadOperator, choose
from ..operator.schema import Operator
from . import choices
from .output import Json, print_json, say, table, unusable

app = typer.Typer(no_args_is_help=True)


@app.command()
def show(operator: choices.OperatorFile = None, sets: choices.Set = None, as_json: Json = False) -> None:
    """Print each key's value and where it comes from: default, file, environment or flag."""
    try:
        chosen = choose(operator, os.environ, choices.flags(sets))
    except BadOperator as bad:
        raise unusable(str(bad)) from None
    rows = []
    for key in keys_of(Operator):
        value = chosen.values
        for part in key.split("."):
            value = getattr(value, part)
        rows.append([key, value, chosen.origin[key]])
    if as_json:
        print_json({key: {"value": value, "origin": origin} for key, value, origin in rows})
    else:
        table(
            "", ["key", "value", "origin"], [[key, pages.toml(value), origin] for key, value, origin in rows]
        )


@app.command()
def schema() -> None:
    """Print the operator file's JSON Schema."""
    print_json(msgspec.json.schema(Operator))


@app.command()
def init(
    path: Annotated[str, typer.Argument(help="The file to write; - writes to standard output.")] = "-",
    force: Annotated[bool, typer.Option("--force", help="Overwrite an existing file.")] = False,
) -> None:
    """Write an operator file with every key at its default and a comment on each."""
    if path == "-":
        typer.echo(pages.first_file(), nl=False)
        return
    try:
        with open(path, "w" if force else "x") as file:
            file.write(pages.first_file())
    except FileExistsError:
        raise unusable(f"{path}: already exists; use --force to overwrite it") from None
    except OSError as problem:
        raise unusable(f"{path}: {problem.strerror}") from None
    say(f"{path} written")

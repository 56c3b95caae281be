"""The options by which commands choose a configuration, and the layers above it."""

import os
from typing import Annotated

import typer

from .output import unusable

Config = Annotated[
    str | None, typer.Option("--config", "-c", help="The platform's configuration; else LB_CONFIG names it.")
]
State = Annotated[str | None, typer.Option("--state", help="The folder that lasts; else LB_STATE names it.")]
OperatorFile = Annotated[
    str | None, typer.Option("--operator", "-o", help="The operator file; else RYESTACK_OPERATOR names it.")
]
Set = Annotated[
    list[str] | None,
    typer.Option("--set", help="KEY=VALUE over the file and the environment; may come again."),
]
LogFormat = Annotated[str | None, typer.Option("--log-format", help="text or json; log.format of the file.")]


def flags(sets: list[str] | None, log_format: str | None = None) -> dict[str, str]:
    """Dotted key to text."""
    found = {}
    for each in sets or []:
        key, equals, value = each.partition("=")
        if not equals or not key:
            raise unusable(f"--set {each}: must be KEY=VALUE")
        found[key.strip()] = value.strip()
    if log_format is not None:
        found["log.format"] = log_format
    return found


def environment(config: str | None, state: str | None) -> dict[str, str]:
    """The environment as `run` finds it, with what the flags say in its place."""
    found = dict(os.environ)
    if config is not None:
        found["LB_CONFIG"] = config
    if state is not None:
        found["LB_STATE"] = state
    return found

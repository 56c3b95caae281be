"""Options shared by commands that select a configuration and override its values."""

import os
from typing import Annotated

import typer

from .output import unusable

Config = Annotated[
    str | None, typer.Option("--config", "-c", help="The platform's configuration file; default: LB_CONFIG.")
]
State = Annotated[str | None, typer.Option("--state", help="The state directory; default: LB_STATE.")]
OperatorFile = Annotated[
    str | None, typer.Option("--operator", "-o", help="The operator file; default: RYESTACK_OPERATOR.")
]
Set = Annotated[
    list[str] | None,
    typer.Option("--set", help="KEY=VALUE; overrides the file and the environment; may be repeated."),
]
LogFormat = Annotated[str | None, typer.Option("--log-format", help="text or json; overrides log.format.")]


def flags(sets: list[str] | None, log_format: str | None = None) -> dict[str, str]:
    """The values of --set and --log-format, by dotted key. Raises typer.Exit for a malformed --set."""
    values = {}
    for text in sets or []:
        key, equals, value = text.partition("=")
        if not equals or not key:
            raise unusable(f"--set {text}: must be KEY=VALUE")
        values[key.strip()] = value.strip()
    if log_format is not None:
        values["log.format"] = log_format
    return values


def environment(config: str | None, state: str | None) -> dict[str, str]:
    """A copy of the process environment; the given options replace LB_CONFIG and LB_STATE."""
    environ = dict(os.environ)
    if config is not None:
        environ["LB_CONFIG"] = config
    if state is not None:
        environ["LB_STATE"] = state
    return environ

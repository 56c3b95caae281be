"""ryestack serve: runs one relay, like `python -m ryestack` without arguments, but with options."""

import typer

from . import choices
from .output import FOUND


def serve(
    config: choices.Config = None,
    state: choices.State = None,
    operator: choices.OperatorFile = None,
    sets: choices.Set = None,
    log_format: choices.LogFormat = None,
) -> None:
    """Run one relay until SIGTERM or Ctrl-C; SIGHUP rereads its configuration."""
    from ..lifecycle.service import serve as run

    environ = choices.environment(config, state)
    status = run(environ=environ, operator=operator, flags=choices.flags(sets, log_format))
    raise typer.Exit(status if status in (0, 2) else FOUND)

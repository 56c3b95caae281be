"""Commands of `ryestack lab`: check, run, sweep, compare, hunt, report, validate, policies, study."""

import typer

from .compare import compare
from .days import check, report, run
from .hunt import hunt
from .references import policies, validate
from .study import study
from .sweep import sweep

app = typer.Typer(no_args_is_help=True)
for command in (check, run, sweep, compare, hunt, report, validate, policies, study):
    app.command()(command)

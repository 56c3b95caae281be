"""The typer application with all commands."""

import typer

from . import check, config, journal, lab, load, pages, serve, soak, standin, trial, version

HELP = """A relay that delivers notifications to the systems of other companies.

Exit status: 0 success, 1 a check or trial found problems, 2 invalid usage or input.
"""

app = typer.Typer(
    name="ryestack",
    help=HELP,
    no_args_is_help=True,
    pretty_exceptions_enable=False,
    context_settings={"help_option_names": ["-h", "--help"]},
)
app.command("serve")(serve.serve)
app.command("check")(check.check)
app.add_typer(
    config.app,
    name="config",
    help="The operator file: values in force, JSON Schema, and a file to start from.",
)
app.add_typer(
    journal.app, name="journal", help="Inspect the state directory of a running or stopped relay; read-only."
)
app.add_typer(standin.app, name="standin", help="Simulated partners and a platform on loopback.")
app.add_typer(
    lab.app, name="lab", help="The emulator: days in simulated time, sweeps, searches for faults, reports."
)
app.command("load")(load.load)
app.command("try")(trial.trial)
app.command("soak")(soak.soak)
app.command("version")(version.version)
app.command("pages", hidden=True)(pages.pages)

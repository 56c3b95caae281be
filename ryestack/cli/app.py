"""The commands, put together."""

import typer

from . import check, config, journal, lab, load, pages, serve, soak, standin, trial, version

HELP = """A relay that owes other firms' systems their messages and delivers them.

Exit status: 0 done, 1 a check or trial found something, 2 it could not be used as asked.
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
app.add_typer(config.app, name="config", help="The operator file: what holds, what may be said, a first one.")
app.add_typer(
    journal.app, name="journal", help="What a relay's folder holds, live or dead; nothing is changed."
)
app.add_typer(standin.app, name="standin", help="Scripted partners and a platform on loopback.")
app.add_typer(lab.app, name="lab", help="The emulator: days in simulated time, sweeps, hunts, reports.")
app.command("load")(load.load)
app.command("try")(trial.trial)
app.command("soak")(soak.soak)
app.command("version")(version.version)
app.command("pages", hidden=True)(pages.pages)

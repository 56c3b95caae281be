"""ryestack check: validates the platform's configuration and the operator file without opening a socket."""

import os
import tempfile

import typer

from ..lifecycle.config import BadConfig, MixedDeployment, load
from ..operator.layers import BadOperator, choose
from . import choices
from .output import FOUND, Json, console, print_json, unusable


def check(
    config: choices.Config = None,
    operator: choices.OperatorFile = None,
    sets: choices.Set = None,
    as_json: Json = False,
) -> None:
    """Check the settings that a relay would start with; opens no socket and changes nothing."""
    environ, found, loaded = choices.environment(config, None), [], None
    path = environ.get("LB_CONFIG")
    if not path:
        raise unusable("--config or LB_CONFIG must name the configuration file")
    if not os.path.exists(path):
        raise unusable(f"{path}: no such file")
    try:
        chosen = choose(operator, environ, choices.flags(sets)).values
    except BadOperator as bad:
        chosen, found = None, [str(fault) for fault in bad.faults]
    with tempfile.TemporaryDirectory() as folder:  # the real state directory is not used
        try:
            loaded = load({"LB_CONFIG": path, "LB_STATE": folder}, chosen=chosen)
        except MixedDeployment as bad:
            raise unusable(bad) from None
        except BadConfig as bad:
            found += str(bad).splitlines()
    if as_json:
        print_json({"good": not found, "faults": found})
    elif found:
        for line in found:
            console().print(line, markup=False, soft_wrap=True)
    else:
        rows = loaded.known["endpoints"]
        groups = {row.get("group") for row in rows}
        console().print(
            f"good: {loaded.name}, {len(rows)} endpoints of {len(groups)} destinations known", markup=False
        )
    raise typer.Exit(FOUND if found else 0)

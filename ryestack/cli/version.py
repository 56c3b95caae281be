"""ryestack version: prints the versions of the program and its libraries."""

import platform
from importlib.metadata import PackageNotFoundError
from importlib.metadata import version as installed_version

from ..operator.schema import FORMAT
from .output import Json, print_json, table

LIBRARIES = ("aiohttp", "loguru", "msgspec", "typer", "rich", "hdrhistogram")


def _version_of(name: str) -> str:
    try:
        return installed_version(name)
    except PackageNotFoundError:
        return "not installed"


def version(as_json: Json = False) -> None:
    """Print the versions of this program, its file format, Python and the libraries."""
    rows = {
        "ryestack": _version_of("ryestack"),
        "operator file": f"format {FORMAT}",
        "python": platform.python_version(),
    }
    rows |= {name: _version_of(name) for name in LIBRARIES}
    print_json(rows) if as_json else table("", ["what", "version"], [list(row) for row in rows.items()])

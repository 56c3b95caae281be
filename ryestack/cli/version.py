"""ryestack version."""

import platform
from importlib.metadata import PackageNotFoundError
from importlib.metadata import version as of

from ..operator.schema import FORMAT
from .output import Json, print_json, table

LIBRARIES = ("aiohttp", "loguru", "msgspec", "typer", "rich", "hdrhistogram")


def _of(name: str) -> str:
    try:
        return of(name)
    except PackageNotFoundError:
        return "not installed"


def version(as_json: Json = False) -> None:
    """Print versions: of this program, its formats, Python and the libraries."""
    rows = {
        "ryestack": _of("ryestack"),
        "operator file": f"format {FORMAT}",
        "python": platform.python_version(),
    }
    rows |= {name: _of(name) for name in LIBRARIES}
    print_json(rows) if as_json else table("", ["what", "version"], [list(row) for row in rows.items()])

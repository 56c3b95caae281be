"""ryestack pages (for developers): the pages that are made from code."""

from pathlib import Path
from typing import Annotated

import typer

from ..lab import capacity_page
from ..observe.pages import with_current_table
from ..operator.pages import page
from .output import FOUND, say


def stale(docs: Path) -> dict[Path, str]:
    """Pages that are not as the code says, and how they should be."""
    oncall, configuration = docs / "oncall.md", docs / "configuration.md"
    wanted = {oncall: with_current_table(oncall.read_text()), configuration: page()}
    wanted[docs / "CAPACITY.md"] = capacity_page.page((docs / "capacity.toml").read_text())
    return {path: text for path, text in wanted.items() if not path.exists() or path.read_text() != text}


def pages(
    write: Annotated[bool, typer.Option("--write", help="Write them.")] = False, docs: str = "docs"
) -> None:
    """Check that docs/CAPACITY.md, docs/configuration.md and the events of docs/oncall.md are current, or
    write them."""
    found = stale(Path(docs))
    for path, text in found.items():
        if write:
            path.write_text(text)
        say(f"{path}: {'written' if write else 'not current; make pages writes it'}")
    raise typer.Exit(FOUND if found and not write else 0)

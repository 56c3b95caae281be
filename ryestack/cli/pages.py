"""ryestack pages (for developers): the documentation pages that are generated from code."""

from pathlib import Path
from typing import Annotated

import typer

from ..lab import capacity_page
from ..observe.pages import with_current_table
from ..operator.pages import page
from .output import FOUND, say


def stale(docs: Path) -> dict[Path, str]:
    """Generated pages that differ from what the code produces, with their current text."""
    oncall, configuration = docs / "oncall.md", docs / "configuration.md"
    wanted = {oncall: with_current_table(oncall.read_text()), configuration: page()}
    wanted[docs / "CAPACITY.md"] = capacity_page.page((docs / "capacity.toml").read_text())
    return {path: text for path, text in wanted.items() if not path.exists() or path.read_text() != text}


def pages(
    write: Annotated[bool, typer.Option("--write", help="Write the pages.")] = False, docs: str = "docs"
) -> None:
    """Check that docs/CAPACITY.md, docs/configuration.md and the events of docs/oncall.md are current, or
    write them."""
    outdated = stale(Path(docs))
    for path, text in outdated.items():
        if write:
            path.write_text(text)
        say(f"{path}: {'written' if write else 'not current; run make pages'}")
    raise typer.Exit(FOUND if outdated and not write else 0)

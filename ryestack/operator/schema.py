"""The operator file's schema: every key with its default, what is allowed, and what it means.

docs/configuration.md and the JSON Schema are made from these. No constant of a decision belongs here: what
the relay decides is the same at every installation.
"""

from typing import Annotated, Literal

import msgspec
from msgspec import Meta

FORMAT = 1


class Log(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What is written to standard error."""

    format: Annotated[
        Literal["text", "json"], Meta(description="`text` for people, `json`: an object a line")
    ] = "text"
    level: Annotated[
        Literal["DEBUG", "INFO", "WARNING", "ERROR"], Meta(description="the least level that is written")
    ] = "INFO"
    repeat: Annotated[
        float,
        Meta(ge=0, le=3600, description="seconds between equal lines: one is written, then a count; 0: all"),
    ] = 10.0
    summary: Annotated[float, Meta(ge=1, le=3600, description="seconds between summary lines")] = 10.0


class Directory(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Where the relay learns which endpoints there are."""

    source: Annotated[
        Literal["catalog", "fixed"],
        Meta(description="`catalog`: the platform's registry, watched; `fixed`: the first list, for good"),
    ] = "catalog"


class Ends(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Where final answers go that no client waits for."""

    sink: Annotated[
        Literal["platform", "file"],
        Meta(description="`platform`: notices are posted to it; `file`: JSON lines are appended to `path`"),
    ] = "platform"
    path: Annotated[str, Meta(max_length=4096, description="the file, where `sink` is `file`")] = ""


class Operator(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The whole file."""

    format: Annotated[Literal[1], Meta(description="the version of this format; a file must name it")] = (
        FORMAT
    )
    log: Log = Log()
    directory: Directory = Directory()
    ends: Ends = Ends()


def rules(chosen: Operator) -> list[tuple[str, str]]:
    """Faults that no single key shows: (dotted key, what is wrong)."""
    if chosen.ends.sink == "file" and not chosen.ends.path:
        return [("ends.path", "must name a file where ends.sink is file")]
    if chosen.ends.path and chosen.ends.sink != "file":
        return [("ends.path", "has no use where ends.sink is platform")]
    return []

"""Reads and writes scenarios as files and tables, and changes single keys."""

import tomllib

import msgspec
import tomli_w

from ...operator.checks import Fault, line_of
from .checks import problems_of
from .model import Scenario


class BadScenario(Exception):
    """A scenario or policy is invalid; the message has one line for each error."""


def read(path: str) -> Scenario:
    """Read a scenario; raises BadScenario with all its problems."""
    table, text = read_table(path)
    return from_table(table, path, text)


def read_table(path: str) -> tuple[dict, str]:
    """The table and the text of a TOML file; raises BadScenario."""
    try:
        with open(path, "rb") as file:
            text = file.read().decode()
        return tomllib.loads(text), text
    except OSError as error:
        raise BadScenario(f"{path}: {error.strerror}") from None
    except (UnicodeDecodeError, tomllib.TOMLDecodeError, RecursionError) as error:
        raise BadScenario(f"{path}: not valid TOML: {error}") from None


def from_table(table: dict, path: str = "scenario", text: str = "") -> Scenario:
    """The scenario of a table; raises BadScenario with all its problems."""
    problems = [Fault(path, line_of(text, key) if text else 0, key, why) for key, why in problems_of(table)]
    if problems:
        raise BadScenario("\n".join(map(str, problems)))
    return msgspec.convert(table, Scenario)


def table_of(day: Scenario) -> dict:
    """The table of a scenario, with all defaults."""
    return msgspec.to_builtins(day)


def write(day: Scenario, path: str) -> None:
    """Write a scenario with all keys to a TOML file."""
    with open(path, "wb") as file:
        tomli_w.dump(table_of(day), file)


def with_key(table: dict, dotted: str, value) -> dict:
    """A copy of a table with one dotted key set; list rows are numbers, as in group.0.headroom.

    Raises BadScenario if the key does not exist.
    """
    copy = msgspec.json.decode(msgspec.json.encode(table))
    *path, last = dotted.split(".")
    current = copy
    for part in path:
        if isinstance(current, list):
            if not part.isdigit() or int(part) >= len(current):
                raise BadScenario(f"{dotted}: there is no row {part}")
            current = current[int(part)]
        else:
            current = current.setdefault(part, {})
    if not isinstance(current, dict):
        raise BadScenario(f"{dotted}: is not a key")
    current[last] = value
    return copy

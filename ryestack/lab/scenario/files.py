"""Scenarios in files and tables: read, written, changed by a dotted key."""

import tomllib

import msgspec
import tomli_w

from ...operator.checks import Fault, line_of
from .checks import faults_of
from .model import Scenario


class BadScenario(Exception):
    """A scenario that cannot be used; the text has a line a fault."""


def read(path: str) -> Scenario:
    """The scenario in a file; raises BadScenario with all its faults."""
    table, text = read_table(path)
    return of(table, path, text)


def read_table(path: str) -> tuple[dict, str]:
    try:
        with open(path, "rb") as file:
            text = file.read().decode()
        return tomllib.loads(text), text
    except OSError as problem:
        raise BadScenario(f"{path}: {problem.strerror}") from None
    except (UnicodeDecodeError, tomllib.TOMLDecodeError, RecursionError) as problem:
        raise BadScenario(f"{path}: is no TOML: {problem}") from None


def of(table: dict, path: str = "scenario", text: str = "") -> Scenario:
    faults = [Fault(path, line_of(text, key) if text else 0, key, why) for key, why in faults_of(table)]
    if faults:
        raise BadScenario("\n".join(map(str, faults)))
    return msgspec.convert(table, Scenario)


def table_of(day: Scenario) -> dict:
    return msgspec.to_builtins(day)


def write(day: Scenario, path: str) -> None:
    with open(path, "wb") as file:
        tomli_w.dump(table_of(day), file)


def with_key(table: dict, dotted: str, value) -> dict:
    """A copy of a table with one dotted key set; rows of lists are named by number, as group.0.headroom."""
    copy = msgspec.json.decode(msgspec.json.encode(table))
    *path, last = dotted.split(".")
    place = copy
    for part in path:
        if isinstance(place, list):
            if not part.isdigit() or int(part) >= len(place):
                raise BadScenario(f"{dotted}: there is no row {part}")
            place = place[int(part)]
        else:
            place = place.setdefault(part, {})
    if not isinstance(place, dict):
        raise BadScenario(f"{dotted}: is no key")
    place[last] = value
    return copy

"""Merges the layers of operator settings: defaults < file < RYESTACK_... environment variables < flags.

The origin of each value is kept. Pure except for `read`, which opens the file.
"""

import tomllib
from dataclasses import dataclass, field

import msgspec

from .checks import Fault, base, check, keys_of, line_of, nearest
from .schema import FORMAT, Operator, rules

PREFIX, FILE = "RYESTACK_", "RYESTACK_OPERATOR"
MAX_FILE_BYTES = 1024 * 1024  # a file written by people has a few thousand


class BadOperator(Exception):
    """The settings are invalid. faults: all faults; the text has one line for each."""

    def __init__(self, faults: list[Fault]):
        super().__init__("\n".join(map(str, faults)))
        self.faults = faults


@dataclass(slots=True)
class Chosen:
    """The merged settings, and the origin of each value."""

    values: Operator
    # Dotted key -> default, FILE:LINE, environment NAME or flag.
    origin: dict[str, str] = field(default_factory=dict)


def variable(dotted: str) -> str:
    """The environment variable of a dotted key."""
    return PREFIX + dotted.upper().replace(".", "_")


def choose(path: str | None = None, environ=None, flags: dict[str, str] | None = None) -> Chosen:
    """The settings from all layers.

    path: the file, by default the one that RYESTACK_OPERATOR names, if any; flags: dotted key to text.
    Raises BadOperator with all faults of all layers.
    """
    environ = environ or {}
    path = path or environ.get(FILE)
    known = keys_of(Operator)
    names = list(known)
    table, origin, faults = {}, dict.fromkeys(known, "default"), []
    if path:
        table, text, faults = read(path)
        for key, problem in check(Operator, table, names):
            faults.append(Fault(path, line_of(text, key), key, problem))
        if not faults and "format" not in table:
            faults.append(Fault(path, 0, "format", f"is missing, must be {FORMAT}"))
        for key in known:
            if _has(table, key):
                line = line_of(text, key)
                origin[key] = f"{path}:{line}" if line else path
    variables = {variable(key): key for key in names}
    for name, value in sorted(environ.items()):
        if not name.startswith(PREFIX) or name == FILE:
            continue
        if name not in variables:
            message = "is no such variable" + nearest(name, list(variables))
            faults.append(Fault("environment", 0, name, message))
            continue
        faults += _put(table, variables[name], value, known, "environment", name)
        origin[variables[name]] = f"environment {name}"
    for key, value in (flags or {}).items():
        if key not in known:
            faults.append(Fault("flag", 0, key, "there is no such key" + nearest(key, names)))
            continue
        faults += _put(table, key, value, known, "flag", key)
        origin[key] = "flag"
    if faults:
        raise BadOperator(faults)
    values = msgspec.convert(table, Operator)
    if violations := rules(values):
        raise BadOperator([Fault(_source(origin[key], path), 0, key, problem) for key, problem in violations])
    return Chosen(values, origin)


def read(path: str) -> tuple[dict, str, list[Fault]]:
    """The file's table and text, and the faults that prevent reading it."""
    try:
        with open(path, "rb") as file:
            data = file.read(MAX_FILE_BYTES + 1)
        if len(data) > MAX_FILE_BYTES:
            return {}, "", [Fault(path, 0, "", f"is larger than {MAX_FILE_BYTES} bytes")]
        text = data.decode()
        return tomllib.loads(text), text, []
    except OSError as problem:
        return {}, "", [Fault(path, 0, "", problem.strerror or "cannot be read")]
    except UnicodeDecodeError as problem:
        return {}, "", [Fault(path, 0, "", f"is not valid UTF-8 at byte {problem.start}")]
    except (tomllib.TOMLDecodeError, RecursionError, ValueError, OverflowError) as problem:
        return {}, "", [Fault(path, 0, "", f"is not valid TOML: {_one_line(problem)}")]


def _one_line(problem: BaseException) -> str:
    return str(problem).encode("unicode_escape").decode()


def _put(table: dict, key: str, text: str, known: dict, where: str, name: str) -> list[Fault]:
    """Sets one key from a text; true, false and numbers are written as in TOML."""
    *sections, last = key.split(".")
    value = _value(text, known[key].type)
    if faults := check(_nested(sections), {last: value}, []):
        return [Fault(where, 0, name, problem) for _, problem in faults]
    for section in sections:
        inner = table.setdefault(section, {})
        if not isinstance(inner, dict):
            return []  # already reported
        table = inner
    table[last] = value
    return []


def _nested(sections: list[str]):
    """The Struct of a table, by the names on the way to it."""
    schema = Operator
    for section in sections:
        schema = next(f.type for f in msgspec.structs.fields(schema) if f.encode_name == section)
    return schema


def _value(text: str, kind):
    if base(kind) is str:
        return text
    if base(kind) in (int, float):
        for convert in (int, float):
            try:
                return convert(text)
            except ValueError:
                continue
    if base(kind) is bool:
        return {"true": True, "false": False}.get(text, text)
    return int(text) if text.isascii() and text.isdigit() and len(text) < 10 else text


def _has(table, key: str) -> bool:
    for part in key.split("."):
        if not isinstance(table, dict) or part not in table:
            return False
        table = table[part]
    return True


def _source(origin: str, path: str | None) -> str:
    return path or "choices" if origin == "default" else origin

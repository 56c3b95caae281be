"""Validates a table against msgspec Structs and reports all faults, each with its key and the closest name.

msgspec stops at the first fault, so each value is converted separately.
"""

import difflib
import re
from dataclasses import dataclass
from types import UnionType
from typing import Annotated, Union, get_args, get_origin

import msgspec


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault. where: a file, or the kind of source; line: 0 if unknown. Its text is one line."""

    where: str
    line: int
    key: str
    what: str

    def __str__(self) -> str:
        place = f"{self.where}:{self.line}" if self.line else self.where
        text = f"{place}: {self.key}: {self.what}" if self.key else f"{place}: {self.what}"
        return text if text.isprintable() else text.encode("unicode_escape").decode()


def struct_of(kind) -> type[msgspec.Struct] | None:
    """The Struct that a type is, also if annotated; None for other types."""
    if get_origin(kind) is Annotated:
        kind = get_args(kind)[0]
    return kind if isinstance(kind, type) and issubclass(kind, msgspec.Struct) else None


def rows_of(kind) -> type[msgspec.Struct] | None:
    """The Struct of the items if the type is a list of Structs, else None."""
    if get_origin(kind) is Annotated:
        kind = get_args(kind)[0]
    return struct_of(get_args(kind)[0]) if get_origin(kind) in (list, tuple) else None


def keys_of(schema: type[msgspec.Struct], prefix: str = "") -> dict[str, msgspec.structs.FieldInfo]:
    """Fields by dotted key, without those that are tables; a list of tables counts as one key."""
    found = {}
    for field in msgspec.structs.fields(schema):
        inner, dotted = struct_of(field.type), prefix + field.encode_name
        found |= keys_of(inner, dotted + ".") if inner else {dotted: field}
    return found


def check(schema: type[msgspec.Struct], table: dict, known: list[str], prefix="") -> list[tuple[str, str]]:
    """(dotted key, problem) for each fault of table; known: all valid dotted keys, for suggestions."""
    faults, fields = [], {f.encode_name: f for f in msgspec.structs.fields(schema)}
    for name, value in table.items():
        dotted = f"{prefix}{name}"
        if name not in fields:
            faults.append((dotted, "there is no such key" + nearest(dotted, known)))
            continue
        kind = fields[name].type
        inner, rows = struct_of(kind), rows_of(kind)
        if inner and isinstance(value, dict):
            faults += check(inner, value, known, dotted + ".")
        elif inner:
            faults.append((dotted, f"found {shown(value)}, must be a table"))
        elif rows and isinstance(value, list):
            below = [f"{dotted}[{i}].{key}" for i in range(len(value)) for key in keys_of(rows)]
            for i, row in enumerate(value):
                if isinstance(row, dict):
                    faults += check(rows, row, below, f"{dotted}[{i}].")
                else:
                    faults.append((f"{dotted}[{i}]", f"found {shown(row)}, must be a table"))
        elif problem := problem_with(kind, value):
            faults.append((dotted, problem))
    for name, field in fields.items():
        if field.required and name not in table:
            faults.append((f"{prefix}{name}", f"is missing, must be {allowed(field.type)}"))
    return faults


def problem_with(kind, value) -> str:
    """The problem with one value, "" if there is none."""
    is_int_for_float = isinstance(value, int) and not isinstance(value, bool) and base(kind) is float
    try:
        msgspec.convert(float(value) if is_int_for_float else value, kind)
    except (msgspec.ValidationError, OverflowError):
        return f"found {shown(value)}, must be {allowed(kind)}"
    if isinstance(value, float) and value != value:
        return "found nan, must be a number"
    return ""


def base(kind):
    """The type without its annotations."""
    return get_args(kind)[0] if get_origin(kind) is Annotated else kind


def allowed(kind) -> str:
    """Description of the values that a type allows."""
    meta = get_args(kind)[1] if get_origin(kind) is Annotated else None
    plain = base(kind)
    choices = get_args(plain)
    if get_origin(plain) in (Union, UnionType):
        return " or ".join(allowed(c) for c in choices if c is not type(None))
    if choices and get_origin(plain) not in (list, tuple, dict):
        return "one of " + ", ".join(shown(c) for c in choices) if len(choices) > 1 else shown(choices[0])
    type_names = {
        str: "a text",
        bool: "true or false",
        int: "a whole number",
        float: "a number",
        list: "a list",
    }
    text = type_names.get(get_origin(plain) or plain, "a table")
    if meta and (meta.ge is not None or meta.gt is not None):
        text += f" from {meta.ge:g}" if meta.ge is not None else f" above {meta.gt:g}"
    if meta and meta.le is not None:
        text += f" to {meta.le:g}"
    if meta and meta.max_length is not None:
        text += f" of {meta.max_length} characters at most"
    return text


def shown(value) -> str:
    """A value as messages quote it: one line, 60 characters at most."""
    text = repr(value) if not isinstance(value, str) else '"' + value.encode("unicode_escape").decode() + '"'
    return text if len(text) <= 60 else text[:57] + "..."


def nearest(name: str, known: list[str]) -> str:
    """The end of a message that suggests the most similar known name, "" if none is similar."""
    found = difflib.get_close_matches(name, known, 1)
    return f"; the nearest is {found[0]}" if found else ""


def line_of(text: str, dotted: str) -> int:
    """The line of a dotted key in TOML text, 0 if it is not found; tomllib reports no positions."""
    target, found, section = dotted, 0, ""
    indexes: dict[str, int] = {}
    for number, line in enumerate(text.splitlines(), 1):
        if head := re.match(r"\s*\[(\[?)\s*([\w.\-]+)\s*\]", line):
            section = head[2]
            if head[1]:
                indexes[section] = indexes.get(section, -1) + 1
                section = f"{section}[{indexes[section]}]"
            if section == target:
                return number
            found = number if target.startswith(section + ".") else found
        elif key := re.match(r"\s*([\w.\-]+)\s*=", line):
            full = f"{section}.{key[1]}" if section else key[1]
            if full == target or target.startswith(full + "."):
                return number
    return found

"""Generates docs/configuration.md and an initial operator file from the docstrings of the Structs."""

import json
from typing import get_args, get_origin

import msgspec

from .checks import allowed, struct_of
from .layers import variable
from .schema import FORMAT, Operator

HEAD = """# The operator file

Generated from `ryestack/operator/schema.py` by `make pages`; do not edit it here.

The platform gives a relay what it needs (`LB_CONFIG`, `LB_STATE`). Further settings of an installation are
in an operator file: TOML, named by `--operator` or `RYESTACK_OPERATOR`. Without one every key has its
default, and what the platform forbids is off. The constants of routing decisions cannot be set.

Layers, each overriding the one before: defaults, file, `RYESTACK_...` variables, flags (`--set KEY=VALUE`).
`ryestack config show` prints each value with its origin, `ryestack config init` an initial file,
`ryestack config schema` the JSON Schema, and `ryestack check` reports all faults of a file at once: file,
line, key, the value found, the values allowed, the closest known key. A relay that is started with a fault
exits with status 2.
"""


def toml(value) -> str:
    """A value in TOML syntax."""
    if isinstance(value, bool):
        return "true" if value else "false"
    return json.dumps(msgspec.to_builtins(value))


def default(field: msgspec.structs.FieldInfo):
    return field.default_factory() if field.default is msgspec.NODEFAULT else field.default


def description(kind) -> str:
    """The description in a key's type annotation."""
    return get_args(kind)[1].description or "" if get_args(kind)[1:] and get_origin(kind) else ""


def sections(schema=Operator, prefix: str = "") -> list[tuple[str, str, list]]:
    """(dotted table, its docstring, its fields that are not tables), the top level first."""
    fields = msgspec.structs.fields(schema)
    found = [(prefix, schema.__doc__ or "", [f for f in fields if not struct_of(f.type)])]
    for field in fields:
        if inner := struct_of(field.type):
            found += sections(inner, f"{prefix}.{field.encode_name}".strip("."))
    return found


def page() -> str:
    """The text of docs/configuration.md."""
    parts = [HEAD]
    for name, doc, fields in sections():
        title = f"## `[{name}]`" if name else "## At the top"
        rows = ["| key | default | allowed | meaning | variable |", "| --- | --- | --- | --- | --- |"]
        for f in fields:
            dotted = f"{name}.{f.encode_name}".strip(".")
            cells = (
                f"`{dotted}`",
                f"`{toml(default(f))}`",
                allowed(f.type),
                description(f.type),
                f"`{variable(dotted)}`",
            )
            rows.append("| " + " | ".join(cells) + " |")
        parts.append("\n".join([title, "", doc.strip(), "", *rows, ""]))
    return "\n".join(parts)


def first_file() -> str:
    """An operator file with every key at its default."""
    lines = [f"# ryestack operator file, format {FORMAT}; every key at its default"]
    for name, doc, fields in sections():
        lines += [""] + ([f"[{name}]  # {doc.strip()}"] if name else [])
        for f in fields:
            lines += [f"# {description(f.type)}: {allowed(f.type)}", f"{f.encode_name} = {toml(default(f))}"]
    return "\n".join(lines) + "\n"

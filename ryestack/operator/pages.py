"""docs/configuration.md and a first operator file, from the Structs' own docs."""

import json
from typing import get_args, get_origin

import msgspec

from .checks import allowed, struct_of
from .layers import variable
from .schema import FORMAT, Operator

HEAD = """# The operator file

Made from `ryestack/operator/schema.py` by `make pages`; do not edit it here.

A relay is told by its platform what it needs (`LB_CONFIG`, `LB_STATE`). What an installation chooses
beside that stands in an operator file: TOML, named by `--operator` or `RYESTACK_OPERATOR`. Without one every
key has its default, and what the platform forbids is off. No constant of a decision can be set.

Layers, each over the one before: defaults, the file, `RYESTACK_...` variables, flags (`--set KEY=VALUE`).
`ryestack config show` prints each value with its origin, `ryestack config init` a first file,
`ryestack config schema` the JSON Schema, and `ryestack check` tells all faults of a file at once: file, line,
key, what was found, what is allowed, the nearest known key. A relay that is started with a fault ends with
status 2.
"""


def toml(value) -> str:
    """A value as TOML writes it."""
    if isinstance(value, bool):
        return "true" if value else "false"
    return json.dumps(msgspec.to_builtins(value))


def default(field: msgspec.structs.FieldInfo):
    return field.default_factory() if field.default is msgspec.NODEFAULT else field.default


def told(kind) -> str:
    """What a key's type says of it."""
    return get_args(kind)[1].description or "" if get_args(kind)[1:] and get_origin(kind) else ""


def sections(schema=Operator, prefix: str = "") -> list[tuple[str, str, list]]:
    """(dotted table, its doc, its plain fields), the file's own keys first."""
    fields = msgspec.structs.fields(schema)
    found = [(prefix, schema.__doc__ or "", [f for f in fields if not struct_of(f.type)])]
    for field in fields:
        if inner := struct_of(field.type):
            found += sections(inner, f"{prefix}.{field.encode_name}".strip("."))
    return found


def page() -> str:
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
                told(f.type),
                f"`{variable(dotted)}`",
            )
            rows.append("| " + " | ".join(cells) + " |")
        parts.append("\n".join([title, "", doc.strip(), "", *rows, ""]))
    return "\n".join(parts)


def first_file() -> str:
    lines = [f"# ryestack operator file, format {FORMAT}; every key at its default"]
    for name, doc, fields in sections():
        lines += [""] + ([f"[{name}]  # {doc.strip()}"] if name else [])
        for f in fields:
            lines += [f"# {told(f.type)}: {allowed(f.type)}", f"{f.encode_name} = {toml(default(f))}"]
    return "\n".join(lines) + "\n"

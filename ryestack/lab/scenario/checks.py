"""What is wrong with a scenario: first values by themselves, then what they say together."""

from collections.abc import Iterator

import msgspec

from ...operator.checks import check, keys_of
from .model import Scenario

Said = tuple[str, str]  # dotted key, what is wrong with it


def faults_of(table: dict) -> list[Said]:
    """(dotted key, what is wrong) for each fault, of values first, then of what they say together."""
    if found := check(Scenario, table, list(keys_of(Scenario))):
        return found
    day = msgspec.convert(table, Scenario)
    parts = (_names, _ranges, _struck, _paces, _drawn_faults)
    return [said for part in parts for said in part(day)]


def _names(day: Scenario) -> Iterator[Said]:
    for key in ("group", "topic", "customer"):
        names = [row.name for row in getattr(day, key)]
        for i, name in enumerate(names):
            if names.index(name) != i:
                yield f"{key}[{i}].name", f"{name} is there twice"
        if not names:
            yield key, "must hold one at least"


def _ranges(day: Scenario) -> Iterator[Said]:
    for where, row in _rows(day, ""):
        for field in msgspec.structs.fields(row):
            if _is_range(field.type):
                yield from _range(f"{where}{field.encode_name}", getattr(row, field.name))


def _struck(day: Scenario) -> Iterator[Said]:
    """What faults on the timeline name must be there."""
    groups, topics = {g.name for g in day.group}, {t.name for t in day.topic}
    many = sum(g.count for g in day.group)
    for i, fault in enumerate(day.fault):
        if fault.group and fault.group not in groups:
            yield f"fault[{i}].group", f"there is no group {fault.group}"
        if fault.topic and fault.topic not in topics:
            yield f"fault[{i}].topic", f"there is no topic type {fault.topic}"
        if any(not 0 <= d < many for d in fault.destinations):
            yield f"fault[{i}].destinations", f"must be from 0 to {many - 1}"


def _paces(day: Scenario) -> Iterator[Said]:
    for i, group in enumerate(day.group):
        values = group.service.values
        if group.service.shape == "empirical" and not (values and min(values) > 0.0):
            yield f"group[{i}].service.values", "must hold times above 0 where shape is empirical"


def _drawn_faults(day: Scenario) -> Iterator[Said]:
    least, most = day.random.faults
    if not 0 <= least <= most or (most and not day.random.kinds):
        yield "random.faults", f"found [{least}, {most}], must be least and most, of the kinds named"


def _is_range(kind) -> bool:
    return "float | list[float]" in str(kind)


def _rows(value, where: str) -> Iterator[tuple[str, msgspec.Struct]]:
    """Each struct within a value, with the dotted key before its fields."""
    if isinstance(value, msgspec.Struct):
        yield where, value
        for field in msgspec.structs.fields(value):
            yield from _rows(getattr(value, field.name), f"{where}{field.encode_name}.")
    elif isinstance(value, list):
        for i, row in enumerate(value):
            yield from _rows(row, f"{where.rstrip('.')}[{i}].")


def _range(key: str, value) -> list[Said]:
    low, high = (value[0], value[-1]) if isinstance(value, list) and len(value) == 2 else (value, value)
    if isinstance(low, list) or not 0.0 <= low <= high < 1e9:
        return [(key, f"found {value}, must be a number from 0, or [least, most]")]
    return []

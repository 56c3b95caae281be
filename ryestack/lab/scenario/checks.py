"""Validation of scenarios: each value on its own, then values against each other."""

from collections.abc import Iterator

import msgspec

from ...operator.checks import check, keys_of
from .model import Scenario

Problem = tuple[str, str]  # dotted key, description


def problems_of(table: dict) -> list[Problem]:
    """All problems of a scenario; values are checked against each other once each is valid on its own."""
    if found := check(Scenario, table, list(keys_of(Scenario))):
        return found
    day = msgspec.convert(table, Scenario)
    checks = (_names, _ranges, _fault_targets, _service_times, _drawn_faults)
    return [problem for check_day in checks for problem in check_day(day)]


def _names(day: Scenario) -> Iterator[Problem]:
    for key in ("group", "topic", "customer"):
        names = [row.name for row in getattr(day, key)]
        for i, name in enumerate(names):
            if names.index(name) != i:
                yield f"{key}[{i}].name", f"{name} is defined twice"
        if not names:
            yield key, "must hold at least one"


def _ranges(day: Scenario) -> Iterator[Problem]:
    for prefix, row in _rows(day, ""):
        for field in msgspec.structs.fields(row):
            if _is_range(field.type):
                yield from _range(f"{prefix}{field.encode_name}", getattr(row, field.name))


def _fault_targets(day: Scenario) -> Iterator[Problem]:
    """Groups, topic types and destinations that faults on the timeline refer to must exist."""
    groups, topics = {g.name for g in day.group}, {t.name for t in day.topic}
    count = sum(g.count for g in day.group)
    for i, fault in enumerate(day.fault):
        if fault.group and fault.group not in groups:
            yield f"fault[{i}].group", f"there is no group {fault.group}"
        if fault.topic and fault.topic not in topics:
            yield f"fault[{i}].topic", f"there is no topic type {fault.topic}"
        if any(not 0 <= d < count for d in fault.destinations):
            yield f"fault[{i}].destinations", f"must be from 0 to {count - 1}"


def _service_times(day: Scenario) -> Iterator[Problem]:
    for i, group in enumerate(day.group):
        values = group.service.values
        if group.service.shape == "empirical" and not (values and min(values) > 0.0):
            yield f"group[{i}].service.values", "must hold times above 0 if shape is empirical"


def _drawn_faults(day: Scenario) -> Iterator[Problem]:
    low, high = day.random.faults
    if not 0 <= low <= high or (high and not day.random.kinds):
        yield "random.faults", f"found [{low}, {high}], must be [minimum, maximum], with at least one kind"


def _is_range(kind) -> bool:
    return "float | list[float]" in str(kind)


def _rows(value, prefix: str) -> Iterator[tuple[str, msgspec.Struct]]:
    """Each struct within a value, with the dotted prefix of its keys."""
    if isinstance(value, msgspec.Struct):
        yield prefix, value
        for field in msgspec.structs.fields(value):
            yield from _rows(getattr(value, field.name), f"{prefix}{field.encode_name}.")
    elif isinstance(value, list):
        for i, row in enumerate(value):
            yield from _rows(row, f"{prefix.rstrip('.')}[{i}].")


def _range(key: str, value) -> list[Problem]:
    low, high = (value[0], value[-1]) if isinstance(value, list) and len(value) == 2 else (value, value)
    if isinstance(low, list) or not 0.0 <= low <= high < 1e9:
        return [(key, f"found {value}, must be a number from 0, or [minimum, maximum]")]
    return []

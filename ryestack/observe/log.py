"""Structured log: one line per event of the registry, as text for people or JSON for machines.

Times are UTC with microseconds. Each line has the relay's name and process id. Keys and bodies of
notifications are never logged.
"""

import datetime
import json
import os
import sys
import time

from loguru import logger

from .registry import EVENTS
from .repeats import Repeats

_repeats = Repeats(0.0)
_min_level = 20  # INFO; lines below it are not written


def event(name: str, **fields) -> None:
    """Writes a line at the level that the registry gives; ValueError for a field that it does not list.

    A line that repeats within the period is suppressed and counted, if the registry says so.
    """
    kind = EVENTS[name]
    if fields.keys() - kind.fields:
        raise ValueError(f"event {name} has no field {sorted(fields.keys() - kind.fields)}")
    suppressed = (
        _repeats.record((name, fields.get(kind.repeat_key)), time.monotonic()) if kind.repeat_key else 0
    )
    if suppressed is not None:
        _write(kind, fields, suppressed)


def is_debug_enabled() -> bool:
    """Whether DEBUG lines are written; checked first where building a line would cost a busy relay time."""
    return _min_level <= 10  # DEBUG


def fault(name: str, problem: BaseException | None = None, **fields) -> None:
    """Writes a line with the traceback of that exception, or of the one being handled; never suppressed."""
    _write(EVENTS[name], fields, 0, exception=problem or True)


def flush(now: float | None = None) -> None:
    """Writes the counts of suppressed lines whose period is over."""
    for (name, key), count in _repeats.due(time.monotonic() if now is None else now):
        of = f"{name} {key}" if key is not None else name
        _write(EVENTS["log.repeated"], {"of": of, "count": count}, 0)


def _write(kind, fields: dict, suppressed: int, exception: bool = False) -> None:
    if suppressed:
        fields = {**fields, "repeated": suppressed}
    logger.opt(exception=exception).bind(event=kind.name, fields=fields).log(kind.level, kind.meaning)


def setup(relay: str = "", form: str = "text", level: str = "INFO", period: float = 0.0, sink=None) -> None:
    """Sends all lines to sink (standard error). Called again once the configuration is known.

    form: text or json; period: seconds between repeated lines, 0 to write all.
    """
    global _repeats, _min_level
    _repeats, _min_level = Repeats(period), logger.level(level).no
    format_line = {"text": _text, "json": _json}[form]
    name, process = relay, os.getpid()

    def format_(record) -> str:
        record["extra"]["line"] = format_line(record, name, process)
        return "{extra[line]}\n" + ("{exception}" if form == "text" else "")

    logger.remove()
    logger.add(sink or sys.stderr, format=format_, level=level, diagnose=False, backtrace=False)


def _timestamp(record) -> str:
    return record["time"].astimezone(datetime.UTC).strftime("%Y-%m-%dT%H:%M:%S.%fZ")


def _text(record, relay: str, process: int) -> str:
    extra = record["extra"]
    fields = " ".join(f"{k}={_quoted(v)}" for k, v in extra.get("fields", {}).items())
    head = (
        f"{_timestamp(record)} {record['level'].name:<8} {relay or '-'}[{process}] {extra.get('event', '-')}"
    )
    return f"{head} {fields}" if fields else head


def _quoted(value) -> str:
    if isinstance(value, dict):
        return ",".join(f"{k}:{v}" for k, v in sorted(value.items())) or "none"
    text = str(value)
    return text if text and text.isprintable() and not set(' "=') & set(text) else json.dumps(text)


def _json(record, relay: str, process: int) -> str:
    extra = record["extra"]
    row = {
        "time": _timestamp(record),
        "level": record["level"].name,
        "event": extra.get("event", ""),
        "relay": relay,
        "pid": process,
        **extra.get("fields", {}),
    }
    if record["exception"] is not None:
        import traceback  # imported on use: tracebacks are rare, and the relay starts with little

        row["traceback"] = "".join(traceback.format_exception(record["exception"].value))
    return json.dumps(row, default=str, separators=(",", ":"))

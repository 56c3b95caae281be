"""The structured log: one line an event of the registry, as text for people or JSON for machines.

Times are UTC with microseconds. Each line holds the relay's name and process id. Keys and bodies never go in.
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
_least = 20  # the level below which nothing is written


def event(name: str, **fields) -> None:
    """Write a line; the registry gives its level. Fields it does not name are a fault of the program."""
    kind = EVENTS[name]
    if fields.keys() - kind.fields:
        raise ValueError(f"event {name} has no field {sorted(fields.keys() - kind.fields)}")
    held = _repeats.hear((name, fields.get(kind.about)), time.monotonic()) if kind.about else 0
    if held is not None:
        _write(kind, fields, held)


def is_debug_enabled() -> bool:
    """Whether each notification and push is told: asked first, where telling would cost a busy relay time."""
    return _least <= 10


def fault(name: str, problem: BaseException | None = None, **fields) -> None:
    """The same, with the traceback of that exception, or of the one at hand; never kept back."""
    _write(EVENTS[name], fields, 0, exception=problem or True)


def flush(now: float | None = None) -> None:
    """Write the counts of lines kept back whose period is over."""
    for (name, about), count in _repeats.due(time.monotonic() if now is None else now):
        of = f"{name} {about}" if about is not None else name
        _write(EVENTS["log.repeated"], {"of": of, "count": count}, 0)


def _write(kind, fields: dict, held: int, exception: bool = False) -> None:
    if held:
        fields = {**fields, "repeated": held}
    logger.opt(exception=exception).bind(event=kind.name, fields=fields).log(kind.level, kind.meaning)


def setup(relay: str = "", form: str = "text", level: str = "INFO", period: float = 0.0, sink=None) -> None:
    """Send all lines to sink (standard error), which may be called again once more is known.

    form: text or json; period: seconds between equal lines, 0 for all.
    """
    global _repeats, _least
    _repeats, _least = Repeats(period), logger.level(level).no
    lines = {"text": _text, "json": _json}[form]
    name, process = relay, os.getpid()

    def format_(record) -> str:
        record["extra"]["line"] = lines(record, name, process)
        return "{extra[line]}\n" + ("{exception}" if form == "text" else "")

    logger.remove()
    logger.add(sink or sys.stderr, format=format_, level=level, diagnose=False, backtrace=False)


def _when(record) -> str:
    return record["time"].astimezone(datetime.UTC).strftime("%Y-%m-%dT%H:%M:%S.%fZ")


def _text(record, relay: str, process: int) -> str:
    extra = record["extra"]
    told = " ".join(f"{k}={_word(v)}" for k, v in extra.get("fields", {}).items())
    head = f"{_when(record)} {record['level'].name:<8} {relay or '-'}[{process}] {extra.get('event', '-')}"
    return f"{head} {told}" if told else head


def _word(value) -> str:
    if isinstance(value, dict):
        return ",".join(f"{k}:{v}" for k, v in sorted(value.items())) or "none"
    text = str(value)
    return text if text and text.isprintable() and not set(' "=') & set(text) else json.dumps(text)


def _json(record, relay: str, process: int) -> str:
    extra = record["extra"]
    row = {
        "time": _when(record),
        "level": record["level"].name,
        "event": extra.get("event", ""),
        "relay": relay,
        "pid": process,
        **extra.get("fields", {}),
    }
    if record["exception"] is not None:
        import traceback  # only here: a traceback is rare, and `run` is lean

        row["traceback"] = "".join(traceback.format_exception(record["exception"].value))
    return json.dumps(row, default=str, separators=(",", ":"))

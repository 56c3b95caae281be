"""Translates the bench's lines (names, milliseconds) to the interface's types (seconds), and back."""

import json

from .. import interface
from ..settings import MAX_RATE, BadSettings, limit_left_of, limit_of, read_settings

RESULTS = {
    "OK": interface.Result.DELIVERED,
    "INTERNAL": interface.Result.ERROR,
    "RESOURCE_EXHAUSTED": interface.Result.FULL,
    "DEADLINE_EXCEEDED": interface.Result.TIMED_OUT,
    "UNAVAILABLE": interface.Result.NO_CONNECTION,
    "ABORTED": interface.Result.BROKEN,
    "CANCELLED": interface.Result.CANCELLED,
    "TOO_LATE": interface.Result.NOT_SENT,
}
STATUSES = {
    1: interface.EndpointStatus.READY,
    2: interface.EndpointStatus.DRAINING,
    0: interface.EndpointStatus.GONE,
}
SCOPES = (0, 1, 2, 3)  # delta, full, cached, failed


class BadLine(Exception):
    """An input line cannot be read; the text gives its number and the reason."""


class Fields:
    """The values of one line, read in order and checked for their type."""

    def __init__(self, values: list, line: int):
        self.name, self.values, self.line, self.position = values[0], values, line, 0

    def error(self, why: str) -> BadLine:
        return BadLine(f"line {self.line}: {self.name}: {why}")

    def next(self, what: str, kinds, default=...):
        self.position += 1
        value = self.values[self.position] if self.position < len(self.values) else None
        if value is None:
            if default is ...:
                raise self.error(f"{what} is missing")
            return default
        if not isinstance(value, kinds) or isinstance(value, bool) and kinds is not bool:
            raise self.error(f"{what} has the wrong type: {value!r}")
        return value

    def seconds(self, what: str, default=...) -> float:
        value = self.next(what, (int, float), default)
        return value / 1000.0 if value is not None else value

    def result(self) -> interface.Result:
        code = self.next("stateCode", str)
        if code not in RESULTS:
            raise self.error(f"unknown code {code!r}")
        return RESULTS[code]

    def report(self) -> dict:
        return self.next("pressure", dict, {})


def read_line(text: bytes, line: int) -> Fields:
    try:
        values = json.loads(text)
    except (ValueError, RecursionError):
        raise BadLine(f"line {line}: not JSON") from None
    if not isinstance(values, list) or not values or not isinstance(values[0], str):
        raise BadLine(f"line {line}: not an array that begins with a name")
    return Fields(values, line)


def settings_of(fields: Fields) -> interface.Settings:
    try:
        return read_settings(fields.next("options", dict))
    except BadSettings as problem:
        raise fields.error(str(problem)) from None


def read_rows(fields: Fields) -> tuple[interface.Endpoint, ...]:
    rows = []
    for row in fields.next("rows", list):
        if not isinstance(row, list):
            raise fields.error("an entry is not an array")
        entry = Fields([f"{fields.name} entry", *row], fields.line)
        name, zone = entry.next("endpoint", str), entry.next("dc", str)
        kind, cell = entry.next("generationHw", str), entry.next("cell", int)
        state = entry.next("stageState", int)
        if state not in STATUSES:
            raise entry.error(f"unknown stageState {state}")
        rate = entry.next("weight", (int, float), 1.0)
        rate = float(rate) if 0.0 <= rate <= MAX_RATE else 1.0  # an unusable rate counts as not given
        rows.append(interface.Endpoint(name, zone, kind, cell, STATUSES[state], rate))
    return tuple(rows)


def read_incoming(fields: Fields) -> interface.Notification:
    name, due = fields.next("id", str), fields.seconds("dueMs")
    party = fields.next("party", (str, int), "")
    cell, topic = fields.next("receiverNo", int), fields.next("cls", str)
    fields.next("again", bool, False)
    fields.next("costGuessMs", (int, float), None)
    fields.next("isWrite", bool, False)
    return interface.Notification(name, due, cell, topic, str(party), fields.next("resource", str, ""))


def read_reply(fields: Fields) -> interface.Outcome:
    name, push, endpoint = fields.next("id", str), fields.next("attempt", int), fields.next("endpoint", str)
    result, elapsed = fields.result(), fields.seconds("elapsedMs")
    ended, detail = fields.next("noMore", bool, False), fields.next("detail", int, 0)
    wait = detail / 1000.0 if result is interface.Result.FULL else 0.0
    report = fields.report()
    limit, limit_left = limit_of(report), limit_left_of(report)
    return interface.Outcome(name, push, endpoint, result, elapsed, ended, wait, limit, limit_left=limit_left)


def _timer(fields: Fields) -> interface.TimerFired:
    fields.next("cookie", int)
    return interface.TimerFired()


def _ignore(fields: Fields) -> None:
    return None


EVENTS = {
    "Incoming": read_incoming,
    "Reply": read_reply,
    "ClientGone": lambda fields: interface.Withdrawn(fields.next("id", str)),
    "Timer": _timer,
    "Accepted": _ignore,
    "Sampled": _ignore,
    "Whisper": _ignore,
}

ACTIONS = {  # the bench starts each call at once, so that CancelUnsent has nothing to cancel
    interface.Push: lambda relay, action: [
        "Route",
        relay,
        action.id,
        action.endpoint,
        round(action.timeout * 1000.0, 3),
    ],
    interface.Cancel: lambda relay, action: ["DropAttempt", relay, action.id, action.push],
    interface.CloseIdleConnections: lambda relay, action: ["HangUp", relay, action.endpoint],
    interface.Throttle: lambda relay, action: [
        "Decline",
        relay,
        action.id,
        round(action.retry_after * 1000.0, 3),
    ],
    interface.Expire: lambda relay, action: ["Error", relay, action.id],
    interface.SetTimer: lambda relay, action: ["Schedule", relay, round(action.after * 1000.0, 3), 0],
    interface.AskForList: lambda relay, action: ["Subscribe", relay, True],
}


def write(relay: int, action: interface.Action) -> str:
    return json.dumps(ACTIONS[type(action)](relay, action), separators=(",", ":"))


def write_line(*values) -> str:
    return json.dumps(values, separators=(",", ":"))

"""The bench's words and milliseconds to the interface's, and back."""

import json

from .. import interface as it
from ..settings import MAX_RATE, BadSettings, limit_left_of, limit_of, read_settings

RESULTS = {
    "OK": it.Result.DELIVERED,
    "INTERNAL": it.Result.ERROR,
    "RESOURCE_EXHAUSTED": it.Result.FULL,
    "DEADLINE_EXCEEDED": it.Result.TIMED_OUT,
    "UNAVAILABLE": it.Result.NO_CONNECTION,
    "ABORTED": it.Result.BROKEN,
    "CANCELLED": it.Result.CANCELLED,
    "TOO_LATE": it.Result.NOT_SENT,
}
LISTED = {1: it.EndpointStatus.READY, 2: it.EndpointStatus.DRAINING, 0: it.EndpointStatus.GONE}
SCOPES = (0, 1, 2, 3)  # delta, full, cached, failed


class BadLine(Exception):
    """A line of the wire that cannot be read; the text says which and why."""


class Fields:
    """One line's values, read in order with the type that each must have."""

    def __init__(self, values: list, line: int):
        self.name, self.values, self.line, self.at = values[0], values, line, 0

    def bad(self, why: str) -> BadLine:
        return BadLine(f"line {self.line}: {self.name}: {why}")

    def next(self, what: str, kinds, default=...):
        self.at += 1
        value = self.values[self.at] if self.at < len(self.values) else None
        if value is None:
            if default is ...:
                raise self.bad(f"{what} is missing")
            return default
        if not isinstance(value, kinds) or isinstance(value, bool) and kinds is not bool:
            raise self.bad(f"{what} has the wrong type: {value!r}")
        return value

    def seconds(self, what: str, default=...) -> float:
        value = self.next(what, (int, float), default)
        return value / 1000.0 if value is not None else value

    def result(self) -> it.Result:
        code = self.next("stateCode", str)
        if code not in RESULTS:
            raise self.bad(f"unknown code {code!r}")
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


def settings_of(fields: Fields) -> it.Settings:
    try:
        return read_settings(fields.next("options", dict))
    except BadSettings as bad:
        raise fields.bad(str(bad)) from None


def read_rows(fields: Fields) -> tuple[it.Endpoint, ...]:
    rows = []
    for row in fields.next("rows", list):
        if not isinstance(row, list):
            raise fields.bad("an entry is not an array")
        entry = Fields([f"{fields.name} entry", *row], fields.line)
        name, zone = entry.next("endpoint", str), entry.next("dc", str)
        kind, cell = entry.next("generationHw", str), entry.next("cell", int)
        state = entry.next("stageState", int)
        if state not in LISTED:
            raise entry.bad(f"unknown stageState {state}")
        rate = entry.next("weight", (int, float), 1.0)
        rate = float(rate) if 0.0 <= rate <= MAX_RATE else 1.0  # odd figures count as none told
        rows.append(it.Endpoint(name, zone, kind, cell, LISTED[state], rate))
    return tuple(rows)


def read_incoming(f: Fields) -> it.Notification:
    name, due = f.next("id", str), f.seconds("dueMs")
    party = f.next("party", (str, int), "")
    cell, topic = f.next("receiverNo", int), f.next("cls", str)
    f.next("again", bool, False)
    f.next("costGuessMs", (int, float), None)
    f.next("isWrite", bool, False)
    return it.Notification(name, due, cell, topic, str(party), f.next("resource", str, ""))


def read_reply(f: Fields) -> it.Outcome:
    name, push, endpoint = f.next("id", str), f.next("attempt", int), f.next("endpoint", str)
    result, elapsed = f.result(), f.seconds("elapsedMs")
    ended, detail = f.next("noMore", bool, False), f.next("detail", int, 0)
    wait = detail / 1000.0 if result is it.Result.FULL else 0.0
    told = f.report()
    limit, left = limit_of(told), limit_left_of(told)
    return it.Outcome(name, push, endpoint, result, elapsed, ended, wait, limit, limit_left=left)


def _woken(f: Fields) -> it.TimerFired:
    f.next("cookie", int)
    return it.TimerFired()


def _pass_over(f: Fields) -> None:
    return None


EVENTS = {
    "Incoming": read_incoming,
    "Reply": read_reply,
    "ClientGone": lambda f: it.Withdrawn(f.next("id", str)),
    "Timer": _woken,
    "Accepted": _pass_over,
    "Sampled": _pass_over,
    "Whisper": _pass_over,
}

ACTIONS = {  # here a call begins at once: there is none to call off
    it.Push: lambda r, a: ["Route", r, a.id, a.endpoint, round(a.timeout * 1000.0, 3)],
    it.Cancel: lambda r, a: ["DropAttempt", r, a.id, a.push],
    it.CloseIdleConnections: lambda r, a: ["HangUp", r, a.endpoint],
    it.Throttle: lambda r, a: ["Decline", r, a.id, round(a.retry_after * 1000.0, 3)],
    it.Expire: lambda r, a: ["Error", r, a.id],
    it.SetTimer: lambda r, a: ["Schedule", r, round(a.after * 1000.0, 3), 0],
    it.AskForList: lambda r, a: ["Subscribe", r, True],
}


def write(relay: int, action: it.Action) -> str:
    return json.dumps(ACTIONS[type(action)](relay, action), separators=(",", ":"))


def write_line(*values) -> str:
    return json.dumps(values, separators=(",", ":"))

"""The bench's words and milliseconds to the interface's, and back."""

import json

from .. import interface as it

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
LISTED = {1: it.Listed.READY, 2: it.Listed.DRAINING, 0: it.Listed.GONE}
EFFECTS = {"safe": it.Effect.REPEATABLE, "keyed": it.Effect.COLLAPSIBLE, "unsafe": it.Effect.ONCE_ONLY}
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

    def limit(self) -> float:
        told = self.next("pressure", dict, {}).get("x1")
        return float(told) if isinstance(told, (int, float)) else 0.0


def read_line(text: bytes, line: int) -> Fields:
    try:
        values = json.loads(text)
    except (ValueError, RecursionError):
        raise BadLine(f"line {line}: not JSON") from None
    if not isinstance(values, list) or not values or not isinstance(values[0], str):
        raise BadLine(f"line {line}: not an array that begins with a name")
    return Fields(values, line)


def read_settings(options: dict, fields: Fields) -> it.Settings:
    """Settings from `options`; unknown keys are passed over, a missing required one is named."""

    def need(table, key, kinds=(int, float), where="options"):
        value = table.get(key) if isinstance(table, dict) else None
        if not isinstance(value, kinds):
            raise fields.bad(f"{where}.{key} is missing or has the wrong type")
        return value

    allowed, rules = need(options, "allowed", dict), need(options, "rules", dict)
    specifics = need(options, "specifics", dict)
    kinds = need(options, "kinds", list)
    apart, batch = specifics.get("routesApart") or [], specifics.get("kindBatch") or []

    def span(table, key, where, default=None):
        if default is not None and table.get(key) is None:
            return default
        return need(table, key, where=where) / 1000.0

    def topic(row):
        effect = need(row, "effect", str, "grades[]")
        if effect not in EFFECTS:
            raise fields.bad(f"grades[].effect {effect!r} is unknown")
        return it.TopicType(
            name=need(row, "name", str, "grades[]"),
            effect=EFFECTS[effect],
            objective=span(row, "targetMs", "grades[]"),
            ttl=span(row, "deadlineMs", "grades[]"),
            benefit=row.get("credit", 1.0),
            late_share=row.get("lateShare", 0.0),
            group=row.get("group") or "all",
            window=span(row, "windowMs", "grades[]", 0.0),
            keep_order=row.get("keepOrder") is True,
        )

    return it.Settings(
        topic_types=tuple(topic(row) for row in need(options, "grades", list)),
        customers=tuple(
            it.Customer(need(row, "name", str, "projects[]"), row.get("quotaPerS", 0.0))
            for row in options.get("projects") or []
        ),
        kinds=tuple(
            it.Kind(name, bool(apart[i : i + 1] == [True]), (batch[i : i + 1] or [1])[0])
            for i, name in enumerate(kinds)
        ),
        rules=it.Rules(
            cold_share=need(rules, "coldShare", where="rules"),
            cold_time=span(rules, "coldMs", "rules"),
            overload_factor=need(rules, "overloadFactor", where="rules"),
            fall_time=span(rules, "fallMs", "rules"),
            key_rest=span(rules, "keyRestMs", "rules", 0.0),
        ),
        slots=need(specifics, "callSlots", int, "specifics"),
        max_open=need(allowed, "maxOpen", int, "allowed"),
        relays=options.get("balancers") or 1,
        over_share_benefit=options.get("overShareWorth", 1.0),
        late=it.Late.HALVES if specifics.get("late") == "halves" else it.Late.LINE,
        told_rates=options.get("weights") in ("nominal", "rough"),
        rough_rates=options.get("weights") == "rough",
        max_pushes=need(allowed, "maxAttempts", int, "allowed"),
        may_cancel=allowed.get("mayCancel") is True,
        max_come_back=span(allowed, "maxRetryAfterMs", "allowed", 0.0) if allowed.get("retryAfter") else 0.0,
        asks_for_list=options.get("discovery") == "ask",
        connection_idle=span(allowed, "connIdleMs", "allowed", 0.0),
    )


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
        rows.append(it.Endpoint(name, zone, kind, cell, LISTED[state], float(rate)))
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
    return it.Outcome(name, push, endpoint, result, elapsed, ended, wait, f.limit())


def _woken(f: Fields) -> it.Woken:
    f.next("cookie", int)
    return it.Woken()


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

ACTIONS = {
    it.Push: lambda r, a: ["Route", r, a.id, a.endpoint, round(a.timeout * 1000.0, 3)],
    it.Cancel: lambda r, a: ["DropAttempt", r, a.id, a.push],
    it.Throttle: lambda r, a: ["Decline", r, a.id, round(a.come_back * 1000.0, 3)],
    it.Expire: lambda r, a: ["Error", r, a.id],
    it.Wake: lambda r, a: ["Schedule", r, round(a.after * 1000.0, 3), 0],
    it.AskForList: lambda r, a: ["Subscribe", r, True],
}


def write(relay: int, action: it.Action) -> str:
    return json.dumps(ACTIONS[type(action)](relay, action), separators=(",", ":"))


def write_line(*values) -> str:
    return json.dumps(values, separators=(",", ":"))

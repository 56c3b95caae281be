"""The settings that a relay is told when it starts, from their JSON object: the bench's first message
holds it, and so does a live relay's configuration.
"""

from math import inf

from . import interface as it

GROUPS = ("all", "zone", "cell")  # cell: no deployment has it; it gets no repeat
MAX_RATE = 1e9  # calls a second: what tells more cannot be read
EFFECTS = {"safe": it.Effect.REPEATABLE, "keyed": it.Effect.COLLAPSIBLE, "unsafe": it.Effect.ONCE_ONLY}


class BadSettings(Exception):
    """Settings that cannot be used; the text names the key."""


class InconsistentSettings(BadSettings):
    """Settings of which each can be read, but that do not go together."""


def read_settings(options: dict) -> it.Settings:
    """Settings from `options`; unknown keys are passed over, a missing required one is named."""
    allowed, rules = _need(options, "allowed", dict), _need(options, "rules", dict)
    specifics = _need(options, "specifics", dict)
    names = _need(options, "kinds", list)
    return it.Settings(
        topic_types=tuple(_topic_type(row) for row in _need(options, "grades", list)),
        customers=tuple(_customer(row) for row in options.get("projects") or []),
        kinds=_kinds(names, specifics),
        rules=_rules(rules),
        slots=_need(specifics, "callSlots", int, "specifics"),
        max_open=_need(allowed, "maxOpen", int, "allowed"),
        relays=_number(options, "balancers", "options", 1) or 1,
        over_share_benefit=_number(options, "overShareWorth", "options", 1.0),
        late_benefit=it.LateBenefit.HALVES if specifics.get("late") == "halves" else it.LateBenefit.LINE,
        list_has_rates=options.get("weights") in ("nominal", "rough"),
        rough_rates=options.get("weights") == "rough",
        max_pushes=_above_0(_need(allowed, "maxAttempts", int, "allowed"), "allowed.maxAttempts"),
        may_cancel=allowed.get("mayCancel") is True,
        max_retry_after=_seconds(allowed, "maxRetryAfterMs", "allowed", 0.0)
        if allowed.get("retryAfter")
        else 0.0,
        asks_for_list=options.get("discovery") == "ask",
        connection_idle=_seconds(allowed, "connIdleMs", "allowed", 0.0),
        connect_timeout=_seconds(allowed, "connectTimeoutMs", "allowed", 0.0),
        quantum=_seconds(options, "quantumMs", "options", 0.0),
    )


def _need(table, key: str, kinds=(int, float), where: str = "options"):
    """A value that must be there and of that kind; a number must be finite and not below 0."""
    value = table.get(key) if isinstance(table, dict) else None
    wrong = not isinstance(value, kinds) or isinstance(value, bool)
    if wrong or (isinstance(value, (int, float)) and not 0.0 <= value < inf):
        raise BadSettings(f"{where}.{key} is missing or has the wrong type")
    return value


def _above_0(value, key: str):
    if value <= 0:
        raise BadSettings(f"{key} must be above 0")
    return value


def _number(table: dict, key: str, where: str, default):
    return default if table.get(key) is None else _need(table, key, where=where)


def _seconds(table: dict, key: str, where: str, default: float | None = None) -> float:
    """From milliseconds; without a default the key must be there."""
    if default is not None and table.get(key) is None:
        return default
    return _need(table, key, where=where) / 1000.0


def _topic_type(row) -> it.TopicType:
    effect = _need(row, "effect", str, "grades[]")
    if effect not in EFFECTS:
        raise BadSettings(f"grades[].effect {effect!r} is unknown")
    return it.TopicType(
        name=_need(row, "name", str, "grades[]"),
        effect=EFFECTS[effect],
        objective=_seconds(row, "targetMs", "grades[]"),
        ttl=_above_0(_seconds(row, "deadlineMs", "grades[]"), "grades[].deadlineMs"),
        benefit=_number(row, "credit", "grades[]", 1.0),
        late_share=_number(row, "lateShare", "grades[]", 0.0),
        group=row.get("group") or "all",
        window=_seconds(row, "windowMs", "grades[]", 0.0),
        keep_order=row.get("keepOrder") is True,
    )


def _customer(row) -> it.Customer:
    return it.Customer(_need(row, "name", str, "projects[]"), _number(row, "quotaPerS", "projects[]", 0.0))


def _kinds(names: list, specifics: dict) -> tuple[it.Kind, ...]:
    """Lists beside the names may be shorter, or not there."""
    apart, batch = specifics.get("routesApart") or [], specifics.get("kindBatch") or []
    return tuple(
        it.Kind(name, bool(apart[i : i + 1] == [True]), (batch[i : i + 1] or [1])[0])
        for i, name in enumerate(names)
    )


def _rules(rules: dict) -> it.Rules:
    return it.Rules(
        cold_share=_need(rules, "coldShare", where="rules"),
        cold_time=_seconds(rules, "coldMs", "rules"),
        overload_factor=_need(rules, "overloadFactor", where="rules"),
        fall_time=_seconds(rules, "fallMs", "rules"),
        key_rest=_seconds(rules, "keyRestMs", "rules", 0.0),
    )


def first_missing_key(new, old, where: str = "") -> str:
    """The first key that old has and new lacks, "" if none; in rows of a list, one that all alike have."""
    if isinstance(old, dict):
        for key, value in old.items():
            at = f"{where}.{key}" if where else key
            if value is not None and (not isinstance(new, dict) or new.get(key) is None):
                return at
            if deeper := first_missing_key(new.get(key), value, at):
                return deeper
    elif (
        isinstance(old, list) and isinstance(new, list) and all(isinstance(row, dict) for row in [*old, *new])
    ):
        for row in new:
            alike = [o for o in old if o.get("effect") == row.get("effect")] or old
            common = [key for key in (alike[0] if alike else ()) if all(key in o for o in alike)]
            if gone := [
                key for key in common if row.get(key) is None and all(o[key] is not None for o in alike)
            ]:
                return f"{where}[].{gone[0]}"
    return ""


def check_shape(options: dict) -> None:
    """Refuses settings that mix two shapes of deployment: each would be read, and one passed over unseen."""

    def refuse(key, why):
        raise InconsistentSettings(f"options.{key} {why}")

    specifics, zones = options.get("specifics") or {}, options.get("zones") or []
    report = options.get("report") or {}
    if report.get("source") == "silent" and report.get("names"):
        refuse("report.names", "names values, but report.source is silent")
    if (options.get("blend") or {}).get("worstTenant") and not options.get("projects"):
        refuse("blend.worstTenant", "counts customers, but projects names none")
    if options.get("discovery") not in (None, "push", "ask"):
        refuse("discovery", f"is {options['discovery']!r}, must be push or ask")
    for row in options.get("grades") or []:
        group = row.get("group") or "all"
        if group not in GROUPS:
            refuse("grades[].group", f"is {group!r}, must be one of {', '.join(GROUPS)}")
        if row.get("effect") == "keyed" and group == "zone":
            if not row.get("windowMs"):
                refuse("grades[].windowMs", "is missing, but grades[].group is zone")
            if len(zones) < 2:
                refuse("zones", "must name two or more, as grades[].group is zone")
    counted = {"routesApart": "kinds", "kindBatch": "kinds", "feeByZone": "zones"}
    for key, of in counted.items():
        found, wanted = specifics.get(key), options.get(of) or []
        if found and len(found) != len(wanted):
            refuse(f"specifics.{key}", f"has {len(found)} entries, but {of} has {len(wanted)}")


def limit_of(report: dict) -> float:
    """The limit in calls a second that an answer's report tells, 0 if none."""
    told = report.get("x1")
    return float(told) if type(told) in (int, float) and 0.0 < told <= MAX_RATE else 0.0


def limit_left_of(report: dict) -> float:
    """The share of that limit which is left, 1 if none is told: a share alone says nothing."""
    told = report.get("x0")
    return float(told) if type(told) in (int, float) and 0.0 <= told <= 1.0 and limit_of(report) else 1.0

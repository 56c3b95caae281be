"""Reads a relay's settings from their JSON object.

The object is part of a relay's configuration file, and of the bench's first message.
"""

from math import inf

from . import interface

# Which endpoints collapse the repeat of a collapsible notification. No deployment uses "cell": no repeats.
GROUPS = ("all", "zone", "cell")
MAX_RATE = 1e9  # calls a second; a larger value counts as not readable
EFFECTS = {
    "safe": interface.Effect.REPEATABLE,
    "keyed": interface.Effect.COLLAPSIBLE,
    "unsafe": interface.Effect.ONCE_ONLY,
}


class BadSettings(Exception):
    """The settings cannot be used; the text names the key."""


class InconsistentSettings(BadSettings):
    """Each setting can be read, but they do not fit together."""


def read_settings(options: dict) -> interface.Settings:
    """Settings from `options`; unknown keys are ignored. Raises BadSettings, which names a missing key."""
    allowed, rules = _need(options, "allowed", dict), _need(options, "rules", dict)
    specifics = _need(options, "specifics", dict)
    names = _need(options, "kinds", list)
    return interface.Settings(
        topic_types=tuple(_topic_type(row) for row in _need(options, "grades", list)),
        customers=tuple(_customer(row) for row in options.get("projects") or []),
        kinds=_kinds(names, specifics),
        rules=_rules(rules),
        slots=_need(specifics, "callSlots", int, "specifics"),
        max_open=_need(allowed, "maxOpen", int, "allowed"),
        relays=_number(options, "balancers", "options", 1) or 1,
        over_share_benefit=_number(options, "overShareWorth", "options", 1.0),
        late_benefit=interface.LateBenefit.HALVES
        if specifics.get("late") == "halves"
        else interface.LateBenefit.LINE,
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
    """A required value of one of the given types; a number must be finite and not negative."""
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
    """Seconds from a value in milliseconds; without a default the key is required."""
    if default is not None and table.get(key) is None:
        return default
    return _need(table, key, where=where) / 1000.0


def _topic_type(row) -> interface.TopicType:
    effect = _need(row, "effect", str, "grades[]")
    if effect not in EFFECTS:
        raise BadSettings(f"grades[].effect {effect!r} is unknown")
    return interface.TopicType(
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


def _customer(row) -> interface.Customer:
    return interface.Customer(
        _need(row, "name", str, "projects[]"), _number(row, "quotaPerS", "projects[]", 0.0)
    )


def _kinds(names: list, specifics: dict) -> tuple[interface.Kind, ...]:
    """Kinds of destinations; the lists that run parallel to the names may be shorter or missing."""
    per_route, batch = specifics.get("routesApart") or [], specifics.get("kindBatch") or []
    return tuple(
        interface.Kind(name, bool(per_route[i : i + 1] == [True]), (batch[i : i + 1] or [1])[0])
        for i, name in enumerate(names)
    )


def _rules(rules: dict) -> interface.Rules:
    return interface.Rules(
        cold_share=_need(rules, "coldShare", where="rules"),
        cold_time=_seconds(rules, "coldMs", "rules"),
        overload_factor=_need(rules, "overloadFactor", where="rules"),
        fall_time=_seconds(rules, "fallMs", "rules"),
        key_rest=_seconds(rules, "keyRestMs", "rules", 0.0),
    )


def first_missing_key(new, old, where: str = "") -> str:
    """The path of the first key that `old` has and `new` lacks, "" if none.

    In a list of rows, a key counts if all old rows with the same effect have it.
    """
    if isinstance(old, dict):
        for key, value in old.items():
            path = f"{where}.{key}" if where else key
            if value is not None and (not isinstance(new, dict) or new.get(key) is None):
                return path
            if missing := first_missing_key(new.get(key), value, path):
                return missing
    elif (
        isinstance(old, list) and isinstance(new, list) and all(isinstance(row, dict) for row in [*old, *new])
    ):
        for row in new:
            similar = [each for each in old if each.get("effect") == row.get("effect")] or old
            common = [key for key in (similar[0] if similar else ()) if all(key in each for each in similar)]
            if gone := [
                key
                for key in common
                if row.get(key) is None and all(each[key] is not None for each in similar)
            ]:
                return f"{where}[].{gone[0]}"
    return ""


def check_shape(options: dict) -> None:
    """Raises InconsistentSettings if the settings mix two shapes of deployment.

    Each of them could be read, and one would be ignored without notice.
    """

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
    parallel = {"routesApart": "kinds", "kindBatch": "kinds", "feeByZone": "zones"}
    for key, names_key in parallel.items():
        found, wanted = specifics.get(key), options.get(names_key) or []
        if found and len(found) != len(wanted):
            refuse(f"specifics.{key}", f"has {len(found)} entries, but {names_key} has {len(wanted)}")


def limit_of(report: dict) -> float:
    """The rate limit that an answer reports, in calls a second; 0 if none."""
    limit = report.get("x1")
    return float(limit) if type(limit) in (int, float) and 0.0 < limit <= MAX_RATE else 0.0


def limit_left_of(report: dict) -> float:
    """The share of the reported limit that is left; 1 if not reported, or without a limit."""
    left = report.get("x0")
    return float(left) if type(left) in (int, float) and 0.0 <= left <= 1.0 and limit_of(report) else 1.0

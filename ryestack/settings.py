"""The settings that a relay is told when it starts, from their JSON object: the bench's first message
holds it, and so does a live relay's configuration.
"""

from . import interface as it

MOST_RATE = 1e9  # calls a second: what tells more cannot be read
EFFECTS = {"safe": it.Effect.REPEATABLE, "keyed": it.Effect.COLLAPSIBLE, "unsafe": it.Effect.ONCE_ONLY}


class BadSettings(Exception):
    """Settings that cannot be used; the text names the key."""


def read_settings(options: dict) -> it.Settings:
    """Settings from `options`; unknown keys are passed over, a missing required one is named."""

    def need(table, key, kinds=(int, float), where="options"):
        value = table.get(key) if isinstance(table, dict) else None
        if not isinstance(value, kinds):
            raise BadSettings(f"{where}.{key} is missing or has the wrong type")
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
            raise BadSettings(f"grades[].effect {effect!r} is unknown")
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
        connect_timeout=span(allowed, "connectTimeoutMs", "allowed", 0.0),
        quantum=span(options, "quantumMs", "options", 0.0),
    )


def limit_of(report: dict) -> float:
    """The limit in calls a second that an answer's report tells, 0 if none."""
    told = report.get("x1")
    return float(told) if isinstance(told, (int, float)) and 0.0 < told <= MOST_RATE else 0.0


def left_of(report: dict) -> float:
    """The share of that limit which is left, 1 if none is told: a share alone says nothing."""
    told = report.get("x0")
    return float(told) if isinstance(told, (int, float)) and 0.0 <= told <= 1.0 and limit_of(report) else 1.0

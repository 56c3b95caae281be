"""What a decision module has learned, as plain values, for the process after it. Pure.

Times are of the machine's monotonic clock, which both processes of an upgrade read. The format is read and
written by older builds too: stored keys stay as they are, whatever the attributes are called.
"""

from math import inf

from .. import interface
from ..brain import Brain
from ..brain.estimators import DecayingRate, DurationHistogram, FailureCounter, RefusalCostDetector
from ..brain.health import Health
from ..brain.rate_limiter import RateLimiter
from ..brain.routes import Destination, Route

LEFT_OUT = "left_out"  # key beside the exported state: how many routes the folder had no room for
LIST = "list"  # key of the endpoint list beside the exported state, for a successor; older builds ignore it
# Class -> stored key -> attribute.
KEPT = {
    Route: {
        "state": "state",
        "until": "open_until",
        "silent": "may_have_run",
        "mute": "unanswered",
        "good_at": "delivered_sent",
        "lanes": "avoided_topics",
    },
    RateLimiter: {
        "told": "reported_rate",
        "rough": "rate_error",
        "tokens": "tokens",
        "at": "refilled_at",
        "back": "backoff",
        "refusals": "refusals",
        "hungry": "last_call_at",
        "bad_since": "failing_since",
        "cold": "cold_since",
        "wait_until": "wait_until",
        "ease": "learned_gain",
        "opens": "reopens_at",
    },
    DecayingRate: {"sum": "weighted_count", "at": "updated_at"},
    FailureCounter: {"row": "consecutive", "good": "successes", "bad": "failures", "at": "updated_at"},
    Destination: {
        "usual": "usual_duration",
        "seen": "deliveries",
        "hungry": "waiting_since",
        "credit": "retry_credit",
        "credit_at": "credit_at",
    },
    RefusalCostDetector: {"score": "score", "counts": "proven"},
    DurationHistogram: {"bins": "bins", "count": "count"},
}
# Names of classes and settings in the text of `mark_text`, as older builds write them.
STORED_CLASSES = {
    Route: "ryestack.brain.routes.Route",
    RateLimiter: "ryestack.brain.pacer.Pacer",
    DecayingRate: "ryestack.brain.measures.Flow",
    FailureCounter: "ryestack.brain.measures.Tally",
    Destination: "ryestack.brain.routes.Dest",
    RefusalCostDetector: "ryestack.brain.measures.Habit",
    DurationHistogram: "ryestack.brain.measures.Times",
}
STORED_SETTINGS = {
    "late_benefit=<LateBenefit.": "late=<Late.",
    "list_has_rates=": "told_rates=",
    "max_retry_after=": "max_come_back=",
    "per_route=": "apart=",
}


def mark_text(settings: interface.Settings) -> str:
    """The settings and the stored keys as text; learned state is restored only where it is the same.

    Older builds, with other names for classes and settings, have the same text.
    """
    text = repr(settings)
    for name, stored in STORED_SETTINGS.items():
        text = text.replace(name, stored)
    keys = (f"<class '{STORED_CLASSES[kind]}'>: '{' '.join(names)}'" for kind, names in KEPT.items())
    return f"({text}, {{{', '.join(keys)}}})"


def export(brain: Brain) -> dict:
    """The learned state of a decision module."""
    return {
        "routes": {r.id: [_facts(part) for part in _of_route(r)] for r in brain.routes.values()},
        "dests": {str(n): [_facts(part) for part in _of_dest(d)] for n, d in brain.destinations.items()},
        "short": brain.short_until,
        "habits": {kind: _facts(refusals) for kind, refusals in brain.refusal_costs.items()},
        "times": _facts(brain.durations),
    }


def most_relevant_first(learned: dict) -> dict:
    """The exported state with its routes and destinations in the order in which a start needs them.

    First what the rules need (waits, outages, open circuits), then the latest used.
    """
    tables = {"routes": _route_relevance, "dests": _destination_relevance}
    ordered = {
        name: dict(sorted(learned[name].items(), key=lambda row: relevance(row[1]), reverse=True))
        for name, relevance in tables.items()
    }
    return {**learned, **ordered}


def _route_relevance(parts: list[dict]) -> tuple[bool, float]:
    route, failures, limiter, _ = parts
    fails = failures["row"] or limiter["refusals"] or limiter["cold"] is not None or route["silent"]
    is_bound = bool(route["state"] != "closed" or limiter["wait_until"] or fails)
    return is_bound, max(route["good_at"], failures["at"], limiter["hungry"])


def _destination_relevance(parts: list[dict]) -> tuple[bool, float, float]:
    destination, failures, _ = parts
    return bool(failures["row"]), max(failures["at"], destination["hungry"]), destination["seen"]


def route_states(learned: object) -> dict[str, str]:
    """The state of each route by its endpoint; empty if `learned` holds none, or not all."""
    try:
        if learned.get(LEFT_OUT):
            return {}
        return {name: str(parts[0]["state"]) for name, parts in learned["routes"].items()}
    except (TypeError, KeyError, IndexError, AttributeError):
        return {}


def restore(brain: Brain, learned: dict) -> None:
    """Restores exported state into a module that has the endpoint list; unknown parts are ignored.

    Whether a route drains is for the list to say: the endpoint may be back since.
    """
    for name, parts in learned.get("routes", {}).items():
        if route := brain.routes.get(name):
            drains = route.state == "draining"
            _learn(_of_route(route), parts)
            _resume_measurement(route, brain.now)
            if drains:
                route.state = "draining"
            elif route.state == "draining":
                route.state = "closed"
            if route.state == "open":
                brain.schedule(route.open_until, Brain.on_open_end, route)
    for number, parts in learned.get("dests", {}).items():
        if (dest := brain.destinations.get(int(number))) is not None:
            _learn(_of_dest(dest), parts)
    brain.short_until = dict(learned.get("short", {}))
    for kind, facts in learned.get("habits", {}).items():
        _learn([brain.refusal_costs[kind]], [facts])
    _learn([brain.durations], [learned.get("times", {})])


def _resume_measurement(route: Route, now: float) -> None:
    """The deliveries were counted in the process before; so was a run of refusals that has not ended."""
    limiter = route.limiter
    limiter.delivered.since = -inf
    if limiter.refusals and limiter.failing_since < inf and limiter.cold_since is None:
        limiter.detector.resume(limiter.failing_since, limiter.refusals, now)
        limiter.detector.failed_routes.add(route.id)


def assume_cold(brain: Brain) -> None:
    """Without learned state, every partner may be one that has just returned from an outage."""
    for route in brain.routes.values():
        route.limiter.cold_since = brain.now


def assume_unknown(brain: Brain, destinations: set[int]) -> None:
    """Without anything known of the time before, destinations for which notifications wait may be cold."""
    for route in (r for r in brain.routes.values() if r.dest.number in destinations):
        route.limiter.assume_unknown(brain.now)


def failing(brain: Brain) -> dict[str, float]:
    """Routes that have delivered nothing since a failure or refusal, with the first's time.

    Where routes share outages, a delivery by one of them counts for all.
    """
    return {
        route.id: route.limiter.failing_since
        for route in brain.routes.values()
        if route.limiter.failing_since < inf and _still_fails(route)
    }


def _still_fails(route: Route) -> bool:
    own = route.dest.kind.per_route and route.failures.consecutive
    known = route.limiter.cold_since == inf or route.limiter.detector.suspects()
    return bool(own or known or route.dest.failures.consecutive)


def warming(brain: Brain) -> dict[str, float]:
    """Routes that are back from an outage and cold, with the time at which their warm-up began."""
    return {
        route.id: route.limiter.cold_since
        for route in brain.routes.values()
        if route.limiter.health(brain.now) is Health.WARMING
    }


def assume_cold_again(brain: Brain, failing_since: dict[str, float], warming_since: dict[str, float]) -> None:
    """After a restart: routes that failed before it may be back by now, and cold; others still warm up.

    Each argument: route to the time at which that began, as the process before had it last.
    """
    restored = failing(brain)
    assume_down(brain, {name: since for name, since in restored.items() if name not in warming_since})
    assume_down(brain, failing_since)
    for name, since in warming_since.items():
        if route := brain.routes.get(name):
            route.limiter.resume_warm_up(since)


def assume_down(brain: Brain, since: dict[str, float]) -> None:
    """After a restart, routes that failed before it may be back by now, and cold."""
    for name, failing_since in since.items():
        if route := brain.routes.get(name):
            route.limiter.mark_down(failing_since)


def _of_route(route: Route) -> list:
    return [route, route.failures, route.limiter, route.limiter.delivered]


def _of_dest(dest: Destination) -> list:
    return [dest, dest.failures, dest.durations]


def _facts(thing) -> dict:
    return {key: getattr(thing, attribute) for key, attribute in KEPT[type(thing)].items()}


def _learn(things: list, parts: list[dict]) -> None:
    for thing, facts in zip(things, parts, strict=True):
        known = KEPT[type(thing)]
        vars(thing).update({known[key]: value for key, value in facts.items() if key in known})
        if isinstance(thing, DurationHistogram):
            thing.cached = {}

"""What a module has learnt, as plain values, for the process after it to begin with. Pure; decides nothing.

Times are of the machine's monotonic clock, which both processes of an upgrade read.
"""

from math import inf

from .. import interface as it
from ..brain import Brain
from ..brain.estimators import Flow, Habit, Tally, Times
from ..brain.rate_limiter import Pacer
from ..brain.routes import Dest, Route

KEPT = {
    Route: "state until silent mute good_at lanes",
    Pacer: "told rough tokens at back refusals hungry bad_since cold wait_until ease opens",
    Flow: "sum at",
    Tally: "row good bad at",
    Dest: "usual seen hungry credit credit_at",
    Habit: "score counts",
    Times: "bins count",
}


# The class names and keys as they are in the file's mark, and the settings' names: older builds compare it.
STORED_CLASSES = {
    Route: "ryestack.brain.routes.Route",
    Pacer: "ryestack.brain.pacer.Pacer",
    Flow: "ryestack.brain.measures.Flow",
    Tally: "ryestack.brain.measures.Tally",
    Dest: "ryestack.brain.routes.Dest",
    Habit: "ryestack.brain.measures.Habit",
    Times: "ryestack.brain.measures.Times",
}
STORED_SETTINGS = {
    "late_benefit=<LateBenefit.": "late=<Late.",
    "list_has_rates=": "told_rates=",
    "max_retry_after=": "max_come_back=",
    "per_route=": "apart=",
}


def mark_text(settings: it.Settings) -> str:
    """The settings and the stored keys as text; learnt state is restored only where it is the same.

    It is the same text in older builds, which had other names for classes and settings.
    """
    text = repr(settings)
    for name, stored in STORED_SETTINGS.items():
        text = text.replace(name, stored)
    keys = (f"<class '{STORED_CLASSES[kind]}'>: '{names}'" for kind, names in KEPT.items())
    return f"({text}, {{{', '.join(keys)}}})"


def export(brain: Brain) -> dict:
    return {
        "routes": {r.id: [_facts(part) for part in _of_route(r)] for r in brain.routes.values()},
        "dests": {str(n): [_facts(part) for part in _of_dest(d)] for n, d in brain.dests.items()},
        "short": brain.short,
        "habits": {kind: _facts(habit) for kind, habit in brain.habits.items()},
        "times": _facts(brain.times),
    }


def restore(brain: Brain, learnt: dict) -> None:
    """Into a module that knows the list already; what it does not know is passed over."""
    for name, parts in learnt.get("routes", {}).items():
        if route := brain.routes.get(name):
            drains = route.state == "draining"
            _learn(_of_route(route), parts)
            route.state = "draining" if drains else route.state
            if route.state == "draining":
                brain.draining[name] = route
            if route.state == "open":
                brain.at(route.until, Brain.route_due, route)
    for number, parts in learnt.get("dests", {}).items():
        if (dest := brain.dests.get(int(number))) is not None:
            _learn(_of_dest(dest), parts)
    brain.short = dict(learnt.get("short", {}))
    for kind, facts in learnt.get("habits", {}).items():
        _learn([brain.habits[kind]], [facts])
    _learn([brain.times], [learnt.get("times", {})])


def assume_cold(brain: Brain) -> None:
    """Nothing could be told: every partner may be one that is just back from an outage."""
    for route in brain.routes.values():
        route.pacer.cold = brain.now


def failing(brain: Brain) -> dict[str, float]:
    """Routes whose destination has delivered nothing since a failure: each with the time of its first."""
    routes = (r for r in brain.routes.values() if r.dest.tally.row and r.pacer.bad_since < inf)
    return {route.id: route.pacer.bad_since for route in routes}


def assume_down(brain: Brain, since: dict[str, float]) -> None:
    """A restart was blind for a while: what failed before it may be back by now, and cold."""
    for name, at in since.items():
        if route := brain.routes.get(name):
            route.pacer.down(at)


def _of_route(r: Route) -> list:
    return [r, r.tally, r.pacer, r.pacer.taken]


def _of_dest(d: Dest) -> list:
    return [d, d.tally, d.times]


def _facts(thing) -> dict:
    return {name: getattr(thing, name) for name in KEPT[type(thing)].split()}


def _learn(things: list, parts: list[dict]) -> None:
    for thing, facts in zip(things, parts, strict=True):
        known = KEPT[type(thing)].split()
        vars(thing).update({name: value for name, value in facts.items() if name in known})
        if isinstance(thing, Times):
            thing.found = {}

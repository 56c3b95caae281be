"""The decision module with hooks for the log and for other processes. It changes no decision."""

from math import inf

from .. import interface
from ..brain import Brain
from ..interface import Result
from ..observe.log import event
from .destination_health import DestinationHealth

ROUTE_EVENTS = {"open": "route.opened", "closed": "route.closed", "draining": "route.drained"}
OPENED_WHY = {"tripped": "failures", "failed": "a failed trial", "wait": "a told wait"}


class Watched(Brain):
    """Logs changes of circuits, and reports key order and failing routes to its callbacks."""

    # Callback (key, id, released, rests_until): what other processes of this relay must know of ordered keys.
    on_key_claim = staticmethod(lambda key, name, released, rests_until: None)

    def __init__(self, settings: interface.Settings, seed: int):
        super().__init__(settings, seed)
        self.health = DestinationHealth()

    def report_health(self, why: str) -> None:
        """Log each destination whose state was restored or assumed at a start."""
        for dest in self.destinations.values():
            self.health.follow(dest, why, self.now)

    def skipped_endpoints(self, endpoints: list[str]) -> list[str]:
        """Those of the endpoints that no calls are sent to now."""
        routes = [self.routes[e] for e in endpoints if e in self.routes]
        return [r.id for r in routes if r.state != "closed" or self.now < r.limiter.wait_until]

    def key_claims(self) -> list[tuple]:
        """All notifications of ordered keys, as arguments of on_key_claim."""
        return [
            (key, name, False, rests_until)
            for key, (queue, rests_until) in self.keys.items()
            for name in queue
        ]

    def on_notification(self, n):
        if (n.terms or self.topics[n.topic_type]).keep_order and n.key:
            self.on_key_claim(n.key, n.id, False, 0.0)
        super().on_notification(n)

    HANDLERS = {**Brain.HANDLERS, interface.Notification: on_notification}

    def release_key(self, held):
        ours = held.topic.name  # a stand-in for another process's notification has no topic name
        if (
            ours
            and held.key
            and held.state == "over"
            and not held.in_flight
            and held.id in self.keys[held.key][0]
        ):
            self.on_key_claim(held.key, held.id, True, self.keys[held.key][1])
        super().release_key(held)

    # Callback: a route has begun to fail, or delivers again.
    on_failing_changed = staticmethod(lambda: None)

    @staticmethod
    def outage_marks(dest):
        """What of a destination the file of failing routes depends on."""
        return [(route.limiter.failing_since < inf, route.limiter.cold_since) for route in dest.route_list]

    def apply_result(self, route, call, outcome):
        marks = self.outage_marks(route.dest)
        super().apply_result(route, call, outcome)
        if outcome.result not in (Result.DELIVERED, Result.NOT_SENT, Result.CANCELLED):
            self.health.count(route, outcome)
        self.health.follow(route.dest, outcome.result.value, self.now)
        if marks != self.outage_marks(route.dest):
            self.on_failing_changed()

    def on_overdue(self, call):
        marks = self.outage_marks(call.route.dest)
        super().on_overdue(call)
        self.health.follow(call.route.dest, "overdue", self.now)
        if marks != self.outage_marks(call.route.dest):
            self.on_failing_changed()

    def change_route(self, route, trigger, span=0.0):
        before = route.state
        super().change_route(route, trigger, span)
        if route.state != before and route.state in ROUTE_EVENTS:
            why = {"why": OPENED_WHY.get(trigger, trigger)} if route.state == "open" else {}
            event(ROUTE_EVENTS[route.state], route=route.id, destination=route.dest.number, **why)

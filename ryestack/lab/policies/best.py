"""The ceiling: a policy that sees the true state of all destinations and the calls in flight of all relays.

It pushes only where the push will run, those with the most benefit first. It does not look ahead in time, so
it is not optimal, and another policy can score above 1 relative to it.
"""

from ...interface import Result
from .base import Held, Policy

RECHECK_S = 0.02  # between checks while nothing can be pushed
QUEUED_SHARE = 0.5  # of its slots that may queue at an endpoint, so that it never idles
COLD_BUDGET_SHARE = 0.9  # of rule 4's budget


class Best(Policy):
    """The ceiling: it sees the true state of all destinations and pushes only what will run."""

    TIMEOUT = 60.0  # seconds; every push will run, and a timeout would only lose its result

    def observe_world(self, world, relay) -> None:
        """Give the policy access to the true state of the world."""
        self.world, self.relay = world, relay
        if not hasattr(world, "best_in_flight"):
            world.best_in_flight = {}  # route -> pushes of all relays without an outcome
        self.fleet_in_flight = world.best_in_flight

    def dispatch(self) -> None:
        self.ready = type(self.ready)(sorted(self.ready, key=self.priority))
        super().dispatch()

    def priority(self, name: str):
        """Sort key: the most benefit first, then the earliest deadline."""
        held = self.held.get(name)
        if held is None:
            return (0.0, 0.0)
        arrival = int(name.partition(".")[0])
        late = self.now > held.notification.due - held.topic.ttl + held.topic.objective
        return (
            -held.topic.benefit * self.world.arrivals.benefit_factor[arrival] * (0.5 if late else 1.0),
            held.notification.due,
        )

    def choose(self, held: Held, routes: list[str]) -> str | None:
        found = [r for r in routes if self.runs(held, r)]
        return min(
            found,
            key=lambda r: self.fleet_in_flight.get(r, 0) / self.world.layout.routes[r].slots,
            default=None,
        )

    def runs(self, held: Held, name: str) -> bool:
        """Whether a push to a route would run at once or after a short time in its queue."""
        route, now = self.world.layout.routes[name], self.world.clock.now
        unit, in_flight = route.unit, self.fleet_in_flight.get(name, 0)
        if any(fault.kind not in ("slow", "tail") for fault in unit.faults) or route.status != "up":
            return False
        if self.world.network.partitions and self.world.network.is_partitioned(self.relay, route):
            return False
        if in_flight >= max(route.slots + 1.0, route.slots * (1.0 + QUEUED_SHARE)):
            return False
        coming = sum(self.fleet_in_flight.get(r.id, 0) for r in unit.routes) - sum(
            r.running + len(r.queue) for r in unit.routes
        )
        if unit.limit.available(now) - max(0, coming) < 1.0:
            return False
        if unit.is_cold(now):
            window = unit.warm_up.window
            recent = sum(weight for time, _, weight in unit.recent if time > now - window) + max(0, coming)
            return (
                recent + 1.0
                <= COLD_BUDGET_SHARE * unit.warm_up.factor * unit.capacity * unit.capacity_share(now) * window
            )
        return True

    def push(self, held: Held, route: str) -> None:
        super().push(held, route)
        self.fleet_in_flight[route] = self.fleet_in_flight.get(route, 0) + 1

    def on_result(self, route: str, result: Result, elapsed: float, held: Held) -> None:
        self.fleet_in_flight[route] -= 1

    def retry_delay(self, held: Held, result: Result) -> float:
        return RECHECK_S

    def park(self, held: Held, wait: float) -> None:
        super().park(held, min(wait, RECHECK_S))

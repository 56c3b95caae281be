"""The ceiling: a policy that sees the true state of all destinations, and all relays' calls on their way.

It pushes only where the push will run, the most benefit a second of work first; it is not the best there
could be (it does not look ahead in time), and a score past 1 beside it is possible.
"""

from ...interface import Result
from .base import Held, Policy

LOOK = 0.02  # seconds between looks where nothing may go
QUEUED = 0.5  # of its slots that may wait at an endpoint, so that it never idles
SAFE = 0.9  # of rule 4's budget


class Best(Policy):
    """The ceiling: it sees the true state of all destinations and pushes only what will run."""

    TIMEOUT = 60.0  # what it sends will run; a time-out would only lose it

    def see(self, world, relay) -> None:
        self.world, self.relay = world, relay
        if not hasattr(world, "best_on_the_way"):
            world.best_on_the_way = {}  # route -> pushes of all relays without an outcome
        self.way = world.best_on_the_way

    def serve(self) -> None:
        self.ready = type(self.ready)(sorted(self.ready, key=self.worth))
        super().serve()

    def worth(self, name: str):
        held = self.held.get(name)
        if held is None:
            return (0.0, 0.0)
        wish = int(name.partition(".")[0])
        late = self.now > held.n.due - held.topic.ttl + held.topic.objective
        return (-held.topic.benefit * self.world.arrivals.worth[wish] * (0.5 if late else 1.0), held.n.due)

    def choose(self, held: Held, routes: list[str]) -> str | None:
        found = [r for r in routes if self.runs(held, r)]
        return min(found, key=lambda r: self.way.get(r, 0) / self.world.layout.routes[r].slots, default=None)

    def runs(self, held: Held, name: str) -> bool:
        route, now = self.world.layout.routes[name], self.world.clock.now
        unit, way = route.unit, self.way.get(name, 0)
        if any(t.kind not in ("slow", "tail") for t in unit.troubles) or route.shown != "up":
            return False
        if self.world.network.cuts and self.world.network.cut(self.relay, route):
            return False
        if way >= max(route.slots + 1.0, route.slots * (1.0 + QUEUED)):
            return False
        coming = sum(self.way.get(r.id, 0) for r in unit.routes) - sum(
            r.running + len(r.queue) for r in unit.routes
        )
        if unit.limit.room(now) - max(0, coming) < 1.0:
            return False
        if unit.is_cold(now):
            window = unit.cold.window
            recent = sum(w for at, _, w in unit.recent if at > now - window) + max(0, coming)
            return recent + 1.0 <= SAFE * unit.cold.factor * unit.capacity * unit.share(now) * window
        return True

    def push(self, held: Held, route: str) -> None:
        super().push(held, route)
        self.way[route] = self.way.get(route, 0) + 1

    def heard(self, route: str, result: Result, elapsed: float, held: Held) -> None:
        self.way[route] -= 1

    def again(self, held: Held, result: Result) -> float:
        return LOOK

    def park(self, held: Held, wait: float) -> None:
        super().park(held, min(wait, LOOK))

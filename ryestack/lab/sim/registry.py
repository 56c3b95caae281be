"""The registry of endpoints: replacements, drains, and the changes that each relay is told late."""

from ... import interface
from ...interface import EndpointStatus
from .faults import pick
from .partners import Route
from .relays import Relay
from .settings import most

DRAIN = 3.0  # seconds that an endpoint drains before it goes


class Registry:
    """more_lag: seconds by which relays are told later than usual."""

    def __init__(self, world):
        self.world, self.day, self.clock = world, world.day, world.clock
        self.more_lag = 0.0

    def whole(self) -> dict[str, interface.Endpoint]:
        """The list as it stands, by endpoint's id."""
        layout = self.world.layout
        rows = ((r, dest) for dest, routes in enumerate(layout.dest_routes) for r in routes)
        return {route.id: layout.entry(route, dest) for route, dest in rows}

    def replace(self, destinations: list[int], span: float) -> None:
        """Endpoints drain one after the other, go, and others come in their place."""
        routes = self.world.layout.dest_routes
        rows = [(dest, r) for dest in destinations for r in routes[dest] if r.shown == "up"]
        for i, (dest, route) in enumerate(rows):
            self.clock.call_later(i * span / max(1, len(rows)), self.drain, dest, route)

    def drain(self, dest: int, route: Route) -> None:
        if route.shown != "up":
            return
        layout, mark = self.world.layout, f"{route.id.partition('-')[2]}n"
        fresh = layout.add_route(dest, mark, route.unit, route.building, route.slots, route.depth)
        layout.dest_routes[dest].append(fresh)
        self.change(fresh, dest)
        route.shown = "draining"
        self.change(route, dest)
        drains = DRAIN + self.day.rules.grace + most(self.day.directory.lag) + self.more_lag
        self.clock.call_later(drains, self.gone, dest, route)

    def gone(self, dest: int, route: Route) -> None:
        route.shown = "gone"
        self.world.layout.dest_routes[dest].remove(route)
        self.world.network.cut_off(route)
        self.change(route, dest)

    def change(self, route: Route, dest: int) -> None:
        """The registry has a change; each relay is told after a lag of its own."""
        entry = self.world.layout.entry(route, dest)
        for relay in self.world.relays:
            lag = pick(self.day.directory.lag, self.world.lags) + self.more_lag
            self.clock.call_later(lag, self.tell, relay, entry)

    def tell(self, relay: Relay, entry: interface.Endpoint) -> None:
        relay.list = {**relay.list, entry.id: entry}
        if entry.status is EndpointStatus.GONE:
            del relay.list[entry.id]
        if relay.up:
            self.world.judge.listed(relay, entry.id, entry.status is EndpointStatus.READY, self.clock.now)
            relay.tell(interface.ListUpdate((entry,)))

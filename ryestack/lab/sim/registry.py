"""The registry of endpoints: replacements, drains, and list changes that reach each relay after a lag."""

from ... import interface
from ...interface import EndpointStatus
from .faults import draw_value
from .partners import Route
from .relays import Relay
from .settings import maximum

DRAIN_TIME_S = 3.0  # from draining to removal of an endpoint, at least


class Registry:
    """extra_lag: seconds added to the lag of list changes."""

    def __init__(self, world):
        self.world, self.day, self.clock = world, world.day, world.clock
        self.extra_lag = 0.0

    def full_list(self) -> dict[str, interface.Endpoint]:
        """The current list, by endpoint id."""
        layout = self.world.layout
        rows = ((r, dest) for dest, routes in enumerate(layout.dest_routes) for r in routes)
        return {route.id: layout.list_entry(route, dest) for route, dest in rows}

    def replace(self, destinations: list[int], span: float) -> None:
        """Replace the endpoints of destinations one after the other, over the span."""
        routes = self.world.layout.dest_routes
        rows = [(dest, r) for dest in destinations for r in routes[dest] if r.status == "up"]
        for i, (dest, route) in enumerate(rows):
            self.clock.call_later(i * span / max(1, len(rows)), self.drain, dest, route)

    def drain(self, dest: int, route: Route) -> None:
        """Add the replacement of an endpoint and set the endpoint to draining."""
        if route.status != "up":
            return
        layout, suffix = self.world.layout, f"{route.id.partition('-')[2]}n"
        replacement = layout.add_route(dest, suffix, route.unit, route.building, route.slots, route.depth)
        layout.dest_routes[dest].append(replacement)
        self.publish(replacement, dest)
        route.status = "draining"
        self.publish(route, dest)
        drain_time = DRAIN_TIME_S + self.day.rules.grace + maximum(self.day.directory.lag) + self.extra_lag
        self.clock.call_later(drain_time, self.remove, dest, route)

    def remove(self, dest: int, route: Route) -> None:
        """Remove a drained endpoint; calls that it still has are reset."""
        route.status = "gone"
        self.world.layout.dest_routes[dest].remove(route)
        self.world.network.reset_calls(route)
        self.publish(route, dest)

    def publish(self, route: Route, dest: int) -> None:
        """Send the changed entry to each relay after a lag of its own."""
        entry = self.world.layout.list_entry(route, dest)
        for relay in self.world.relays:
            lag = draw_value(self.day.directory.lag, self.world.lags) + self.extra_lag
            self.clock.call_later(lag, self.deliver, relay, entry)

    def deliver(self, relay: Relay, entry: interface.Endpoint) -> None:
        """Update the list of a relay."""
        relay.endpoints = {**relay.endpoints, entry.id: entry}
        if entry.status is EndpointStatus.GONE:
            del relay.endpoints[entry.id]
        if relay.up:
            self.world.judge.list_changed(
                relay, entry.id, entry.status is EndpointStatus.READY, self.clock.now
            )
            relay.deliver(interface.ListUpdate((entry,)))

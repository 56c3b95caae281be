"""The destinations of a day with their true limits, service times and buildings, drawn from its seed."""

from math import ceil

import numpy as np

from ... import interface
from ...interface import EndpointStatus
from ..scenario import Group, Scenario
from .faults import draw_value
from .limits import RateLimit, WindowLimit
from .partners import Route, Unit, WarmUp

ENDPOINT_STATUS = {
    "up": EndpointStatus.READY,
    "draining": EndpointStatus.DRAINING,
    "gone": EndpointStatus.GONE,
}
HOME_BUILDING_PROBABILITY = 0.8  # that an endpoint is in the home building of its destination
LIMIT_BURST_S = 1.0  # seconds of the rate that the token bucket of a limit holds


class Layout:
    """Destinations, units and routes.

    Arrays and lists are by destination, except routes and batches (maximum items of a call), which are by
    endpoint id. shares: of the traffic; groups: the group's number; home_buildings: where most of its
    endpoints are; accepted_rates: calls a second; service_times: mean seconds of a call; reported_rates: the
    rate in the endpoint list; delays: seconds one way, by pair of buildings. on_done(call) is called when a
    call has run.
    """

    def __init__(self, day: Scenario, rng: np.random.Generator, clock, on_done):
        self.day, self.clock, self.on_done = day, clock, on_done
        self.routes: dict[str, Route] = {}
        self.batches: dict[str, int] = {}
        self.dest_routes: list[list[Route]] = []
        self.names = [g.name for g in day.group]
        self.shares, self.groups = self._traffic_shares()
        self.delays = self._draw_delays(rng)
        accepted_rates, home_buildings = [], []
        self.service_times, self.reported_rates = [], []
        for dest, share in enumerate(self.shares):
            rate, building = self._draw_destination(dest, share, rng)
            accepted_rates.append(rate)
            home_buildings.append(building)
        self.home_buildings, self.accepted_rates = np.array(home_buildings), np.array(accepted_rates)

    def group_of(self, dest: int) -> Group:
        """The group of a destination."""
        return self.day.group[self.groups[dest]]

    def units_of(self, routes) -> list[Unit]:
        """The distinct units of routes, in the order of the routes."""
        return list({route.unit.name: route.unit for route in routes}.values())

    def list_entry(self, route: Route, dest: int) -> interface.Endpoint:
        """The current entry of an endpoint in the registry's list."""
        building, kind = f"b{route.building}", self.names[self.groups[dest]]
        return interface.Endpoint(
            route.id, building, kind, dest, ENDPOINT_STATUS[route.status], self.reported_rates[dest]
        )

    def add_route(self, dest: int, suffix: str, unit: Unit, building: int, slots: int, depth: int) -> Route:
        """Create an endpoint of a unit."""
        group = self.group_of(dest)
        name = f"s{dest:04d}-{suffix}"
        route = Route(name, unit, building, slots, depth, self.clock, self.on_done, group.conns)
        self.routes[name] = route
        self.batches[name] = group.batch
        return route

    def _traffic_shares(self) -> tuple[np.ndarray, np.ndarray]:
        shares, groups = [], []
        for number, group in enumerate(self.day.group):
            ranks = np.arange(1, group.count + 1, dtype=float) ** -group.zipf
            shares.append(group.share * ranks / ranks.sum())
            groups += [number] * group.count
        return np.concatenate(shares) / sum(map(np.sum, shares)), np.array(groups)

    def _draw_delays(self, rng) -> list[list[float]]:
        count, delay = self.day.network.buildings, self.day.network.delay
        low = np.array([[draw_value(delay, rng) for _ in range(count)] for _ in range(count)])
        return np.minimum(low, low.T).tolist()

    def _draw_destination(self, dest: int, share: float, rng) -> tuple[float, int]:
        """Draw the units and endpoints of a destination; returns the calls a second that it accepts and its
        home building.

        The order of the draws is part of what a seed means.
        """
        group = self.group_of(dest)
        requested_rate = share * self.day.traffic.rate
        rate = max(draw_value(group.least, rng), draw_value(group.headroom, rng) * requested_rate)
        mean, count = draw_value(group.service.mean, rng), max(1, round(draw_value(group.routes, rng)))
        limited = group.limit.how != "none"
        capacity = rate * (group.limit.spare if limited else 1.0)
        endpoint_rate = capacity / count
        slots = max(1, ceil(endpoint_rate * mean))
        self.service_times.append(
            max(mean, slots / endpoint_rate)
        )  # the slots at this time make the capacity
        warm_up = self._draw_warm_up(group, rng)
        home = int(rng.integers(self.day.network.buildings))
        routes, units = [], []
        for number in range(count):
            if group.apart or not units:
                part = count if group.apart else 1
                name = f"d{dest:04d}" + (f"-{number}" if group.apart else "")
                limit = _limit_of(group, rate / part)
                units.append(Unit(name, capacity / part, warm_up, limit, group.limit.tells))
            building = self._draw_building(home, rng)
            depth = max(1, ceil(group.depth * endpoint_rate))
            routes.append(self.add_route(dest, f"{number}", units[-1], building, slots, depth))
        self.dest_routes.append(routes)
        rate_error = float(np.exp(rng.uniform(-1.0, 1.0) * np.log1p(group.rough)))
        self.reported_rates.append(rate * rate_error / (count if group.apart else 1))
        return rate, home

    def _draw_warm_up(self, group: Group, rng) -> WarmUp:
        share = draw_value(group.cold.share, rng)
        time = draw_value(group.cold.time, rng)
        return WarmUp(share, time, self.day.rules.factor, self.day.rules.window, group.cold.fall)

    def _draw_building(self, home: int, rng) -> int:
        return (
            home
            if rng.random() < HOME_BUILDING_PROBABILITY
            else int(rng.integers(self.day.network.buildings))
        )


def _limit_of(group: Group, rate: float):
    if group.limit.how == "rate":
        return RateLimit(rate, rate * LIMIT_BURST_S, group.limit.refused_count)
    if group.limit.how == "window":
        return WindowLimit(rate * group.limit.span, group.limit.span, group.limit.refused_count)
    return None

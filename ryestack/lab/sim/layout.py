"""Where all stands on a day: destinations with their true limits, paces and places, drawn from its seed."""

from math import ceil

import numpy as np

from ... import interface
from ...interface import EndpointStatus
from ..scenario import Group, Scenario
from .faults import pick
from .limits import Rate, Window
from .partners import Cold, Route, Unit

LISTED = {"up": EndpointStatus.READY, "draining": EndpointStatus.DRAINING, "gone": EndpointStatus.GONE}
AT_HOME = 0.8  # of a destination's endpoints stand in its own building
BURST = 1.0  # seconds of a rate that a limit's bucket holds


class Layout:
    """Arrays and lists are by destination, but routes and batches, which are by endpoint's id.

    shares: of the traffic; groups: the group's number; stand: the building of most of it; takes: calls a
    second; paces: seconds that a call runs; told: the rate that the registry tells; delays: seconds one way,
    by pair of buildings. done(call) is called once a call has run.
    """

    def __init__(self, day: Scenario, gen: np.random.Generator, clock, done):
        self.day, self.clock, self.done = day, clock, done
        self.routes: dict[str, Route] = {}
        self.batches: dict[str, int] = {}
        self.dest_routes: list[list[Route]] = []
        self.names = [g.name for g in day.group]
        self.shares, self.groups = self._traffic_shares()
        self.delays = self._draw_delays(gen)
        takes, stand = [], []
        self.paces, self.told = [], []
        for dest, share in enumerate(self.shares):
            rate, building = self._draw_destination(dest, share, gen)
            takes.append(rate)
            stand.append(building)
        self.stand, self.takes = np.array(stand), np.array(takes)

    def group_of(self, dest: int) -> Group:
        return self.day.group[self.groups[dest]]

    def units_of(self, routes) -> list[Unit]:
        """Each once, in the order of the routes."""
        return list({route.unit.name: route.unit for route in routes}.values())

    def entry(self, route: Route, dest: int) -> interface.Endpoint:
        """What the registry tells of an endpoint now."""
        building, kind = f"b{route.building}", self.names[self.groups[dest]]
        return interface.Endpoint(route.id, building, kind, dest, LISTED[route.shown], self.told[dest])

    def add_route(self, dest: int, mark: str, unit: Unit, building: int, slots: int, depth: int) -> Route:
        group = self.group_of(dest)
        name = f"s{dest:04d}-{mark}"
        route = Route(name, unit, building, slots, depth, self.clock, self.done, group.conns)
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

    def _draw_delays(self, gen) -> list[list[float]]:
        many, delay = self.day.network.buildings, self.day.network.delay
        low = np.array([[pick(delay, gen) for _ in range(many)] for _ in range(many)])
        return np.minimum(low, low.T).tolist()

    def _draw_destination(self, dest: int, share: float, gen) -> tuple[float, int]:
        """Its units and endpoints; returns the calls a second that it takes, and its building.

        The order in which chance is asked is part of what a seed means.
        """
        group = self.group_of(dest)
        wanted = share * self.day.traffic.rate
        rate = max(pick(group.least, gen), pick(group.headroom, gen) * wanted)
        mean, count = pick(group.service.mean, gen), max(1, round(pick(group.routes, gen)))
        limited = group.limit.how != "none"
        capacity = rate * (group.limit.spare if limited else 1.0)
        each = capacity / count
        slots = max(1, ceil(each * mean))
        self.paces.append(max(mean, slots / each))  # so many slots at this pace are its capacity
        cold = self._draw_cold(group, gen)
        home = int(gen.integers(self.day.network.buildings))
        made, units = [], []
        for number in range(count):
            if group.apart or not units:
                part = count if group.apart else 1
                name = f"d{dest:04d}" + (f"-{number}" if group.apart else "")
                limit = _limit_of(group, rate / part)
                units.append(Unit(name, capacity / part, cold, limit, group.limit.tells))
            building = self._draw_building(home, gen)
            depth = max(1, ceil(group.depth * each))
            made.append(self.add_route(dest, f"{number}", units[-1], building, slots, depth))
        self.dest_routes.append(made)
        rough = float(np.exp(gen.uniform(-1.0, 1.0) * np.log1p(group.rough)))
        self.told.append(rate * rough / (count if group.apart else 1))
        return rate, home

    def _draw_cold(self, group: Group, gen) -> Cold:
        share = pick(group.cold.share, gen)
        time = pick(group.cold.time, gen)
        return Cold(share, time, self.day.rules.factor, self.day.rules.window, group.cold.fall)

    def _draw_building(self, home: int, gen) -> int:
        return home if gen.random() < AT_HOME else int(gen.integers(self.day.network.buildings))


def _limit_of(group: Group, rate: float):
    if group.limit.how == "rate":
        return Rate(rate, rate * BURST, group.limit.refused_count)
    if group.limit.how == "window":
        return Window(rate * group.limit.span, group.limit.span, group.limit.refused_count)
    return None

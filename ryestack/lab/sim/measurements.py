"""Measurements of a day: totals, series by second, and the heat map of destinations."""

import numpy as np

COUNTS = (
    "taken",
    "turned_away",
    "throttled",
    "expired",
    "pushes",
    "calls",
    "connections",
    "refused",
    "wasted",
    "dead_door",
    "again",
    "orphans",
    "falls",
)
SERIES = (
    "handed",
    "delivered",
    "gained",
    "throttled",
    "expired",
    "pushes",
    "refused",
    "out",
    "held",
    "open",
)
MAX_CIRCUIT_PAIRS = (
    20_000  # relays times endpoints; above it open circuits, used by plots only, are not counted
)


class Measurements:
    """counts: totals; series: arrays by second; heat_submitted, heat_delivered: by destination and second of
    arrival."""

    def __init__(self, seconds: int, destinations: int):
        self.seconds = seconds
        self.counts = dict.fromkeys(COUNTS, 0)
        self.series = {name: np.zeros(seconds) for name in SERIES}
        self.heat_submitted = np.zeros((destinations, seconds), np.int32)
        self.heat_delivered = np.zeros((destinations, seconds), np.int32)

    def add(self, series: str, now: float, count: int = 1) -> None:
        """Add to a series; what happens after the last second counts for the last."""
        self.series[series][min(self.seconds - 1, int(now))] += count

    def submitted(self, destination: int, now: float) -> None:
        """Count the first submission of an arrival."""
        self.series["handed"][int(now)] += 1
        self.heat_submitted[destination, int(now)] += 1

    def delivered(self, destination: int, second_of_arrival: int, now: float) -> None:
        """Count a delivery."""
        self.add("delivered", now)
        self.heat_delivered[destination, second_of_arrival] += 1

    def sample(self, second: int, relays: list, endpoints: int) -> None:
        """Record the pushes in flight, notifications held and circuits open at that second."""
        self.series["out"][second] = sum(len(r.in_flight) for r in relays)
        self.series["held"][second] = sum(len(r.held) for r in relays)
        if len(relays) * endpoints <= MAX_CIRCUIT_PAIRS:
            self.series["open"][second] += sum(map(_open_circuits, relays))


def _open_circuits(relay) -> int:
    routes = getattr(relay.brain, "routes", None)
    if not isinstance(routes, dict):
        return 0
    return sum(getattr(route, "state", "") in ("open", "trial") for route in routes.values())

"""What is counted of a day: totals, series by second, and the heat map of destinations."""

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
MANY = 20_000  # relays times endpoints from which on open circuits are not counted: that is for plots only


class Measurements:
    """counts: totals; series: arrays by second; heat_asked, heat_done: by destination and second it came."""

    def __init__(self, seconds: int, destinations: int):
        self.seconds = seconds
        self.counts = dict.fromkeys(COUNTS, 0)
        self.series = {name: np.zeros(seconds) for name in SERIES}
        self.heat_submitted = np.zeros((destinations, seconds), np.int32)
        self.heat_delivered = np.zeros((destinations, seconds), np.int32)

    def add(self, series: str, now: float, count: int = 1) -> None:
        """What comes after the last second counts for it."""
        self.series[series][min(self.seconds - 1, int(now))] += count

    def asked(self, destination: int, now: float) -> None:
        self.series["handed"][int(now)] += 1
        self.heat_submitted[destination, int(now)] += 1

    def delivered(self, destination: int, second_of_arrival: int, now: float) -> None:
        self.add("delivered", now)
        self.heat_delivered[destination, second_of_arrival] += 1

    def sample(self, second: int, relays: list, endpoints: int) -> None:
        """How many pushes are out, notifications held, circuits open at that second."""
        self.series["out"][second] = sum(len(r.out) for r in relays)
        self.series["held"][second] = sum(len(r.held) for r in relays)
        if len(relays) * endpoints <= MANY:
            self.series["open"][second] += sum(map(_open_circuits, relays))


def _open_circuits(relay) -> int:
    known = getattr(relay.brain, "routes", None)
    if not isinstance(known, dict):
        return 0
    return sum(getattr(route, "state", "") in ("open", "trial") for route in known.values())

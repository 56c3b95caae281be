"""Textbook policies: one try, random, round robin, least in flight, two choices, retry budget, adaptive
limit."""

from ...interface import Result
from .base import Held, Policy

BACKOFF_S, MAX_BACKOFF_S = 0.1, 3.0  # doubled for each push


class OneTry(Policy):
    """The floor: one push in the order of arrival, no retries."""

    def choose(self, held: Held, routes: list[str]) -> str:
        return routes[0]


class RandomRoute(Policy):
    """A random route; retries at once, as often as is allowed."""

    def retry_delay(self, held: Held, result: Result) -> float:
        return 0.0


class ExponentialBackoff(Policy):
    """Retries with exponential backoff and full jitter."""

    def retry_delay(self, held: Held, result: Result) -> float:
        return self.rng.random() * min(MAX_BACKOFF_S, BACKOFF_S * 2.0**held.pushes)


class RoundRobin(ExponentialBackoff):
    """Routes in turn; retries with exponential backoff."""

    def __init__(self, settings, seed):
        super().__init__(settings, seed)
        self.next_route: dict[int, int] = {}

    def choose(self, held: Held, routes: list[str]) -> str:
        number = self.next_route.get(held.notification.destination, 0)
        self.next_route[held.notification.destination] = number + 1
        return routes[number % len(routes)]


class LeastInFlight(ExponentialBackoff):
    """The route with the fewest pushes in flight from this relay; retries with exponential backoff."""

    def choose(self, held: Held, routes: list[str]) -> str:
        return min(routes, key=lambda r: self.in_flight_by_route.get(r, 0))


class PowerOfTwo(ExponentialBackoff):
    """The less loaded of two random routes; retries with exponential backoff."""

    def choose(self, held: Held, routes: list[str]) -> str:
        first, second = (routes[int(self.rng.random() * len(routes))] for _ in range(2))
        return min(first, second, key=lambda r: self.in_flight_by_route.get(r, 0))


class TokenBucket(ExponentialBackoff):
    """A retry budget: each first push earns a tenth of a retry, up to ten retries are saved."""

    EARN, MOST = 0.1, 10.0

    def __init__(self, settings, seed):
        super().__init__(settings, seed)
        self.tokens = self.MOST

    def push(self, held: Held, route: str) -> None:
        if not held.pushes:
            self.tokens = min(self.MOST, self.tokens + self.EARN)
        super().push(held, route)

    def retry_delay(self, held: Held, result: Result) -> float | None:
        if self.tokens < 1.0:
            return None
        self.tokens -= 1.0
        return super().retry_delay(held, result)


class AdaptiveConcurrency(ExponentialBackoff):
    """A limit of pushes in flight by destination: plus one for each limit's worth of deliveries, minus 30% on
    a failure."""

    FIRST, LEAST, DOWN = 4.0, 1.0, 0.7

    def __init__(self, settings, seed):
        super().__init__(settings, seed)
        self.limits: dict[int, float] = {}

    def choose(self, held: Held, routes: list[str]) -> str | None:
        dest = held.notification.destination
        if sum(self.in_flight_by_route.get(r, 0) for r in routes) >= self.limits.get(dest, self.FIRST):
            return None
        return min(routes, key=lambda r: self.in_flight_by_route.get(r, 0))

    def on_result(self, route: str, result: Result, elapsed: float, held: Held) -> None:
        dest = held.notification.destination
        limit = self.limits.get(dest, self.FIRST)
        delivered = result is Result.DELIVERED
        self.limits[dest] = limit + 1.0 / limit if delivered else max(self.LEAST, limit * self.DOWN)

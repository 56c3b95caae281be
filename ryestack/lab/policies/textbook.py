"""What textbooks do: one try, random, round robin, least in flight, two choices, retry budgets, adaptive
limits."""

from ...interface import Result
from .base import Held, Policy

BACKOFF, MOST_BACKOFF = 0.1, 3.0  # seconds, doubled each time


class OneTry(Policy):
    """The floor: one push, in the order of arrival, and what fails has failed."""

    def choose(self, held: Held, routes: list[str]) -> str:
        return routes[0]


class RandomRoute(Policy):
    """Any route; again at once, as often as is allowed."""

    def again(self, held: Held, result: Result) -> float:
        return 0.0


class Backing(Policy):
    """Again after a wait that doubles, with full jitter."""

    def again(self, held: Held, result: Result) -> float:
        return self.random.random() * min(MOST_BACKOFF, BACKOFF * 2.0**held.pushes)


class RoundRobin(Backing):
    """Routes in turn; again after a wait that doubles."""

    def __init__(self, settings, seed):
        super().__init__(settings, seed)
        self.turns: dict[int, int] = {}

    def choose(self, held: Held, routes: list[str]) -> str:
        number = self.turns.get(held.n.destination, 0)
        self.turns[held.n.destination] = number + 1
        return routes[number % len(routes)]


class LeastInFlight(Backing):
    """The route with fewest of our own calls out; again after a wait that doubles."""

    def choose(self, held: Held, routes: list[str]) -> str:
        return min(routes, key=lambda r: self.flying.get(r, 0))


class PowerOfTwo(Backing):
    """The less loaded of two drawn at random."""

    def choose(self, held: Held, routes: list[str]) -> str:
        one, two = (routes[int(self.random.random() * len(routes))] for _ in range(2))
        return min(one, two, key=lambda r: self.flying.get(r, 0))


class TokenBucket(Backing):
    """A retry budget: each first push earns a tenth of a further one, and ten may be saved."""

    EARN, MOST = 0.1, 10.0

    def __init__(self, settings, seed):
        super().__init__(settings, seed)
        self.tokens = self.MOST

    def push(self, held: Held, route: str) -> None:
        if not held.pushes:
            self.tokens = min(self.MOST, self.tokens + self.EARN)
        super().push(held, route)

    def again(self, held: Held, result: Result) -> float | None:
        if self.tokens < 1.0:
            return None
        self.tokens -= 1.0
        return super().again(held, result)


class AdaptiveConcurrency(Backing):
    """A limit of calls out by destination: up by one a limit's worth of deliveries, down by a third on
    trouble."""

    FIRST, LEAST, DOWN = 4.0, 1.0, 0.7

    def __init__(self, settings, seed):
        super().__init__(settings, seed)
        self.limits: dict[int, float] = {}

    def choose(self, held: Held, routes: list[str]) -> str | None:
        dest = held.n.destination
        if sum(self.flying.get(r, 0) for r in routes) >= self.limits.get(dest, self.FIRST):
            return None
        return min(routes, key=lambda r: self.flying.get(r, 0))

    def heard(self, route: str, result: Result, elapsed: float, held: Held) -> None:
        dest = held.n.destination
        limit = self.limits.get(dest, self.FIRST)
        good = result is Result.DELIVERED
        self.limits[dest] = limit + 1.0 / limit if good else max(self.LEAST, limit * self.DOWN)

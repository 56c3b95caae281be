"""Reports what the decision module takes each destination for, and which calls failed there."""

from collections import Counter
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from enum import Enum

from .. import interface
from ..brain.health import Health
from ..brain.rate_limiter import RateLimiter
from ..brain.routes import Call, Destination, Route
from ..interface import Result
from ..observe.figures import Sample
from ..observe.log import event

MAX_SOURCES = 2_000  # endpoints with counts of their own; further ones are counted together
OTHER_SOURCES = "other"


class Refusal(Enum):
    """Kind of a refusal; the values are labels of the metric and appear in the log."""

    NO_WAIT = "refused, no wait"
    WAIT = "refused, wait told"
    USED_UP = "refused, limit used up"


@dataclass(frozen=True, slots=True)
class Since:
    """A state and the time of the clock at which it began."""

    health: Health
    began: float


def kind_of(outcome: interface.Outcome) -> str:
    """The kind of a push that was not delivered."""
    if outcome.result is not Result.FULL:
        return outcome.result.value
    if outcome.limit_left < RateLimiter.USED_UP_SHARE:
        return Refusal.USED_UP.value
    return (Refusal.WAIT if outcome.wait else Refusal.NO_WAIT).value


class DestinationHealth:
    """Follows the states of all limiters, and counts failed calls by endpoint and kind.

    Limiters whose routes share outages count as one; where routes have outages of their own, one a route.
    """

    def __init__(self):
        self.states: dict[tuple[int, str], Since] = {}
        self.failed: Counter[tuple[int, str, str]] = Counter()  # by destination, endpoint and kind
        self.sources: set[str] = set()

    def count(self, route: Route, outcome: interface.Outcome) -> None:
        """Count a push that was not delivered, and log a refusal."""
        kind = kind_of(outcome)
        known = route.id in self.sources or len(self.sources) < MAX_SOURCES
        self.sources |= {route.id} if known else set()
        self.failed[(route.dest.number, route.id, kind) if known else (0, OTHER_SOURCES, kind)] += 1
        if outcome.result is Result.FULL:
            event(
                "push.refused",
                destination=route.dest.number,
                route=route.id,
                kind=kind,
                wait=round(outcome.wait, 3),
                limit=round(outcome.limit, 3),
                left=round(outcome.limit_left, 3),
            )

    def follow(self, dest: Destination, why: str, now: float) -> None:
        """Log the limiters of a destination whose state has changed."""
        for name, limiter in _limiters(dest):
            health = limiter.health(now)
            before = self.states.get((dest.number, name), Since(Health.WARM, now))
            if health is before.health:
                continue
            self.states[dest.number, name] = Since(health, now)
            failing = now - limiter.failing_since
            event(
                "destination.changed",
                destination=dest.number,
                route=name or "all",
                state=health.value,
                why=why,
                after=round(now - before.began, 3),
                failing=round(max(0.0, failing), 3),
                refusals=limiter.refusals,
                rate=round(limiter.rate(now), 4),
                tokens=round(limiter.tokens, 3),
                open=dest.calls,
            )
            if health is Health.WARM:
                del self.states[dest.number, name]

    def samples(
        self, destinations: dict[int, Destination], now: float, late_calls: Iterable[Call] = ()
    ) -> Iterator[tuple[str, list[Sample]]]:
        """The metrics: failed pushes by endpoint and kind, overdue calls without an answer by destination,
        and the destinations that are not warm."""
        unanswered = Counter(call.route.dest.number for call in late_calls)
        yield (
            "unanswered_calls",
            [Sample({"destination": str(number)}, count) for number, count in sorted(unanswered.items())],
        )
        yield (
            "failed_pushes_total",
            [
                Sample({"destination": str(number), "endpoint": endpoint, "kind": kind}, count)
                for (number, endpoint, kind), count in sorted(self.failed.items())
            ],
        )
        rates, seconds = [], []
        for dest in destinations.values():
            for name, limiter in _limiters(dest):
                health = limiter.health(now)
                if health is Health.WARM:
                    continue
                labels = {"destination": str(dest.number), "route": name or "all", "state": health.value}
                began = self.states.get((dest.number, name), Since(health, now)).began
                rates.append(Sample(labels, round(limiter.rate(now), 6)))
                seconds.append(Sample(labels, round(now - began, 3)))
        yield "destination_rate", rates
        yield "destination_state_seconds", seconds


def _limiters(dest: Destination) -> list[tuple[str, RateLimiter]]:
    """One limiter for each outage that the destination may have: by route, or "" for all of its routes."""
    if dest.kind is not None and dest.kind.per_route:
        return [(route.id, route.limiter) for route in dest.route_list]
    limiters = [route.limiter for route in dest.route_list]
    worst = max(limiters, key=lambda limiter: (limiter.cold_since or 0.0, limiter.refusals), default=None)
    return [("", worst)] if worst else []

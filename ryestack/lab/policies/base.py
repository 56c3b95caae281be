"""The base of the reference policies: the interface of a policy, parking, timers and the guarantees."""

import heapq
import random
from collections import deque
from math import inf

from ... import interface
from ...brain import MAY_STILL_RUN, NEVER_RAN
from ...interface import Effect, EndpointStatus, Result

DEADLINE_MARGIN_S = 0.05  # before its deadline a notification is given up
WINDOW_MARGIN_S = 0.05  # before the window of a collapsible notification closes, repeats end
RECHECK_S = 0.1  # until a notification without a usable route is tried again


class Held:
    """A notification of the policy; state: parked, ready, out or over; ready_at: end of its parking."""

    __slots__ = (
        "id",
        "in_flight",
        "key",
        "may_have_run_at",
        "notification",
        "pushes",
        "ready_at",
        "state",
        "topic",
    )

    def __init__(self, notification: interface.Notification, topic: interface.TopicType):
        self.notification, self.id, self.topic = notification, notification.id, topic
        self.key = notification.key if topic.keep_order else ""
        self.pushes, self.may_have_run_at, self.in_flight, self.state, self.ready_at = (
            notification.pushes,
            notification.may_have_run_at,
            0,
            "parked",
            0.0,
        )


class Policy:
    """The interface of a policy; subclasses define the choice of routes and the delay of retries."""

    TIMEOUT = 3.0  # seconds of a push, except once-only ones

    def __init__(self, settings: interface.Settings, seed: int):
        self.settings, self.rng, self.now = settings, random.Random(seed), 0.0
        self.topics = {topic.name: topic for topic in settings.topic_types}
        self.kinds = {kind.name: kind for kind in settings.kinds}
        self.routes_by_destination: dict[int, list[str]] = {}
        self.endpoints: dict[str, interface.Endpoint] = {}
        self.wait_until: dict[object, float] = {}  # destination, or route if limits are per route -> until
        self.held: dict[str, Held] = {}
        self.in_flight: dict[tuple[str, int], tuple[Held, str, float]] = {}
        self.in_flight_by_route: dict[str, int] = {}
        self.slots, self.ready, self.timers, self.sequence = settings.slots, deque(), [], 0
        self.key_queues: dict[str, deque] = {}
        self.key_rests: dict[str, float] = {}
        self.actions, self.timer_at, self.shutdown_at = [], inf, inf

    # -- to be overridden ---------------------------------------------------------------------------

    def choose(self, held: Held, routes: list[str]) -> str | None:
        """The route of the next push, None to wait."""
        return routes[int(self.rng.random() * len(routes))]

    def retry_delay(self, held: Held, result: Result) -> float | None:
        """Seconds until the next push of a failed notification, None to give it up."""
        return None

    def on_result(self, route: str, result: Result, elapsed: float, held: Held) -> None:
        """Learn from the result of a push; elapsed: seconds."""

    # -- interface of a policy ----------------------------------------------------------------------

    def round(self, now: float, events: list) -> list:
        """Handle the events of a round; returns the actions."""
        self.now, self.actions = now, []
        for event in events:
            kind = type(event)
            if kind is interface.Notification:
                self.on_notification(event)
            elif kind is interface.Outcome:
                self.on_outcome(event)
            elif kind is interface.ListUpdate:
                self.on_list(event)
            elif kind is interface.ShuttingDown:
                self.shutdown_at = event.until
            elif kind is interface.Withdrawn and event.id in self.held:
                self.forget(self.held[event.id])
        while self.timers and self.timers[0][0] <= now:
            _, _, name = heapq.heappop(self.timers)
            held = self.held.get(name)
            if held is None:
                continue
            if now >= held.notification.due - DEADLINE_MARGIN_S - 1e-9:
                self.give_up(held)
            elif held.state == "parked" and held.ready_at <= now:
                held.state = "ready"
                self.ready.append(name)
        self.dispatch()
        if self.timers and self.timers[0][0] < self.timer_at - 1e-9 or self.timer_at <= now:
            self.timer_at = self.timers[0][0] if self.timers else inf
            if self.timer_at < inf:
                self.actions.append(interface.SetTimer(max(0.0, self.timer_at - now)))
        return self.actions

    def on_list(self, update: interface.ListUpdate) -> None:
        if update.whole:
            self.routes_by_destination, self.endpoints = {}, {}
        for endpoint in update.endpoints:
            routes = self.routes_by_destination.setdefault(endpoint.destination, [])
            if endpoint.status is EndpointStatus.READY:
                self.endpoints[endpoint.id] = endpoint
                if endpoint.id not in routes:
                    routes.append(endpoint.id)
                    routes.sort()
            else:
                self.endpoints.setdefault(endpoint.id, endpoint)
                if endpoint.id in routes:
                    routes.remove(endpoint.id)

    def on_notification(self, notification: interface.Notification) -> None:
        held = self.held[notification.id] = Held(notification, self.topics[notification.topic_type])
        if held.key:
            self.key_queues.setdefault(held.key, deque()).append(held)
        self.set_timer(notification.due - DEADLINE_MARGIN_S, held)
        if not self.may_push_again(held):
            return self.give_up(held)
        held.state = "ready"
        self.ready.append(notification.id)
        return None

    def on_outcome(self, outcome: interface.Outcome) -> None:
        if (outcome.id, outcome.push) not in self.in_flight:
            return
        held, route, sent = self.in_flight.pop((outcome.id, outcome.push))
        self.slots += 1
        self.in_flight_by_route[route] -= 1
        held.in_flight -= 1
        if outcome.wait > 0.0:
            self.wait_until[self.wait_scope(route)] = max(
                self.wait_until.get(self.wait_scope(route), 0.0), self.now + outcome.wait + 0.002
            )
        if outcome.result not in NEVER_RAN:
            held.may_have_run_at = min(held.may_have_run_at, sent)
        if held.key and outcome.result in MAY_STILL_RUN:
            self.key_rests[held.key] = self.now + self.settings.rules.key_rest
        self.on_result(route, outcome.result, outcome.elapsed, held)
        if held.state == "over":
            return self.release_key(held)
        if outcome.ended or outcome.result is Result.DELIVERED:
            return self.forget(held)
        wait = self.retry_delay(held, outcome.result) if self.may_push_again(held) else None
        if wait is None:
            return self.give_up(held)
        self.park(held, wait)
        return None

    # -- held notifications -------------------------------------------------------------------------

    def wait_scope(self, route: str):
        """What a requested wait applies to: the route if limits are per route, else its destination."""
        endpoint = self.endpoints[route]
        kind = self.kinds.get(endpoint.kind)
        return route if kind and kind.per_route else endpoint.destination

    def set_timer(self, time: float, held: Held) -> None:
        self.sequence += 1
        heapq.heappush(self.timers, (time, self.sequence, held.id))

    def park(self, held: Held, wait: float) -> None:
        held.state, held.ready_at = "parked", self.now + wait
        self.set_timer(held.ready_at, held)

    def may_push_again(self, held: Held) -> bool:
        """Whether another push is allowed by count, deadline and effect."""
        if held.pushes >= self.settings.max_pushes or self.now >= held.notification.due - DEADLINE_MARGIN_S:
            return False
        if held.may_have_run_at < inf and held.topic.effect is Effect.ONCE_ONLY:
            return False
        closes = held.may_have_run_at + held.topic.window - WINDOW_MARGIN_S
        return held.may_have_run_at == inf or held.topic.effect is Effect.REPEATABLE or self.now < closes

    def key_is_free(self, held: Held) -> bool:
        """Whether a notification is the first of its key and the key does not rest."""
        if not held.key:
            return True
        return self.key_queues[held.key][0] is held and self.now >= self.key_rests.get(held.key, 0.0)

    def dispatch(self) -> None:
        """Push ready notifications while slots are free."""
        for _ in range(len(self.ready)):
            if self.slots <= 0:
                return
            held = self.held.get(self.ready.popleft())
            if held is None or held.state != "ready":
                continue
            if not self.may_push_again(held):
                self.give_up(held)
                continue
            routes = [
                route
                for route in self.routes_by_destination.get(held.notification.destination, ())
                if self.wait_until.get(self.wait_scope(route), 0.0) <= self.now
            ]
            route = (
                self.choose(held, routes)
                if routes and self.key_is_free(held) and self.now < self.shutdown_at
                else None
            )
            if route is None:
                self.park(held, RECHECK_S)
            else:
                self.push(held, route)

    def push(self, held: Held, route: str) -> None:
        timeout = inf if held.topic.effect is Effect.ONCE_ONLY else self.TIMEOUT
        self.in_flight[held.id, held.pushes] = held, route, self.now
        self.actions.append(
            interface.Push(
                held.id, route, min(timeout, max(0.01, held.notification.due - DEADLINE_MARGIN_S - self.now))
            )
        )
        held.state, held.in_flight, held.pushes = "out", held.in_flight + 1, held.pushes + 1
        self.slots -= 1
        self.in_flight_by_route[route] = self.in_flight_by_route.get(route, 0) + 1

    def give_up(self, held: Held) -> None:
        effect = held.topic.effect
        harmless = held.may_have_run_at == inf and not held.in_flight or effect is not Effect.ONCE_ONLY
        self.actions.append(interface.Throttle(held.id) if harmless else interface.Expire(held.id))
        self.forget(held)

    def forget(self, held: Held) -> None:
        self.held.pop(held.id, None)
        held.state = "over"
        self.release_key(held)

    def release_key(self, held: Held) -> None:
        """Remove a finished notification from the queue of its key."""
        if held.key and held.state == "over" and not held.in_flight:
            queue = self.key_queues[held.key]
            if held in queue:
                queue.remove(held)

"""What all policies for comparison share: the module's interface, parking, timers, and what must not be
done."""

import heapq
import random
from collections import deque
from math import inf

from ... import interface
from ...brain import MAY_STILL_RUN, NEVER_RAN
from ...interface import Effect, EndpointStatus, Result

MARGIN = 0.05  # seconds before its time is up in which one is given up
EARLY = 0.05  # seconds before a window of a collapsible one closes
NAP = 0.1  # seconds until one is looked at again that no route takes


class Held:
    __slots__ = ("at", "id", "key", "maybe_at", "n", "out", "pushes", "state", "topic")

    def __init__(self, n: interface.Notification, topic: interface.TopicType):
        self.n, self.id, self.topic = n, n.id, topic
        self.key = n.key if topic.keep_order else ""
        self.pushes, self.maybe_at, self.out, self.state, self.at = (
            n.pushes,
            n.may_have_run_at,
            0,
            "parked",
            0.0,
        )


class Policy:
    """choose() names a route or none, again() says when a failed one may be pushed again or that it ends."""

    TIMEOUT = 3.0  # seconds, of a push, once-only ones apart

    def __init__(self, settings: interface.Settings, seed: int):
        self.set, self.random, self.now = settings, random.Random(seed), 0.0
        self.topics = {t.name: t for t in settings.topic_types}
        self.kinds = {k.name: k for k in settings.kinds}
        self.dests: dict[int, list[str]] = {}
        self.listed: dict[str, interface.Endpoint] = {}
        self.waits: dict[object, float] = {}  # destination, or route where apart -> until
        self.held: dict[str, Held] = {}
        self.out: dict[tuple[str, int], tuple[Held, str, float]] = {}
        self.flying: dict[str, int] = {}
        self.slots, self.ready, self.later, self.number = settings.slots, deque(), [], 0
        self.keys: dict[str, deque] = {}
        self.rests: dict[str, float] = {}
        self.acts, self.woken, self.leaves = [], inf, inf

    # -- to be overridden ---------------------------------------------------------------------------

    def choose(self, held: Held, routes: list[str]) -> str | None:
        return routes[int(self.random.random() * len(routes))]

    def again(self, held: Held, result: Result) -> float | None:
        """Seconds until it may be pushed again, None if it ends."""
        return None

    def heard(self, route: str, result: Result, elapsed: float, held: Held) -> None:
        """An outcome, for what a policy learns."""

    # -- the module's interface ---------------------------------------------------------------------

    def round(self, now: float, events: list) -> list:
        self.now, self.acts = now, []
        for event in events:
            kind = type(event)
            if kind is interface.Notification:
                self.on_notification(event)
            elif kind is interface.Outcome:
                self.on_outcome(event)
            elif kind is interface.ListUpdate:
                self.on_list(event)
            elif kind is interface.ShuttingDown:
                self.leaves = event.until
            elif kind is interface.Withdrawn and event.id in self.held:
                self.forget(self.held[event.id])
        while self.later and self.later[0][0] <= now:
            _, _, name = heapq.heappop(self.later)
            held = self.held.get(name)
            if held is None:
                continue
            if now >= held.n.due - MARGIN - 1e-9:
                self.give_up(held)
            elif held.state == "parked" and held.at <= now:
                held.state = "ready"
                self.ready.append(name)
        self.serve()
        if self.later and self.later[0][0] < self.woken - 1e-9 or self.woken <= now:
            self.woken = self.later[0][0] if self.later else inf
            if self.woken < inf:
                self.acts.append(interface.SetTimer(max(0.0, self.woken - now)))
        return self.acts

    def on_list(self, update: interface.ListUpdate) -> None:
        if update.whole:
            self.dests, self.listed = {}, {}
        for e in update.endpoints:
            row = self.dests.setdefault(e.destination, [])
            if e.status is EndpointStatus.READY:
                self.listed[e.id] = e
                if e.id not in row:
                    row.append(e.id)
                    row.sort()
            else:
                self.listed.setdefault(e.id, e)
                if e.id in row:
                    row.remove(e.id)

    def on_notification(self, n: interface.Notification) -> None:
        held = self.held[n.id] = Held(n, self.topics[n.topic_type])
        if held.key:
            self.keys.setdefault(held.key, deque()).append(held)
        self.alarm(n.due - MARGIN, held)
        if not self.may_push_again(held):
            return self.give_up(held)
        held.state = "ready"
        self.ready.append(n.id)
        return None

    def on_outcome(self, o: interface.Outcome) -> None:
        if (o.id, o.push) not in self.out:
            return
        held, route, sent = self.out.pop((o.id, o.push))
        self.slots += 1
        self.flying[route] -= 1
        held.out -= 1
        if o.wait > 0.0:
            self.waits[self.unit(route)] = max(
                self.waits.get(self.unit(route), 0.0), self.now + o.wait + 0.002
            )
        if o.result not in NEVER_RAN:
            held.maybe_at = min(held.maybe_at, sent)
        if held.key and o.result in MAY_STILL_RUN:
            self.rests[held.key] = self.now + self.set.rules.key_rest
        self.heard(route, o.result, o.elapsed, held)
        if held.state == "over":
            return self.next_turn(held)
        if o.ended or o.result is Result.DELIVERED:
            return self.forget(held)
        wait = self.again(held, o.result) if self.may_push_again(held) else None
        if wait is None:
            return self.give_up(held)
        self.park(held, wait)
        return None

    # -- holding ------------------------------------------------------------------------------------

    def unit(self, route: str):
        e = self.listed[route]
        kind = self.kinds.get(e.kind)
        return route if kind and kind.per_route else e.destination

    def alarm(self, when: float, held: Held) -> None:
        self.number += 1
        heapq.heappush(self.later, (when, self.number, held.id))

    def park(self, held: Held, wait: float) -> None:
        held.state, held.at = "parked", self.now + wait
        self.alarm(held.at, held)

    def may_push_again(self, held: Held) -> bool:
        if held.pushes >= self.set.max_pushes or self.now >= held.n.due - MARGIN:
            return False
        if held.maybe_at < inf and held.topic.effect is Effect.ONCE_ONLY:
            return False
        closes = held.maybe_at + held.topic.window - EARLY
        return held.maybe_at == inf or held.topic.effect is Effect.REPEATABLE or self.now < closes

    def in_turn(self, held: Held) -> bool:
        if not held.key:
            return True
        return self.keys[held.key][0] is held and self.now >= self.rests.get(held.key, 0.0)

    def serve(self) -> None:
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
                r
                for r in self.dests.get(held.n.destination, ())
                if self.waits.get(self.unit(r), 0.0) <= self.now
            ]
            route = (
                self.choose(held, routes)
                if routes and self.in_turn(held) and self.now < self.leaves
                else None
            )
            if route is None:
                self.park(held, NAP)
            else:
                self.push(held, route)

    def push(self, held: Held, route: str) -> None:
        timeout = inf if held.topic.effect is Effect.ONCE_ONLY else self.TIMEOUT
        self.out[held.id, held.pushes] = held, route, self.now
        self.acts.append(
            interface.Push(held.id, route, min(timeout, max(0.01, held.n.due - MARGIN - self.now)))
        )
        held.state, held.out, held.pushes = "out", held.out + 1, held.pushes + 1
        self.slots -= 1
        self.flying[route] = self.flying.get(route, 0) + 1

    def give_up(self, held: Held) -> None:
        effect = held.topic.effect
        harmless = held.maybe_at == inf and not held.out or effect is not Effect.ONCE_ONLY
        self.acts.append(interface.Throttle(held.id) if harmless else interface.Expire(held.id))
        self.forget(held)

    def forget(self, held: Held) -> None:
        self.held.pop(held.id, None)
        held.state = "over"
        self.next_turn(held)

    def next_turn(self, held: Held) -> None:
        if held.key and held.state == "over" and not held.out:
            turns = self.keys[held.key]
            if held in turns:
                turns.remove(held)

"""Rounds: which notifications are pushed now, and by which route."""

import heapq
import random
from collections import defaultdict
from math import inf

from .. import interface
from .estimators import DurationHistogram, RefusalCostDetector
from .guard import AGAIN, ONCE
from .notifications import HeldNotification
from .outcomes import Outcomes
from .routes import Call


class Brain(Outcomes):
    """The decision module of one relay: events in, actions out, with its state between rounds."""

    # A call is overdue after OVERDUE_FACTOR times the 90th percentile of its destination, but not before the
    # lesser of MAX_MIN_OVERDUE_S and OVERDUE_FACTOR_ALL times that percentile of all destinations.
    OVERDUE_FACTOR, OVERDUE_FACTOR_ALL, MAX_MIN_OVERDUE_S = 2.5, 3.0, 2.0
    # A push times out after that percentile times TIMEOUT_FACTOR, or MIN_TIMEOUT_S: slow pushes still run.
    TIMEOUT_FACTOR, MIN_TIMEOUT_S = 6.0, 10.0
    # Concurrent calls, as a factor of those that the rate keeps busy: at 2, calls queued at the endpoint;
    # expected duration of a push before any has ended.
    CONCURRENCY_FACTOR, INITIAL_DURATION_S = 1.2, 0.5
    # Calls expected in the time that an idle connection stays open: with fewer, most would close unused, so
    # that it is closed at once. The second applies while the kind is short of connections.
    MIN_IDLE_USES, MIN_IDLE_USES_SHORT = 0.25, 16.0

    def __init__(self, settings, seed):
        """settings: interface.Settings; seed: of all random numbers, so that a run can be repeated."""
        self.settings, self.rng, self.now, self.quotas = settings, random.Random(seed), 0.0, {}
        self.index_settings(settings)
        self.durations = DurationHistogram()  # of all destinations
        self.durations.add(self.INITIAL_DURATION_S)
        # Destinations by number: all, those with parked notifications (by creation), those without a route;
        # and draining routes by id.
        self.destinations, self.waiting, self.routeless, self.draining = {}, {}, {}, {}
        self.routes, self.notifications, self.in_flight, self.late_calls, self.keys = {}, {}, {}, {}, {}
        self.slots, self.timers, self.sequence, self.next_timer = settings.slots, [], 0, inf
        self.list_retry, self.list_confirmed, self.ends_at = self.LIST_RETRY_S, inf, inf
        # Of this round: actions, destinations to look at, new calls, routes of which a call has ended.
        self.actions, self.changed, self.new_calls, self.idle_routes = [], {}, {}, {}
        self.short_until, self.refusal_costs = {}, defaultdict(RefusalCostDetector)  # by kind
        if settings.asks_for_list:
            # At a random time, as all relays of a fleet may start at once.
            self.request_list_at(self.rng.uniform(0.0, self.LIST_RETRY_S))

    def index_settings(self, settings):
        """Indexes topic types, kinds and share caps by name; counts against a share cap go on."""
        self.topics, self.kinds = ({x.name: x for x in xs} for xs in (settings.topic_types, settings.kinds))
        rows, old = [(c.name, c.quota / settings.relays) for c in settings.customers], self.quotas
        self.quotas = {name: [quota, *old.get(name, (0, 0.0, 0.0))[1:]] for name, quota in rows}

    def on_settings_changed(self, event):
        """Applies new settings from now on."""
        self.slots, self.settings = self.slots + event.settings.slots - self.settings.slots, event.settings
        self.index_settings(self.settings)
        for route in self.routes.values():
            route.limiter.apply_settings(self.settings)

    def round(self, now, events):
        """Applies the events and due timers, and returns the actions; now: seconds, a time of the clock."""
        self.now, self.actions, self.new_calls = now, [], {}
        for event in events:
            self.HANDLERS[type(event)](self, event)
        while self.timers and self.timers[0][0] <= now:
            _, _, callback, subject = heapq.heappop(self.timers)
            callback(self, subject)
        self.serve()
        self.close_idle_connections()
        # An adapter may round a timer down.
        self.next_timer = inf if self.next_timer <= now + 1e-5 else self.next_timer
        if self.timers and self.timers[0][0] < self.next_timer:
            self.next_timer = self.timers[0][0]
            self.actions.append(interface.SetTimer(max(0.0, self.next_timer - now)))
        return self.actions

    def concurrency_limit(self, route):
        """Calls in flight to a route, past which further ones would only queue at the endpoint."""
        routes = sum(r.limiter is route.limiter for r in route.dest.route_list)
        busy = (
            route.limiter.fair_share(self.now)
            / routes
            * min(route.dest.usual_duration, route.dest.durations.quantile(0.3))
        )
        return max(1.0, self.CONCURRENCY_FACTOR * route.limiter.gain(self.now) * busy)

    def open_routes(self, dest):
        """The routes that take a further notification now, in a call of this round or in a new one."""
        return [r for r in dest.route_list if self.joinable_call(r) or self.may_start_call(r)]

    def may_start_call(self, route):
        """Whether the circuit, slots, concurrency and rate limit allow a new call now."""
        usable = route.state == "closed" or (route.state == "trial" and not route.calls)
        usable = usable and self.slots > 0 and route.dest.calls < self.slot_cap(route.dest)
        return (
            usable
            and route.calls < self.concurrency_limit(route)
            and route.limiter.ready_at(self.now) <= self.now
        )

    def may_risk(self, route, held):
        """Whether it may go to a failing route.

        Not past half of its pushes, nor if a call that fails after its start would end it and spare others.
        """
        effect = held.topic.effect
        others = (n for n in held.dest.parked.values() if self.now >= n.rests_until)
        ends = route.may_have_run and (effect is ONCE or (effect is not AGAIN and route.state == "trial"))
        loses = ends and any(n.topic.effect not in (ONCE, effect) for n in others)
        return self.joinable_call(route, held) or not (
            route.failures.consecutive and (loses or held.pushes * 2 >= held.max_pushes)
        )

    def avoids_topic(self, route, held):
        """Whether another route serves its topic type, as this one failed it: others may be taken here."""
        serving = [r for r in held.dest.route_list if self.now >= r.avoided_topics.get(held.topic.name, 0.0)]
        serving = [r for r in serving if held.may_have_run_at == inf or self.may_repeat(held, r.zone)]
        return route not in serving and any(r.state in ("closed", "trial") for r in serving)

    def joinable_call(self, route, held=None):
        """The call of this round to the route that the notification may join, else None.

        A call ends with the earliest end of its notifications, so that one short of time goes alone.
        """
        call, end = self.new_calls.get(route.id), self.call_end(held) if held else inf
        short = call and held and 2 * min(end, call.ends) - self.now < max(end, call.ends)
        short = short and min(end, call.ends) - self.now < route.dest.durations.quantile(0.9)
        return call if call and not short and len(call.items) < route.dest.kind.batch else None

    def serve(self):
        """Pushes what may be pushed now, the highest priority first."""
        self.cancel_late_calls()  # the outcome of the cancelled call frees the slot and starts a round
        if self.slots <= 0:
            return
        destinations, self.changed = [d for d in self.changed.values() if d.parked], {}
        ranked = [
            sorted(d.parked.values(), key=self.priority, reverse=True)
            for d in destinations
            if self.open_routes(d)
        ]
        for parked in sorted(ranked, key=lambda row: self.priority(row[0]), reverse=True):
            # Looked up once for all that are parked: mostly no route is available.
            routes = self.open_routes(dest := parked[0].dest)
            for held in parked if routes else ():
                if route := next((r for r in routes if self.accepts(r, held)), None):
                    self.push(held, route)
                    routes = self.open_routes(dest)
                if not routes:
                    break
        for dest in (d for d in destinations if d.parked):
            self.schedule_wake(dest)

    def accepts(self, route, held):
        """Whether the route takes the notification now: hop order, retry credit, risk and all rules."""
        later = route.id > held.last_route and self.now >= held.rests_until
        # If it may not join the call of this round, it waits for another one.
        later = later and (self.joinable_call(route, held) or not self.joinable_call(route))
        if held.refused:
            route.dest.add_credit(self.now)
            later = later and route.dest.retry_credit >= 1.0 - 1e-6
        return (
            later
            and self.may_risk(route, held)
            and self.may_push(held, route)
            and not self.avoids_topic(route, held)
        )

    def on_sibling_call(self, event):
        """Counts a call that another process of this relay began."""
        route = self.routes.get(event.endpoint)
        for name, push, topic in event.items if route else ():
            held = HeldNotification(interface.Notification(name, inf, 0, ""), route.dest, topic, 0.0, 1)
            held.state, held.in_flight = "remote", 1
            self.start(held, route, push)
        self.new_calls.pop(event.endpoint, None)  # no notification of this process can join it

    def start(self, held, route, push):
        """Counts a push in the call of this round, or in a new one with a timer for when it is overdue."""
        call, duration = self.joinable_call(route, held), route.dest.durations.quantile(0.9)
        alone = route.dest.kind.per_route or route.limiter.cold_since is None
        for limiter in [route.limiter] if alone else route.dest.affected_limiters(route):
            limiter.take_token(call is None, self.now)
        if call is None:
            call = self.new_calls[route.id] = Call(route, self.now)
            self.slots, route.calls = self.slots - 1, route.calls + 1
            route.dest.calls += 1
            # With few slots, a call holds a larger part of them: it is overdue sooner.
            few = min(0.5, 2.0 / self.settings.slots**2)
            floor = min(self.MAX_MIN_OVERDUE_S - few, self.OVERDUE_FACTOR_ALL * self.durations.quantile(0.9))
            self.schedule(
                self.now + max(floor, (self.OVERDUE_FACTOR - few) * duration), type(self).on_overdue, call
            )
        call.items, call.pending = [*call.items, (held, push)], call.pending + 1
        call.ends = min(call.ends, self.call_end(held))
        self.in_flight[held.id, push] = call, held

    def push(self, held, route):
        """Starts a push of the notification by the route."""
        self.start(held, route, held.pushes)
        held.in_flight, held.pushes = held.in_flight + 1, held.pushes + 1
        self.unpark(held)
        held.dest.retry_credit -= held.refused
        self.change_notification(held, "pushed")
        left = self.call_end(held) - self.now
        usual = self.TIMEOUT_FACTOR * route.dest.durations.quantile(0.9)
        longest = inf if held.topic.effect is ONCE else max(self.MIN_TIMEOUT_S, usual)
        self.actions.append(interface.Push(held.id, route.id, min(left, longest), self.begin_timeout(held)))

    def close_idle_connections(self):
        """Closes connections that would rarely be used: they fill places where endpoints accept few."""
        for route in self.idle_routes.values():
            uses = (
                self.MIN_IDLE_USES_SHORT
                if self.now < self.short_until.get(route.dest.kind.name, 0.0)
                else self.MIN_IDLE_USES
            )
            if not route.calls and route.limiter.fair_share(self.now) * self.settings.connection_idle < uses:
                self.actions.append(interface.CloseIdleConnections(route.id))
        self.idle_routes = {}

    def schedule_wake(self, dest):
        """Sets a timer for when a route of the destination may take a parked notification."""
        when = min(
            (r.limiter.ready_at(self.now) for r in dest.route_list if r.state != "draining"), default=inf
        )
        if when <= self.now and dest.retry_credit < 1.0 and any(n.refused for n in dest.parked.values()):
            when = self.now + (1.0 - dest.retry_credit) / max(1e-3, dest.credit_rate(self.now))
        if self.slots <= 0:
            self.mark_changed(dest)  # the next round may have a free slot
        if self.now < when < inf and not self.now < dest.wake_at <= when:
            dest.wake_at = when
            self.schedule(when, Outcomes.mark_changed, dest)

    HANDLERS = {
        interface.ListUpdate: Outcomes.on_list,
        interface.Notification: Outcomes.on_notification,
        interface.Outcome: Outcomes.on_outcome,
        interface.WaitRequested: Outcomes.on_wait,
        interface.Withdrawn: lambda self, event: (
            event.id in self.notifications and self.change_notification(self.notifications[event.id], "ended")
        ),
        interface.TimerFired: lambda self, event: None,
        interface.SettingsChanged: on_settings_changed,
        interface.SiblingCall: on_sibling_call,
        interface.SiblingKeyClaim: Outcomes.on_sibling_key_claim,
        interface.ShuttingDown: lambda self, event: setattr(self, "ends_at", event.until),
    }

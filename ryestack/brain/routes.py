"""Routes, destinations and calls: circuit breakers, and the endpoint list that they come from."""

import heapq
from math import inf

from .. import interface
from .estimators import DurationHistogram, FailureCounter
from .rate_limiter import RateLimiter

# Transitions of a route: (states, trigger, next state, effect); a trigger that is not listed changes nothing.
ROUTE_TRANSITION_ROWS = (
    ("closed trial", "tripped", "open", "open_after_failure"),
    ("open", "due", "trial", None),
    ("open trial", "wait", "open", "open_for"),
    ("trial", "failed", "open", "open_after_failure"),
    ("open trial", "delivered", "closed", None),
    ("closed open trial", "drain", "draining", None),
    ("draining", "ready", "closed", None),
)
ROUTE_TRANSITIONS = {
    (state, trigger): (to, effect)
    for states, trigger, to, effect in ROUTE_TRANSITION_ROWS
    for state in states.split()
}


class Call:
    """A call on its way, with one notification or several."""

    def __init__(self, route, sent):
        self.route, self.sent, self.pending, self.is_late = route, sent, 0, False
        self.end_scheduled = False  # whether a late call has been looked at for an early end
        self.items, self.ends = [], inf  # (notification, push number); the earliest end among them


class Route:
    """An endpoint of a destination, with its circuit breaker."""

    def __init__(self, endpoint, dest, limiter):
        self.id, self.zone, self.dest, self.limiter = endpoint.id, endpoint.zone, dest, limiter
        self.state, self.open_until, self.calls, self.failures = "closed", 0.0, 0, FailureCounter()
        # Of the last failure: whether that call may have run; whether it got no answer at all.
        self.may_have_run, self.unanswered = False, False
        # When the youngest delivered push was sent; topic type -> until when it is sent by other routes.
        self.delivered_sent, self.avoided_topics = 0.0, {}

    def needed_until(self):
        """Until when it is kept while it drains, as it may be listed again: for its wait, outage or calls."""
        cold = (
            self.limiter.failing_since if self.limiter.cold_since == inf else self.limiter.cold_since or -inf
        )
        return inf if self.calls else max(self.limiter.wait_until, cold + self.limiter.KEEP_DRAINED_S)


class Destination:
    """A destination: its routes, its parked notifications, and what was learned about it."""

    # Retries after a refusal by a limit that each new notification allows, and the maximum that adds up: with
    # more, the limit stays used up.
    RETRY_CREDIT, MAX_RETRY_CREDIT = 0.5, 3.0
    # Deliveries between two updates of the usual duration, and the factor by which it may rise in one: a slow
    # spell is over before the usual duration has followed it.
    USUAL_INTERVAL, USUAL_MAX_RISE = 16, 1.1

    def __init__(self, brain, number):
        self.number, self.kind, self.route_list, self.parked = number, None, [], {}
        self.failures, self.durations = FailureCounter(), DurationHistogram(brain.durations)
        self.wake_at, self.waiting_since, self.usual_duration, self.deliveries = inf, 0.0, inf, 0
        self.calls, self.created = 0, brain.sequence
        self.retry_credit, self.credit_at = brain.rng.random(), brain.now

    def expected_duration(self):
        """The median duration of a push, in seconds."""
        return self.durations.quantile(0.5)

    def credit_rate(self, now):
        """Retry credit a second, so that parked notifications are tried at least this often."""
        return self.RETRY_CREDIT * max(
            (p.fair_share(now) for p in {r.limiter: 0 for r in self.route_list}), default=0.0
        )

    def add_credit(self, now, new=0):
        """Adds the retry credit of the time that has passed and of new notifications."""
        gained = self.RETRY_CREDIT * new + self.credit_rate(now) * (now - self.credit_at)
        self.retry_credit, self.credit_at = min(self.MAX_RETRY_CREDIT, self.retry_credit + gained), now

    def record_duration(self, seconds):
        """Adds the duration of a delivered push."""
        self.durations.add(seconds)
        self.deliveries += 1
        # A destination that is slower than usual does not take more calls at once: it takes fewer.
        if self.deliveries % self.USUAL_INTERVAL == 0:
            self.usual_duration = min(self.usual_duration * self.USUAL_MAX_RISE, self.durations.quantile(0.3))

    def affected_limiters(self, route):
        """The limiters that an outcome at the route concerns: its own, or those of all routes.

        Outages mostly take all routes of a destination: three failures in a row at any of them concern all,
        also where routes have limits of their own.
        """
        one = self.kind.per_route and not self.failures.proves_outage()
        return [route.limiter] if one else list(dict.fromkeys(r.limiter for r in self.route_list))

    def is_out(self, route):
        """Whether the circuits of all routes in service that share this route's outages are open."""
        sharing = [route] if self.kind.per_route else self.route_list
        in_service = [r for r in sharing if r.state != "draining"]
        return bool(in_service) and all(r.state in ("open", "trial") for r in in_service)

    def all_failed(self, route, failed):
        """Whether all routes in service that share this route's outages are open or among the failed ones."""
        sharing = [route] if self.kind.per_route else self.route_list
        return all(r.state != "closed" or r.id in failed for r in sharing if r.state != "draining")

    def limiter_count(self):
        """Among how many limiters the reported rate is divided."""
        one = self.kind.per_route or self.kind.batch > 1
        return 1 if one else sum(r.state != "draining" for r in self.route_list) or 1


class CircuitBreakers:
    """Keeps the routes in step with the endpoint list, and their circuits with outcomes and timers."""

    # Seconds that a circuit stays open; and where a failed trial costs little, as its failure came at once.
    OPEN_S, OPEN_SHORT_S = 5.0, 1.5
    # Seconds over which requests for the list spread: at first, the maximum after failures, of an agent on
    # this machine.
    LIST_RETRY_S, MAX_LIST_RETRY_S, AGENT_RETRY_S = 1.0, 3.0, 0.5
    # Seconds of the platform's clock after which a change that a registry did not deliver counts as known:
    # nothing new is sent on a list that was not confirmed for so long.
    MAX_LIST_AGE_S = 6.0

    def schedule(self, when, callback, subject):
        """Calls callback(self, subject) in the first round at or after that time."""
        self.sequence += 1
        heapq.heappush(self.timers, (when, self.sequence, callback, subject))

    def mark_changed(self, dest):
        """Has the destination looked at in this round."""
        self.changed[id(dest)] = dest

    def on_list(self, update):
        """Applies a list, a change to it, or the failure of a request for it."""
        # A failed request is repeated at a random time, later each time, so that relays do not ask in step.
        if update.failed:
            # If the list is not requested from a registry, an agent on this machine has it: asking costs
            # nothing, and its list counts as confirmed.
            asks = self.settings.asks_for_list
            self.list_retry = (
                min(self.MAX_LIST_RETRY_S, self.list_retry * 2.0) if asks else self.AGENT_RETRY_S
            )
            self.list_confirmed = min(self.list_confirmed, update.confirmed_at) if asks else inf
            return self.request_list_at(self.now + self.list_retry * self.rng.uniform(0.5, 1.0))
        self.list_retry, self.list_confirmed = self.LIST_RETRY_S, inf
        self.changed = {id(dest): dest for _, dest in sorted(self.waiting.items())}
        listed = {e.id: e for e in update.endpoints}
        ready = {e.id for e in listed.values() if e.status is interface.EndpointStatus.READY}
        for endpoint in listed.values():
            self.leave_former_destination(endpoint)
        affected = [self.routes.get(e.id) or self.add_route(e) for e in listed.values()]
        affected += [r for r in self.routes.values() if r.id not in listed] if update.whole else []
        for route in affected:
            self.change_route(route, "ready" if route.id in ready else "drain")
        self.draining = {r.id: r for r in [*self.draining.values(), *affected] if r.state == "draining"}
        for route in [r for r in self.draining.values() if self.now >= r.needed_until()]:
            self.remove_route(route)
        for number in [n for n, d in self.routeless.items() if not (d.parked or d.calls)]:
            del self.destinations[number], self.routeless[number]

    def leave_former_destination(self, endpoint):
        """Removes the route of an endpoint that is listed under another destination now."""
        route = self.routes.get(endpoint.id)
        if route and route.dest.number != endpoint.destination:
            self.change_route(route, "drain")
            self.remove_route(route)

    def remove_route(self, route):
        """Removes a route; its calls in flight still end at it."""
        del self.routes[route.id]
        self.draining.pop(route.id, None)
        route.dest.route_list.remove(route)
        self.routeless.update({} if route.dest.route_list else {route.dest.number: route.dest})

    def request_list_at(self, due):
        """Asks for the endpoint list at that time, and not at an earlier one."""
        self.list_due = due
        self.schedule(due, CircuitBreakers.request_list, due)

    def request_list(self, due):
        """Asks for the endpoint list, unless that was put off."""
        if due == self.list_due:
            self.actions.append(interface.AskForList())

    def add_destination(self, number):
        """Adds a destination, numbered in the order of creation."""
        self.sequence += 1
        dest = self.destinations[number] = self.routeless[number] = Destination(self, number)
        return dest

    def add_route(self, endpoint):
        """Adds a route, and its destination if that is new."""
        dest = self.destinations.get(endpoint.destination) or self.add_destination(endpoint.destination)
        self.routeless.pop(endpoint.destination, None)
        dest.kind = dest.kind or self.kinds.get(endpoint.kind) or interface.Kind(endpoint.kind)
        dest.refusal_cost = self.refusal_costs[dest.kind.name]
        shared = (
            dest.route_list[0].limiter
            if dest.route_list and dest.kind.batch > 1 and not dest.kind.per_route
            else None
        )
        limiter = shared or RateLimiter(self.settings, dest, self.rng, self.now, endpoint.rate)
        route = self.routes[endpoint.id] = Route(endpoint, dest, limiter)
        dest.route_list = sorted([*dest.route_list, route], key=lambda r: r.id)
        return route

    def change_route(self, route, trigger, span=0.0):
        """Makes the transition of a route for that trigger; span: seconds of a wait."""
        self.mark_changed(route.dest)
        # A connection that is set up late must not carry a call that is now forbidden.
        if trigger in ("wait", "drain"):
            self.actions.append(interface.CancelUnsent(route.id))
        route.state, effect = ROUTE_TRANSITIONS.get((route.state, trigger), (route.state, None))
        if effect:
            getattr(self, effect)(route, span)

    def open_after_failure(self, route, _):
        """Opens the circuit for a random time, short if the failure was answered at once."""
        self.open_for(
            route, (self.OPEN_S if route.unanswered else self.OPEN_SHORT_S) * self.rng.uniform(0.7, 1.3)
        )

    def open_for(self, route, span):
        """Opens the circuit for so many seconds."""
        route.open_until = self.now + span
        self.schedule(route.open_until, CircuitBreakers.on_open_end, route)

    def on_open_end(self, route):
        """Begins a trial, unless the circuit was opened for longer meanwhile."""
        if self.now >= route.open_until:
            self.change_route(route, "due")

"""Outcomes of calls, and of calls that have none in time."""

from math import inf

from ..interface import Result
from .guard import ONCE
from .notifications import MAY_STILL_RUN, NEVER_RAN
from .trials import Trials


class Outcomes(Trials):
    """Applies outcomes to notifications, routes, limiters and circuits."""

    # Seconds for which other routes serve a topic type that failed at one: calls of a type are few, and each
    # trial may lose one.
    TOPIC_AVOIDED_S = 20.0
    # Seconds after a failed connection for which a kind counts as short of connections: one relay meets few
    # of them, and those of an outage would cost a handshake each.
    CONNECTIONS_SHORT_S = 60.0
    # Share cap: part of all slots that one destination may hold, and while it fails.
    SLOT_SHARE, FAILING_SLOT_SHARE = 0.75, 0.5

    def on_outcome(self, outcome):
        """Applies the outcome of one push."""
        if (outcome.id, outcome.push) not in self.in_flight:
            return
        call, held = self.in_flight.pop((outcome.id, outcome.push))
        route, first, call.pending = call.route, call.pending == len(call.items), call.pending - 1
        if not call.pending:
            self.slots, route.dest.calls = self.slots + 1, route.dest.calls - 1
            route.calls -= not call.is_late
            self.late_calls.pop(call, None)
            self.idle_routes[route.id] = route
        self.mark_changed(route.dest)
        for each in (
            ([route] if route.dest.kind.per_route else route.dest.route_list)
            if outcome.limit and first
            else ()
        ):
            each.limiter.record_limit(outcome.limit, outcome.limit_left, self.now)
        self.on_wait(outcome)
        if outcome.result is Result.DELIVERED:
            route.dest.record_duration(outcome.elapsed)
            self.durations.add(outcome.elapsed)
        if first:
            self.apply_result(route, call, outcome)
        held.in_flight -= 1
        held.pushes -= not outcome.attempted
        if held.key and outcome.result in MAY_STILL_RUN:
            self.keys[held.key][1] = self.now + self.settings.rules.key_rest
            for other in self.keys[held.key][0].values():
                self.schedule(self.keys[held.key][1], Outcomes.mark_changed, other.dest)
        self.release_key(held)
        if outcome.result not in NEVER_RAN and call.sent < held.may_have_run_at:
            held.may_have_run_at, held.may_have_run_zone = call.sent, held.may_have_run_zone or route.zone
        held.last_route, held.hops = route.id, held.hops + 1
        held.refused = outcome.result is Result.FULL and outcome.limit_left < route.limiter.USED_UP_SHARE
        self.change_notification(
            held, "ended" if outcome.ended or outcome.result is Result.DELIVERED else "failed"
        )

    def on_wait(self, event):
        """Applies a wait; it comes with an answer's head and again with the outcome, which may be late."""
        route = self.routes.get(event.endpoint)
        span = event.wait + 0.002  # a wait is sent in whole milliseconds
        if route and event.wait > 0.0:
            for each in [route] if route.dest.kind.per_route else route.dest.route_list:
                each.limiter.wait_until = max(each.limiter.wait_until, self.now + span)
                self.change_route(each, "wait", span)

    def apply_result(self, route, call, outcome):
        """Applies the first outcome of a call to its route, limiters and circuit."""
        if outcome.limit_left < route.limiter.USED_UP_SHARE and outcome.result in (
            Result.FULL,
            Result.DELIVERED,
        ):
            route.dest.refusal_cost.add(outcome.result is Result.FULL)
        if outcome.result is Result.DELIVERED:
            unanswered = route.limiter.detector.unanswered
            may_be_cold = self.ends_outage(route, call)
            for limiter in route.dest.affected_limiters(route):
                limiter.record_success(call.sent, self.now, limiter is route.limiter, may_be_cold)
                if unanswered:  # what has gathered meanwhile must not go at once
                    limiter.empty_bucket(self.now)
            for failures in (route.failures, route.dest.failures):
                failures.add(self.now, True)
            route.may_have_run, route.delivered_sent = False, max(route.delivered_sent, call.sent)
            for held, _ in call.items:
                route.avoided_topics.pop(held.topic.name, None)
            self.change_route(route, "delivered")
        elif outcome.result is Result.FULL:
            self.change_route(route, "refused" if outcome.wait else "failed")
            used_up = outcome.limit_left < route.limiter.USED_UP_SHARE
            if not used_up:
                part = route.limiter.cold_part(self.now)
                route.limiter.detector.record_refusal(call.sent, self.now, outcome.wait, part)
                self.count_refusal(route, call, outcome.wait, part)
            route.limiter.record_failure(call.sent, self.now, True, outcome.wait, used_up=used_up)
            # A destination that is shut is so for all routes that share its outages, and comes back cold.
            for limiter in route.dest.affected_limiters(route) if route.limiter.cold_since == inf else ():
                limiter.mark_down(call.sent, route.limiter.budget_share)
        elif (
            outcome.result not in (Result.NOT_SENT, Result.CANCELLED)
            and not call.is_late
            and not outcome.stale
        ):
            self.record_call_failure(call, outcome.result)

    def record_call_failure(self, call, result):
        """Records a failed call; result: None for one that is overdue."""
        route, may_have_run = call.route, result is not Result.NO_CONNECTION
        route.may_have_run, route.unanswered = may_have_run, result in (None, Result.TIMED_OUT)
        for held, _ in call.items if may_have_run else ():
            route.avoided_topics[held.topic.name] = self.now + self.TOPIC_AVOIDED_S * self.rng.uniform(
                0.7, 1.3
            )
        for failures in (route.failures, route.dest.failures):
            failures.add(self.now, False)
        route.limiter.detector.record_failure(self.now)
        route.limiter.detector.count_failure(call.sent, route.id, unanswered=route.unanswered)
        # A proven outage says nothing of how many connections the endpoints take.
        if not may_have_run:
            self.short_until[route.dest.kind.name] = self.now + self.CONNECTIONS_SHORT_S * (
                not route.dest.failures.proves_outage()
            )
        for limiter in route.dest.affected_limiters(route):
            limiter.record_failure(call.sent, self.now, False, may_have_run=may_have_run)
        self.change_route(route, "tripped" if route.failures.proves_outage() else "failed")
        if route.dest.is_out(route):
            for limiter in route.dest.affected_limiters(route):
                limiter.mark_down(call.sent)

    def on_overdue(self, call):
        """Counts a call as failed before its time-out: this covers hangs, silence and slow answers."""
        if call.pending < len(call.items):
            return
        # It no longer counts against the route's concurrency: such a call may never end.
        call.is_late, call.route.calls = True, call.route.calls - 1
        if call.items[0][0].state != "remote":
            self.late_calls[call] = None
        # If a younger call delivered meanwhile, the call is long, or its answer was lost: no failure.
        if call.route.delivered_sent <= call.sent:
            self.record_call_failure(call, None)
        if self.settings.may_cancel and self.may_be_away(call.route):
            self.schedule_ends_of_late_calls(call.route.dest)

    def slot_cap(self, dest):
        """Calls that the destination may have in flight at once."""
        failing = any(r.failures.consecutive or r.state in ("open", "trial") for r in dest.route_list)
        return max(1, int(self.settings.slots * (self.FAILING_SLOT_SHARE if failing else self.SLOT_SHARE)))

    def cancel_late_calls(self):
        """Cancels a late call where a slot is needed: any if none is free, else one of that destination."""
        if not self.late_calls or not self.settings.may_cancel:
            return
        for dest in [d for d in self.changed.values() if d.parked]:
            wanted = any(r.state == "closed" and r.limiter.wait_until <= self.now for r in dest.route_list)
            free = self.slots > 0 and dest.calls < self.slot_cap(dest)
            late = [c for c in self.late_calls if self.slots <= 0 or c.route.dest is dest]
            if wanted and not free and late:
                # A cancelled push may have run, so that a once-only notification in it is lost.
                cheapest = min(
                    late, key=lambda c: sum(n.benefit for n, _ in c.items if n.topic.effect is ONCE)
                )
                self.cancel_call(cheapest)

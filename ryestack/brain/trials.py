"""Calls that try a destination that is away: with which notification, and for how long each stays open."""

from math import inf

from ..interface import Cancel
from .guard import ONCE
from .health import Health
from .notifications import Notifications


class Trials(Notifications):
    """Bounds what a destination that is away may find waiting in a link when it is back."""

    def may_be_away(self, route):
        """Whether its destination is down, or failed more than once since it last delivered."""
        return route.limiter.cold_since == inf or route.limiter.detector.suspects_outage()

    def schedule_ends_of_late_calls(self, dest):
        """Has late calls to a destination that is away looked at once they were open for a window of rule 4.

        A link may hold them all and hand them over at the return.
        """
        for call in [c for c in self.late_calls if c.route.dest is dest and not c.end_scheduled]:
            call.end_scheduled = True
            end = max(self.now, call.sent + self.settings.rules.fall_time)
            self.schedule(end, Trials.end_late_call, call)

    def end_late_call(self, call):
        """Ends a late call at a destination that is still away, if its messages may be sent again.

        As many stay open as the relay's part of the cold budget allows in a window, at random where that is
        no whole number: the destination may be slow and not away.
        """
        if call not in self.late_calls or self.has_once_only(call) or not self.may_be_away(call.route):
            return
        sharing = call.route.limiter.sharing()
        late = sum(c.route.limiter in sharing for c in self.late_calls)
        if late > int(self.budget_of_window(call.route) + self.rng.random()):
            self.cancel_call(call)

    def budget_of_window(self, route):
        """Calls of this relay that the route's destination may get in a window just after its return."""
        limiter, rules = route.limiter, self.settings.rules
        rate = limiter.cold_part(self.now) * rules.overload_factor * rules.cold_share * limiter.budget_share
        return rate * rules.fall_time

    @staticmethod
    def has_once_only(call):
        """Whether the call carries a once-only notification."""
        return any(held.topic.effect is ONCE for held, _ in call.items)

    def cancel_call(self, call):
        """Cancels a late call."""
        del self.late_calls[call]
        self.actions += [Cancel(n.id, push) for n, push in call.items]

    def count_refusal(self, route, call, wait, part):
        """Counts a refusal; its told wait forbids further calls, by all routes that share it."""
        detector = route.limiter.detector
        detector.count_failure(call.sent, route.id, int(wait * part))
        if wait and not route.dest.kind.per_route:
            detector.failed_routes.update(r.id for r in route.dest.route_list)

    def ends_outage(self, route, call):
        """Whether a delivered call may have ended an outage that is not proven: it may be cold then."""
        detector = route.limiter.detector
        if not detector.separate_failures and not detector.suspects():
            return detector.record_success(call.sent, self.now, 0.0)
        part = route.limiter.cold_part(self.now)
        all_failed = route.dest.all_failed(route, detector.failed_routes)
        warming = route.limiter.health(self.now) is Health.WARMING
        possible = detector.outage_possible(part, self.settings.rules.cold_time, all_failed, warming)
        return detector.record_success(call.sent, self.now, part, possible)

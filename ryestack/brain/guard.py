"""The rules for what may be sent, repeated and answered now, in one place.

All pushes and final answers pass here.
"""

from math import inf

from .. import interface
from .routes import CircuitBreakers

ONCE, AGAIN = interface.Effect.ONCE_ONLY, interface.Effect.REPEATABLE


class Guard(CircuitBreakers):
    """Checks of rules 1, 2, 3, 5 and 6; each is stated for the time of the current round."""

    # Seconds by which each permission ends early: for so long, a process may be held up between its last look
    # at the clock and a write.
    DEADLINE_MARGIN_S = 0.15

    def may_push(self, held, route):
        """Whether a push may be started now (rules 1, 2, 3, 5 and 6)."""
        if (
            held.state != "parked"
            or held.in_flight
            or self.now + self.DEADLINE_MARGIN_S >= held.due
            or held.pushes >= held.max_pushes
        ):
            return False  # rule 1, and never two pushes of one notification in flight
        if not self.takes_new(route) or self.cut_short(held):
            return False
        if held.key and not self.is_first_of_key(held):
            return False
        return held.may_have_run_at == inf or self.may_repeat(held, route.zone)

    def takes_new(self, route):
        """Rules 3 and 6: the endpoint is not draining and asked for no wait that still lasts.

        Once the list was not confirmed for MAX_LIST_AGE_S, only a delivery sent within that time counts as
        proof that the endpoint is not draining.
        """
        stale = self.now >= max(self.list_confirmed, route.delivered_sent) + self.MAX_LIST_AGE_S
        return not (route.state == "draining" or stale or self.now < route.limiter.wait_until)

    def cut_short(self, held):
        """Whether this process ends before a push could, after which it may have run (rule 2)."""
        return self.now + held.dest.expected_duration() >= self.ends_at

    def is_first_of_key(self, held):
        """Rule 5: the first of its key, and not before the key's rest is over."""
        queue, rests_until = self.keys[held.key]
        return next(iter(queue)) == held.id and (self.now >= rests_until or held.pushes > 0)

    def may_repeat(self, held, zone):
        """Rule 2: whether a notification that may have run may be pushed again, to that zone."""
        if held.topic.effect is not interface.Effect.COLLAPSIBLE:
            return held.topic.effect is AGAIN
        collapses = held.topic.group == "all" or (
            held.topic.group == "zone" and zone == held.may_have_run_zone != ""
        )
        return collapses and self.now < self.last_repeat(held)

    def begin_timeout(self, held):
        """Seconds within which a push may begin, also on a connection that is set up late."""
        return min(held.due - self.DEADLINE_MARGIN_S, self.last_repeat(held)) - self.now

    def call_end(self, held):
        """When a call that carries it ends: before its deadline, and a repeat before its window's end.

        A link may hold the call; once it is given up, nothing delivers it.
        """
        return min(held.due, self.window_end(held)) - self.DEADLINE_MARGIN_S

    def last_repeat(self, held):
        """When a repeat may begin at the latest, so that its answer comes before the call's end."""
        return self.window_end(held) - self.DEADLINE_MARGIN_S - held.dest.expected_duration()

    def window_end(self, held):
        """When its window of repeats ends; inf where nothing may have run, or a repeat does no harm."""
        return inf if held.topic.effect is AGAIN else held.may_have_run_at + held.topic.window

    def may_throttle(self, held):
        """Whether a repeat by the client is harmless."""
        effect, never_ran = held.topic.effect, held.may_have_run_at == inf
        return never_ran or effect is AGAIN or (effect is not ONCE and held.topic.group == "all")

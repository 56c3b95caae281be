"""What a relay takes a destination for, or a route with outages of its own: its states and transitions.

Times are seconds of the clock.
"""

from enum import Enum, auto
from math import inf

from .estimators import FailureCounter
from .health import Health


class OutageEvent(Enum):
    """What changes the state."""

    PROVEN = auto()  # failures or refusals prove an outage
    DELIVERED = auto()  # a call that was sent after the last failure
    RETURNED = auto()  # the same, and it may have ended an outage that is not proven
    WARMED_UP = auto()  # all of the capacity is there again


# Transitions; a pair that is not listed changes nothing. The outage detector enters and leaves SUSPECTED:
# with a failed call that may be one of an outage, and with the next delivery.
TRANSITIONS = {
    (Health.WARM, OutageEvent.PROVEN): Health.DOWN,
    (Health.WARM, OutageEvent.RETURNED): Health.WARMING,
    (Health.SUSPECTED, OutageEvent.PROVEN): Health.DOWN,
    (Health.SUSPECTED, OutageEvent.RETURNED): Health.WARMING,
    (Health.DOWN, OutageEvent.DELIVERED): Health.WARMING,
    (Health.DOWN, OutageEvent.RETURNED): Health.WARMING,
    (Health.WARMING, OutageEvent.PROVEN): Health.DOWN,
    (Health.WARMING, OutageEvent.RETURNED): Health.WARMING,
    (Health.WARMING, OutageEvent.WARMED_UP): Health.WARM,
}


class OutageState:
    """The part of a rate limiter that follows outages.

    cold_since: None while warm or suspected, inf while down, else when the warm-up began. failing_since: when
    the first call was sent that failed after the last delivery, inf if none. reopens_at: the end of a long
    told wait, 0 if none.
    """

    # Without a delivery for so long, a destination may come back cold; a rate limit refuses for less time.
    OUTAGE_AFTER_S = 3.0
    # Share of rule 4's budget that is used, the rest is a margin for random variation and for calls under
    # way, of which there are fewer where the destination refused at once; tokens that each further
    # notification of a call takes while the destination is cold.
    COLD_BUDGET_SHARE, REFUSED_BUDGET_SHARE, COLD_ITEM_TOKENS = 0.7, 0.85, 0.05
    POSSIBLE_BUDGET_SHARE = 1.0  # after an outage that is possible and not proven: it was short

    def health(self, now):
        """What it takes its destination, or route, for."""
        if self.cold_since == inf:
            return Health.DOWN
        if self.cold_since is not None and now < self.cold_since + self.rules.cold_time:
            return Health.WARMING
        return Health.SUSPECTED if self.detector.suspects_outage() else Health.WARM

    def change(self, trigger, now):
        """Makes the transition for that event."""
        before = self.health(now)
        after = TRANSITIONS.get((before, trigger), before)
        if trigger is OutageEvent.WARMED_UP:
            self.cold_since = None
        elif after is Health.DOWN:
            self.cold_since = inf
        elif after is Health.WARMING and before is Health.DOWN:
            self.cold_since = self.reopens_at or max(now, self.wait_until)
        elif after is Health.WARMING and trigger is OutageEvent.RETURNED:
            self.cold_since, self.tokens = now, min(self.tokens, 0.0)
            if before is not Health.WARMING:  # else its share is that of an outage that was proven
                self.budget_share = self.POSSIBLE_BUDGET_SHARE

    def record_success(self, sent, now, own, after_refusals=False):
        """A call that was sent at `sent` delivered; own: by a route of this limiter, not of a sibling.

        after_refusals: it ended a run of refusals that may have been an outage.
        """
        may_be_cold = after_refusals or self.may_have_missed_outage(now)
        if own:
            self.delivered.add(now)
            self.backoff, self.refusals = max(0.1, self.backoff * self.BACKOFF_DECAY), 0
            self.tokens = 1.0 if self.is_sparse(now) else self.tokens
        # A call that was sent before the outage does not prove that the destination is back.
        if sent >= self.failing_since or self.failing_since == inf:
            self.failing_since = inf
            self.change(OutageEvent.RETURNED if may_be_cold else OutageEvent.DELIVERED, now)

    def record_failure(self, sent, now, refused, wait=0.0, may_have_run=True, used_up=False):
        """A call that was sent at `sent` failed.

        wait: seconds that the endpoint asked for; used_up: it was refused with the limit used up.
        """
        self.reopens_at = (
            now + wait if wait > self.OUTAGE_AFTER_S else self.reopens_at if sent <= self.reopens_at else 0.0
        )
        # The retry time is random: relays that a burst of load refused together must not return together.
        if refused:
            self.refusals, self.last_call_at = self.refusals + 1, now
            self.backoff, self.refilled_at = self.backoff * 2**self.refusals, now
            spread = self.refusals * (used_up and self.cold_since is None and self.may_borrow(now))
            self.tokens = -(1 + spread) * self.rng.random()
        if used_up and wait <= self.OUTAGE_AFTER_S:
            return  # a used-up limit is no outage: the destination behind it is not cold
        self.failing_since = min(self.failing_since, sent)
        if refused and self.detector.proves_outage(now, wait, self.cold_part(now)):
            # The next trial comes at a random time within the interval between two of our calls.
            self.tokens = self.tokens if self.cold_since == inf else self.rng.random()
            return self.mark_down(sent, self.REFUSED_BUDGET_SHARE)
        # Where calls are few, two refusals or failed connections may be random. A third, a long wait, or a
        # call that may have run and got no good answer, are not.
        few = (
            self.refusals < FailureCounter.CONSECUTIVE_LIMIT
            if refused
            else not may_have_run and self.dest.failures.consecutive < FailureCounter.CONSECUTIVE_LIMIT
        )
        long = wait > self.OUTAGE_AFTER_S or (not few and now - self.failing_since > self.OUTAGE_AFTER_S)
        if long or self.dest.failures.proves_outage():
            self.mark_down(sent)

    def may_have_missed_outage(self, now):
        """Whether it failed and was then left unused for long, though calls for it are many.

        Its last call failed, so that it may have been down since, and come back cold.
        """
        unused = now - self.failing_since
        expected_calls = self.fair_share(now) * unused
        return (
            self.cold_since is None
            and not self.refusals
            and unused > self.OUTAGE_AFTER_S
            and expected_calls >= FailureCounter.CONSECUTIVE_LIMIT
        )

    def resume_warm_up(self, since):
        """Goes on with a warm-up that the process before began then."""
        self.cold_since, self.failing_since = since, inf
        self.tokens = min(self.tokens, self.rng.random())

    def mark_down(self, since, budget_share=COLD_BUDGET_SHARE):
        """Marks the destination as down since then; a random delay keeps relays from returning in step."""
        if self.cold_since != inf:
            self.tokens, self.budget_share = min(self.tokens, self.rng.random()), budget_share
        self.change(OutageEvent.PROVEN, since)
        self.failing_since = min(self.failing_since, since)

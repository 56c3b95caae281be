"""Tells a destination that is away from one that refuses calls at random or at a limit."""

from math import inf, log

from .estimators import FailureCounter
from .failure_runs import FailureRuns


class OutageDetector:
    """Follows the failures of a destination, or of a route that has outages of its own.

    After a refusal it lets single trial calls go at short intervals: a relay of a large fleet makes few
    calls, and would else see one or two refusals of a whole outage. A run of refusals that is longer than
    chance explains proves an outage. A delivery that ends a shorter run of refusals and failures may still
    be one of a destination that is back cold. Times are seconds; a part is a relay's share of a capacity, in
    calls a second.
    """

    TRIAL_INTERVAL_S, TRIAL_JITTER = 0.5, 0.2
    MIN_OUTAGE_S = 0.8  # a run of calls that were refused together proves nothing
    # Share of the calls that a destination may refuse at random; refusals in a row that prove an outage at a
    # relay with few calls, and how many fewer make one likely; seconds in which more calls need a longer run.
    RANDOM_REFUSALS, MIN_RUN, RUN_MARGIN, REFERENCE_S = 1.0 / 3.0, 3, 2, 20.0
    MAX_GAP_S = 1.3  # from the first refusal to a delivery, within which a destination was not away
    OUTAGE_WAIT_S = 1.0  # a told wait that long: the destination is away by its own word
    # Failed calls that make an outage possible, if they were sent at least so many seconds apart; the part of
    # all time for which chance alone may have a destination taken for cold, warm_up seconds at a time.
    MIN_POSSIBLE_RUN, MIN_SPACING_S, CHANCE_TIME_SHARE = 2, 0.1, 0.1
    CHANCE_FAILURES_IN_WARM_UP = 1.5  # so many on average: with more, a failure in it tells nothing

    def __init__(self, rng):
        self.rng, self.outcomes, self.runs = rng, FailureCounter(), FailureRuns()
        self.began, self.next_trial_at = inf, 0.0  # of the run of refusals
        self.begin_run()

    def begin_run(self):
        """Forgets the failures of the last run. separate: sent some time after another one."""
        self.separate_failures, self.failed_routes, self.unanswered = 0, set(), False
        self.first_failed_sent, self.last_failed_sent = inf, -inf

    def suspects(self):
        """Whether the last calls were refused."""
        return self.began < inf

    def count_failure(self, sent, route, forbidden_calls=0, unanswered=False):
        """Counts a failed or refused call by that route, unless it was sent together with another one.

        forbidden_calls: that would have been made in the wait that a refusal told, and refused as well;
        unanswered: whether it got no answer at all.
        """
        self.unanswered = self.unanswered or unanswered
        self.failed_routes.add(route)
        self.first_failed_sent = min(self.first_failed_sent, sent)
        if sent >= self.last_failed_sent + self.MIN_SPACING_S:
            self.separate_failures += 1 + forbidden_calls
            self.last_failed_sent = sent

    def outage_possible(self, part, warm_up, all_failed, warming=False):
        """Whether chance hardly explains the failures since the last delivery.

        warm_up: seconds for which the destination is taken for cold after an outage; all_failed: whether all
        routes failed, so that it is not one endpoint that is away; warming: whether it is taken for cold now,
        and may not have been back: one failure is enough then, where chance brings few in a warm-up.
        """
        run = self.separate_failures
        if warming and run:
            return self.runs.chance_rate(1, part) * warm_up <= self.CHANCE_FAILURES_IN_WARM_UP
        if run < self.MIN_POSSIBLE_RUN or not all_failed:
            return False
        return self.runs.chance_rate(run, part) * warm_up <= self.CHANCE_TIME_SHARE

    def suspects_outage(self):
        """Whether the last calls were refused, or more than one failed."""
        return self.suspects() or self.separate_failures >= self.MIN_POSSIBLE_RUN

    def record_success(self, sent, now, part, outage_possible=False):
        """Records a delivery of a call sent at `sent`; returns whether the destination may be cold.

        outage_possible: whether the failures before it may be those of an outage.
        """
        if sent < self.began < inf:
            return False  # sent before the first refusal
        if sent < self.first_failed_sent < inf:
            self.outcomes.add(now, True)
            return False  # sent before the first failure
        if self.separate_failures:
            self.runs.add_run(self.separate_failures)
        else:
            self.runs.add_delivery()
        self.begin_run()
        gap, run = sent - self.began, self.outcomes.consecutive
        idle = sent - self.next_trial_at  # no trial was made though one was allowed
        self.outcomes.add(now, True)
        self.began = inf
        long = run >= max(2.0, self.run_of_chance(part) - self.RUN_MARGIN)
        return outage_possible or (gap > self.MAX_GAP_S and (long or idle > self.MAX_GAP_S))

    def record_refusal(self, sent, now, wait, part):
        """Records a refusal of a call sent at `sent`, with a told wait or 0."""
        self.outcomes.add(now, False)
        self.began = min(self.began, sent)
        jitter = self.rng.uniform(1.0 - self.TRIAL_JITTER, 1.0 + self.TRIAL_JITTER)
        self.next_trial_at = now + wait + self.trial_interval(part) * jitter

    def record_failure(self, now):
        """Records a failure that is no refusal."""
        self.outcomes.add(now, False)

    def record_trial(self, now, part):
        """Records that a call was sent while it suspects an outage."""
        self.next_trial_at = max(self.next_trial_at, now + self.trial_interval(part))

    def resume(self, began, run, now):
        """Takes over a run of refusals that the process before recorded."""
        self.began, self.outcomes.consecutive, self.next_trial_at = began, run, now
        self.separate_failures = max(self.separate_failures, run)

    def proves_outage(self, now, wait, part):
        """Whether the last refusal, which told that wait, proves an outage."""
        if wait >= self.OUTAGE_WAIT_S:
            return True
        run = self.outcomes.consecutive
        longer = run >= self.run_of_chance(part) and self.outcomes.proves_outage()
        return longer and now - self.began > self.MIN_OUTAGE_S

    def trial_interval(self, part):
        """Seconds between two trial calls: a relay with a large part makes as many as it is due."""
        return min(self.TRIAL_INTERVAL_S, 1.0 / part)

    def run_of_chance(self, part):
        """Refusals in a row that prove an outage.

        Runs of n come with the part times RANDOM_REFUSALS ** n, and each delays messages by the part: the
        product is the same at all relays.
        """
        calls = max(1.0, part * self.REFERENCE_S)
        return max(float(self.MIN_RUN), 2.0 * log(calls) / -log(self.RANDOM_REFUSALS))

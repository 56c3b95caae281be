"""Rate limiter of a destination, or of one route: its rate limit, waits, refusals and warm-up."""

from math import inf

from .estimators import DecayingRate, FailureCounter
from .health import Health
from .outage_detector import OutageDetector


class RateLimiter:
    """A token bucket whose rate follows the reported limit, this relay's share of it, and outages.

    Times are seconds; rates are calls a second.
    """

    # Factor above our share of the rate, as load differs between relays. Where a call gathers several
    # notifications it is 1, since waiting fills the calls.
    SHARE_GAIN = 1.5
    # Where refused calls use up a limit, the whole fleet must stay below it. The reported share that is left
    # shows whether it does: below USED_UP_SHARE the gain is lowered, from HIGH_SHARE on it is raised.
    # Reports within GAIN_INTERVAL_S count as one.
    MIN_GAIN, MAX_GAIN, GAIN_DECREASE, GAIN_INCREASE = 0.5, 3.0, 0.7, 1.2
    USED_UP_SHARE, HIGH_SHARE, GAIN_INTERVAL_S = 0.2, 0.5, 0.5
    # Relays keep their parts of the load for long; over 5 s, a single delivery of a relay with little load
    # would look like many.
    DELIVERED_HALF_LIFE_S = 30.0
    BURST_S, KEEP_DRAINED_S = 1.0, 60.0  # of our share that may go at once; a drained route is remembered
    # Seconds to wait for each missing token. A refusal doubles it and a delivery multiplies it by
    # BACKOFF_DECAY: the two balance at one refusal in ten calls.
    INITIAL_BACKOFF_S, BACKOFF_DECAY = 0.5, 0.925
    # Calls in the time that an idle connection stays open: with fewer, all of them go by one route at random.
    SPARSE_CALLS = 4.0
    # Without a delivery for so long, a destination may come back cold; a rate limit refuses for less time.
    OUTAGE_AFTER_S = 3.0
    # Share of rule 4's budget that is used, the rest is a margin for random variation and for calls under
    # way, of which there are fewer where the destination refused at once; tokens that each further
    # notification of a call takes while the destination is cold.
    COLD_BUDGET_SHARE, REFUSED_BUDGET_SHARE, COLD_ITEM_TOKENS = 0.7, 0.85, 0.05
    # Calls a second of all relays, where the list has no rates; factor by which a rough rate may be off.
    DEFAULT_RATE, ROUGH_RATE_ERROR = 5.0, 1.5

    def __init__(self, settings, dest, rng, now, rate):
        self.dest, self.rng, self.delivered = dest, rng, DecayingRate(self.DELIVERED_HALF_LIFE_S, now)
        self.refilled_at, self.gain_changed_at = now, now
        self.apply_settings(settings)
        # Routes of a destination share its limit and outages, unless its kind has them per route.
        siblings = [] if dest.kind.per_route else [r.limiter for r in dest.route_list]
        # None: warm; inf: down; else the time at which the destination came back and its warm-up began.
        self.cold_since = max((p.cold_since for p in siblings if p.cold_since is not None), default=None)
        self.reported_rate = max(0.1, rate) if settings.list_has_rates else self.DEFAULT_RATE
        self.tokens = rng.random() ** (1.0 / self.reported_rate)  # a random choice of route, weighted by rate
        self.backoff, self.refusals, self.learned_gain = self.INITIAL_BACKOFF_S, 0, self.SHARE_GAIN
        self.last_call_at, self.reopens_at = 0.0, 0.0
        self.share_high, self.failing_since = False, min((p.failing_since for p in siblings), default=inf)
        self.wait_until = max((p.wait_until for p in siblings), default=0.0)
        self.detector = siblings[0].detector if siblings else OutageDetector(rng)
        self.budget_share = self.COLD_BUDGET_SHARE  # of rule 4's budget

    def apply_settings(self, settings):
        """Takes over the settings that concern it."""
        self.objective = min((t.objective for t in settings.topic_types), default=0.0)
        self.rules, self.relays = settings.rules, settings.relays
        self.connection_idle = settings.connection_idle
        self.rate_error = self.ROUGH_RATE_ERROR if settings.rough_rates else 1.0

    def health(self, now):
        """What it takes its destination, or route, for."""
        if self.cold_since == inf:
            return Health.DOWN
        if self.cold_since is not None and now < self.cold_since + self.rules.cold_time:
            return Health.WARMING
        return Health.SUSPECTED if self.detector.suspects() else Health.WARM

    def fair_share(self, now):
        """This relay's share of the reported rate: an even one, or the rate that it delivered, if higher.

        The delivered rates of all relays add up to no more than the limit; the requested ones may.
        """
        even = self.reported_rate / self.relays
        if self.cold_since is None:
            return max(even / self.dest.limiter_count(), self.delivered.rate(now))
        # While cold, routes that share outages share one bucket: a call takes tokens from all of theirs.
        return max(even, min(self.reported_rate, sum(p.delivered.rate(now) for p in self.sharing())))

    def sharing(self):
        """The limiters of the routes that share outages with it, itself among them."""
        return [self] if self.dest.kind.per_route else list({r.limiter: 0 for r in self.dest.route_list})

    def cold_part(self, now):
        """This relay's part of the capacity of a destination that is away or cold, in calls a second.

        What it delivered before the outage, which is exact and sums to what the destination took, or an even
        part of a rate that may be off.
        """
        even = self.reported_rate / self.relays / self.rate_error
        measured = sum(p.delivered.measured_rate(min(now, p.failing_since)) for p in self.sharing())
        return max(even, min(self.reported_rate, measured))

    def gathers(self, now):
        """Whether waiting fills a call: the next notification for it comes within the latency objective."""
        return self.dest.kind.batch > 1 and self.fair_share(now) * self.objective >= 1.0

    def gain(self, now):
        """The factor by which the rate may exceed the fair share."""
        return (
            self.SHARE_GAIN
            if self.may_borrow(now)
            else min(1.0, self.learned_gain)
            if self.gathers(now)
            else self.learned_gain
        )

    def record_limit_left(self, share, now):
        """Adapts the gain to the reported share of the limit that is left."""
        self.share_high, due = share >= self.HIGH_SHARE, now >= self.gain_changed_at + self.GAIN_INTERVAL_S
        if self.dest.refusal_cost.proven and due and not self.USED_UP_SHARE <= share < self.HIGH_SHARE:
            more = min(self.MAX_GAIN, self.learned_gain * self.GAIN_INCREASE)
            less = max(self.MIN_GAIN, min(1.0, self.learned_gain) * self.GAIN_DECREASE)
            self.learned_gain, self.gain_changed_at = more if share >= self.HIGH_SHARE else less, now

    def rate(self, now):
        """Calls a second that may go now; while the destination is cold, this relay's part of its budget."""
        if self.cold_since is None:
            return self.fair_share(now) * self.gain(now)
        part, share = self.cold_part(now), self.rules.cold_share
        share += (1.0 - share) * max(0.0, now - self.cold_since) / self.rules.cold_time
        self.cold_since = None if share >= 1.0 else self.cold_since
        return max(1e-3, min(part, part * self.rules.overload_factor * share * self.budget_share))

    def ready_at(self, now):
        """Refills the bucket; returns when the next call may go, a time of the clock."""
        rate, start = self.rate(now), max(now, self.wait_until)
        warm, single = self.cold_since is None, not self.gathers(now)
        if warm and single and self.refusals and self.detector.suspects():
            return max(start, self.detector.next_trial_at)
        # A cold bucket does not fill during a wait, or all relays would send at its end.
        since = self.refilled_at if warm else max(self.refilled_at, self.wait_until)
        max_tokens = max(1.0, rate * self.BURST_S) if warm and single else 1.0
        if not self.is_sparse(now):
            self.tokens = min(max_tokens, self.tokens + rate * max(0.0, now - since))
        self.refilled_at, missing = now, max(0.0, 1.0 - 1e-6 - self.tokens)
        ready = start + missing / rate
        if warm and self.may_borrow(now):
            ready = min(
                ready,
                max(self.last_call_at, self.dest.waiting_since, self.wait_until) + missing * self.backoff,
            )
        return max(start, ready)

    def may_borrow(self, now):
        """Whether calls are so few that each may go after a backoff instead of waiting for its token.

        Where refused calls use up the limit, only while a high share of it is left: else a fleet would keep
        it used up.
        """
        limiters = {r.limiter for r in self.dest.route_list} if self.dest.refusal_cost.proven else ()
        few = sum(p.fair_share(now) for p in limiters) * self.connection_idle < self.SPARSE_CALLS
        return few and not self.gathers(now) and (self.share_high or not limiters)

    def is_sparse(self, now):
        """Whether calls are so few that they stay on the route whose connection is open: no refill."""
        return (
            self.cold_since is None
            and self.may_borrow(now)
            and 0.0 < self.fair_share(now) * self.connection_idle < self.SPARSE_CALLS
        )

    def take_token(self, new_call, now):
        """Pays for a new call, or for a further notification in one."""
        spent = 1.0 if new_call else self.COLD_ITEM_TOKENS if self.cold_since is not None else 0.0
        self.tokens, self.last_call_at = max(-1.0, self.tokens - spent), now
        if new_call and self.detector.suspects():
            self.detector.record_trial(now, self.cold_part(now))

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
            if self.cold_since == inf:
                self.cold_since = self.reopens_at or max(now, self.wait_until)
            elif may_be_cold:
                self.cold_since = now

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

    def mark_down(self, since, budget_share=COLD_BUDGET_SHARE):
        """Marks the destination as down since then; a random delay keeps relays from returning in step."""
        if self.cold_since != inf:
            self.tokens, self.budget_share = min(self.tokens, self.rng.random()), budget_share
        self.cold_since, self.failing_since = inf, min(self.failing_since, since)

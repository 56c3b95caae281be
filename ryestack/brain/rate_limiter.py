"""Rate limiter of a destination, or of one route: its rate limit, waits, refusals and warm-up."""

from math import inf

from .estimators import DecayingRate
from .outage_detector import OutageDetector
from .outage_state import OutageEvent, OutageState


class RateLimiter(OutageState):
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
    # Calls a second of all relays, where the list has no rates; factor by which a rough rate may be off.
    DEFAULT_RATE, ROUGH_RATE_ERROR = 5.0, 1.5
    UNKNOWN_WINDOWS = 2.0  # of rule 4, in which a process that knows nothing of a destination sends less
    LIMIT_ERROR = 2.0  # factor by which a reported limit may exceed what a destination takes after an outage

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
        # Until when the destination may be one that is back cold, as nothing is known of the time before.
        self.unknown_until = max((p.unknown_until for p in siblings), default=0.0)

    def apply_settings(self, settings):
        """Takes over the settings that concern it."""
        self.objective = min((t.objective for t in settings.topic_types), default=0.0)
        self.rules, self.relays = settings.rules, settings.relays
        self.connection_idle = settings.connection_idle
        self.rate_error = self.ROUGH_RATE_ERROR if settings.rough_rates else 1.0

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

    def record_limit(self, limit, share, now):
        """Takes over a reported limit, in calls a second, of which that share is left."""
        self.reported_rate, self.rate_error = max(0.1, limit), self.LIMIT_ERROR
        self.record_limit_left(share, now)

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
            gain = self.gain(now) if now >= self.unknown_until else 1.0 / self.rate_error
            return self.fair_share(now) * gain
        part, share = self.cold_part(now), self.rules.cold_share
        share += (1.0 - share) * max(0.0, now - self.cold_since) / self.rules.cold_time
        if share >= 1.0:
            self.change(OutageEvent.WARMED_UP, now)
        return max(1e-3, min(part, part * self.rules.overload_factor * share * self.budget_share))

    def ready_at(self, now):
        """Refills the bucket; returns when the next call may go, a time of the clock."""
        rate, start = self.rate(now), max(now, self.wait_until)
        warm, single = self.cold_since is None, not self.gathers(now)
        if warm and single and self.refusals and self.detector.suspects():
            return max(start, self.detector.next_trial_at)
        # A cold bucket does not fill during a wait, or all relays would send at its end.
        since = self.refilled_at if warm else max(self.refilled_at, self.wait_until)
        may_burst = warm and single and now >= self.unknown_until
        max_tokens = max(1.0, rate * self.BURST_S) if may_burst else 1.0
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

    def assume_unknown(self, now):
        """Sends less for a while, as the destination may be cold and notifications wait for it."""
        self.unknown_until = now + self.UNKNOWN_WINDOWS * self.rules.fall_time

    def empty_bucket(self, now):
        """Lets the next call go only once its token has come from now on."""
        self.tokens, self.refilled_at = min(self.tokens, 0.0), now

    def take_token(self, new_call, now):
        """Pays for a new call, or for a further notification in one."""
        spent = 1.0 if new_call else self.COLD_ITEM_TOKENS if self.cold_since is not None else 0.0
        self.tokens, self.last_call_at = max(-1.0, self.tokens - spent), now
        if new_call and self.detector.suspects():
            self.detector.record_trial(now, self.cold_part(now))

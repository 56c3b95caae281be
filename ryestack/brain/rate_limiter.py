"""The pace of one destination, or one route apart: told rate, waits, refusals, warm-up."""

from math import inf

from .estimators import Flow, Tally


class Pacer:
    GAIN = 1.5  # over our part, as relays are uneven; 1 where a call gathers many: waits fill it
    # Where refused calls use a limit up, a fleet must come under it: what is left tells whether it does.
    LEAST, MOST, LESS, MORE, USED_UP, AMPLE, AGE = 0.5, 3.0, 0.7, 1.2, 0.2, 0.5, 0.5  # seconds a share is new
    OWN = 30.0  # seconds, half-life: parts are lasting; over 5 s one delivery of a thin one shows as many
    BURST, KEEP = 1.0, 60.0  # seconds: of our part that may go at once; that a drained route is remembered
    BACK, EASE = 0.5, 0.925  # seconds a token lacking, twice that a refusal; eased so, balance is at 1 in 10
    THIN = 4.0  # calls in the time that an idle connection stays open: fewer lie at one route, by chance
    OUT_AFTER = 3.0  # seconds without a delivery: it may come back cold; a limit's refusals are shorter
    COLD_PART, COLD_ITEM = 0.7, 0.05  # of rule 4's budget, the rest is for chance; weight of a further item
    UNTOLD, ROUGH = 5.0, 1.5  # calls a second of all relays, where none are told; a rough rate is so far off

    def __init__(self, settings, dest, chance, now, rate):
        self.dest, self.random, self.taken, self.at, self.stepped = dest, chance, Flow(self.OWN), now, now
        self.heed(settings)
        near = [] if dest.kind.per_route else [r.pacer for r in dest.order]  # a new route shares their fate
        self.cold = max((p.cold for p in near if p.cold is not None), default=None)  # inf: down; back since
        self.told = max(0.1, rate) if settings.list_has_rates else self.UNTOLD  # a list may tell none
        self.tokens = chance.random() ** (1.0 / self.told)  # a draw by rate among routes
        self.back, self.refusals, self.hungry, self.opens, self.ease = self.BACK, 0, 0.0, 0.0, self.GAIN
        self.ample, self.bad_since = False, min((p.bad_since for p in near), default=inf)
        self.wait_until = max((p.wait_until for p in near), default=0.0)

    def heed(self, settings):
        self.objective = min((t.objective for t in settings.topic_types), default=0.0)
        self.rules, self.relays, self.idle = settings.rules, settings.relays, settings.connection_idle
        self.rough = self.ROUGH if settings.rough_rates else 1.0

    def part(self, now):  # the even one, or what it took of ours, which sums to no more; not what is asked
        even = self.told / self.relays
        if self.cold is None:  # else routes of one fate share a bucket: a call takes from all of theirs
            return max(even / self.dest.sharing(), self.taken.rate(now))
        ours = [self] if self.dest.kind.per_route else {r.pacer: 0 for r in self.dest.order}
        return max(even, min(self.told, sum(p.taken.rate(now) for p in ours)))

    def gathers(self, now):  # else the next of a call comes after the objective: waiting gathers none
        return self.dest.kind.batch > 1 and self.part(now) * self.objective >= 1.0

    def gain(self, now):
        return self.GAIN if self.free(now) else min(1.0, self.ease) if self.gathers(now) else self.ease

    def left(self, part, now):
        self.ample, due = part >= self.AMPLE, now >= self.stepped + self.AGE
        if self.dest.habit.counts and due and not self.USED_UP <= part < self.AMPLE:
            more = min(self.MOST, self.ease * self.MORE)
            less = max(self.LEAST, min(1.0, self.ease) * self.LESS)
            self.ease, self.stepped = more if part >= self.AMPLE else less, now

    def rate(self, now):
        part, share = self.part(now), self.rules.cold_share
        if self.cold is None:
            return part * self.gain(now)
        share += (1.0 - share) * max(0.0, now - self.cold) / self.rules.cold_time
        self.cold = None if share >= 1.0 else self.cold
        return max(1e-3, min(part, part / self.rough * self.rules.overload_factor * share * self.COLD_PART))

    def ready_at(self, now):
        rate, start = self.rate(now), max(now, self.wait_until)
        warm, single = self.cold is None, not self.gathers(now)
        since = self.at if warm else max(self.at, self.wait_until)  # cold, or all would send at its end
        most = max(1.0, rate * self.BURST) if warm and single else 1.0
        if not self.thin(now):
            self.tokens = min(most, self.tokens + rate * max(0.0, now - since))
        self.at, lack = now, max(0.0, 1.0 - 1e-6 - self.tokens)
        when = start + lack / rate
        if warm and self.free(now):
            when = min(when, max(self.hungry, self.dest.hungry, self.wait_until) + lack * self.back)
        return max(start, when)

    def free(self, now):  # a token would come too late to wait for: until refused, it need not
        pacers = {r.pacer for r in self.dest.order} if self.dest.habit.counts else ()
        few = sum(p.part(now) for p in pacers) * self.idle < self.THIN
        return few and not self.gathers(now) and (self.ample or not pacers)  # else a fleet keeps it used up

    def thin(self, now):
        return self.cold is None and self.free(now) and 0.0 < self.part(now) * self.idle < self.THIN

    def took(self, first, now):
        spent = 1.0 if first else self.COLD_ITEM if self.cold is not None else 0.0
        self.tokens, self.hungry = max(-1.0, self.tokens - spent), now

    def good(self, sent, now, here):
        if here:
            self.taken.add(now)
            self.back, self.refusals = max(0.1, self.back * self.EASE), 0
            self.tokens = 1.0 if self.thin(now) else self.tokens
        if sent >= self.bad_since or self.bad_since == inf:  # what went before the outage proves no return
            self.bad_since = inf
            self.cold = (self.opens or max(now, self.wait_until)) if self.cold == inf else self.cold

    def bad(self, sent, now, refused, wait=0.0, ran=True, used_up=False):
        self.opens = now + wait if wait > self.OUT_AFTER else self.opens if sent <= self.opens else 0.0
        if refused:  # again at a random time: relays that a clump met together must not come together
            self.refusals, self.hungry = self.refusals + 1, now
            self.back, self.at = self.back * 2**self.refusals, now
            self.tokens = -(1 + self.refusals * (self.cold is None and self.free(now))) * self.random.random()
        if used_up and wait <= self.OUT_AFTER:
            return  # the limit is no outage: what stands behind it is not cold
        self.bad_since = min(self.bad_since, sent)
        # Two that met no room may be chance where calls are few; a third, a long wait, no answer are not.
        few = self.refusals < Tally.ROW if refused else not ran and self.dest.tally.row < Tally.ROW
        long = wait > self.OUT_AFTER or (not few and now - self.bad_since > self.OUT_AFTER)
        if long or self.dest.tally.out():
            self.down(sent)

    def down(self, since):  # the house's random wait: relays must not come back in step
        self.tokens = min(self.tokens, self.random.random()) if self.cold != inf else self.tokens
        self.cold, self.bad_since = inf, min(self.bad_since, since)

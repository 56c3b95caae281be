"""All decisions of a relay: Brain(settings, seed), round(now, events) -> actions; see docs/design.md."""

import heapq
import random
from bisect import bisect_left
from collections import defaultdict
from itertools import accumulate
from math import inf

from . import interface as it
from .interface import Effect, Listed, Result

ONCE, AGAIN = Effect.ONCE_ONLY, Effect.REPEATABLE
NEVER_RAN = {Result.FULL, Result.NO_CONNECTION, Result.NOT_SENT}  # proof that a push never ran
MAY_STILL_RUN = {Result.TIMED_OUT, Result.BROKEN, Result.CANCELLED}  # a key in order rests after these

# A route: (states, input, next state, effect); what is not listed changes nothing.
ROUTE_ROWS = (
    ("closed trial", "tripped", "open", "rest"),
    ("open", "due", "trial", None),
    ("open trial", "wait", "open", "heed"),
    ("trial", "failed", "open", "rest"),
    ("open trial", "delivered", "closed", None),
    ("closed open trial", "drain", "draining", None),
    ("draining", "ready", "closed", None),
)
ROUTE = {(state, heard): (to, do) for states, heard, to, do in ROUTE_ROWS for state in states.split()}

# A notification: (state, input) -> (next state, effect).
NTF = {
    ("parked", "pushed"): ("out", None),
    ("parked", "given up"): ("over", "give_up"),
    ("parked", "ended"): ("over", "forget"),
    ("out", "ended"): ("over", "forget"),
    ("out", "came to nothing"): ("parked", "again"),
}


class Times:
    """How long delivered pushes took: a few coarse bins, halved now and then."""

    EDGES = [0.05 * 1.5**i for i in range(18)]  # half as far again each; the last is some 50 s
    FULL = 64  # halved at so many, to follow a change within minutes
    PRIOR = 3.0  # what all destinations took counts for so many: a few of its own show one's pace

    def __init__(self, prior=None):
        self.bins, self.count, self.found, self.prior = [0.0] * (len(self.EDGES) + 1), 0.0, {}, prior or self

    def add(self, seconds):
        self.bins[bisect_left(self.EDGES, seconds)] += 1.0
        self.count, self.found = self.count + 1.0, {}
        if self.count >= self.FULL:
            self.bins, self.count = [b / 2 for b in self.bins], self.count / 2

    def quantile(self, part):
        if part not in self.found:
            weight, pool = self.PRIOR / self.prior.count, self.prior.bins
            reached = list(accumulate(b + p * weight for b, p in zip(self.bins, pool, strict=True)))
            self.found[part] = self.EDGES[min(bisect_left(reached, part * reached[-1]), len(self.EDGES) - 1)]
        return self.found[part]


class Tally:
    """Failures in a row, and of late against deliveries: a row among many deliveries proves no outage."""

    ROW, HALF = 3, 1.0  # the design's circuit; seconds: a full outage shows after as long, whatever the rate

    def __init__(self):
        self.row, self.good, self.bad, self.at = 0, 0.0, 0.0, 0.0

    def out(self):
        return self.row >= self.ROW and self.bad >= self.good

    def add(self, now, good):
        fade, self.row = 0.5 ** ((now - self.at) / self.HALF), 0 if good else self.row + 1
        self.good, self.bad, self.at = self.good * fade + good, self.bad * fade + (not good), now


class Flow:
    """How often something happened of late, a second."""

    def __init__(self, half):
        self.sum, self.at, self.half = 0.0, 0.0, half

    def add(self, now):
        self.sum, self.at = 1.0 + self.sum * 0.5 ** ((now - self.at) / self.half), now

    def rate(self, now):
        return self.sum * 0.5 ** ((now - self.at) / self.half) * 0.693 / self.half


class Pacer:
    """What one destination, or one route apart, may be sent: told rate, waits, refusals, warm-up."""

    GAIN = 1.5  # over our part, as relays are uneven; 1 where a call gathers many: waits fill it
    # Where refused calls use a limit up too, all of a fleet must come under it before it takes any again.
    # What is left of it tells the fleet's use: under a fifth we send less, over a half more.
    LEAST, MOST, LESS, MORE, USED_UP, AMPLE = 0.5, 3.0, 0.7, 1.2, 0.2, 0.5
    AGE, COUNTS = 0.5, 2  # seconds a told share may be old; used-up refusals in a row: else some calls pass
    OWN = 30.0  # seconds, half-life: parts are lasting; over 5 s one delivery of a thin one shows as many
    BURST = 1.0  # seconds of our part that may go at once: a clump's beginning
    BACK, EASE = 0.5, 0.925  # seconds a token lacking, twice that a refusal; eased so, balance is at 1 in 10
    THIN = 4.0  # calls in the time that an idle connection stays open: fewer lie at one route, by chance
    OUT_AFTER = 3.0  # seconds without a delivery: it may come back cold; a limit's refusals are shorter
    COLD_PART = 0.7  # of rule 4's budget: the rest is for chance and for relays with more than their part
    KEEP = 60.0  # seconds that a drained route's outage is remembered
    COLD_ITEM = 0.05  # what a further item of a call weighs at a cold destination
    UNTOLD = 5.0  # calls a second, of all relays, where none are told: few destinations take less
    ROUGH = 1.5  # a rough rate may be half too high: the budget counts on the worst

    def __init__(self, settings, dest, chance, now, rate):
        self.dest, self.random, self.taken, self.at = dest, chance, Flow(self.OWN), now
        self.heed(settings)
        near = [] if dest.kind.apart else [r.pacer for r in dest.order]  # a new route shares their fate
        self.cold = max((p.cold for p in near if p.cold is not None), default=None)  # inf: down; back since
        self.told = max(0.1, rate) if settings.told_rates else self.UNTOLD  # a list may tell none
        self.tokens = chance.random() ** (1.0 / self.told)  # a draw by rate among routes
        self.back, self.refusals, self.hungry, self.opens = self.BACK, 0, 0.0, 0.0
        self.ease, self.stepped = self.GAIN, now
        self.bad_since = min((p.bad_since for p in near), default=inf)
        self.wait_until = max((p.wait_until for p in near), default=0.0)

    def heed(self, settings):
        self.objective = min((t.objective for t in settings.topic_types), default=0.0)
        self.rules, self.relays, self.idle = settings.rules, settings.relays, settings.connection_idle
        self.rough = self.ROUGH if settings.rough_rates else 1.0

    def part(self, now):
        """The even part, or what it took of ours, which sums to no more; not what is asked, as in a clump."""
        even = self.told / self.relays
        if self.cold is None:
            return max(even / self.dest.sharing(), self.taken.rate(now))
        # Cold, routes that share a fate share one bucket: a call takes from all of theirs.
        ours = [self] if self.dest.kind.apart else {r.pacer: 0 for r in self.dest.order}
        return max(even, min(self.told, sum(p.taken.rate(now) for p in ours)))

    def gathers(self, now):  # else the next of a call comes after the objective: waiting gathers none
        return self.dest.kind.batch > 1 and self.part(now) * self.objective >= 1.0

    def gain(self, now):
        return self.GAIN if self.free(now) else min(1.0, self.ease) if self.gathers(now) else self.ease

    def left(self, part, now):
        if self.dest.counts and now >= self.stepped + self.AGE and not self.USED_UP <= part < self.AMPLE:
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
        # Cold, nothing gathers in a wait, or all relays would send at its end.
        warm, single = self.cold is None, not self.gathers(now)
        since = self.at if warm else max(self.at, self.wait_until)
        most = max(1.0, rate * self.BURST) if warm and single else 1.0
        if not self.thin(now):
            self.tokens = min(most, self.tokens + rate * max(0.0, now - since))
        self.at, lack = now, max(0.0, 1.0 - 1e-6 - self.tokens)
        when = start + lack / rate
        if warm and self.free(now):
            when = min(when, max(self.hungry, self.dest.hungry, self.wait_until) + lack * self.back)
        return max(start, when)

    def free(self, now):  # a token would come too late to wait for: until refused, it need not
        pacers = {r.pacer for r in self.dest.order} if self.dest.counts else ()
        return not self.gathers(now) and sum(p.part(now) for p in pacers) * self.idle < self.THIN

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
        if refused:
            self.refusals, self.hungry = self.refusals + 1, now
            self.dest.counts = self.dest.counts or (used_up and self.refusals >= self.COUNTS)
            # At a random time: relays that a clump met refused together must not come again together.
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

    def down(self, since):
        # The house's random wait: relays must not come back in step.
        self.tokens = min(self.tokens, self.random.random()) if self.cold != inf else self.tokens
        self.cold, self.bad_since = inf, min(self.bad_since, since)


class Ntf:
    def __init__(self, n, dest, topic, benefit, most):
        self.id, self.due, self.dest, self.topic, self.benefit = n.id, n.due, dest, topic, benefit
        self.key, self.state, self.out = n.key if topic.keep_order else "", "parked", 0
        self.pushes, self.maybe_at = n.pushes, n.maybe_at  # its history, where a relay before us took it
        self.most = n.most or most  # pushes that it may have in all
        self.hops, self.past, self.rest_until = 0, "", 0.0  # the walk starts past the route named
        self.maybe_zone, self.refused = "", False  # of its first that may have run; the last met a limit


class Call:
    def __init__(self, route, sent):
        self.route, self.sent, self.left, self.late, self.items = route, sent, 0, False, []  # (ntf, push)


class Route:
    def __init__(self, endpoint, dest, pacer):
        self.id, self.zone, self.dest, self.pacer = endpoint.id, endpoint.zone, dest, pacer
        self.state, self.until, self.calls, self.tally = "closed", 0.0, 0, Tally()
        self.silent, self.mute = False, False  # how its last failure was: not before it ran; no answer
        self.good_at, self.lanes = 0.0, {}  # when the youngest delivered push went; topic type -> shut until

    def needed(self):  # until when it is kept once it drains: it may be listed again
        cold = self.pacer.bad_since if self.pacer.cold == inf else self.pacer.cold or -inf
        return inf if self.calls else max(self.pacer.wait_until, cold + self.pacer.KEEP)


class Dest:
    # Pushes after a refusal, for each notification asked: fleets that come again keep a used-up limit so.
    CREDIT, CREDIT_MOST = 0.5, 3.0
    STEP, RISE = 16, 1.1  # deliveries, times: a spell of slowness is over before the usual pace has followed

    def __init__(self, times, chance, now):
        self.kind, self.order, self.parked, self.tally, self.calls = None, [], {}, Tally(), 0
        self.times, self.wake, self.hungry, self.usual, self.seen = Times(times), inf, 0.0, inf, 0
        self.credit, self.credit_at, self.counts = chance.random(), now, False

    def expected(self):
        return self.times.quantile(0.5)

    def earns(self, now):  # a second: as often as our part, so that what waits is never left without a chance
        return self.CREDIT * max((p.part(now) for p in {r.pacer: 0 for r in self.order}), default=0.0)

    def earn(self, now, asked=0):
        gained = self.CREDIT * asked + self.earns(now) * (now - self.credit_at)
        self.credit, self.credit_at = min(self.CREDIT_MOST, self.credit + gained), now

    def took(self, seconds):
        self.times.add(seconds)
        self.seen += 1  # slower than usual, it does not take more at once: it takes less
        if self.seen % self.STEP == 0:
            self.usual = min(self.usual * self.RISE, self.times.quantile(0.3))

    def bound(self, route):  # an outage mostly takes all routes: three failures in a row at any bind all
        one = self.kind.apart and not self.tally.out()
        return [route.pacer] if one else list(dict.fromkeys(r.pacer for r in self.order))

    def sharing(self):  # pacers that a told rate is divided among
        one = self.kind.apart or self.kind.batch > 1
        return 1 if one else sum(r.state != "draining" for r in self.order) or 1


class Brain:
    REST = 5.0  # the design's circuit
    REST_LANE = 20.0  # a sister serves the topic type meanwhile; few calls each, and each trial may lose one
    REST_SHORT = 1.5  # where a trial costs little: the answer, or the failed connection, came at once
    WALK_REST = 0.6  # before a walk begins anew: a few calls end there, and no objective is that short
    HOPS = 2  # in one walk: one to start in the design; two reach the third route of the usual two or three
    SHARE, SHARE_SICK = 0.75, 0.5  # of the slots, for a destination: the design's
    OVERDUE, OVERDUE_ALL, OVERDUE_LEAST = 2.5, 3.0, 2.0  # times 9 in 10 stay under, there, all; seconds
    TIMEOUT, TIMEOUT_LEAST = 6.0, 10.0  # the same for giving a push up; the slow still run
    ROOM = 1.2  # times what our gain's rate keeps busy: at twice, calls queued and slots ran short
    USUAL = 0.5  # a push's time before anything was measured
    SHARE_SPAN = 5.0  # seconds of its quota that a customer may run ahead
    SHORT = 60.0  # seconds after a failed connection: one relay meets few, an outage's cost a handshake each
    # Calls in an idle connection's time: fewer, and most close unused, or stand idle half of it where short.
    KEPT, KEPT_SHORT = 0.25, 16.0
    ASK, ASK_LONGEST = 1.0, 8.0  # seconds that askings spread over; a registry that is late tells by then
    DOOR = 0.95  # of what we may hold: past it we choose what goes, before the door does

    def __init__(self, settings, seed):
        self.set, self.random, self.now, self.quota = settings, random.Random(seed), 0.0, {}
        self.name(settings)
        self.times = Times()  # of all destinations
        self.times.add(self.USUAL)
        self.dests = defaultdict(lambda: Dest(self.times, self.random, self.now))
        self.routes, self.held, self.out, self.late, self.keys = {}, {}, {}, {}, {}
        self.slots, self.heap, self.seq, self.woken, self.asking = settings.slots, [], 0, inf, self.ASK
        self.acts, self.touched, self.travel, self.idle, self.leaves = [], {}, {}, {}, inf
        self.short = {}  # kind of destination -> until when its endpoints count as short of connections
        if settings.asks_for_list:
            self.at(self.random.uniform(0.0, self.ASK), Brain.ask, None)  # a fleet may start at once

    def name(self, settings):
        self.topics, self.kinds = ({x.name: x for x in xs} for xs in (settings.topic_types, settings.kinds))
        rows, old = [(c.name, c.quota / settings.relays) for c in settings.customers], self.quota
        self.quota = {name: [quota, *old.get(name, (0, 0.0, 0.0))[1:]] for name, quota in rows}

    def on_retuned(self, event):
        self.slots, self.set = self.slots + event.settings.slots - self.set.slots, event.settings
        self.name(self.set)
        for route in self.routes.values():
            route.pacer.heed(self.set)

    def round(self, now, events):
        self.now, self.acts, self.travel = now, [], {}
        for event in events:
            self.HEAR[type(event)](self, event)
        while self.heap and self.heap[0][0] <= now:
            _, _, what, subject = heapq.heappop(self.heap)
            what(self, subject)
        self.serve()
        self.hang_up()
        self.woken = inf if self.woken <= now + 1e-5 else self.woken  # an adapter may round a wait down
        if self.heap and self.heap[0][0] < self.woken:
            self.woken = self.heap[0][0]
            self.acts.append(it.Wake(max(0.0, self.woken - now)))
        return self.acts

    def avoided(self, endpoints):  # for people: which of them get nothing now
        routes = [self.routes[e] for e in endpoints if e in self.routes]
        return [r.id for r in routes if r.state != "closed" or self.now < r.pacer.wait_until]

    def at(self, when, what, subject):
        self.seq += 1
        heapq.heappush(self.heap, (when, self.seq, what, subject))

    def touch(self, dest):
        self.touched[id(dest)] = dest

    def on_list(self, update):
        if update.failed:  # at a random time, later each time, so that relays do not ask in step
            self.asking = min(self.ASK_LONGEST, self.asking * 2.0)
            return self.at(self.now + self.asking * self.random.uniform(0.5, 1.0), Brain.ask, None)
        self.asking = self.ASK
        listed = {e.id: e for e in update.endpoints}
        for e in listed.values():
            route = self.routes.get(e.id) or self.add_route(e)
            self.turn(route, "ready" if e.listed is Listed.READY else "drain")
        for route in [r for r in self.routes.values() if update.whole and r.id not in listed]:
            self.turn(route, "drain")
        for route in [r for r in self.routes.values() if r.state == "draining" and self.now >= r.needed()]:
            route.dest.order.remove(self.routes.pop(route.id))
        for name in [n for n, d in self.dests.items() if not (d.order or d.parked or d.calls)]:
            del self.dests[name]

    def ask(self, _):
        self.acts.append(it.AskForList())

    def add_route(self, e):
        dest = self.dests[e.destination]
        dest.kind = dest.kind or self.kinds.get(e.kind) or it.Kind(e.kind)
        one = dest.order[0].pacer if dest.order and dest.kind.batch > 1 and not dest.kind.apart else None
        pacer = one or Pacer(self.set, dest, self.random, self.now, e.rate)
        route = self.routes[e.id] = Route(e, dest, pacer)
        dest.order = sorted([*dest.order, route], key=lambda r: r.id)
        return route

    def turn(self, route, heard, span=0.0):
        self.touch(route.dest)
        route.state, effect = ROUTE.get((route.state, heard), (route.state, None))
        if effect:
            getattr(self, effect)(route, span)

    def rest(self, route, _):
        self.heed(route, (self.REST if route.mute else self.REST_SHORT) * self.random.uniform(0.7, 1.3))

    def heed(self, route, span):
        route.until = self.now + span
        self.at(route.until, Brain.route_due, route)

    def route_due(self, route):
        if self.now >= route.until:
            self.turn(route, "due")

    def step(self, ntf, heard):
        ntf.state, effect = NTF.get((ntf.state, heard), (ntf.state, None))
        if effect:
            getattr(self, effect)(ntf)

    def on_notification(self, n):
        topic, dest = n.terms or self.topics[n.topic_type], self.dests[n.destination]
        benefit = topic.benefit
        if n.customer in self.quota:
            row = self.quota[n.customer]
            row[1], row[2] = max(0.0, row[1] - row[0] * (self.now - row[2])), self.now
            even = row[0] * self.SHARE_SPAN
            over = row[1] > even + 2.0 * even**0.5 + 1.0  # a relay's part is uneven by chance
            benefit *= self.set.over_share_benefit if over else 1.0
            row[1] += 0.0 if over else 1.0
        ntf = self.held[n.id] = Ntf(n, dest, topic, benefit, self.set.max_pushes)
        dest.earn(self.now, 1)
        if ntf.key:
            self.keys.setdefault(ntf.key, [{}, 0.0])[0][ntf.id] = ntf  # those in turn, rest until
        self.again(ntf)
        if len(self.held) > self.set.max_open * self.DOOR:
            # Where most are parked the next has least to win: one sick destination must not fill the hold.
            crowded = max(self.dests.values(), key=lambda d: len(d.parked))
            self.step(min(crowded.parked.values(), key=self.rank), "given up")

    def park(self, ntf):
        if not ntf.dest.parked:
            ntf.dest.hungry = ntf.due - ntf.topic.ttl
        ntf.dest.parked[ntf.id] = ntf
        self.at(ntf.due - ntf.dest.expected(), lambda self, ntf: self.step(ntf, "given up"), ntf)
        self.touch(ntf.dest)
        if ntf.past and (ntf.hops > self.HOPS or ntf.past >= max((r.id for r in ntf.dest.order), default="")):
            ntf.hops, ntf.past, ntf.rest_until = 0, "", self.now + self.WALK_REST  # the walk begins anew
            self.at(ntf.rest_until, Brain.touch, ntf.dest)

    def again(self, ntf):
        zones = {r.zone for r in ntf.dest.order if r.state != "draining"} or {ntf.maybe_zone}
        stuck = ntf.maybe_at < inf and not any(self.repeats(ntf, zone) for zone in zones)
        if stuck or ntf.pushes >= ntf.most or self.now + ntf.dest.expected() >= ntf.due:
            self.step(ntf, "given up")
        else:
            self.park(ntf)

    def give_up(self, ntf):  # the final answer, at once, with a time to come back where one is known
        routes = [r for r in ntf.dest.order if r.state != "draining"]
        ends = [max(r.until if r.state == "open" else 0.0, r.pacer.wait_until) for r in routes]
        back = min(self.set.max_come_back, max(0.0, min(ends, default=0.0) - self.now))
        self.acts.append(it.Throttle(ntf.id, back) if self.may_throttle(ntf) else it.Expire(ntf.id))
        self.forget(ntf)

    def forget(self, ntf):
        self.held.pop(ntf.id, None)
        ntf.dest.parked.pop(ntf.id, None)
        self.next_turn(ntf)

    def next_turn(self, ntf):
        if ntf.key and ntf.state == "over" and not ntf.out:
            turns, rest = self.keys[ntf.key]
            turns.pop(ntf.id, None)
            for other in turns.values():
                self.touch(other.dest)
            if not turns:
                self.at(rest, Brain.drop_key, ntf.key)

    def drop_key(self, key):
        if key in self.keys and not self.keys[key][0] and self.now >= self.keys[key][1]:
            del self.keys[key]

    def on_turn(self, e):  # one that is handed over to us later takes its turn's place
        dest, topic = Dest(self.times, self.random, 0.0), it.TopicType("", AGAIN, 0.0, 0.0, keep_order=True)
        theirs = Ntf(it.Notification(e.id, inf, 0, "", key=e.key), dest, topic, 0.0, 1)
        row = self.keys.setdefault(e.key, [{}, 0.0])
        row[0].setdefault(e.id, theirs)
        theirs.state, row[1] = "over" if e.over else "afar", max(row[1], e.rest)
        for other in row[0].values():
            self.at(row[1], Brain.touch, other.dest)
        self.next_turn(theirs)

    def on_outcome(self, o):
        if (o.id, o.push) not in self.out:
            return
        call, ntf = self.out.pop((o.id, o.push))
        route, first, call.left = call.route, call.left == len(call.items), call.left - 1
        if not call.left:
            self.slots, route.dest.calls = self.slots + 1, route.dest.calls - 1
            route.calls -= not call.late
            self.late.pop(call, None)
            self.idle[route.id] = route
        self.touch(route.dest)
        for each in ([route] if route.dest.kind.apart else route.dest.order) if o.limit and first else ():
            each.pacer.told, each.pacer.rough = max(0.1, o.limit), 1.0
            each.pacer.left(o.left, self.now)
        if o.wait > 0.0:  # each item of a call may tell a later end
            span = o.wait + 0.002  # a wait is told in whole milliseconds
            for each in [route] if route.dest.kind.apart else route.dest.order:
                each.pacer.wait_until = max(each.pacer.wait_until, self.now + span)
                self.turn(each, "wait", span)
        if o.result is Result.DELIVERED:
            route.dest.took(o.elapsed)
            self.times.add(o.elapsed)
        if first:
            self.judge(route, call, o)
        ntf.out -= 1
        if ntf.key and o.result in MAY_STILL_RUN:
            self.keys[ntf.key][1] = self.now + self.set.rules.key_rest
            for other in self.keys[ntf.key][0].values():
                self.at(self.keys[ntf.key][1], Brain.touch, other.dest)
        self.next_turn(ntf)
        if o.result not in NEVER_RAN and call.sent < ntf.maybe_at:
            ntf.maybe_at, ntf.maybe_zone = call.sent, ntf.maybe_zone or route.zone
        ntf.past, ntf.hops = route.id, ntf.hops + 1
        ntf.refused = o.result is Result.FULL and o.left < Pacer.USED_UP
        self.step(ntf, "ended" if o.ended or o.result is Result.DELIVERED else "came to nothing")

    def judge(self, route, call, o):
        if o.result is Result.DELIVERED:
            for pacer in route.dest.bound(route):
                pacer.good(call.sent, self.now, pacer is route.pacer)
            for tally in (route.tally, route.dest.tally):
                tally.add(self.now, True)
            route.silent, route.good_at = False, max(route.good_at, call.sent)
            for ntf, _ in call.items:
                route.lanes.pop(ntf.topic.name, None)
            self.turn(route, "delivered")
        elif o.result is Result.FULL:
            self.turn(route, "heard" if o.wait else "failed")
            route.pacer.bad(call.sent, self.now, True, o.wait, used_up=o.left < Pacer.USED_UP)
            for pacer in route.dest.bound(route) if route.pacer.cold == inf else ():
                pacer.down(call.sent)  # shut, all routes that share its fate are, and come back cold
        elif o.result not in (Result.NOT_SENT, Result.CANCELLED) and not call.late and not o.stale:
            self.sick(call, o.result)

    def sick(self, call, result):
        route, silent = call.route, result is not Result.NO_CONNECTION
        route.silent, route.mute = silent, result in (None, Result.TIMED_OUT)
        for ntf, _ in call.items if silent else ():
            route.lanes[ntf.topic.name] = self.now + self.REST_LANE * self.random.uniform(0.7, 1.3)
        for tally in (route.tally, route.dest.tally):
            tally.add(self.now, False)
        if not silent:  # an outage, once proven, says nothing of how many connections there are
            self.short[route.dest.kind.name] = self.now + self.SHORT * (not route.dest.tally.out())
        for pacer in route.dest.bound(route):
            pacer.bad(call.sent, self.now, False, ran=silent)
        self.turn(route, "tripped" if route.tally.out() else "failed")

    def overdue(self, call):
        """A push past its time is evidence before its time-out: it covers hangs, silence, slow answers."""
        if call.left < len(call.items):
            return
        call.late, call.route.calls = True, call.route.calls - 1  # it takes no room: its like may never end
        if call.items[0][0].state != "afar":
            self.late[call] = None
        if call.route.good_at <= call.sent:  # else younger ones came back: it is heavy, or its answer lost
            self.sick(call, None)

    def free_a_slot(self):
        """Late calls give way, for want of a slot any, for want of a share one of that destination's."""
        if not self.late or not self.set.may_cancel:
            return
        for dest in [d for d in self.touched.values() if d.parked]:
            wanted = any(r.state == "closed" and r.pacer.wait_until <= self.now for r in dest.order)
            free = self.slots > 0 and dest.calls < self.cap(dest)
            late = [c for c in self.late if self.slots <= 0 or c.route.dest is dest]
            if wanted and not free and late:
                least = min(late, key=lambda c: sum(n.benefit for n, _ in c.items if n.topic.effect is ONCE))
                del self.late[least]
                self.acts += [it.Cancel(n.id, push) for n, push in least.items]

    # -- the rules' guard: every push and every throttling passes here ------------------------------

    def repeats(self, ntf, zone):
        """Rule 2, of one that may have run: may it go to an endpoint in that hall again?"""
        if ntf.topic.effect is not Effect.COLLAPSIBLE:
            return ntf.topic.effect is AGAIN
        drops = ntf.topic.group == "all" or (ntf.topic.group == "zone" and zone == ntf.maybe_zone != "")
        return drops and self.begin_in(ntf) > 0.0

    def begin_in(self, ntf):  # a push that connects late must not begin after so long; a little early
        return ntf.maybe_at - self.now + (inf if ntf.topic.effect is AGAIN else ntf.topic.window - 0.05)

    def may_push(self, ntf, route):
        if ntf.state != "parked" or ntf.out or self.now >= ntf.due or ntf.pushes >= ntf.most:
            return False  # rule 1, and no second copies
        if route.state == "draining" or self.now < route.pacer.wait_until:
            return False  # rules 3 and 6
        if self.now + ntf.dest.expected() >= self.leaves:
            return False  # rule 2: a restart cuts it off, and it may have run
        if ntf.key:  # rule 5: the first of its key, after the rest
            turns, rest = self.keys[ntf.key]
            if next(iter(turns)) != ntf.id or (self.now < rest and not ntf.pushes):
                return False
        return ntf.maybe_at == inf or self.repeats(ntf, route.zone)

    def may_throttle(self, ntf):
        effect, never = ntf.topic.effect, ntf.maybe_at == inf
        return never or effect is AGAIN or (effect is not ONCE and ntf.topic.group == "all")

    def rank(self, ntf):
        """Benefit to be won by a push now for each second of a slot; the older first among equals."""
        topic, took = ntf.topic, ntf.dest.expected()
        late, part = self.now + took - (ntf.due - topic.ttl) - topic.objective, self.now + took < ntf.due
        if late > 0.0 and self.set.late is it.Late.HALVES:
            part *= max(topic.late_share, 0.5 ** (late / max(topic.objective, 1e-3)))
        elif late > 0.0:
            part *= 1.0 - (1.0 - topic.late_share) * late / max(topic.ttl - topic.objective, 1e-3)
        return ntf.benefit * part / took, -ntf.due

    def cap(self, dest):
        sick = any(r.tally.row or r.state in ("open", "trial") for r in dest.order)
        return max(1, int(self.set.slots * (self.SHARE_SICK if sick else self.SHARE)))

    def room(self, route):
        """Calls that a route holds before more would only queue; past it the route counts as refusing."""
        routes = sum(r.pacer is route.pacer for r in route.dest.order)
        busy = route.pacer.part(self.now) / routes * min(route.dest.usual, route.dest.times.quantile(0.3))
        return max(1.0, self.ROOM * route.pacer.gain(self.now) * busy)

    def open_to(self, dest):  # the routes that take a further one now, in a call of this round or a new one
        free = self.slots > 0 and dest.calls < self.cap(dest)
        return [r for r in dest.order if self.joins(r) or (free and self.opens(r))]

    def opens(self, route):
        usable = route.state == "closed" or (route.state == "trial" and not route.calls)
        return usable and route.calls < self.room(route) and route.pacer.ready_at(self.now) <= self.now

    def suits(self, route, ntf):  # unproven, a route gets no last pushes, nor what a silence would end
        mine, others = ntf.topic.effect, (n for n in ntf.dest.parked.values() if self.now >= n.rest_until)
        ends = route.silent and (mine is ONCE or (mine is not AGAIN and route.state == "trial"))
        loses = ends and any(n.topic.effect not in (ONCE, mine) for n in others)
        return self.joins(route) or not (route.tally.row and (loses or ntf.pushes * 2 >= ntf.most))

    def shuns(self, route, ntf):
        """One topic type may fail where others are taken: it goes by a sister meanwhile, be it the worse."""
        well = [r for r in ntf.dest.order if self.now >= r.lanes.get(ntf.topic.name, 0.0)]
        well = [r for r in well if ntf.maybe_at == inf or self.repeats(ntf, r.zone)]
        return route not in well and any(r.state in ("closed", "trial") for r in well)

    def joins(self, route):
        call = self.travel.get(route.id)
        return call if call and len(call.items) < route.dest.kind.batch else None

    def serve(self):
        self.free_a_slot()  # the outcome that frees one comes back here
        if self.slots <= 0:
            return
        dests, self.touched = [d for d in self.touched.values() if d.parked], {}
        ranked = [sorted(d.parked.values(), key=self.rank, reverse=True) for d in dests if self.open_to(d)]
        for parked in sorted(ranked, key=lambda row: self.rank(row[0]), reverse=True):
            routes = self.open_to(dest := parked[0].dest)  # one look for all: mostly there is none
            for ntf in parked if routes else ():
                if route := next((r for r in routes if self.takes(r, ntf)), None):
                    self.push(ntf, route)
                    routes = self.open_to(dest)
                if not routes:
                    break
        for dest in (d for d in dests if d.parked):
            self.plan(dest)

    def takes(self, route, ntf):
        later = route.id > ntf.past and self.now >= ntf.rest_until
        if ntf.refused:
            route.dest.earn(self.now)
            later = later and route.dest.credit >= 1.0 - 1e-6
        return later and self.suits(route, ntf) and self.may_push(ntf, route) and not self.shuns(route, ntf)

    def on_overheard(self, e):
        route = self.routes.get(e.endpoint)
        for name, push, topic in e.items if route else ():
            ntf = Ntf(it.Notification(name, inf, 0, ""), route.dest, topic, 0.0, 1)
            ntf.state, ntf.out = "afar", 1
            self.start(ntf, route, push)
        self.travel.pop(e.endpoint, None)  # nothing of ours can join it

    def start(self, ntf, route, push):
        call = self.joins(route)
        times = route.dest.times.quantile(0.9)
        alone = route.dest.kind.apart or route.pacer.cold is None
        for pacer in [route.pacer] if alone else route.dest.bound(route):
            pacer.took(call is None, self.now)
        if call is None:
            call = self.travel[route.id] = Call(route, self.now)
            self.slots, route.calls, route.dest.calls = self.slots - 1, route.calls + 1, route.dest.calls + 1
            few = min(0.5, 2.0 / self.set.slots**2)  # it holds that much more of our slots
            least = min(self.OVERDUE_LEAST - few, self.OVERDUE_ALL * self.times.quantile(0.9))
            self.at(self.now + max(least, (self.OVERDUE - few) * times), Brain.overdue, call)
        call.items, call.left = [*call.items, (ntf, push)], call.left + 1
        self.out[ntf.id, push] = call, ntf

    def push(self, ntf, route):
        self.start(ntf, route, ntf.pushes)
        ntf.out, ntf.pushes = ntf.out + 1, ntf.pushes + 1
        ntf.dest.parked.pop(ntf.id, None)
        ntf.dest.credit -= ntf.refused
        self.step(ntf, "pushed")
        times = self.TIMEOUT * route.dest.times.quantile(0.9)
        longest = inf if ntf.topic.effect is ONCE else max(self.TIMEOUT_LEAST, times)
        self.acts.append(it.Push(ntf.id, route.id, min(ntf.due - self.now, longest), self.begin_in(ntf)))

    def hang_up(self):
        """An idle connection fills a place that others lack, where endpoints take few."""
        for route in self.idle.values():
            uses = route.pacer.part(self.now) * self.set.connection_idle
            short = self.now < self.short.get(route.dest.kind.name, 0.0)
            if not route.calls and uses < (self.KEPT_SHORT if short else self.KEPT):
                self.acts.append(it.HangUp(route.id))
        self.idle = {}

    def plan(self, dest):
        when = min((r.pacer.ready_at(self.now) for r in dest.order if r.state != "draining"), default=inf)
        if when <= self.now and dest.credit < 1.0 and any(n.refused for n in dest.parked.values()):
            when = self.now + (1.0 - dest.credit) / max(1e-3, dest.earns(self.now))
        if self.slots <= 0:
            self.touch(dest)  # the next round may have one
        if self.now < when < inf and not self.now < dest.wake <= when:
            dest.wake = when
            self.at(when, Brain.touch, dest)

    HEAR = {
        it.ListUpdate: on_list,
        it.Notification: on_notification,
        it.Outcome: on_outcome,
        it.Withdrawn: lambda self, e: e.id in self.held and self.step(self.held[e.id], "ended"),
        it.Woken: lambda self, event: None,
        it.Retuned: on_retuned,
        it.Overheard: on_overheard,
        it.Turn: on_turn,
        it.Leaving: lambda self, event: setattr(self, "leaves", event.until),
    }

"""All decisions of a relay. A caller makes one Brain(settings, seed) a relay and calls
round(now, events) -> actions with the clock in seconds; the types stand in interface.py.

Ordinary path (ADR-0142): the first eligible route in id order, evidence-only hops past the failed
route, a circuit a route, a cap on one destination's share of the slots. docs/design.md has the rest.
"""

import heapq
import random
from bisect import bisect_left
from dataclasses import dataclass, field
from itertools import accumulate
from math import inf

from . import interface as it
from .interface import Effect, Listed, Result

ONCE, AGAIN = Effect.ONCE_ONLY, Effect.REPEATABLE
NEVER_RAN = {Result.FULL, Result.NO_CONNECTION, Result.NOT_SENT}  # proof that a push never ran
MAY_STILL_RUN = {Result.TIMED_OUT, Result.BROKEN, Result.CANCELLED}  # a key in order rests after these

# A route: (states, input, next state, effect); = stays; what is not listed changes nothing.
ROUTE_ROWS = (
    ("closed skipping waiting warming trial", "tripped", "open", "rest"),
    ("closed skipping warming", "full", "skipping", "skip"),
    ("closed skipping waiting warming", "wait", "waiting", "heed"),
    ("skipping waiting warming", "due", "closed", None),
    ("open", "due", "trial", None),
    ("open trial", "wait", "open", "heed"),
    ("trial", "failed", "open", "rest"),
    ("trial", "full", "open", "skip"),
    ("open trial", "delivered", "warming", "warm"),
    ("closed skipping waiting open trial warming", "drain", "draining", None),
    ("draining", "ready", "closed", None),
)
ROUTE = {(s, heard): (s if to == "=" else to, do) for ss, heard, to, do in ROUTE_ROWS for s in ss.split()}

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
        self.bins, self.count, self.found, self.prior = [0.0] * (len(self.EDGES) + 1), 0.0, {}, prior

    def add(self, seconds):
        self.bins[bisect_left(self.EDGES, seconds)] += 1.0
        self.count, self.found = self.count + 1.0, {}
        if self.count >= self.FULL:
            self.bins, self.count = [b / 2 for b in self.bins], self.count / 2

    def quantile(self, part, unknown):
        """The upper edge of the bin that holds this part."""
        if part not in self.found:
            bins, pool = self.bins, self.prior
            if pool and pool.count:
                bins = [b + p * self.PRIOR / pool.count for b, p in zip(bins, pool.bins, strict=True)]
            reached = list(accumulate(bins))
            if not reached[-1]:
                return unknown
            at = min(bisect_left(reached, part * reached[-1]), len(self.EDGES) - 1)
            self.found[part] = self.EDGES[at]
        return self.found[part]


class Pacer:
    """What one destination, or one route apart, may be sent: told rate, waits, refusals, warm-up."""

    # Our part of the rate, over the even part: relays are seldom even. What runs short grows, what is
    # refused shrinks, in balance at one refusal in ten; the ends keep one bad minute from lasting.
    GAIN, GAIN_MIN, GAIN_MAX, GROW, SHRINK = 1.5, 0.5, 12.0, 1.01, 0.9
    BURST = 1.0  # seconds of our part that may go at once: a clump's beginning
    # On a large fleet an even part is a call in minutes and demand is never even: until it is refused any
    # relay may send a call in so many seconds: twice as long after a refusal, down to its even part.
    BACK, EASE = 0.5, 0.925  # about a refusal's skip; eased so little a delivery, balance is at one in ten
    # Failing or refusing so long with no delivery between, it may come back cold; a limit's refusals
    OUT_AFTER = 3.0  # are shorter, and a shorter outage hardly empties anything
    THIN = 4.0  # calls in the time that an idle connection stays open
    LAST, MANY = 8, 4  # of so many outcomes so many failed: "most calls fail", seen from few
    COLD_PART = 0.8  # of rule 4's budget: the rest is for chance and for relays with more than their part
    COLD_ITEM = 0.05  # what a further item of a call weighs at a cold destination
    UNTOLD, UNTOLD_COLD = 5.0, 0.5  # calls a second to begin with; few destinations take less than the second
    ROUGH = 1.5  # a rough rate may be half too high: the budget counts on the worst

    def __init__(self, settings, kind, chance, now, dest, rate):
        # Where calls carry many, spaced ones gather what comes: no burst, and no more than our even part.
        self.burst, self.most = (self.BURST, self.GAIN_MAX) if kind.batch == 1 else (0.0, 1.0)
        self.idle = settings.connection_idle
        self.rules, self.relays, self.random = settings.rules, settings.relays, chance
        self.rough = self.ROUGH if settings.rough_rates else 1.0
        self.told, self.seen, self.seen_at = None, 0.0, now
        self.gain, self.at = min(self.GAIN, self.most), now
        self.tokens = chance.random() ** (1.0 / max(rate, 0.1))
        self.wait_until, self.bad_since, self.recent = 0.0, inf, [0] * self.LAST
        self.cold = None  # None: warm; inf: not back yet; else since when it is back
        self.dest, self.batch, self.out, self.back = dest, kind.batch, False, self.BACK
        self.row, self.hungry = 0, 0.0

    def part(self):
        """Our even part of the rate; where none is told, what was delivered: twice that while all is well."""
        if self.told:
            return self.told / self.relays / self.dest.sharing()
        return max(self.UNTOLD, 2 * self.seen) if self.cold is None else max(self.UNTOLD_COLD, self.seen)

    def rate(self, now):
        part, share = self.part(), self.rules.cold_share
        if self.cold is None:
            return part * self.gain
        share += (1.0 - share) * max(0.0, now - self.cold) / self.rules.cold_time
        if share >= 1.0:
            self.cold = None
        if self.told and self.batch == 1:  # by what we are asked for: even parts are idle at most relays
            part = max(part, self.dest.asked(now) / len(self.dest.order))
        return max(1e-3, min(part, part / self.rough * self.rules.overload_factor * share * self.COLD_PART))

    def ready_at(self, now):
        """When the next call may go."""
        rate, since = self.rate(now), self.at
        most = max(1.0, rate * self.burst)
        if self.cold is not None:  # nothing gathers in a wait, or all relays would send at its end
            most, since = 1.0, max(self.at, self.wait_until)
        if not self.thin():
            self.tokens = min(most, self.tokens + rate * max(0.0, now - since))
        self.at = now
        lack, start = max(0.0, 1.0 - 1e-6 - self.tokens), max(now, self.wait_until)
        if self.cold is None and self.batch == 1:
            since = max(self.hungry, self.dest.hungry, self.wait_until)
            return max(start, min(start + lack / rate, since + lack * self.back))
        return start + lack / rate

    def thin(self):
        """Our part is so small that it lies at one route, drawn by chance, whose connection stays open."""
        return self.cold is None and self.batch == 1 and 0.0 < self.part() * self.idle < self.THIN

    def took(self, first, now):
        self.tokens -= 1.0 if first else self.COLD_ITEM if self.cold is not None else 0.0
        self.tokens, self.hungry = max(-1.0, self.tokens), now

    def good(self, sent, now, here):
        self.recent = [*self.recent[1:], 0]
        if here:
            self.seen = self.seen * 0.5 ** ((now - self.seen_at) / 20.0) + 0.035  # a second, over some 20 s
            self.gain = min(self.most, self.gain * self.GROW) if self.tokens < 1.0 else self.gain
            self.back, self.row, self.seen_at = max(0.1, self.back * self.EASE), 0, now
            self.tokens = 1.0 if self.thin() else self.tokens
        if sent >= self.bad_since or self.bad_since == inf:  # what went before the outage proves no return
            self.bad_since = inf
            if self.cold == inf:  # one failure alone, seen from few calls, was no outage
                self.cold, self.out = max(now, self.wait_until) if self.out else None, False

    def bad(self, sent, now, refused, wait=0.0):
        """A failure or refusal of a push that went at sent; wait: told with a refusal."""
        self.recent = [*self.recent[1:], 0 if refused else 1]
        self.bad_since = min(self.bad_since, sent)
        if refused:
            self.gain = max(self.GAIN_MIN, self.gain * self.SHRINK)
            self.row, self.hungry = self.row + 1, now
            self.back, self.tokens = self.back * 2**self.row, min(self.tokens, self.random.random())
        out = now + wait - self.bad_since > self.OUT_AFTER or sum(self.recent) >= self.MANY
        self.out = self.out or out
        if out or sum(self.recent[-3:]) == 3:
            # The house's random wait: relays must not come back in step.
            self.tokens = min(self.tokens, self.random.random()) if self.cold != inf else self.tokens
            self.cold = inf


@dataclass(slots=True, eq=False)
class Ntf:
    """A notification that we hold."""

    id: str
    due: float
    dest: object
    topic: object
    benefit: float
    key: str
    state: str = "parked"
    pushes: int = 0
    out: int = 0
    hops: int = 0
    past: str = ""  # the walk starts past this route
    rest_until: float = 0.0
    maybe_at: float = inf  # when the first push went that may have run
    maybe_zone: str = ""


@dataclass(slots=True, eq=False)
class Call:
    """What takes a slot: one push, or several that travel together."""

    route: object
    sent: float
    left: int = 0
    late: bool = False
    items: list = field(default_factory=list)  # (ntf, push)


class Route:
    """One endpoint of a destination."""

    def __init__(self, endpoint, dest, pacer):
        self.id, self.zone, self.dest, self.pacer = endpoint.id, endpoint.zone, dest, pacer
        self.state, self.until, self.row, self.calls, self.silent = "closed", 0.0, 0, 0, False
        self.good_at = 0.0  # when the youngest push went that was delivered
        self.lanes = {}  # topic type -> [failures in a row, as good_at, shut until]


class Dest:
    """One destination: its routes in order, what is parked for it, what its calls hold."""

    def __init__(self, times):
        self.kind, self.order, self.parked = None, [], {}
        self.calls, self.times, self.wake = 0, Times(times), inf
        self.flow, self.flow_at, self.hungry = 0.0, 0.0, 0.0

    def bound(self, route):
        """The pacers that a route's waits and outages bind: all where routes share a limit."""
        return [route.pacer] if self.kind.apart else list(dict.fromkeys(r.pacer for r in self.order))

    def sharing(self):
        """Pacers among which a told rate is divided; where calls carry many, one gathers for all routes."""
        one = self.kind.apart or self.kind.batch > 1
        return 1 if one else sum(r.state != "draining" for r in self.order) or 1

    def asked(self, now, more=0.0):
        """Notifications a second that come in for it here, over some 30 s."""
        self.flow, self.flow_at = self.flow * 0.5 ** ((now - self.flow_at) / 20.0) + more * 0.035, now
        return self.flow


class Brain:
    """One relay's decisions."""

    TRIP, REST = 3, 5.0  # the design's circuit: three in a row, five seconds
    REST_SHORT = 1.5  # after failed connections: a trial reaches nobody and proves that nothing ran
    SKIP = 0.3  # after a refusal as full: a few calls end there, and no objective is that short
    HOPS = 2  # in one walk: one to start in the design; two reach the third route of the usual two or three
    SHARE, SHARE_SICK = 0.75, 0.5  # of the slots, for a destination: the design's
    OVERDUE, OVERDUE_LEAST = 2.5, 2.0  # past so many times what nine in ten stay under, at least two seconds
    TIMEOUT, TIMEOUT_LEAST = 6.0, 3.0  # the same for giving a push up: long, as overdue ones tell already
    ROOM = 1.2  # times what our gain's rate keeps busy: at twice, calls queued and slots ran short
    USUAL = 0.5  # a push's time before anything was measured
    SHARE_SPAN = 5.0  # seconds of its quota that a customer may run ahead
    DOOR = 0.95  # of what we may hold: past it we choose what goes, before the door does

    def __init__(self, settings, seed):
        self.set, self.random, self.now = settings, random.Random(seed), 0.0
        self.topics = {t.name: t for t in settings.topic_types}
        self.kinds = {k.name: k for k in settings.kinds}
        self.quota = {c.name: [c.quota / settings.relays, 0.0, 0.0] for c in settings.customers}
        self.times = Times()  # of all destinations
        self.dests, self.routes, self.held, self.out, self.late = {}, {}, {}, {}, []
        self.keys = {}  # key in order -> [ids in turn, rest until]
        self.slots, self.heap, self.seq, self.woken = settings.slots, [], 0, inf
        self.acts, self.touched, self.travel = [], {}, {}
        if settings.asks_for_list:
            self.at(0.0, Brain.ask, None)

    def round(self, now, events):
        self.now, self.acts, self.travel = now, [], {}
        for event in events:
            self.HEAR[type(event)](self, event)
        while self.heap and self.heap[0][0] <= now:
            _, _, what, subject = heapq.heappop(self.heap)
            what(self, subject)
        self.serve()
        if self.woken <= now + 1e-5:  # an adapter may round a wait down
            self.woken = inf
        if self.heap and self.heap[0][0] < self.woken:
            self.woken = self.heap[0][0]
            self.acts.append(it.Wake(max(0.0, self.woken - now)))
        return self.acts

    def at(self, when, what, subject):
        self.seq += 1
        heapq.heappush(self.heap, (when, self.seq, what, subject))

    def touch(self, dest):
        self.touched[id(dest)] = dest

    def on_list(self, update):
        if update.failed:  # at a random time, so that relays do not ask in step
            self.at(self.now + self.random.uniform(0.5, 1.5), Brain.ask, None)
            return
        listed = {e.id: e for e in update.endpoints}
        for e in listed.values():
            route = self.routes.get(e.id) or self.add_route(e)
            if self.set.told_rates and not route.pacer.told:
                route.pacer.told = e.rate
            self.turn(route, "ready" if e.listed is Listed.READY else "drain")
        for route in [r for r in self.routes.values() if update.whole and r.id not in listed]:
            self.turn(route, "drain")

    def ask(self, _):
        self.acts.append(it.AskForList())

    def dest(self, name):
        if name not in self.dests:
            self.dests[name] = Dest(self.times)
        return self.dests[name]

    def add_route(self, e):
        dest = self.dest(e.destination)
        dest.kind = dest.kind or self.kinds.get(e.kind) or it.Kind(e.kind)
        one = dest.order[0].pacer if dest.order and dest.kind.batch > 1 and not dest.kind.apart else None
        pacer = one or Pacer(self.set, dest.kind, self.random, self.now, dest, e.rate)
        route = self.routes[e.id] = Route(e, dest, pacer)
        idle = [r for r in dest.order if r.state == "draining" and not r.calls]
        for old in [r for r in idle if r.pacer.wait_until <= self.now and r.pacer.cold is None]:
            dest.order.remove(self.routes.pop(old.id))
        dest.order = sorted([*dest.order, route], key=lambda r: r.id)
        return route

    def turn(self, route, heard, span=0.0):
        self.touch(route.dest)
        route.state, effect = ROUTE.get((route.state, heard), (route.state, None))
        if effect:
            getattr(self, effect)(route, span)

    def rest(self, route, _):
        self.heed(route, (self.REST if route.silent else self.REST_SHORT) * self.random.uniform(0.7, 1.3))

    def skip(self, route, _):
        self.heed(route, self.SKIP * self.random.uniform(0.7, 1.3))

    def warm(self, route, _):
        self.heed(route, self.set.rules.cold_time)

    def heed(self, route, span):
        route.until = self.now + span
        self.at(route.until, Brain.route_due, route)

    def route_due(self, route):
        if self.now >= route.until:
            self.turn(route, "due")

    # -- a notification's life --------------------------------------------------------------------

    def step(self, ntf, heard):
        ntf.state, effect = NTF.get((ntf.state, heard), (ntf.state, None))
        if effect:
            getattr(self, effect)(ntf)

    def on_notification(self, n):
        topic, dest = self.topics[n.topic_type], self.dest(n.destination)
        benefit = topic.benefit
        if n.customer in self.quota:
            row = self.quota[n.customer]
            row[1], row[2] = max(0.0, row[1] - row[0] * (self.now - row[2])), self.now
            even = row[0] * self.SHARE_SPAN
            if row[1] > even + 2.0 * even**0.5 + 1.0:  # a relay's part is uneven by chance
                benefit *= self.set.over_share_benefit
            else:
                row[1] += 1.0
        dest.asked(self.now, 1.0)
        ntf = self.held[n.id] = Ntf(n.id, n.due, dest, topic, benefit, n.key if topic.keep_order else "")
        if ntf.key:
            self.keys.setdefault(ntf.key, [{}, 0.0])[0][ntf.id] = ntf
        self.park(ntf)
        if len(self.held) > self.set.max_open * self.DOOR:
            # Where most are parked the next has least to win: one sick destination must not fill the hold.
            parked = (x for x in self.held.values() if x.state == "parked")
            self.step(min(parked, key=lambda x: (-len(x.dest.parked), self.rank(x))), "given up")

    def park(self, ntf):
        if not ntf.dest.parked:
            ntf.dest.hungry = ntf.due - ntf.topic.ttl
        ntf.dest.parked[ntf.id] = ntf
        self.at(max(self.now, ntf.due - self.expected(ntf.dest)), Brain.runs_short, ntf)
        self.touch(ntf.dest)

    def runs_short(self, ntf):
        if self.now + self.expected(ntf.dest) >= ntf.due - 1e-6:
            self.step(ntf, "given up")
        elif ntf.state == "parked":  # pushes have become faster since
            self.at(ntf.due - self.expected(ntf.dest), Brain.runs_short, ntf)

    def expected(self, dest):
        return dest.times.quantile(0.5, self.USUAL)

    def again(self, ntf):
        """A push came to nothing: hop, park or end at once."""
        stuck = ntf.maybe_at < inf and (ntf.topic.effect is ONCE or self.now > self.closes(ntf))
        if stuck or ntf.pushes >= self.set.max_pushes or self.now + self.expected(ntf.dest) >= ntf.due:
            self.give_up(ntf)
        else:
            self.park(ntf)

    def give_up(self, ntf):
        """The final answer, at once, with a time to come back where one is known."""
        routes = [r for r in ntf.dest.order if r.state != "draining"]
        ends = [max(r.until if r.state == "open" else 0.0, r.pacer.wait_until) for r in routes]
        back = min(self.set.max_come_back, max(0.0, min(ends, default=0.0) - self.now))
        self.acts.append(it.Throttle(ntf.id, back) if self.may_throttle(ntf) else it.Expire(ntf.id))
        self.forget(ntf)

    def forget(self, ntf):
        ntf.state = "over"
        self.held.pop(ntf.id, None)
        ntf.dest.parked.pop(ntf.id, None)
        self.next_turn(ntf)

    def next_turn(self, ntf):
        if ntf.key and ntf.state == "over" and not ntf.out:
            turns, rest = self.keys[ntf.key]
            turns.pop(ntf.id, None)
            for other in turns.values():
                self.touch(other.dest)
            if not turns and self.now >= rest:  # else it stays, for the rest
                del self.keys[ntf.key]

    def on_withdrawn(self, event):
        if event.id in self.held:
            self.step(self.held[event.id], "ended")

    def on_outcome(self, o):
        if (o.id, o.push) not in self.out:
            return
        call, ntf = self.out.pop((o.id, o.push))
        route, first = call.route, call.left == len(call.items)
        call.left -= 1
        if not call.left:
            self.slots, route.calls, route.dest.calls = self.slots + 1, route.calls - 1, route.dest.calls - 1
        self.touch(route.dest)
        for pacer in route.dest.bound(route) if o.limit else ():
            pacer.told, pacer.rough = o.limit, 1.0
        if o.wait > 0.0:  # each item of a call may tell a later end
            span = o.wait + 0.002  # a wait is told in whole milliseconds
            for each in [route] if route.dest.kind.apart else route.dest.order:
                each.pacer.wait_until = max(each.pacer.wait_until, self.now + span)
                self.turn(each, "wait", span)
        if o.result is Result.DELIVERED:
            route.dest.times.add(o.elapsed)
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
            ntf.maybe_at, ntf.maybe_zone = call.sent, route.zone
        ntf.past, ntf.hops = route.id, ntf.hops + 1
        self.step(ntf, "ended" if o.ended or o.result is Result.DELIVERED else "came to nothing")

    def judge(self, route, call, o):
        """What a call's outcome says of its route."""
        if o.result is Result.DELIVERED:
            for pacer in route.dest.bound(route):
                pacer.good(call.sent, self.now, pacer is route.pacer)
            route.row, route.silent, route.good_at = 0, False, max(route.good_at, call.sent)
            for topic in {n.topic.name for n, _ in call.items}:
                route.lanes[topic] = [0, max(call.sent, route.lanes.get(topic, (0, 0.0))[1]), 0.0]
            self.turn(route, "delivered")
        elif o.result is Result.FULL:
            if not o.wait:
                self.turn(route, "full")
            route.pacer.bad(call.sent, self.now, True, o.wait)
        elif o.result not in (Result.NOT_SENT, Result.CANCELLED) and not call.late:
            self.sick(call, o.result is not Result.NO_CONNECTION)

    def sick(self, call, silent):
        route = call.route
        for topic in {n.topic.name for n, _ in call.items}:
            lane = route.lanes.setdefault(topic, [0, 0.0, 0.0])
            lane[0] += 1
            if lane[0] >= self.TRIP or (silent and call.sent - lane[1] > self.REST):
                lane[2] = self.now + self.REST * self.random.uniform(0.7, 1.3)
        route.row, route.silent = route.row + 1, silent
        for pacer in route.dest.bound(route):
            pacer.bad(call.sent, self.now, False)
        if not silent:  # it reached nobody: as much comes back as the rest would earn
            route.pacer.tokens = min(1.0, route.pacer.tokens + self.REST_SHORT * route.pacer.rate(self.now))
        # Where calls are few, a silence with no delivery shortly before is all there will be to see.
        thin = silent and call.sent - route.good_at > self.REST
        self.turn(route, "tripped" if thin or route.row >= self.TRIP else "failed")

    def overdue(self, call):
        """A push past its time is evidence before its time-out: it covers hangs, silence, slow answers."""
        if call.left < len(call.items) or call.late:
            return
        call.late = True
        if call.route.good_at <= call.sent:  # else younger ones came back: it is heavy, or its answer lost
            self.sick(call, True)
        self.late.append(call)

    def free_a_slot(self):
        """Late calls hold slots until a route that is not out wants one: what loses least is called off.
        Covers hangs, silence, lost answers anywhere; hurts where slow answers would have come."""
        self.late = [c for c in self.late if c.left]
        wanting = (r for d in self.touched.values() if d.parked for r in d.order)
        if self.late and self.set.may_cancel and any(r.state in ("closed", "warming") for r in wanting):
            least = min(self.late, key=lambda c: sum(n.benefit for n, _ in c.items if n.topic.effect is ONCE))
            self.late.remove(least)
            self.acts += [it.Cancel(n.id, push) for n, push in least.items]

    # -- the rules' guard: every push and every throttling passes here ------------------------------

    def closes(self, ntf):
        """When what may have run may no longer be pushed; a little early."""
        return ntf.maybe_at + ntf.topic.window - 0.05 if ntf.topic.effect is Effect.COLLAPSIBLE else inf

    def may_push(self, ntf, route):
        if ntf.state != "parked" or ntf.out or self.now >= ntf.due or ntf.pushes >= self.set.max_pushes:
            return False  # rule 1, and no second copies
        if route.state == "draining" or self.now < route.pacer.wait_until:
            return False  # rules 3 and 6
        if ntf.key:  # rule 5: the first of its key, after the rest
            turns, rest = self.keys[ntf.key]
            if next(iter(turns)) != ntf.id or (self.now < rest and not ntf.pushes):
                return False
        if ntf.maybe_at < inf and ntf.topic.effect is not AGAIN:  # rule 2
            same = ntf.topic.group == "all" or (ntf.topic.group == "zone" and route.zone == ntf.maybe_zone)
            return ntf.topic.effect is not ONCE and same and self.now < self.closes(ntf)
        return True

    def may_throttle(self, ntf):
        if ntf.topic.effect is AGAIN or (ntf.maybe_at == inf and not ntf.out):
            return True
        return ntf.topic.effect is not ONCE and ntf.topic.group == "all"

    def rank(self, ntf):
        """Benefit still to be won by a push now; the older first among equals."""
        topic, done = ntf.topic, self.now + self.expected(ntf.dest)
        late = done - (ntf.due - topic.ttl) - topic.objective
        part = 1.0 if done < ntf.due else 0.0
        if late > 0.0 and self.set.late is it.Late.HALVES:
            part *= max(topic.late_share, 0.5 ** (late / topic.objective))
        elif late > 0.0:
            part *= 1.0 - (1.0 - topic.late_share) * late / max(topic.ttl - topic.objective, 1e-3)
        return ntf.benefit * part, -ntf.due

    def cap(self, dest):
        sick = any(r.row or r.state in ("open", "trial") for r in dest.order)
        return max(1, int(self.set.slots * (self.SHARE_SICK if sick else self.SHARE)))

    def room(self, route):
        """Calls that a route holds before more would only queue; past it the route counts as refusing."""
        dest = route.dest
        routes = sum(r.pacer is route.pacer for r in dest.order)
        busy = route.pacer.part() / routes * dest.times.quantile(0.3, self.USUAL)
        return max(1.0, self.ROOM * route.pacer.gain * busy)

    def eligible(self, route, ntf, once):
        if route.state not in ("closed", "warming", "trial") or (route.state == "trial" and route.calls):
            return False
        loses = route.silent and ntf.topic.effect is ONCE and not once
        if route.row and (loses or ntf.pushes * 2 >= self.set.max_pushes):
            return False  # unproven: not with last pushes, nor with what a silence would end
        return route.calls < self.room(route) and route.pacer.ready_at(self.now) <= self.now

    def shuns(self, route, ntf):
        """One topic type may fail where others are taken, whose deliveries close the circuit again: it goes
        by a sister for a while. Covers one bad handler or table there; hurts where the sister is the worse."""
        def shut(r):
            return r.lanes and self.now < r.lanes.get(ntf.topic.name, (0, 0.0, 0.0))[2]

        return shut(route) and any(r.state not in ("open", "draining") and not shut(r) for r in ntf.dest.order)

    def joins(self, route):
        call = self.travel.get(route.id)
        return call if call and len(call.items) < route.dest.kind.batch else None

    def serve(self):
        """Push what may go, the most valuable first: a slot goes where it wins most."""
        if self.slots <= 0:
            return self.free_a_slot()  # the outcome that frees one comes back here
        dests, self.touched = self.touched.values(), {}
        ranked = [(d, sorted(d.parked.values(), key=self.rank, reverse=True)) for d in dests if d.parked]
        for dest, parked in sorted(ranked, key=lambda row: self.rank(row[1][0])[0] / self.expected(row[0]), reverse=True):
            once = all(n.topic.effect is ONCE for n in parked)
            for ntf in parked:
                if ntf.pushes and (ntf.hops > self.HOPS or ntf.past >= dest.order[-1].id):
                    # The walk is over: it begins anew, after a rest.
                    ntf.hops, ntf.past, ntf.rest_until = 0, "", self.now + 2 * self.SKIP
                    self.at(ntf.rest_until, Brain.touch, dest)
                route = self.walk(dest, ntf, once) if self.now >= ntf.rest_until else None
                if route:
                    self.push(ntf, route)
                elif self.slots <= 0:
                    self.touch(dest)  # the next round may have a slot
                    break
            if dest.parked:
                self.plan(dest)

    def walk(self, dest, ntf, once):
        free = dest.calls < self.cap(dest) and self.slots > 0
        for route in dest.order:
            open_to = self.joins(route) or (free and self.eligible(route, ntf, once))
            if route.id > ntf.past and open_to and self.may_push(ntf, route) and not self.shuns(route, ntf):
                return route
        return None

    def push(self, ntf, route):
        call = self.joins(route)
        times = route.dest.times.quantile(0.9, 2 * self.USUAL)
        route.pacer.took(call is None, self.now)
        if call is None:
            call = self.travel[route.id] = Call(route, self.now)
            self.slots, route.calls, route.dest.calls = self.slots - 1, route.calls + 1, route.dest.calls + 1
            self.at(self.now + max(self.OVERDUE_LEAST, self.OVERDUE * times), Brain.overdue, call)
        call.items.append((ntf, ntf.pushes))
        call.left += 1
        self.out[ntf.id, ntf.pushes] = call, ntf
        ntf.out += 1
        ntf.pushes += 1
        ntf.dest.parked.pop(ntf.id, None)
        self.step(ntf, "pushed")
        longest = inf if ntf.topic.effect is ONCE else max(self.TIMEOUT_LEAST, self.TIMEOUT * times)
        self.acts.append(it.Push(ntf.id, route.id, min(ntf.due - self.now, longest)))

    def plan(self, dest):
        """Wake when the next call may go to one of the destination's routes."""
        when = min((r.pacer.ready_at(self.now) for r in dest.order if r.state != "draining"), default=inf)
        if self.now < when < inf and not self.now < dest.wake <= when:
            dest.wake = when
            self.at(when, Brain.touch, dest)

    HEAR = {
        it.ListUpdate: on_list,
        it.Notification: on_notification,
        it.Outcome: on_outcome,
        it.Withdrawn: on_withdrawn,
        it.Woken: lambda self, event: None,
    }

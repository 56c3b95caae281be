"""All decisions of a relay. Callers make one Brain(settings, seed) a relay and call
round(now, events) -> actions with the clock in seconds; types stand in interface.py.

Ordinary path (ADR-0142): first eligible route in id order, evidence-only hops past the failed
route, a circuit a route, a cap on one destination's share of the slots; see docs/design.md.
"""

import heapq
import random
from bisect import bisect_left
from dataclasses import dataclass, field
from math import inf

from . import interface as it
from .interface import Effect, Listed, Result

ONCE, AGAIN = Effect.ONCE_ONLY, Effect.REPEATABLE
# What proves that a push never ran.
NEVER_RAN = {Result.FULL, Result.NO_CONNECTION, Result.NOT_SENT}
# After these the push may still be running: a key in order rests.
STILL_RUNS = {Result.TIMED_OUT, Result.BROKEN, Result.CANCELLED}

# One table for a route: (states, input, next state, effect); = stays; what is not listed changes nothing.
ROUTE_ROWS = (
    ("closed skipping waiting warming", "failed", "=", "count"),
    ("closed skipping waiting warming", "tripped", "open", "rest"),
    ("closed", "full", "skipping", "skip"),
    ("warming", "full", "=", "skip"),
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

# One table for a notification; the effects are methods of Brain.
NTF = {
    ("parked", "pushed"): ("out", None),
    ("parked", "short"): ("over", "give_up"),
    ("parked", "shed"): ("over", "give_up"),
    ("parked", "ended"): ("over", "forget"),
    ("out", "pushed"): ("out", None),
    ("out", "ended"): ("over", "forget"),
    ("out", "never ran"): ("parked", "again"),
    ("out", "may have run"): ("parked", "again"),
}


class Times:
    """How long delivered pushes took: a few coarse bins, halved now and then."""

    # Each bin reaches half as far again as the one before; the last is some 50 s.
    EDGES = [0.05 * 1.5**i for i in range(18)]
    # Halved at this many: old enough to be steady, young enough to follow a change within minutes.
    FULL = 64

    def __init__(self):
        self.bins, self.count = [0.0] * (len(self.EDGES) + 1), 0.0

    def add(self, seconds):
        self.bins[bisect_left(self.EDGES, seconds)] += 1.0
        self.count += 1.0
        if self.count >= self.FULL:
            self.bins, self.count = [b / 2 for b in self.bins], self.count / 2

    def quantile(self, part, unknown):
        """The upper edge of the bin that holds this part; unknown while too little was seen."""
        if self.count < 4:  # fewer say nothing of a tail
            return unknown
        left = part * self.count
        for i, number in enumerate(self.bins):
            left -= number
            if left <= 0:
                break
        return self.EDGES[min(i, len(self.EDGES) - 1)]


class Pacer:
    """What one destination, or one route apart, may be sent: told rate, waits, refusals, warm-up."""

    # Our part of the rate at first: relays are seldom even, so somewhat over the even part.
    GAIN, GAIN_MIN, GAIN_MAX = 1.5, 0.5, 12.0
    # Calls that may go at once, in seconds of our part: a clump's beginning.
    BURST = 1.0
    # Failing or refusing for so long with no delivery between, a destination may come back cold;
    # a limit's refusals are shorter, and a shorter outage hardly empties anything.
    OUT_AFTER = 3.0
    # Part of rule 4's budget that we use while cold: chance, and relays that carry more than their part.
    COLD_PART = 0.8

    def __init__(self, settings, told, now):
        self.rules, self.relays = settings.rules, settings.relays
        # A rough rate may be half too high: the budget counts on the worst.
        self.rough = 1.5 if settings.rough_rates else 1.0
        self.told, self.seen, self.seen_at = told, 0.0, now
        self.gain, self.tokens, self.at = self.GAIN, 1.0, now
        self.wait_until, self.bad_since = 0.0, inf
        self.recent = [0] * 8  # the last outcomes, 1 a failure
        self.cold = None  # None: warm; inf: not back yet; else since when it is back

    def share(self, now):
        """The part of its capacity that the destination surely has."""
        if self.cold is None:
            return 1.0
        since = max(0.0, now - self.cold) / self.rules.cold_time if self.cold < inf else 0.0
        if since >= 1.0:
            self.cold = None
        return self.rules.cold_share + (1.0 - self.rules.cold_share) * min(1.0, since)

    def rate(self, now):
        base = self.told if self.told else max(1.0, self.seen) * self.relays
        part, share = base / self.relays, self.share(now)
        if self.cold is None:
            return part * self.gain
        return min(part, part / self.rough * self.rules.overload_factor * share * self.COLD_PART)

    def refill(self, now):
        rate = self.rate(now)
        most = 1.0 if self.cold is not None else max(1.0, rate * self.BURST)
        self.tokens = min(most, self.tokens + rate * (now - self.at))
        self.at = now

    def ready_at(self, now):
        """When the next call may go; now if it may at once."""
        self.refill(now)
        lack = (1.0 - 1e-6 - self.tokens) / self.rate(now)
        return max(self.wait_until, now + lack, now)

    def took(self, first):
        # A further item in a call weighs a little at a cold destination, nothing at a warm one.
        self.tokens -= 1.0 if first else 0.05 if self.cold is not None else 0.0

    def heard(self, limit):
        if limit:
            self.told, self.rough = limit, 1.0

    def good(self, sent, now):
        self.recent = [*self.recent[1:], 0]
        self.seen = self.seen * 0.5 ** ((now - self.seen_at) / 5.0) + 0.14  # calls a second, over some 5 s
        self.seen_at = now
        if self.tokens < 1.0:  # only what we use up is too little
            self.gain = min(self.GAIN_MAX, self.gain * 1.05)
        if sent >= self.bad_since:
            self.bad_since = inf
        if self.cold == inf:
            self.cold = now

    def bad(self, sent, until, refused):
        """A failure or refusal of a push that went at sent; until: when the destination may be back."""
        self.recent = [*self.recent[1:], 0 if refused else 1]
        self.bad_since = min(self.bad_since, sent)
        if refused:
            self.gain = max(self.GAIN_MIN, self.gain * 0.9)
        out = until - self.bad_since > self.OUT_AFTER
        if out or sum(self.recent) >= 4 or (self.cold is not None and not refused):
            self.cold = inf
            self.tokens = min(self.tokens, 0.0)


@dataclass(slots=True)
class Ntf:
    """A notification that we hold."""

    id: str
    due: float
    dest: object
    topic: object
    benefit: float
    taken: float
    key: str
    state: str = "parked"
    pushes: int = 0
    hops: int = 0
    start: int = 0  # where the walk begins: past the route that failed
    rest_until: float = 0.0
    maybe_at: float = inf  # when the first push went that may have run
    maybe_route: object = None
    out: dict = field(default_factory=dict)


@dataclass(slots=True)
class Call:
    """What takes a slot: one push, or several that travel together."""

    route: object
    sent: float
    items: int = 0
    left: int = 0
    late: bool = False
    ntfs: list = field(default_factory=list)


class Route:
    """One endpoint of a destination."""

    def __init__(self, endpoint, dest, pacer):
        self.id, self.zone, self.dest, self.pacer = endpoint.id, endpoint.zone, dest, pacer
        self.state, self.until, self.row = "closed", 0.0, 0
        self.calls, self.silent = 0, False


class Dest:
    """One destination: its routes in order, what is parked for it, what its calls hold."""

    def __init__(self, kind):
        self.kind, self.pacer = kind, None
        self.routes, self.order, self.parked = {}, [], {}
        self.calls, self.times, self.wake = 0, Times(), inf

    @property
    def once(self):
        return sum(n.topic.effect is ONCE for n in self.parked.values())


class Brain:
    """One relay's decisions."""

    # Circuit: the design's three in a row and five seconds; less where a trial cannot hurt.
    TRIP, REST, REST_SHORT = 3, 5.0, 1.5
    # A refusal as full: long enough to let a few calls end there, short beside any objective.
    SKIP = 0.3
    # Hops in one walk: one to start in the design; two reach the third route of the usual two or three.
    HOPS = 2
    # Share of the slots for a destination: the design's.
    SHARE, SHARE_SICK = 0.75, 0.5
    # A push is overdue past this multiple of the time that nine in ten stay under.
    OVERDUE, OVERDUE_LEAST = 2.5, 1.0
    # Twice what the rate keeps busy lets answers of uneven length pass each other.
    ROOM = 2.0
    # An expected time before anything was measured.
    USUAL = 0.5

    def __init__(self, settings, seed):
        self.set, self.random, self.now = settings, random.Random(seed), 0.0
        self.topics = {t.name: t for t in settings.topic_types}
        self.kinds = {k.name: k for k in settings.kinds}
        self.quota = {c.name: [c.quota / settings.relays, 0.0, 0.0] for c in settings.customers}
        self.dests, self.routes, self.held = {}, {}, {}
        self.keys = {}  # key in order -> [ids in turn, rest until]
        self.slots, self.heap, self.seq, self.woken = settings.slots, [], 0, inf
        self.acts, self.touched, self.travel, self.starved = [], {}, {}, {}
        self.out, self.late = {}, []  # (id, push) -> call; calls past their time
        self.asked = not settings.asks_for_list

    # -- the loop ---------------------------------------------------------------------------------

    def round(self, now, events):
        self.now, self.acts, self.touched, self.travel = now, [], {}, {}
        if not self.asked:
            self.asked = True
            self.acts.append(it.AskForList())
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

    # -- the list ---------------------------------------------------------------------------------

    def on_list(self, update):
        if update.failed:
            # The registry is busy or gone: come back at a random time, so that relays do not in step.
            self.at(self.now + self.random.uniform(0.5, 1.5), Brain.ask, None)
            return
        named = {e.id for e in update.endpoints}
        if update.whole:
            for route in [r for r in self.routes.values() if r.id not in named]:
                self.turn(route, "drain")
        for e in update.endpoints:
            route = self.routes.get(e.id)
            if route is None:
                route = self.add_route(e)
            if self.set.told_rates:
                route.pacer.told = route.pacer.told or e.rate
            self.turn(route, "ready" if e.listed is Listed.READY else "drain")

    def ask(self, _):
        self.acts.append(it.AskForList())

    def add_route(self, e):
        dest = self.dest(e.destination, self.kinds.get(e.kind) or it.Kind(e.kind))
        told = e.rate if self.set.told_rates else None
        if dest.kind.apart or dest.pacer is None:
            pacer = Pacer(self.set, told, self.now)
            dest.pacer = dest.pacer or (None if dest.kind.apart else pacer)
        else:
            pacer = dest.pacer
        route = self.routes[e.id] = dest.routes[e.id] = Route(e, dest, pacer)
        dest.order = [dest.routes[i] for i in sorted(dest.routes)]
        return route

    def dest(self, number, kind=None):
        if number not in self.dests:
            self.dests[number] = Dest(kind)
        dest = self.dests[number]
        dest.kind = dest.kind or kind
        return dest

    # -- a route's life ---------------------------------------------------------------------------

    def turn(self, route, heard, **more):
        step = ROUTE.get((route.state, heard))
        self.touch(route.dest)
        if step is None:
            return
        route.state, effect = step
        if effect:
            getattr(self, "do_" + effect)(route, **more)

    def do_count(self, route):
        if route.row >= self.TRIP:
            self.turn(route, "tripped")

    def do_skip(self, route):
        self.until(route, self.SKIP * self.random.uniform(0.7, 1.3))

    def do_rest(self, route):
        # A failed connection reaches nobody and proves that nothing ran: it may be tried again soon.
        rest = self.REST if route.silent else self.REST_SHORT
        self.until(route, rest * self.random.uniform(0.7, 1.3))

    def do_heed(self, route, span):
        self.until(route, span)

    def do_warm(self, route):
        # House habit: a random wait before the first sending to what has just come back.
        route.row = 0
        self.until(route, self.set.rules.cold_time)

    def until(self, route, span):
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
            # A customer's share as a bucket of five seconds: what overflows earns little.
            row = self.quota[n.customer]
            row[1] = max(0.0, row[1] - row[0] * (self.now - row[2]))
            row[2] = self.now
            if row[1] > row[0] * 5.0:
                benefit *= self.set.over_share_benefit
            else:
                row[1] += 1.0
        ntf = Ntf(n.id, n.due, dest, topic, benefit, self.now, n.key if topic.keep_order else "")
        self.held[n.id] = dest.parked[n.id] = ntf
        if ntf.key:
            self.keys.setdefault(ntf.key, [{}, 0.0])[0][ntf.id] = ntf
        self.at(max(self.now, n.due - self.expected(dest)), Brain.runs_short, ntf)
        self.touch(dest)
        if len(self.held) > self.set.max_open * 0.95:  # the door shuts soon: make room by value
            parked = [x for x in self.held.values() if x.state == "parked"]
            self.step(min(parked, key=self.rank), "shed")

    def runs_short(self, ntf):
        if self.held.get(ntf.id) is not ntf or ntf.state != "parked":
            return
        self.step(ntf, "short")

    def expected(self, dest):
        return max(0.02, dest.times.quantile(0.5, self.USUAL))

    def give_up(self, ntf):
        if self.may_throttle(ntf):
            self.acts.append(it.Throttle(ntf.id, self.come_back(ntf.dest)))
        else:
            self.acts.append(it.Expire(ntf.id))
        self.forget(ntf)

    def come_back(self, dest):
        routes = [r for r in dest.order if r.state != "draining"]
        when = min(
            (max(r.until if r.state in ("waiting", "open") else 0.0, r.pacer.wait_until) for r in routes),
            default=self.now,
        )
        return min(self.set.max_come_back, max(0.0, when - self.now))

    def forget(self, ntf):
        ntf.state = "over"
        self.held.pop(ntf.id, None)
        ntf.dest.parked.pop(ntf.id, None)
        if ntf.key:
            turns = self.keys[ntf.key]
            turns[0].pop(ntf.id, None)
            for other in turns[0].values():
                self.touch(other.dest)

    def again(self, ntf):
        """A push came to nothing: hop, park or end."""
        if ntf.out:
            ntf.state = "out"
            return
        short = self.now + self.expected(ntf.dest) >= ntf.due
        stuck = ntf.maybe_at < inf and (ntf.topic.effect is ONCE or self.now > self.closes(ntf))
        if short or stuck or ntf.pushes >= self.set.max_pushes:
            self.give_up(ntf)
            return
        ntf.dest.parked[ntf.id] = ntf
        self.at(max(self.now, ntf.due - self.expected(ntf.dest)), Brain.runs_short, ntf)
        self.touch(ntf.dest)

    def on_withdrawn(self, event):
        if event.id in self.held:
            self.step(self.held[event.id], "ended")

    # -- outcomes ---------------------------------------------------------------------------------

    def on_outcome(self, o):
        route, ntf = self.routes.get(o.endpoint), self.held.get(o.id)
        call = self.out.pop((o.id, o.push), None)
        if call is None or route is None:
            return
        sent, never = call.sent, o.result in NEVER_RAN
        call.left -= 1
        if call.left == 0:
            self.slots += 1
            route.calls -= 1
            route.dest.calls -= 1
        first = call.left == call.items - 1
        self.touch(route.dest)
        route.pacer.heard(o.limit)
        if o.wait > 0.0:  # each item of a call may tell a later end
            route.pacer.wait_until = max(route.pacer.wait_until, self.now + o.wait + 0.002)
            self.at(route.pacer.wait_until, Brain.touch, route.dest)
            for each in [route] if route.dest.kind.apart else route.dest.order:
                self.turn(each, "wait", span=o.wait + 0.002)
        if first:
            self.judge(route, call, o)
        elif o.result is Result.DELIVERED:
            route.dest.times.add(o.elapsed)
        if ntf is None:
            return
        ntf.out.pop(o.push, None)
        if ntf.key and o.result in STILL_RUNS:
            self.keys[ntf.key][1] = self.now + self.set.rules.key_rest
            self.at(self.keys[ntf.key][1], Brain.touch, ntf.dest)
        if not never and sent < ntf.maybe_at:
            ntf.maybe_at, ntf.maybe_route = sent, route
        if o.ended or o.result is Result.DELIVERED:
            self.step(ntf, "ended")
            return
        # The hop starts past the route that failed; a walk that used its hops begins anew after a rest.
        ntf.start, ntf.hops = (
            route.dest.order.index(route) + 1 if route in route.dest.order else 0,
            ntf.hops + 1,
        )
        self.step(ntf, "never ran" if never else "may have run")

    def judge(self, route, call, o):
        """What an outcome says of its route and pacer."""
        pacer, result = route.pacer, o.result
        if result is Result.DELIVERED:
            route.dest.times.add(o.elapsed)
            pacer.good(call.sent, self.now)
            route.row, route.silent = 0, False
            self.turn(route, "delivered")
        elif result is Result.FULL:
            pacer.bad(call.sent, self.now + o.wait, True)
            if not o.wait:
                self.turn(route, "full")
        elif result is not Result.NOT_SENT and result is not Result.CANCELLED and not call.late:
            self.sick(route, call, result is not Result.NO_CONNECTION)

    def sick(self, route, call, silent):
        route.row += 1
        route.silent = silent
        route.pacer.bad(call.sent, self.now, False)
        if not silent:  # it reached nobody
            route.pacer.tokens = min(1.0, route.pacer.tokens + 1.0)
        self.turn(route, "failed")

    def overdue(self, call):
        """A push past its time is evidence before its time-out: it covers hangs, silence, slow routes."""
        if call.left < call.items or call.late:
            return
        call.late = True
        self.sick(call.route, call, True)
        self.late = [c for c in self.late if c.left] + [call]
        if len(self.late) > max(1, int(self.set.slots * self.SHARE_SICK)) and self.set.may_cancel:
            # All sick destinations together hold half the slots: what loses least by it is called off.
            def loss(c):
                return sum(self.worth(n, n.due - 0.01) for n, _ in c.ntfs if n.topic.effect is ONCE)

            call = min(self.late, key=loss)
            self.late.remove(call)
            self.acts += [it.Cancel(n.id, push) for n, push in call.ntfs]

    def on_probed(self, event):
        route = self.routes.get(event.endpoint)
        if route:
            route.pacer.heard(event.limit)

    # -- pushing ----------------------------------------------------------------------------------

    def worth(self, ntf, at):
        """Benefit still to be won by an answer at that time."""
        topic = ntf.topic
        age = at - (ntf.due - topic.ttl)
        if at >= ntf.due:
            return 0.0
        if age <= topic.objective:
            return ntf.benefit
        if self.set.late is it.Late.HALVES:
            part = max(topic.late_share, 0.5 ** (age / topic.objective - 1.0))
        else:
            part = 1.0 - (1.0 - topic.late_share) * (age - topic.objective) / (topic.ttl - topic.objective)
        return ntf.benefit * part

    def rank(self, ntf):
        return self.worth(ntf, self.now + self.expected(ntf.dest)), -ntf.due

    def cap(self, dest):
        sick = any(r.row or r.state in ("open", "trial") for r in dest.order)
        return max(1, int(self.set.slots * (self.SHARE_SICK if sick else self.SHARE)))

    def closes(self, ntf):
        """When a collapsible one that may have run may no longer be pushed; a little early."""
        return ntf.maybe_at + ntf.topic.window - 0.05 if ntf.topic.effect is Effect.COLLAPSIBLE else inf

    def may_push(self, ntf, route):
        """The rules' guard: every push passes here."""
        topic = ntf.topic
        if ntf.state == "over" or self.now >= ntf.due or ntf.pushes >= self.set.max_pushes:
            return False  # rule 1
        if route.state == "draining" or self.now < route.pacer.wait_until:
            return False  # rules 3 and 6
        if ntf.key:  # rule 5: the first of its key, after the rest
            turn, rest = self.keys[ntf.key]
            if next(iter(turn)) != ntf.id or (self.now < rest and not ntf.pushes):
                return False
        if ntf.out and (not self.set.second_copies or topic.effect is ONCE):
            return False
        if ntf.maybe_at < inf and topic.effect is not AGAIN:  # rule 2
            same = topic.group == "all" or topic.group == "zone" and route.zone == ntf.maybe_route.zone
            return topic.effect is not ONCE and same and self.now < self.closes(ntf)
        return True

    def may_throttle(self, ntf):
        """Rule 2 for a throttling reply: harmless to try again."""
        if ntf.topic.effect is AGAIN or (ntf.maybe_at == inf and not ntf.out):
            return True
        return ntf.topic.effect is not ONCE and ntf.topic.group == "all"

    def eligible(self, route, ntf):
        if route.state in ("open", "waiting", "skipping", "draining"):
            return False
        if route.state == "trial" and route.calls:
            return False
        if route.row:  # unproven: not with the last pushes, nor with what a silence would end
            if ntf.pushes * 2 >= self.set.max_pushes:
                return False
            if route.silent and ntf.topic.effect is ONCE and len(route.dest.parked) > route.dest.once:
                return False
        return route.calls < self.room(route) and route.pacer.ready_at(self.now) <= self.now

    def room(self, route):
        """Calls that a route keeps busy at its part of the rate, twice over: past that they only queue."""
        pacer, dest = route.pacer, route.dest
        routes = 1 if dest.kind.apart else sum(r.state != "draining" for r in dest.order) or 1
        part = pacer.told / pacer.relays / routes if pacer.told else inf
        return max(1.0, self.ROOM * pacer.gain * part * dest.times.quantile(0.3, self.USUAL))

    def joins(self, route):
        call = self.travel.get(route.id)
        return call if call and call.items < route.dest.kind.batch else None

    def serve(self):
        """Push what may go: the most valuable first where slots are short."""
        dests = list({**self.starved, **self.touched}.values())
        self.starved = {}
        lists = []
        for dest in dests:
            if dest.parked:
                for ntf in dest.parked.values():
                    if ntf.hops > self.HOPS or ntf.start >= len(dest.order):
                        # The walk is over: the next begins anew, after a rest.
                        ntf.hops = ntf.start = 0
                        if ntf.pushes:
                            ntf.rest_until = self.now + self.SKIP * 2
                            self.at(ntf.rest_until, Brain.touch, dest)
                ranked = sorted(dest.parked.values(), key=self.rank, reverse=True)
                lists.append((dest, ranked))
        lists.sort(key=lambda row: self.rank(row[1][0]), reverse=True)
        for dest, ranked in lists:
            for ntf in ranked:
                if self.now < ntf.rest_until:
                    continue
                route = self.walk(dest, ntf)
                if route:
                    self.push(ntf, route)
                elif self.slots <= 0:
                    self.starved[id(dest)] = dest
                    break
            if dest.parked:
                self.plan(dest)

    def walk(self, dest, ntf):
        cap = dest.calls < self.cap(dest) and self.slots > 0
        for route in dest.order[ntf.start :]:
            if (self.joins(route) or (cap and self.eligible(route, ntf))) and self.may_push(ntf, route):
                return route
        return None

    def push(self, ntf, route):
        call = self.joins(route)
        route.pacer.took(call is None)
        if call is None:
            call = self.travel[route.id] = Call(route, self.now)
            self.slots -= 1
            route.calls += 1
            route.dest.calls += 1
            late = max(self.OVERDUE_LEAST, self.OVERDUE * route.dest.times.quantile(0.9, 2 * self.USUAL))
            self.at(self.now + late, Brain.overdue, call)
        call.items += 1
        call.left += 1
        call.ntfs.append((ntf, ntf.pushes))
        self.out[ntf.id, ntf.pushes] = call
        ntf.out[ntf.pushes] = call
        ntf.pushes += 1
        ntf.dest.parked.pop(ntf.id, None)
        self.step(ntf, "pushed")
        self.acts.append(it.Push(ntf.id, route.id, self.timeout(ntf, route)))

    def timeout(self, ntf, route):
        left = ntf.due - self.now
        if ntf.topic.effect is ONCE:
            return left
        return min(left, max(3.0, 6.0 * route.dest.times.quantile(0.9, 2 * self.USUAL)))

    def plan(self, dest):
        """Wake when the next call may go to one of the destination's routes."""
        when = min(
            (
                max(r.pacer.ready_at(self.now), r.until if r.state != "closed" else 0.0)
                for r in dest.order
                if r.state != "draining"
            ),
            default=inf,
        )
        if self.now < when < inf and not self.now < dest.wake <= when:
            dest.wake = when
            self.at(when, Brain.touch, dest)

    HEAR = {
        it.ListUpdate: on_list,
        it.Notification: on_notification,
        it.Outcome: on_outcome,
        it.Probed: on_probed,
        it.Withdrawn: on_withdrawn,
        it.Woken: lambda self, event: None,
    }

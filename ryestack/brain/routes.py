"""Routes, destinations and calls: circuits, and the list they come from."""

import heapq
from math import inf

from .. import interface as it
from .estimators import Tally, Times
from .rate_limiter import Pacer

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


class Call:
    def __init__(self, route, sent):
        self.route, self.sent, self.left, self.late = route, sent, 0, False
        self.items, self.due = [], inf  # (ntf, push); the first time that is up


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
    CREDIT, CREDIT_MOST = 0.5, 3.0  # pushes after a refusal for one asked: with more a limit stays used up
    STEP, RISE = 16, 1.1  # deliveries, times: a spell of slowness is over before the usual pace has followed

    def __init__(self, brain, number):
        self.number, self.kind, self.order, self.parked, self.tally = number, None, [], {}, Tally()
        self.times, self.wake, self.hungry, self.usual, self.seen = Times(brain.times), inf, 0.0, inf, 0
        self.calls, self.born, self.credit, self.credit_at = 0, brain.seq, brain.random.random(), brain.now

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
        one = self.kind.per_route and not self.tally.out()
        return [route.pacer] if one else list(dict.fromkeys(r.pacer for r in self.order))

    def sharing(self):  # pacers that a told rate is divided among
        one = self.kind.per_route or self.kind.batch > 1
        return 1 if one else sum(r.state != "draining" for r in self.order) or 1


class Circuits:
    REST, REST_SHORT = 5.0, 1.5  # the design's circuit; where a trial costs little: its end came at once
    ASK, ASK_LONGEST, NEAR = 1.0, 3.5, 0.5  # seconds that askings spread over: at first, later, of an agent
    TOLD = 6.0  # seconds, the platform's clock: what a registry that is asked hid for so long counts as told

    def at(self, when, what, subject):
        self.seq += 1
        heapq.heappush(self.heap, (when, self.seq, what, subject))

    def touch(self, dest):
        self.touched[id(dest)] = dest

    def on_list(self, update):
        if update.failed:  # at a random time, later each time, so that relays do not ask in step
            asks = self.set.asks_for_list  # else an agent beside us: free, and what it has counts
            self.asking = min(self.ASK_LONGEST, self.asking * 2.0) if asks else self.NEAR
            self.sure = min(self.sure, update.confirmed_at) if asks else inf
            return self.at(self.now + self.asking * self.random.uniform(0.5, 1.0), Circuits.ask, None)
        self.asking, self.sure = self.ASK, inf
        self.touched = {id(dest): dest for _, dest in sorted(self.waiting.items())}
        listed = {e.id: e for e in update.endpoints}
        ready = {e.id for e in listed.values() if e.status is it.EndpointStatus.READY}
        turned = [self.routes.get(e.id) or self.add_route(e) for e in listed.values()]
        turned += [r for r in self.routes.values() if r.id not in listed] if update.whole else []
        for route in turned:
            self.turn(route, "ready" if route.id in ready else "drain")
        self.draining = {r.id: r for r in [*self.draining.values(), *turned] if r.state == "draining"}
        for route in [r for r in self.draining.values() if self.now >= r.needed()]:
            del self.routes[route.id], self.draining[route.id]
            route.dest.order.remove(route)
            self.bare.update({} if route.dest.order else {route.dest.number: route.dest})
        for number in [n for n, d in self.bare.items() if not (d.parked or d.calls)]:
            del self.dests[number], self.bare[number]

    def ask(self, _):
        self.acts.append(it.AskForList())

    def add_dest(self, number):
        self.seq += 1  # in the order of their coming
        dest = self.dests[number] = self.bare[number] = Dest(self, number)
        return dest

    def add_route(self, e):
        dest = self.dests.get(e.destination) or self.add_dest(e.destination)
        self.bare.pop(e.destination, None)
        dest.kind = dest.kind or self.kinds.get(e.kind) or it.Kind(e.kind)
        dest.habit = self.habits[dest.kind.name]
        one = dest.order[0].pacer if dest.order and dest.kind.batch > 1 and not dest.kind.per_route else None
        pacer = one or Pacer(self.set, dest, self.random, self.now, e.rate)
        route = self.routes[e.id] = Route(e, dest, pacer)
        dest.order = sorted([*dest.order, route], key=lambda r: r.id)
        return route

    def turn(self, route, heard, span=0.0):
        self.touch(route.dest)
        if heard in ("wait", "drain"):  # a connection that comes up late must not carry what it now forbids
            self.acts.append(it.CancelUnsent(route.id))
        route.state, effect = ROUTE.get((route.state, heard), (route.state, None))
        if effect:
            getattr(self, effect)(route, span)

    def rest(self, route, _):
        self.heed(route, (self.REST if route.mute else self.REST_SHORT) * self.random.uniform(0.7, 1.3))

    def heed(self, route, span):
        route.until = self.now + span
        self.at(route.until, Circuits.route_due, route)

    def route_due(self, route):
        if self.now >= route.until:
            self.turn(route, "due")

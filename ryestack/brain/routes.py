"""Routes, destinations and calls: circuits, and the list they come from."""

import heapq
from math import inf

from .. import interface as it
from .measures import Habit, Tally, Times
from .pacer import Pacer

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

    def __init__(self, times, chance, now):
        self.kind, self.order, self.parked, self.tally, self.calls = None, [], {}, Tally(), 0
        self.times, self.wake, self.hungry, self.usual, self.seen = Times(times), inf, 0.0, inf, 0
        self.credit, self.credit_at, self.habit = chance.random(), now, Habit()

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


class Circuits:
    REST = 5.0  # the design's circuit
    REST_SHORT = 1.5  # where a trial costs little: the answer, or the failed connection, came at once
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
            self.sure = min(self.sure, update.sure_at) if asks else inf
            return self.at(self.now + self.asking * self.random.uniform(0.5, 1.0), Circuits.ask, None)
        self.asking, self.sure, self.touched = self.ASK, inf, {id(d): d for d in self.dests.values()}
        listed = {e.id: e for e in update.endpoints}
        for e in listed.values():
            route = self.routes.get(e.id) or self.add_route(e)
            self.turn(route, "ready" if e.listed is it.Listed.READY else "drain")
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
        dest.habit = self.habits[dest.kind.name]
        one = dest.order[0].pacer if dest.order and dest.kind.batch > 1 and not dest.kind.apart else None
        pacer = one or Pacer(self.set, dest, self.random, self.now, e.rate)
        route = self.routes[e.id] = Route(e, dest, pacer)
        dest.order = sorted([*dest.order, route], key=lambda r: r.id)
        return route

    def turn(self, route, heard, span=0.0):
        self.touch(route.dest)
        if heard in ("wait", "drain"):  # a connection that comes up late must not carry what it now forbids
            self.acts.append(it.CallOff(route.id))
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

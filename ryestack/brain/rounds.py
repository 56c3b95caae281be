"""Rounds: what is pushed now, and by which route."""

import heapq
import random
from collections import defaultdict
from math import inf

from .. import interface as it
from .estimators import Habit, Times
from .guard import AGAIN, ONCE
from .notifications import Ntf
from .outcomes import Outcomes
from .routes import Call


class Brain(Outcomes):
    OVERDUE, OVERDUE_ALL, OVERDUE_LEAST = 2.5, 3.0, 2.0  # times 9 in 10 stay under, there, all; seconds
    TIMEOUT, TIMEOUT_LEAST = 6.0, 10.0  # the same for giving a push up; the slow still run
    ROOM, USUAL = 1.2, 0.5  # times what our gain keeps busy: at 2, calls queued; a push's time at first
    KEPT, KEPT_SHORT = 0.25, 16.0  # calls in an idle connection's time: with fewer, most close unused

    def __init__(self, settings, seed):
        self.set, self.random, self.now, self.quota = settings, random.Random(seed), 0.0, {}
        self.name(settings)
        self.times = Times()  # of all destinations
        self.times.add(self.USUAL)
        self.dests, self.waiting, self.bare, self.draining = {}, {}, {}, {}  # all; some parked; no route
        self.routes, self.held, self.out, self.late, self.keys = {}, {}, {}, {}, {}
        self.slots, self.heap, self.seq, self.woken, self.asking = settings.slots, [], 0, inf, self.ASK
        self.acts, self.touched, self.travel, self.idle, self.leaves, self.sure = [], {}, {}, {}, inf, inf
        self.short, self.habits = {}, defaultdict(Habit)  # by kind: until when short of connections
        if settings.asks_for_list:
            self.at(self.random.uniform(0.0, self.ASK), Outcomes.ask, None)  # a fleet may start at once

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
            self.acts.append(it.SetTimer(max(0.0, self.woken - now)))
        return self.acts

    def room(self, route):  # calls that it holds before more would only queue; past it it counts as refusing
        routes = sum(r.pacer is route.pacer for r in route.dest.order)
        busy = route.pacer.part(self.now) / routes * min(route.dest.usual, route.dest.times.quantile(0.3))
        return max(1.0, self.ROOM * route.pacer.gain(self.now) * busy)

    def open_to(self, dest):  # the routes that take a further one now, in a call of this round or a new one
        return [r for r in dest.order if self.joins(r) or self.opens(r)]

    def opens(self, route):
        usable = route.state == "closed" or (route.state == "trial" and not route.calls)
        usable = usable and self.slots > 0 and route.dest.calls < self.cap(route.dest)
        return usable and route.calls < self.room(route) and route.pacer.ready_at(self.now) <= self.now

    def suits(self, route, ntf):  # unproven, a route gets no last pushes, nor what a silence would end
        mine, others = ntf.topic.effect, (n for n in ntf.dest.parked.values() if self.now >= n.rest_until)
        ends = route.silent and (mine is ONCE or (mine is not AGAIN and route.state == "trial"))
        loses = ends and any(n.topic.effect not in (ONCE, mine) for n in others)
        return self.joins(route, ntf) or not (route.tally.row and (loses or ntf.pushes * 2 >= ntf.most))

    def shuns(self, route, ntf):  # one topic type may fail where others are taken: it goes by a sister then
        well = [r for r in ntf.dest.order if self.now >= r.lanes.get(ntf.topic.name, 0.0)]
        well = [r for r in well if ntf.maybe_at == inf or self.repeats(ntf, r.zone)]
        return route not in well and any(r.state in ("closed", "trial") for r in well)

    def joins(self, route, ntf=None):  # a call is over with the first time of its items': the short go alone
        call = self.travel.get(route.id)
        short = call and ntf and 2 * min(ntf.due, call.due) - self.now < max(ntf.due, call.due)
        short = short and min(ntf.due, call.due) - self.now < route.dest.times.quantile(0.9)
        return call if call and not short and len(call.items) < route.dest.kind.batch else None

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
        later = later and (self.joins(route, ntf) or not self.joins(route))  # else it waits for another call
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
        call, times = self.joins(route, ntf), route.dest.times.quantile(0.9)
        alone = route.dest.kind.per_route or route.pacer.cold is None
        for pacer in [route.pacer] if alone else route.dest.bound(route):
            pacer.took(call is None, self.now)
        if call is None:
            call = self.travel[route.id] = Call(route, self.now)
            self.slots, route.calls, route.dest.calls = self.slots - 1, route.calls + 1, route.dest.calls + 1
            few = min(0.5, 2.0 / self.set.slots**2)  # it holds that much more of our slots
            least = min(self.OVERDUE_LEAST - few, self.OVERDUE_ALL * self.times.quantile(0.9))
            self.at(self.now + max(least, (self.OVERDUE - few) * times), Outcomes.overdue, call)
        call.items, call.left, call.due = [*call.items, (ntf, push)], call.left + 1, min(call.due, ntf.due)
        self.out[ntf.id, push] = call, ntf

    def push(self, ntf, route):
        self.start(ntf, route, ntf.pushes)
        ntf.out, ntf.pushes = ntf.out + 1, ntf.pushes + 1
        self.unpark(ntf)
        ntf.dest.credit -= ntf.refused
        self.step(ntf, "pushed")
        left, times = ntf.due - self.EARLY - self.now, self.TIMEOUT * route.dest.times.quantile(0.9)
        longest = inf if ntf.topic.effect is ONCE else max(self.TIMEOUT_LEAST, times)
        self.acts.append(it.Push(ntf.id, route.id, min(left, longest), self.begin_in(ntf)))

    def hang_up(self):  # an idle connection fills a place that others lack, where endpoints take few
        for route in self.idle.values():
            kept = self.KEPT_SHORT if self.now < self.short.get(route.dest.kind.name, 0.0) else self.KEPT
            if not route.calls and route.pacer.part(self.now) * self.set.connection_idle < kept:
                self.acts.append(it.CloseIdleConnections(route.id))
        self.idle = {}

    def plan(self, dest):
        when = min((r.pacer.ready_at(self.now) for r in dest.order if r.state != "draining"), default=inf)
        if when <= self.now and dest.credit < 1.0 and any(n.refused for n in dest.parked.values()):
            when = self.now + (1.0 - dest.credit) / max(1e-3, dest.earns(self.now))
        if self.slots <= 0:
            self.touch(dest)  # the next round may have one
        if self.now < when < inf and not self.now < dest.wake <= when:
            dest.wake = when
            self.at(when, Outcomes.touch, dest)

    HEAR = {
        it.ListUpdate: Outcomes.on_list,
        it.Notification: Outcomes.on_notification,
        it.Outcome: Outcomes.on_outcome,
        it.WaitRequested: Outcomes.on_wait,
        it.Withdrawn: lambda self, e: e.id in self.held and self.step(self.held[e.id], "ended"),
        it.TimerFired: lambda self, event: None,
        it.SettingsChanged: on_retuned,
        it.SiblingCall: on_overheard,
        it.SiblingKeyClaim: Outcomes.on_turn,
        it.ShuttingDown: lambda self, event: setattr(self, "leaves", event.until),
    }

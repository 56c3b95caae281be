"""What calls came to, or did not come to in time."""

from math import inf

from ..interface import Cancel, Result
from .guard import ONCE
from .notifications import MAY_STILL_RUN, NEVER_RAN, Walk


class Outcomes(Walk):
    REST_LANE = 20.0  # a sister serves the topic type meanwhile; few calls each, and each trial may lose one
    SHORT = 60.0  # seconds after a failed connection: one relay meets few, an outage's cost a handshake each
    SHARE, SHARE_SICK = 0.75, 0.5  # of the slots, for a destination: the design's

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
        for each in ([route] if route.dest.kind.per_route else route.dest.order) if o.limit and first else ():
            each.pacer.told, each.pacer.rough = max(0.1, o.limit), 1.0
            each.pacer.left(o.limit_left, self.now)
        self.on_wait(o)
        if o.result is Result.DELIVERED:
            route.dest.took(o.elapsed)
            self.times.add(o.elapsed)
        if first:
            self.judge(route, call, o)
        ntf.out -= 1
        ntf.pushes -= not o.attempted
        if ntf.key and o.result in MAY_STILL_RUN:
            self.keys[ntf.key][1] = self.now + self.set.rules.key_rest
            for other in self.keys[ntf.key][0].values():
                self.at(self.keys[ntf.key][1], Outcomes.touch, other.dest)
        self.next_turn(ntf)
        if o.result not in NEVER_RAN and call.sent < ntf.maybe_at:
            ntf.maybe_at, ntf.maybe_zone = call.sent, ntf.maybe_zone or route.zone
        ntf.past, ntf.hops = route.id, ntf.hops + 1
        ntf.refused = o.result is Result.FULL and o.limit_left < route.pacer.USED_UP
        self.step(ntf, "ended" if o.ended or o.result is Result.DELIVERED else "came to nothing")

    def on_wait(self, e):  # by an answer's head, then by its outcome: the rest may come late, or never
        route, span = self.routes.get(e.endpoint), e.wait + 0.002  # a wait is told in whole milliseconds
        if route and e.wait > 0.0:
            for each in [route] if route.dest.kind.per_route else route.dest.order:
                each.pacer.wait_until = max(each.pacer.wait_until, self.now + span)
                self.turn(each, "wait", span)

    def judge(self, route, call, o):
        if o.limit_left < route.pacer.USED_UP and o.result in (Result.FULL, Result.DELIVERED):
            route.dest.habit.add(o.result is Result.FULL)
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
            route.pacer.bad(call.sent, self.now, True, o.wait, used_up=o.limit_left < route.pacer.USED_UP)
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

    def overdue(self, call):  # evidence before its time-out: it covers hangs, silence, slow answers
        if call.left < len(call.items):
            return
        call.late, call.route.calls = True, call.route.calls - 1  # it takes no room: its like may never end
        if call.items[0][0].state != "afar":
            self.late[call] = None
        if call.route.good_at <= call.sent:  # else younger ones came back: it is heavy, or its answer lost
            self.sick(call, None)

    def cap(self, dest):
        sick = any(r.tally.row or r.state in ("open", "trial") for r in dest.order)
        return max(1, int(self.set.slots * (self.SHARE_SICK if sick else self.SHARE)))

    def free_a_slot(self):  # late calls give way: for want of a slot any, of a share one of that destination
        if not self.late or not self.set.may_cancel:
            return
        for dest in [d for d in self.touched.values() if d.parked]:
            wanted = any(r.state == "closed" and r.pacer.wait_until <= self.now for r in dest.order)
            free = self.slots > 0 and dest.calls < self.cap(dest)
            late = [c for c in self.late if self.slots <= 0 or c.route.dest is dest]
            if wanted and not free and late:
                least = min(late, key=lambda c: sum(n.benefit for n, _ in c.items if n.topic.effect is ONCE))
                del self.late[least]
                self.acts += [Cancel(n.id, push) for n, push in least.items]

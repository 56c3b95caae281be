"""Notifications: how each is held, walks its routes and ends, a key's turns; pushes pass the `guard`."""

from math import inf

from .. import interface as it
from .guard import AGAIN, Guard
from .routes import Dest

NEVER_RAN = {it.Result.FULL, it.Result.NO_CONNECTION, it.Result.NOT_SENT}  # proof that a push never ran
MAY_STILL_RUN = {it.Result.TIMED_OUT, it.Result.BROKEN, it.Result.CANCELLED}  # its key rests after these

# A notification: (state, input) -> (next state, effect).
NTF = {
    ("parked", "pushed"): ("out", None),
    ("parked", "given up"): ("over", "give_up"),
    ("parked", "ended"): ("over", "forget"),
    ("out", "ended"): ("over", "forget"),
    ("out", "came to nothing"): ("parked", "again"),
}


class Ntf:
    def __init__(self, n, dest, topic, benefit, most):
        self.id, self.due, self.dest, self.topic, self.benefit = (
            n.id,
            n.due - n.read_delay,
            dest,
            topic,
            benefit,
        )
        self.key, self.state, self.out = n.key if topic.keep_order else "", "parked", 0
        self.pushes, self.maybe_at, self.most = (
            n.pushes,
            n.may_have_run_at,
            n.max_pushes or most,
        )  # so far; at most in all
        self.hops, self.past, self.rest_until = 0, "", 0.0  # the walk starts past the route named
        self.maybe_zone, self.refused = "", False  # of its first that may have run; the last met a limit


class Walk(Guard):
    WALK_REST, HOPS = 0.6, 2  # seconds before a walk begins anew: a few calls end there; hops in one walk
    SHARE_SPAN = 5.0  # seconds of quota that a customer may run ahead
    DOOR, LATE, PRICE = 0.95, 0.3, 0.3  # of our hold; an end before the last LATE of a time costs PRICE of it

    def step(self, ntf, heard):
        ntf.state, effect = NTF.get((ntf.state, heard), (ntf.state, None))
        if effect:
            getattr(self, effect)(ntf)

    def on_notification(self, n):
        topic = n.terms or self.topics[n.topic_type]
        dest, benefit = self.dests.get(n.destination) or self.add_dest(n.destination), topic.benefit
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
        if ntf.state == "parked" and len(self.held) > self.set.max_open * self.DOOR:  # else none makes room
            most = max(self.waiting.values(), key=lambda d: (len(d.parked), -d.born)).parked.values()
            self.step(min(most, key=lambda n: self.loses(n, n is ntf)), "given up")

    def park(self, ntf):
        if not ntf.dest.parked:
            ntf.dest.hungry = ntf.due - ntf.topic.ttl
        ntf.dest.parked[ntf.id], self.waiting[ntf.dest.born] = ntf, ntf.dest
        ends = min(ntf.due - ntf.dest.expected(), self.now + self.begin_in(ntf))  # or its window does
        self.at(ends, lambda self, ntf: self.step(ntf, "given up"), ntf)
        self.touch(ntf.dest)
        if ntf.past and (ntf.hops > self.HOPS or ntf.past >= max((r.id for r in ntf.dest.order), default="")):
            ntf.hops, ntf.past, ntf.rest_until = 0, "", self.now + self.WALK_REST  # the walk begins anew
            self.at(ntf.rest_until, Walk.touch, ntf.dest)

    def unpark(self, ntf):
        if ntf.dest.parked.pop(ntf.id, None) and not ntf.dest.parked:
            del self.waiting[ntf.dest.born]

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
        back = min(self.set.max_retry_after, max(0.0, min(ends, default=0.0) - self.now))
        self.acts.append(it.Throttle(ntf.id, back) if self.may_throttle(ntf) else it.Expire(ntf.id))
        self.forget(ntf)

    def forget(self, ntf):
        self.held.pop(ntf.id, None)
        self.unpark(ntf)
        self.next_turn(ntf)

    def next_turn(self, ntf):
        if ntf.key and ntf.state == "over" and not ntf.out:
            turns, rest = self.keys[ntf.key]
            turns.pop(ntf.id, None)
            for other in turns.values():
                self.touch(other.dest)
            if not turns:
                self.at(rest, Walk.drop_key, ntf.key)

    def drop_key(self, key):
        if key in self.keys and not self.keys[key][0] and self.now >= self.keys[key][1]:
            del self.keys[key]

    def on_turn(self, e):  # one that is handed over to us later takes its turn's place
        dest, topic = Dest(self, 0), it.TopicType("", AGAIN, 0.0, 0.0, keep_order=True)
        theirs = Ntf(it.Notification(e.id, inf, 0, "", key=e.key), dest, topic, 0.0, 1)
        row = self.keys.setdefault(e.key, [{}, 0.0])
        row[0].setdefault(e.id, theirs)
        theirs.state, row[1] = "over" if e.released else "afar", max(row[1], e.rests_until)
        for other in row[0].values():
            self.at(row[1], Walk.touch, other.dest)
        self.next_turn(theirs)

    def loses(self, ntf, new):  # its end costs what it may win, and a price early in its time, once taken
        early = not new and ntf.due - self.now > ntf.topic.ttl * self.LATE
        return self.rank(ntf)[0] + early * self.PRICE * ntf.benefit / ntf.dest.expected(), -ntf.due

    def rank(self, ntf):  # benefit to be won by a push now for a slot's second; the older first among equals
        topic, took = ntf.topic, ntf.dest.expected()
        late, part = self.now + took - (ntf.due - topic.ttl) - topic.objective, self.now + took < ntf.due
        if late > 0.0 and self.set.late_benefit is it.LateBenefit.HALVES:
            part *= max(topic.late_share, 0.5 ** (late / max(topic.objective, 1e-3)))
        elif late > 0.0:
            part *= 1.0 - (1.0 - topic.late_share) * late / max(topic.ttl - topic.objective, 1e-3)
        return ntf.benefit * part / took, -ntf.due

"""Calls between relays and endpoints: connections, what a call meets, its run, the answer's way back."""

from math import inf

from ...interface import Result
from .partners import Call, Route, Unit
from .relays import Relay

ERROR_TIME = 0.005  # seconds until a failing destination says so
SAME_TIME = 1e-9  # seconds that two sums of the same times may differ


class Network:
    """cuts: (relays' numbers, buildings) that are parted from the rest; handshake: times the usual one."""

    def __init__(self, world):
        self.world, self.day, self.clock = world, world.day, world.clock
        self.cuts: list[tuple[set[int], set[int]]] = []
        self.handshake = 1.0

    def cut(self, relay: Relay, route: Route) -> bool:
        return any((relay.number in r) != (route.building in b) for r, b in self.cuts)

    # -- the way out --------------------------------------------------------------------------------

    def send(self, relay: Relay, route: Route, items: list, now: float, cost: float) -> Call:
        """A call leaves; what comes of it is told by relay.answered, if anything is."""
        call = Call(relay, route, items, now)
        measured = self.world.measured
        measured.counts["pushes"] += len(items)
        measured.counts["calls"] += 1
        measured.add("pushes", now, len(items))
        delay = self.world.layout.delays[relay.building][route.building]
        call.trip = delay * (1.0 + self.day.network.jitter * self.world.uniform()) + cost
        reused = self.take_idle(relay, route, now)
        cut = bool(self.cuts) and self.cut(relay, route)
        if not reused:
            self.connect(call, cut, now)
        elif not cut:
            self.clock.call_later(call.trip, self.reach, call)
        return call

    def take_idle(self, relay: Relay, route: Route, now: float) -> bool:
        """Whether a connection stands idle for the call; those past their time are passed over."""
        kept = route.conns.get((relay.number, relay.life))
        while kept:
            if now < kept.pop() + self.day.network.idle:
                return True
        return False

    def connect(self, call: Call, cut: bool, now: float) -> None:
        """Open a connection for a call, which stands after the handshake or never."""
        net, route = self.day.network, call.route
        self.world.measured.counts["connections"] += 1
        call.fresh, stops = True, {t.kind for t in route.unit.troubles if t.part >= 1.0}
        if cut or "vanish" in stops:
            self.fail_connection(call, net.connect_timeout)
        elif "refuse" in stops or route.shown == "gone" or self.is_full(route, now):
            self.fail_connection(call, 2.0 * call.trip)
        else:
            shake = 2.0 * call.trip * net.handshake * self.handshake
            if shake >= net.connect_timeout:
                self.fail_connection(call, net.connect_timeout)
            else:
                call.stands = now + shake
                self.clock.call_later(shake + call.trip, self.reach, call)

    def is_full(self, route: Route, now: float) -> bool:
        return route.most_conns > 0 and route.open_conns(now, self.day.network.idle) >= route.most_conns

    def fail_connection(self, call: Call, after: float) -> None:
        call.stands = inf
        self.clock.call_later(after, self.no_connection, call)

    def no_connection(self, call: Call) -> None:
        if not call.given_up and call.relay.life == call.life:
            call.state = "ended"
            call.relay.answered(call, Result.NO_CONNECTION, 0.0, 0.0)

    def close_idle(self, relay: Relay, endpoint: str) -> None:
        if endpoint in self.world.layout.routes:
            self.world.layout.routes[endpoint].conns.pop((relay.number, relay.life), None)

    def let_go(self, call: Call) -> None:
        """Its relay waits for none of its items any more; the connection is closed."""
        call.given_up = True
        if call.state == "queued" and self.group_of(call).cancels == "queued":
            self.clock.call_later(call.trip, call.route.drop, call)

    # -- at the endpoint ----------------------------------------------------------------------------

    def group_of(self, call: Call):
        return self.world.layout.group_of(self.destination_of(call))

    def destination_of(self, call: Call) -> int:
        return int(self.world.arrivals.destination[call.items[0][0].wish])

    def reach(self, call: Call) -> None:
        """A call's last byte has come to its endpoint."""
        now, unit = self.clock.now, call.route.unit
        if self.never_sent(call, now):
            return
        topic = self.day.topic[call.items[0][0].topic].name
        weight = 1.0 + self.group_of(call).item_cost * (len(call.items) - 1)
        if unit.is_cold(now) and (recent := unit.pushed_over(call.relay, weight, now)):
            self.world.injector.fall(unit, recent)
        met = unit.meets(topic, self.world.uniform) if unit.troubles else ""
        if met in ("vanish", "hang"):
            return  # silence; its relay's time-out ends it
        if met == "refuse" or call.route.shown == "gone":
            self.reply(call, Result.BROKEN)  # the process died while it was on its way
        elif met == "shut":
            opens = unit.opens_at()
            self.reply(call, Result.FULL, max(0.0, opens - now) if opens else 0.0)
        elif met == "reset-before":
            self.reply(call, Result.BROKEN)
        elif met == "error":
            self.clock.call_later(ERROR_TIME, self.reply, call, Result.ERROR)
        else:
            self.admit(call, topic, weight, met)

    def never_sent(self, call: Call, now: float) -> bool:
        """Given up before there was a connection."""
        if not (call.given_up and call.fresh):
            return False
        return call.sent + SAME_TIME >= call.stands and now - call.trip < call.stands

    def admit(self, call: Call, topic: str, weight: float, fate: str) -> None:
        """Past the limit and into a slot or the queue, or refused."""
        unit, uniform = call.route.unit, self.world.uniform
        good, wait = unit.limit.take(self.clock.now)
        if not good:
            self.reply(call, Result.FULL, wait if uniform() < unit.tells else 0.0)
            return
        wish = call.items[0][0].wish
        work = (
            float(self.world.arrivals.work[wish])
            * self.world.layout.paces[self.destination_of(call)]
            * weight
        )
        work *= unit.slower(topic, uniform) if unit.troubles else 1.0
        call.work, call.fate = work + (self.day.network.setup if call.fresh else 0.0), fate
        if not call.route.arrive(call):
            self.reply(call, Result.FULL)

    def done(self, call: Call) -> None:
        """It has run: each of its items took effect."""
        now, gains = self.clock.now, False
        for hand, _ in call.items:
            self.world.judge.ran(hand, call.route, now)
            heard = not call.given_up and not call.fate and call.relay.life == call.life
            if heard and self.world.accounts.deliver(hand.wish, now):
                gains = True
                dest = self.world.arrivals.destination[hand.wish]
                self.world.measured.delivered(dest, self.world.accounts.second[hand.wish], now)
        if not gains:
            self.world.measured.counts["wasted"] += 1
        if call.fate == "lost":
            return
        self.reply(call, Result.BROKEN if call.fate == "reset-after" else Result.DELIVERED)

    # -- the way back -------------------------------------------------------------------------------

    def reply(self, call: Call, result: Result, wait: float = 0.0) -> None:
        """An answer, or the end of the connection, leaves the endpoint."""
        call.state = "ended"
        if result is Result.FULL:
            self.world.measured.counts["refused"] += 1
            self.world.measured.add("refused", self.clock.now)
        self.clock.call_later(call.trip, self.come_back, call, result, wait)

    def come_back(self, call: Call, result: Result, wait: float) -> None:
        relay, route = call.relay, call.route
        if relay.life != call.life or not relay.up or call.given_up:
            return
        if self.cuts and self.cut(relay, route):
            return  # lost on its way: its relay's time-out ends it
        told = result in (Result.DELIVERED, Result.FULL) and self.group_of(call).limit.report
        limit = told_limit(route.unit) if told else 0.0
        if result is not Result.BROKEN and route.shown != "gone":
            route.conns.setdefault((relay.number, relay.life), []).append(self.clock.now)
        relay.answered(call, result, wait, limit)

    def cut_off(self, route: Route) -> None:
        """Its process has ended: what it had is cut off."""
        for call in route.die():
            self.reply(call, Result.BROKEN)


def told_limit(unit: Unit) -> float:
    """Calls a second, as an answer tells it; 0 where there is no limit."""
    return unit.limit.rate if unit.limit.rate < inf else 0.0

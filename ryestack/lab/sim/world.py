"""The emulated world, put together: clients, front, relays, network, destinations, directory, faults."""

from math import ceil, inf

import numpy as np

from ... import interface as it
from ...interface import Listed, Result
from ..judge import Judge
from ..scenario import UNIT_FAULTS, Scenario
from . import faults, traffic
from .accounts import Accounts
from .chance import Chance, block
from .clock import Clock
from .limits import Rate, Window
from .partners import Call, Cold, Route, Trouble, Unit
from .relays import DOOR, LEAVING, Hand, Relay

LISTED = {"up": Listed.READY, "draining": Listed.DRAINING, "gone": Listed.GONE}
ROOMY = 2.0  # times what a relay's part keeps busy, where the scenario leaves the slots open
HOLDS = 10.0  # seconds of a relay's part, where it leaves the hold open
BURST = 1.0  # seconds of a rate that a limit's bucket holds
DRAIN = 3.0  # seconds that an endpoint drains before it goes
ERROR_TIME = 0.005  # seconds until a failing destination says so


class World:
    """One day. policy(settings, seed) makes what each relay decides by; run() plays it.

    trace: hand-ins whose lives the judge writes down.
    """

    def __init__(self, day: Scenario, seed: int, policy, trace=()):
        self.day, self.seed, self.chance, self.clock = day, seed, Chance(seed), Clock()
        self.judge = Judge(day.topic, day.rules, trace)
        self.routes: dict[str, Route] = {}
        self.batches: dict[str, int] = {}
        self.dest_routes: list[list[Route]] = []
        self.counts = dict.fromkeys(
            ("taken", "turned_away", "throttled", "expired", "pushes", "calls", "connections", "refused",
             "wasted",
             "dead_door", "again", "orphans", "falls"), 0,
        )  # fmt: skip
        gen = self.chance.of("world")
        self.u = block(self.chance.of("calls").random)
        self.load = faults.pick(day.traffic.load, gen)
        self.lay_out(gen)
        self.plan = faults.plan(day, self.shares, self.groups, self.stand, self.chance)
        clumps = [
            (s.at, d, ceil(s.size * self.takes[d]))
            for s in self.plan
            if s.kind == "clump"
            for d in s.destinations
        ]
        self.arrivals = traffic.draw(day, self.shares, self.takes, self.load, clumps, self.chance)
        self.accounts = Accounts(day, self.arrivals)
        self.settings = self.tell_settings()
        self.cpu_round, self.cpu_event = day.fleet.cpu_round, day.fleet.cpu_event
        n = day.network.buildings
        self.relays = [
            Relay(self, i, i % n, self.settings, policy, seed * 1_000_003 + i)
            for i in range(day.fleet.relays)
        ]
        self.known_dead: set[int] = set()
        self.weights, self.front = None, self.chance.of("front")
        self.cuts, self.stale, self.handshake = [], 0.0, 1.0
        self.seconds = ceil(day.seconds) + ceil(max(t.ttl for t in day.topic)) + 2
        names = (
            "handed",
            "delivered",
            "gained",
            "throttled",
            "expired",
            "pushes",
            "refused",
            "out",
            "held",
            "open",
        )
        self.series = {name: np.zeros(self.seconds) for name in names}
        many = len(self.shares)
        self.heat_asked, self.heat_done = (np.zeros((many, self.seconds), np.int32) for _ in range(2))

    # -- laying out ---------------------------------------------------------------------------------

    def lay_out(self, gen) -> None:
        """Destinations with their true limits, paces and places."""
        day, shares, groups = self.day, [], []
        for number, g in enumerate(day.group):
            ranks = np.arange(1, g.count + 1, dtype=float) ** -g.zipf
            shares.append(g.share * ranks / ranks.sum())
            groups += [number] * g.count
        self.shares = np.concatenate(shares) / sum(map(np.sum, shares))
        self.groups = np.array(groups)
        n, pick = day.network.buildings, faults.pick
        low = np.array([[pick(day.network.delay, gen) for _ in range(n)] for _ in range(n)])
        self.delays = np.minimum(low, low.T).tolist()
        self.takes, self.paces, self.told, stand = [], [], [], []
        for d, (share, group) in enumerate(zip(self.shares, groups, strict=True)):
            g = day.group[group]
            wanted = share * day.traffic.rate
            rate = max(pick(g.least, gen), pick(g.headroom, gen) * wanted)
            mean, count = pick(g.service.mean, gen), max(1, round(pick(g.routes, gen)))
            limited = g.limit.how != "none"
            capacity = rate * (g.limit.spare if limited else 1.0)
            each = capacity / count
            slots = max(1, ceil(each * mean))
            pace = max(mean, slots / each)  # so many slots at this pace are its capacity
            cold = Cold(
                pick(g.cold.share, gen),
                pick(g.cold.time, gen),
                day.rules.factor,
                day.rules.window,
                g.cold.fall,
            )
            where = int(gen.integers(n))
            made, units = [], []
            for r in range(count):
                if g.apart or not units:
                    part = count if g.apart else 1
                    name = f"d{d:04d}" + (f"-{r}" if g.apart else "")
                    units.append(Unit(name, capacity / part, cold, self.limit(g, rate / part), g.limit.tells))
                route = self.add_route(
                    d,
                    f"{r}",
                    units[-1],
                    where if gen.random() < 0.8 else int(gen.integers(n)),
                    slots,
                    max(1, ceil(g.depth * each)),
                )
                made.append(route)
            rough = float(np.exp(gen.uniform(-1.0, 1.0) * np.log1p(g.rough)))
            self.takes.append(rate)
            self.paces.append(pace)
            self.told.append(rate * rough / (count if g.apart else 1))
            self.dest_routes.append(made)
            stand.append(where)
        self.stand, self.takes = np.array(stand), np.array(self.takes)
        self.names = [g.name for g in day.group]

    def add_route(self, dest: int, mark: str, unit: Unit, building: int, slots: int, depth: int) -> Route:
        g = self.day.group[self.groups[dest]]
        name = f"s{dest:04d}-{mark}"
        route = Route(name, unit, building, slots, depth, self.clock, self.done, g.conns)
        self.routes[name] = route
        self.batches[name] = g.batch
        return route

    @staticmethod
    def limit(g, rate: float):
        if g.limit.how == "rate":
            return Rate(rate, rate * BURST, g.limit.refused_count)
        if g.limit.how == "window":
            return Window(rate * g.limit.span, g.limit.span, g.limit.refused_count)
        return None

    def tell_settings(self) -> it.Settings:
        """What each relay is told when it starts."""
        day, fleet = self.day, self.day.fleet
        part = day.traffic.rate / fleet.relays
        busy = part * float(np.dot(self.shares, self.paces))
        quotas = [c.share for c in day.customer]
        return it.Settings(
            topic_types=tuple(
                it.TopicType(t.name, it.Effect(t.effect), t.objective, t.ttl, t.benefit, t.late_share, "all",
                             t.window if t.effect == "collapsible" else 0.0, t.keep_order)
                for t in day.topic
            ),
            customers=tuple(
                it.Customer(c.name, c.quota * share / sum(quotas) * day.traffic.rate)
                for c, share in zip(day.customer, quotas, strict=True) if c.quota > 0.0
            ),
            kinds=tuple(it.Kind(g.name, g.apart, g.batch) for g in day.group),
            rules=it.Rules(
                cold_share=min(_least(g.cold.share) for g in day.group),
                cold_time=max(_most(g.cold.time) for g in day.group),
                overload_factor=day.rules.factor, fall_time=day.rules.window, key_rest=day.rules.key_rest,
            ),
            slots=fleet.slots or max(3, ceil(ROOMY * busy)),
            max_open=fleet.hold or max(10, ceil(HOLDS * part)),
            relays=fleet.relays,
            over_share_benefit=day.traffic.over_share,
            late=it.Late(day.traffic.late),
            told_rates=day.directory.told_rates,
            rough_rates=any(g.rough > 0.0 for g in day.group),
            max_pushes=fleet.max_pushes,
            may_cancel=fleet.may_cancel,
            max_come_back=fleet.max_come_back,
            connection_idle=day.network.idle,
            connect_timeout=day.network.connect_timeout,
            quantum=fleet.quantum,
        )  # fmt: skip

    def entry(self, route: Route, dest: int) -> it.Endpoint:
        building, kind = f"b{route.building}", self.names[self.groups[dest]]
        return it.Endpoint(route.id, building, kind, dest, LISTED[route.shown], self.told[dest])

    # -- the day ------------------------------------------------------------------------------------

    def run(self) -> "World":
        whole = {r.id: self.entry(r, d) for d, routes in enumerate(self.dest_routes) for r in routes}
        for relay in self.relays:
            relay.list = whole  # shared until it is told a change
            relay.start([])
        at = self.clock.at
        for struck in self.plan:
            at(struck.at, self.begin, struck)
        if len(self.arrivals):
            at(float(self.arrivals.at[0]), self.arrive, 0)
        for second in range(1, self.seconds):
            at(float(second), self.sample, second)
        self.clock.run(float(self.seconds))
        return self

    def sample(self, second: int) -> None:
        s = self.series
        s["out"][second] = sum(len(r.out) for r in self.relays)
        s["held"][second] = sum(len(r.held) for r in self.relays)
        if len(self.relays) * len(self.routes) <= 20_000:  # for plots; the judge never looks here
            for relay in self.relays:
                known = getattr(relay.brain, "routes", None)
                if isinstance(known, dict):
                    s["open"][second] += sum(
                        getattr(r, "state", "") in ("open", "trial") for r in known.values()
                    )

    # -- clients and the front ----------------------------------------------------------------------

    def arrive(self, wish: int) -> None:
        now, arrivals = self.clock.now, self.arrivals
        if wish + 1 < len(arrivals):
            self.clock.at(float(arrivals.at[wish + 1]), self.arrive, wish + 1)
        self.series["handed"][int(now)] += 1
        self.heat_asked[arrivals.destination[wish], int(now)] += 1
        self.hand_in(wish, 0)

    def hand_in(self, wish: int, tries: int) -> None:
        """tries: hand-ins before this one. A relay that is dead, or shuts its door, is met by another try."""
        if self.accounts.done[wish]:
            return
        now, topic = self.clock.now, self.accounts.topic[wish]
        due = self.accounts.at[wish] + self.day.topic[topic].ttl
        if now >= due:
            return
        relay = self.pick()
        if relay is None or not relay.up or (relay.leaving and now > relay.leaving + DOOR):
            self.counts["dead_door"] += 1
            self.clock.after(self.day.clients.patience, self.hand_in, wish, tries)
            return
        key = int(self.arrivals.key[wish])
        hand = Hand(f"{wish}.{tries}", wish, topic, due, f"k{key}" if key >= 0 else "")
        hand.relay = relay
        relay.tell(hand)

    def pick(self) -> Relay | None:
        relays = self.relays
        if self.weights is not None:
            return relays[int(np.searchsorted(self.weights, self.u() * self.weights[-1], "right"))]
        if not self.known_dead:
            return relays[int(self.u() * len(relays))]
        for _ in range(20):
            relay = relays[int(self.u() * len(relays))]
            if relay.number not in self.known_dead:
                return relay
        return None

    def notification(self, hand: Hand) -> it.Notification:
        wish, day = hand.wish, self.day
        return it.Notification(
            hand.id, hand.due, int(self.arrivals.destination[wish]), day.topic[hand.topic].name,
            day.customer[self.accounts.customer[wish]].name, hand.order, hand.pushes, hand.maybe_at,
        )  # fmt: skip

    def taken(self, hand: Hand) -> None:
        now = self.clock.now
        self.counts["taken"] += 1
        self.judge.taken(hand, now)
        self.clock.at(hand.due + 0.06, self.look, hand)

    def look(self, hand: Hand) -> None:
        again = self.judge.overdue(hand, self.clock.now)
        if again is not None:
            self.clock.at(again, self.look, hand)

    def turned_away(self, hand: Hand) -> None:
        """For want of room, before the policy saw it."""
        self.counts["turned_away"] += 1
        self.come_again(hand, 0.0)

    def given_up(self, hand: Hand, throttled: bool, back: float) -> None:
        what = "throttled" if throttled else "expired"
        self.counts[what] += 1
        self.series[what][min(self.seconds - 1, int(self.clock.now))] += 1
        if throttled:
            self.come_again(hand, back)

    def come_again(self, hand: Hand, back: float) -> None:
        tries, clients = int(hand.id.partition(".")[2]) + 1, self.day.clients
        if tries > clients.again:
            return
        low, high = (
            clients.backoff if isinstance(clients.backoff, list) else (clients.backoff, clients.backoff)
        )
        wait = low + (high - low) * self.u()
        if back > 0.0 and self.u() < clients.honour:
            wait = max(wait, back)
        self.counts["again"] += 1
        self.clock.after(wait, self.hand_in, hand.wish, tries)

    def over(self, hand: Hand) -> None:
        """Delivered, as its relay heard."""

    # -- calls --------------------------------------------------------------------------------------

    def cut(self, relay: Relay, route: Route) -> bool:
        return any((relay.number in r) != (route.building in b) for r, b in self.cuts)

    def send(self, relay: Relay, route: Route, items: list, now: float, cost: float) -> Call:
        """A call leaves; what comes of it is told by relay.answered, if anything is."""
        call = Call(relay, route, items, now)
        net, counts = self.day.network, self.counts
        counts["pushes"] += len(items)
        counts["calls"] += 1
        self.series["pushes"][min(self.seconds - 1, int(now))] += len(items)
        trip = self.delays[relay.building][route.building] * (1.0 + net.jitter * self.u()) + cost
        call.trip, fresh = trip, True
        kept = route.conns.get((relay.number, relay.life))
        while kept:
            if now < kept.pop() + net.idle:
                fresh = False
                break
        cut = bool(self.cuts) and self.cut(relay, route)
        if not fresh:
            if not cut:
                self.clock.after(trip, self.reach, call)
            return call
        counts["connections"] += 1
        call.fresh, stops = True, {t.kind for t in route.unit.troubles if t.part >= 1.0}
        if cut or "vanish" in stops:
            call.stands = inf
            self.clock.after(net.connect_timeout, self.no_connection, call)
        elif "refuse" in stops or route.shown == "gone" or self.is_full(route, now):
            call.stands = inf
            self.clock.after(2.0 * trip, self.no_connection, call)
        else:
            shake = 2.0 * trip * net.handshake * self.handshake
            if shake >= net.connect_timeout:
                call.stands = inf
                self.clock.after(net.connect_timeout, self.no_connection, call)
            else:
                call.stands = now + shake
                self.clock.after(shake + trip, self.reach, call)
        return call

    def is_full(self, route: Route, now: float) -> bool:
        return route.most_conns > 0 and route.open_conns(now, self.day.network.idle) >= route.most_conns

    def hang_up(self, relay: Relay, endpoint: str) -> None:
        if endpoint in self.routes:
            self.routes[endpoint].conns.pop((relay.number, relay.life), None)

    def no_connection(self, call: Call) -> None:
        if not call.given_up and call.relay.life == call.life:
            call.state = "ended"
            call.relay.answered(call, Result.NO_CONNECTION, 0.0, 0.0)

    def reach(self, call: Call) -> None:
        """A call's last byte has come to its endpoint."""
        now, route, unit = self.clock.now, call.route, call.route.unit
        if call.given_up and call.sent + 1e-9 >= call.stands and call.fresh and now - call.trip < call.stands:
            return  # given up before there was a connection: nothing was sent
        hand = call.items[0][0]
        topic = self.day.topic[hand.topic].name
        g = self.day.group[self.groups[int(self.arrivals.destination[hand.wish])]]
        weight = 1.0 + g.item_cost * (len(call.items) - 1)
        if unit.is_cold(now) and (recent := unit.pushed_over(call.relay, weight, now)):
            self.fall(unit, recent)
        met = unit.meets(topic, self.u) if unit.troubles else ""
        if met in ("vanish", "hang"):
            return  # silence; its relay's time-out ends it
        if met == "refuse" or route.shown == "gone":
            return self.reply(call, Result.BROKEN)  # the process died while it was on its way
        if met == "shut":
            opens = unit.opens_at()
            return self.reply(call, Result.FULL, max(0.0, opens - now) if opens else 0.0)
        if met == "reset-before":
            return self.reply(call, Result.BROKEN)
        if met == "error":
            self.clock.after(ERROR_TIME, self.reply, call, Result.ERROR)
            return None
        good, wait = unit.limit.take(now)
        if not good:
            return self.reply(call, Result.FULL, wait if self.u() < unit.tells else 0.0)
        wish = hand.wish
        work = float(self.arrivals.work[wish]) * self.paces[int(self.arrivals.destination[wish])] * weight
        work *= unit.slower(topic, self.u) if unit.troubles else 1.0
        call.work, call.fate = work + (self.day.network.setup if call.fresh else 0.0), met
        if not route.arrive(call):
            self.reply(call, Result.FULL)
        return None

    def done(self, call: Call) -> None:
        """It has run: each of its items took effect."""
        now, route, gains = self.clock.now, call.route, False
        for hand, _ in call.items:
            self.judge.ran(hand, route, now)
            if not call.given_up and not call.fate and call.relay.life == call.life:
                first = self.accounts.deliver(hand.wish, now)
                gains = gains or first
                if first:
                    self.series["delivered"][min(self.seconds - 1, int(now))] += 1
                    self.heat_done[self.arrivals.destination[hand.wish], self.accounts.second[hand.wish]] += 1
        if not gains:
            self.counts["wasted"] += 1
        if call.fate == "lost":
            return
        self.reply(call, Result.BROKEN if call.fate == "reset-after" else Result.DELIVERED)

    def reply(self, call: Call, result: Result, wait: float = 0.0) -> None:
        """An answer, or the end of the connection, leaves the endpoint."""
        call.state = "ended"
        if result is Result.FULL:
            self.counts["refused"] += 1
            self.series["refused"][min(self.seconds - 1, int(self.clock.now))] += 1
        self.clock.after(call.trip, self.come_back, call, result, wait)

    def come_back(self, call: Call, result: Result, wait: float) -> None:
        relay = call.relay
        if relay.life != call.life or not relay.up or call.given_up:
            return
        if self.cuts and self.cut(relay, call.route):
            return  # lost on its way: its relay's time-out ends it
        limit = 0.0
        if result in (Result.DELIVERED, Result.FULL):
            unit = call.route.unit
            g = self.day.group[self.groups[int(self.arrivals.destination[call.items[0][0].wish])]]
            limit = unit.limit.rate if g.limit.report and unit.limit.rate < inf else 0.0
        if result is not Result.BROKEN and call.route.shown != "gone":
            call.route.conns.setdefault((relay.number, relay.life), []).append(self.clock.now)
        relay.answered(call, result, wait, limit)

    def let_go(self, call: Call) -> None:
        """Its relay waits for none of its items any more; the connection is closed."""
        call.given_up = True
        if call.state == "queued":
            dest = int(self.arrivals.destination[call.items[0][0].wish])
            if self.day.group[self.groups[dest]].cancels == "queued":
                self.clock.after(call.trip, call.route.drop, call)

    # -- what goes wrong ----------------------------------------------------------------------------

    def begin(self, struck: faults.Struck) -> None:
        if struck.kind in UNIT_FAULTS:
            self.strike(struck)
        else:
            getattr(self, f"begin_{struck.kind}")(struck)

    def strike(self, struck: faults.Struck) -> None:
        """At units, for a span. Where routes are apart an outage takes them all, as most do."""
        now = self.clock.now
        until = now + struck.span if struck.kind == "shut" and struck.fault.tells else 0.0
        for dest in struck.destinations:
            for unit in {r.unit.name: r.unit for r in self.dest_routes[dest]}.values():
                trouble = Trouble(struck.kind, struck.calls, struck.size, struck.fault.topic, until)
                unit.strike(trouble, now)
                if struck.kind == "refuse":
                    self.crash(unit)
                self.clock.after(struck.span, self.mend, unit, trouble)

    def mend(self, unit: Unit, trouble: Trouble) -> None:
        unit.mend(trouble, self.clock.now)

    def crash(self, unit: Unit) -> None:
        """Its processes die: what they had is cut off, connections are reset."""
        for route in unit.routes:
            for call in route.die():
                self.reply(call, Result.BROKEN)

    def fall(self, unit: Unit, recent: list) -> None:
        now = self.clock.now
        self.counts["falls"] += 1
        self.judge.fell(unit, recent, now)
        trouble = Trouble("refuse")
        unit.strike(trouble, now)
        self.crash(unit)
        self.clock.after(unit.cold.fall, self.mend, unit, trouble)

    def begin_kill(self, struck: faults.Struck) -> None:
        for number in struck.relays:
            self.take_down(self.relays[number], struck)

    def begin_roll(self, struck: faults.Struck) -> None:
        """Batch by batch, `size` of those struck in each, over the span."""
        batch = max(1, round(struck.size * len(struck.relays))) if struck.size <= 1.0 else int(struck.size)
        steps = max(1, ceil(len(struck.relays) / batch))
        for i in range(steps):
            for number in struck.relays[i * batch : (i + 1) * batch]:
                self.clock.after(i * struck.span / steps, self.take_down, self.relays[number], struck)

    def take_down(self, relay: Relay, struck: faults.Struck) -> None:
        if not relay.up or relay.leaving:
            return
        if struck.fault.planned:
            relay.leaving = self.clock.now
            relay.tell(it.Leaving(self.clock.now + LEAVING))
            self.clock.after(DOOR, self.known_dead.add, relay.number)
            self.clock.after(LEAVING, self.kill, relay, relay.life, struck)
        else:
            self.kill(relay, relay.life, struck)

    def kill(self, relay: Relay, life: int, struck: faults.Struck) -> None:
        if relay.life != life or not relay.up:
            return
        waiting = [e for e in relay.inbox if type(e) is Hand]
        held = relay.die()
        for hand in waiting:  # their clients heard nothing
            self.clock.after(
                self.day.clients.patience, self.hand_in, hand.wish, int(hand.id.partition(".")[2])
            )
        if not struck.fault.folder:
            gen = self.front
            for hand in held:
                if hand.first_maybe() < inf and self.day.topic[hand.topic].effect == "once-only":
                    continue  # it may have run: its client does not come again
                self.counts["orphans"] += 1
                again = int(hand.id.partition(".")[2]) + 100  # an id of its own
                self.clock.after(faults.pick(self.day.clients.orphans, gen), self.hand_in, hand.wish, again)
            held = []
        self.clock.after(faults.pick(self.day.fleet.notice, self.front), self.notice, relay, relay.life)
        self.clock.after(struck.down, self.restart, relay, held)

    def notice(self, relay: Relay, life: int) -> None:
        if relay.life == life and not relay.up:
            self.known_dead.add(relay.number)

    def restart(self, relay: Relay, held: list) -> None:
        self.judge.restarted(relay)
        for unit in {r.unit.name: r.unit for r in self.routes.values()}.values():
            unit.witnesses.discard(relay)
        self.known_dead.discard(relay.number)
        for hand in held:
            if hand.order:
                self.judge.taken(hand, self.clock.now)
        relay.start(held)

    def begin_pause(self, struck: faults.Struck) -> None:
        """Relays stand still; what comes meanwhile waits."""
        for number in struck.relays:
            relay = self.relays[number]
            relay.paused_until = max(relay.paused_until, self.clock.now + struck.span)

    def begin_skew(self, struck: faults.Struck) -> None:
        weights = np.ones(len(self.relays))
        weights[struck.relays] = struck.size
        self.weights = np.cumsum(weights)
        self.clock.after(struck.span, setattr, self, "weights", None)

    def begin_cut(self, struck: faults.Struck) -> None:
        """A part of the buildings is cut off from the relays of the others, and their relays from the
        rest."""
        n = self.day.network.buildings
        far = set(range(max(1, round(struck.part * n)))) if n > 1 else {0}
        relays = {r.number for r in self.relays if r.building in far} if n > 1 else set()
        cut = (relays, far)
        self.cuts.append(cut)
        self.clock.after(struck.span, self.cuts.remove, cut)

    def begin_stale(self, struck: faults.Struck) -> None:
        self.stale += struck.size
        self.clock.after(struck.span, self.fresh, struck.size)

    def fresh(self, size: float) -> None:
        self.stale -= size

    def begin_handshake(self, struck: faults.Struck) -> None:
        self.handshake *= struck.size
        self.clock.after(struck.span, self.quick, struck.size)

    def quick(self, size: float) -> None:
        self.handshake /= size

    def begin_clump(self, struck: faults.Struck) -> None:
        """Its arrivals were drawn with the day's."""

    def begin_replace(self, struck: faults.Struck) -> None:
        """Endpoints drain one after the other, go, and others come in their place."""
        rows = [(d, r) for d in struck.destinations for r in self.dest_routes[d] if r.shown == "up"]
        for i, (dest, route) in enumerate(rows):
            self.clock.after(i * struck.span / max(1, len(rows)), self.drain, dest, route)

    def drain(self, dest: int, route: Route) -> None:
        if route.shown != "up":
            return
        mark = f"{route.id.partition('-')[2]}n"
        fresh = self.add_route(dest, mark, route.unit, route.building, route.slots, route.depth)
        self.dest_routes[dest].append(fresh)
        self.change(fresh, dest)
        route.shown = "draining"
        self.change(route, dest)
        self.clock.after(
            DRAIN + self.day.rules.grace + _most(self.day.directory.lag) + self.stale, self.gone, dest, route
        )

    def gone(self, dest: int, route: Route) -> None:
        route.shown = "gone"
        self.dest_routes[dest].remove(route)
        for call in route.die():
            self.reply(call, Result.BROKEN)
        self.change(route, dest)

    def change(self, route: Route, dest: int) -> None:
        """The registry has a change; each relay is told after a lag of its own."""
        entry = self.entry(route, dest)
        for relay in self.relays:
            lag = faults.pick(self.day.directory.lag, self.front) + self.stale
            self.clock.after(lag, self.told_change, relay, entry)

    def told_change(self, relay: Relay, entry: it.Endpoint) -> None:
        relay.list = {**relay.list, entry.id: entry}
        if entry.listed is Listed.GONE:
            del relay.list[entry.id]
        if relay.up:
            self.judge.listed(relay, entry.id, entry.listed is Listed.READY, self.clock.now)
            relay.tell(it.ListUpdate((entry,)))


def _least(value) -> float:
    return value[0] if isinstance(value, list) else value


def _most(value) -> float:
    return value[-1] if isinstance(value, list) else value

"""Carries out the faults of a day's plan: on units, relays, links, the front and the list."""

from math import ceil, inf

import numpy as np

from ... import interface
from ..scenario import UNIT_FAULTS
from .clients import tries_of
from .faults import Struck, pick
from .partners import Trouble, Unit
from .relays import DOOR, LEAVING, Hand, Relay

ORPHANED = 100  # added to the tries of a hand-in that its relay forgot: it comes again with an id of its own


class FaultInjector:
    def __init__(self, world):
        self.world, self.day, self.clock = world, world.day, world.clock

    def start(self) -> None:
        for struck in self.world.plan:
            self.clock.call_at(struck.at, self.begin, struck)

    def begin(self, struck: Struck) -> None:
        if struck.kind in UNIT_FAULTS:
            self.strike(struck)
        else:
            self.BEGIN[struck.kind](self, struck)

    # -- units --------------------------------------------------------------------------------------

    def strike(self, struck: Struck) -> None:
        """At units, for a span. Where routes are apart an outage takes them all, as most do."""
        now, layout = self.clock.now, self.world.layout
        until = now + struck.span if struck.kind == "shut" and struck.fault.tells else 0.0
        for dest in struck.destinations:
            for unit in layout.units_of(layout.dest_routes[dest]):
                trouble = Trouble(struck.kind, struck.calls, struck.size, struck.fault.topic, until)
                unit.strike(trouble, now)
                if struck.kind == "refuse":
                    self.crash(unit)
                self.clock.call_later(struck.span, self.mend, unit, trouble)

    def mend(self, unit: Unit, trouble: Trouble) -> None:
        unit.mend(trouble, self.clock.now)

    def crash(self, unit: Unit) -> None:
        """Its processes die: what they had is cut off, connections are reset."""
        for route in unit.routes:
            self.world.network.cut_off(route)

    def fall(self, unit: Unit, recent: list) -> None:
        """A cold one got too much; recent: what came within the window."""
        now = self.clock.now
        self.world.measured.counts["falls"] += 1
        self.world.judge.fell(unit, recent, now)
        trouble = Trouble("refuse")
        unit.strike(trouble, now)
        self.crash(unit)
        self.clock.call_later(unit.cold.fall, self.mend, unit, trouble)

    # -- relays -------------------------------------------------------------------------------------

    def kill_all(self, struck: Struck) -> None:
        for number in struck.relays:
            self.take_down(self.world.relays[number], struck)

    def roll(self, struck: Struck) -> None:
        """Batch by batch, `size` of those struck in each, over the span."""
        many = len(struck.relays)
        batch = max(1, round(struck.size * many)) if struck.size <= 1.0 else int(struck.size)
        steps = max(1, ceil(many / batch))
        for i in range(steps):
            for number in struck.relays[i * batch : (i + 1) * batch]:
                relay = self.world.relays[number]
                self.clock.call_later(i * struck.span / steps, self.take_down, relay, struck)

    def take_down(self, relay: Relay, struck: Struck) -> None:
        if not relay.up or relay.leaving:
            return
        if struck.fault.planned:
            relay.leaving = self.clock.now
            relay.tell(interface.ShuttingDown(self.clock.now + LEAVING))
            self.clock.call_later(DOOR, self.world.clients.known_dead.add, relay.number)
            self.clock.call_later(LEAVING, self.kill, relay, relay.life, struck)
        else:
            self.kill(relay, relay.life, struck)

    def kill(self, relay: Relay, life: int, struck: Struck) -> None:
        if relay.life != life or not relay.up:
            return
        waiting = [e for e in relay.inbox if type(e) is Hand]
        held = relay.die()
        clients, lags = self.world.clients, self.world.lags
        for hand in waiting:  # their clients heard nothing
            self.clock.call_later(self.day.clients.patience, clients.hand_in, hand.wish, tries_of(hand))
        if not struck.fault.folder:
            self.orphan(held)
            held = []
        self.clock.call_later(pick(self.day.fleet.notice, lags), self.notice, relay, relay.life)
        self.clock.call_later(struck.down, self.restart, relay, held)

    def orphan(self, held: list[Hand]) -> None:
        """Their relay has forgotten them: their clients come again, if a repeat can do no harm."""
        for hand in held:
            if hand.first_maybe() < inf and self.day.topic[hand.topic].effect == "once-only":
                continue  # it may have run: its client does not come again
            self.world.measured.counts["orphans"] += 1
            again, after = tries_of(hand) + ORPHANED, pick(self.day.clients.orphans, self.world.lags)
            self.clock.call_later(after, self.world.clients.hand_in, hand.wish, again)

    def notice(self, relay: Relay, life: int) -> None:
        """The front has noticed that a relay is dead, if it still is."""
        if relay.life == life and not relay.up:
            self.world.clients.known_dead.add(relay.number)

    def restart(self, relay: Relay, held: list[Hand]) -> None:
        layout, judge = self.world.layout, self.world.judge
        judge.restarted(relay)
        for unit in layout.units_of(layout.routes.values()):
            unit.witnesses.discard(relay)
        self.world.clients.known_dead.discard(relay.number)
        for hand in held:
            if hand.order:
                judge.taken(hand, self.clock.now)
        relay.start(held)

    def pause(self, struck: Struck) -> None:
        """Relays stand still; what comes meanwhile waits."""
        for number in struck.relays:
            relay = self.world.relays[number]
            relay.paused_until = max(relay.paused_until, self.clock.now + struck.span)

    # -- the front, links and the list --------------------------------------------------------------

    def skew(self, struck: Struck) -> None:
        """The front sends `size` times as much to those struck."""
        weights = np.ones(len(self.world.relays))
        weights[struck.relays] = struck.size
        self.world.clients.weights = np.cumsum(weights)
        self.clock.call_later(struck.span, setattr, self.world.clients, "weights", None)

    def cut(self, struck: Struck) -> None:
        """A part of the buildings is cut off from the relays of the others, and their relays from the
        rest."""
        many, cuts = self.day.network.buildings, self.world.network.cuts
        far = set(range(max(1, round(struck.part * many)))) if many > 1 else {0}
        relays = {r.number for r in self.world.relays if r.building in far} if many > 1 else set()
        cut = (relays, far)
        cuts.append(cut)
        self.clock.call_later(struck.span, cuts.remove, cut)

    def slow_handshakes(self, struck: Struck) -> None:
        self.world.network.handshake *= struck.size
        self.clock.call_later(struck.span, self.usual_handshakes, struck.size)

    def usual_handshakes(self, size: float) -> None:
        self.world.network.handshake /= size

    def stale_list(self, struck: Struck) -> None:
        self.world.registry.more_lag += struck.size
        self.clock.call_later(struck.span, self.fresh_list, struck.size)

    def fresh_list(self, size: float) -> None:
        self.world.registry.more_lag -= size

    def replace(self, struck: Struck) -> None:
        self.world.registry.replace(struck.destinations, struck.span)

    def clump(self, struck: Struck) -> None:
        """Its arrivals were drawn with the day's."""

    BEGIN = {
        "kill": kill_all,
        "roll": roll,
        "pause": pause,
        "skew": skew,
        "cut": cut,
        "stale": stale_list,
        "replace": replace,
        "clump": clump,
        "handshake": slow_handshakes,
    }

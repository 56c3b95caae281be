"""Work that this relay begins to act on, or stops to: its own of lives before, and that of relays it guards.

The table of what is kept where is in docs/design/peers.md; what may be acted on is for the pure core to say.
"""

import asyncio

from ...observe.log import event
from ...peers.seat import Seat
from . import record_codec

EARLY = 0.05  # seconds before its time is up that one which still waits is given up


class TakeOver:
    """The part of `ReplicatedWork` that follows who holds a seat."""

    def on_acts(self, seat: Seat) -> None:
        """Ours from here on: what is there joins what we know of it, and all of it goes to the module."""
        ledger, begun = self.owner.ledger, []
        for owed in filter(None, map(record_codec.decode, list(seat.kept.items.values()))):
            known = self.stray.pop(owed.id, None) or ledger.owed.get(owed.id)
            if owed.id in self.missed:
                self.write(seat, [record_codec.over(owed.id, self.missed.pop(owed.id))])
                continue
            if owed.id in self.seat_of and owed.id not in self.paused:
                continue  # in the module already
            if known is None:
                self.counts["taken over"] += 1
                ledger.welcome(owed)
            else:  # our own life before is over, and its calls with it
                known.join(owed)
                known.busy = 0.0
            begun.append(ledger.owed[owed.id])
        self.acted = self.acted or seat is self.node.own
        event("seat.acts", seat=seat.name[0], life=seat.name[1], owed=len(begun), epoch=seat.epoch)
        self.go_on(begun, seat)
        self.on_known(seat)

    def on_known(self, seat: Seat) -> None:
        """All that can come of that seat of ours is known: what is over there is struck, what is not in it
        goes on."""
        kept = seat.kept
        for gone in [n for n in kept.gone if n in self.stray or n in self.paused]:
            self.counts["struck"] += 1
            self.forget(gone)
        left = [n for n in self.paused if self.seat_of.get(n) is seat and n not in kept.items]
        if seat.name[0] == self.node.terms.me:
            self.regained.add(seat.name[1])
        if self.stray and self.regained >= set(self.lives.before):
            replicated = {name for each in self.node.seats.values() for name in each.kept.items}
            left += [name for name in self.stray if name not in replicated]
        owed = [self.owner.ledger.owed[name] for name in left if name in self.owner.ledger.owed]
        if owed:
            self.counts["went on"] += len(owed)
            self.go_on(owed, seat if self.acts(seat) else self.node.own)
        if not self.stray and self.regained:
            me, seats = self.node.terms.me, self.node.seats
            self.lives.done({n for n in self.regained if (me, n) in seats and not seats[me, n].kept.items})

    def go_on(self, owed: list, seat: Seat) -> None:
        """Into the module, as work of that seat, or of none while we may not act on it."""
        covered, wall = self.acts(seat), self.now() + self.owner.wall
        for each in owed:
            if each.due <= wall:  # another may have ended it, and what is over is remembered so long only
                each.maybe_at = 0.0
            self.stray.pop(each.id, None)
            self.paused.discard(each.id)
            self.seat_of.pop(each.id, None)
            if covered:
                self.seat_of[each.id] = seat
            else:
                self.owner.ledger.alone(each.id)
        if covered:
            self.write(seat, [record for each in owed for record in record_codec.all_of(each)])
        self.owner.adopt([each for each in owed if each.busy <= wall])
        for each in (o for o in owed if o.busy > wall):
            loop = asyncio.get_running_loop()  # never two pushes out: its keeper may merely stand still
            loop.call_later(min(each.busy, each.due - EARLY) - wall, self.resume, each.id, seat)

    def resume(self, name: str, seat: Seat) -> None:
        """What may have been out is over now."""
        owed = self.owner.ledger.owed.get(name)
        if owed and self.seat_of.get(name) is seat and name not in self.paused:
            owed.busy = 0.0
            self.owner.adopt([owed])

    def on_lapsed(self, seat: Seat) -> None:
        event("seat.lapsed", seat=seat.name[0], life=seat.name[1])
        self.stop(seat)

    def on_lost(self, seat: Seat) -> None:
        """Another holds it: what we have of it is that one's."""
        event("seat.lost", seat=seat.name[0], life=seat.name[1], epoch=seat.epoch)
        self.stop(seat)
        for each in [w for w in self.waiting if w.seat is seat]:
            self.waiting.remove(each)
            each.done(False)
        for name in [n for n, whose in self.seat_of.items() if whose is seat]:
            if self.owner.ledger.is_guest(name):
                self.forget(name)
        if seat is self.node.own:
            self.renews = True

    def renew(self) -> None:
        """What comes from here on is of a new life. On a full disk it waits: until then we are alone."""
        if self.lives.next(self.node.life + 1):
            self.renews = False
            self.node.renew(self.now())

    def stop(self, seat: Seat) -> None:
        names = {n for n, whose in self.seat_of.items() if whose is seat}
        self.owner.pause(names)
        self.paused |= names

    def forget(self, name: str) -> None:
        self.stray.pop(name, None)
        self.seat_of.pop(name, None)
        self.paused.discard(name)
        self.owner.ledger.over(name)

"""One relay among its peers: its own seat, those it guards, who is there. Pure: envelopes and ticks in,
effects out."""

from dataclasses import dataclass

from .groups import group
from .messages import Append, Appended, Envelope, Record, SeatName, Vote, Voted
from .roster import Roster
from .seat import DRIFT, Seat

FORGETS = 1.0  # seconds between looks at whose time is up among what is over: it is looked through whole
LIVES = 64  # of one relay that are remembered at once: more is a fault of its, or no relay of ours
DONE = 10  # times the lease that an empty seat is remembered: who lies behind still asks after it


@dataclass(frozen=True, slots=True)
class Terms:
    """What all relays of a cluster are told alike, and which of them this one is. zones: every name's."""

    cluster: str
    me: str
    zones: dict[str, str]
    guards: int
    lease: float


class Refused(Exception):
    """An envelope that changes nothing; the text says why."""


class Node:
    def __init__(self, terms: Terms, life: int, sole: bool, chance, now: float):
        self.terms, self.life, self.sole, self.random = terms, life, sole, chance
        self.number, self.effects, self.refused = 0, [], 0
        self.forgets_at = now
        self.barred = now + terms.lease * (1.0 + DRIFT)
        self.roster = Roster([n for n in terms.zones if n != terms.me], terms.lease)
        self.seats: dict[SeatName, Seat] = {}
        self.own = self.seat((terms.me, life))
        self.own.open(now)
        self.gather(self.own)

    def seat(self, name: SeatName) -> Seat:
        if name not in self.seats:
            members = group(name[0], self.terms.zones, self.terms.guards)
            if self.terms.me not in members:
                raise Refused("not a guard of that relay")
            made = Seat(name, members, self.terms.me, self.terms.lease, self.random, self.barred)
            self.seats[name] = made
        return self.seats[name]

    # -- inputs ---------------------------------------------------------------------------------------

    def hear(self, envelope: Envelope, now: float) -> Envelope:
        """Answers a request; raises Refused."""
        message = envelope.message
        try:
            self.admit(envelope, now)
            if envelope.message.seat[0] not in self.terms.zones:
                raise Refused("a seat of no relay here")
            lives = [known for known in self.seats if known[0] == message.seat[0]]
            if message.seat not in self.seats and len(lives) >= LIVES:
                raise Refused("too many lives of that relay")
            if isinstance(message, Append) and message.epoch > 0 and message.base >= 0:
                seat = self.seat(message.seat)
                answer = seat.on_append(now, envelope.sender, message)
            elif isinstance(message, Vote) and message.epoch > 0:
                seat = self.seat(message.seat)
                answer = seat.on_vote(now, Vote(message.seat, message.epoch, _released(envelope)))
            else:
                raise Refused("an answer to nothing")
        except Refused:
            self.refused += 1
            raise
        self.gather(seat)
        return self.envelope(envelope.sender, answer)

    def admit(self, envelope: Envelope, now: float) -> None:
        if envelope.cluster != self.terms.cluster:
            raise Refused("of another cluster")
        if envelope.to != self.terms.me:
            raise Refused("for another relay")
        if why := self.roster.admit(envelope.sender, envelope.life, envelope.number, envelope.sole, now):
            raise Refused(why)

    def answered(self, envelope: Envelope, now: float) -> None:
        """An answer to one of ours; one that makes no sense changes nothing."""
        message, seat = envelope.message, self.seats.get(tuple(envelope.message.seat))
        if envelope.cluster != self.terms.cluster or seat is None or envelope.sender not in seat.others:
            self.refused += 1
            return
        self.roster.spoke(envelope.sender, now)
        if isinstance(message, Appended):
            seat.on_appended(now, envelope.sender, message)
        elif isinstance(message, Voted):
            seat.on_voted(now, envelope.sender, message)
        self.gather(seat)

    def tick(self, now: float, wall: float = 0.0) -> None:
        self.roster.tick(now)
        forgets = now >= self.forgets_at
        self.forgets_at = now + FORGETS if forgets else self.forgets_at
        for name, seat in list(self.seats.items()):
            seat.tick(now)
            self.gather(seat)
            if forgets:
                seat.kept.forget(wall)
            idle = not seat.kept.items and now >= seat.busy_until() + DONE * self.terms.lease
            if idle and seat is not self.own:
                del self.seats[name]
        turns, self.roster.turns = self.roster.turns, []
        self.effects += [("peer", *turn) for turn in turns]

    def write(self, seat: Seat, records: list[Record], now: float) -> int:
        at = seat.write(now, records)
        self.gather(seat)
        return at

    def claim(self, name: SeatName, now: float, journal: list[Record] = ()) -> Seat:
        """An earlier life of ours; journal: what the folder has of it."""
        seat = self.seat(name)
        seat.claim(now, self.sole, journal)
        self.gather(seat)
        return seat

    def renew(self, now: float) -> int:
        """Our seat is another's for good: what comes from here on is of a new life, and a seat of its own."""
        self.life, self.sole = self.life + 1, True
        self.own = self.seat((self.terms.me, self.life))
        self.own.open(now)
        self.gather(self.own)
        return self.life

    # -- effects --------------------------------------------------------------------------------------

    def gather(self, seat: Seat) -> None:
        told, seat.effects = seat.effects, []
        for kind, *rest in told:
            if kind == "send":
                self.effects.append(("send", rest[0], self.envelope(*rest)))
            else:
                self.effects.append((kind, seat, *rest))

    def envelope(self, to: str, message) -> Envelope:
        self.number += 1
        return Envelope(self.terms.cluster, self.terms.me, self.life, to, self.number, message, self.sole)


def _released(envelope: Envelope) -> bool:
    """Only a later life of the same relay can say that one is over."""
    vote = envelope.message
    return vote.released and envelope.sender == vote.seat[0] and envelope.life > vote.seat[1]

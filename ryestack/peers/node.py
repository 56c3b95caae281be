"""One relay among its peers: its own seat, those it guards, who is there. Pure: letters and ticks in,
effects out."""

from dataclasses import dataclass

from .groups import group
from .roster import Roster
from .seat import DRIFT, Seat
from .words import Append, Appended, Letter, Record, SeatName, Vote, Voted

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
    """A letter that changes nothing; the text says why."""


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

    def hear(self, letter: Letter, now: float) -> Letter:
        """A word that was asked, and its answer; raises Refused."""
        word = letter.word
        try:
            self.admit(letter, now)
            if letter.word.seat[0] not in self.terms.zones:
                raise Refused("a seat of no relay here")
            lives = [known for known in self.seats if known[0] == word.seat[0]]
            if word.seat not in self.seats and len(lives) >= LIVES:
                raise Refused("too many lives of that relay")
            if isinstance(word, Append) and word.epoch > 0 and word.base >= 0:
                seat = self.seat(word.seat)
                answer = seat.on_append(now, letter.sender, word)
            elif isinstance(word, Vote) and word.epoch > 0:
                seat = self.seat(word.seat)
                released = word.released and letter.sender == word.seat[0] and letter.life > word.seat[1]
                answer = seat.on_vote(now, Vote(word.seat, word.epoch, released))
            else:
                raise Refused("an answer to nothing")
        except Refused:
            self.refused += 1
            raise
        self.gather(seat)
        return self.letter(letter.sender, answer)

    def admit(self, letter: Letter, now: float) -> None:
        if letter.cluster != self.terms.cluster:
            raise Refused("of another cluster")
        if letter.to != self.terms.me:
            raise Refused("for another relay")
        if why := self.roster.admit(letter.sender, letter.life, letter.number, letter.sole, now):
            raise Refused(why)

    def answered(self, letter: Letter, now: float) -> None:
        """An answer to one of ours; one that makes no sense changes nothing."""
        word, seat = letter.word, self.seats.get(tuple(letter.word.seat))
        if letter.cluster != self.terms.cluster or seat is None or letter.sender not in seat.others:
            self.refused += 1
            return
        self.roster.spoke(letter.sender, now)
        if isinstance(word, Appended):
            seat.on_appended(now, letter.sender, word)
        elif isinstance(word, Voted):
            seat.on_voted(now, letter.sender, word)
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
                self.effects.append(("send", rest[0], self.letter(*rest)))
            else:
                self.effects.append((kind, seat, *rest))

    def letter(self, to: str, word) -> Letter:
        self.number += 1
        return Letter(self.terms.cluster, self.terms.me, self.life, to, self.number, word, self.sole)

"""Clients and the front that spreads them over relays: hand-ins, tries again, what becomes of each."""

import numpy as np

from ... import interface
from .relays import DOOR, Hand, Relay

PICKS = 20  # draws of a relay that is not known as dead, before a client has to come again
OVERDUE = 0.06  # seconds past its time after which the judge looks for an end


class Clients:
    """weights: running sums by relay where the front is skewed, else None; known_dead: relays, by number."""

    def __init__(self, world):
        self.world, self.day, self.clock = world, world.day, world.clock
        self.known_dead: set[int] = set()
        self.weights: np.ndarray | None = None

    def start(self) -> None:
        if len(self.world.arrivals):
            self.clock.call_at(float(self.world.arrivals.at[0]), self.arrive, 0)

    def arrive(self, wish: int) -> None:
        arrivals = self.world.arrivals
        if wish + 1 < len(arrivals):
            self.clock.call_at(float(arrivals.at[wish + 1]), self.arrive, wish + 1)
        self.world.measured.asked(arrivals.destination[wish], self.clock.now)
        self.hand_in(wish, 0)

    def hand_in(self, wish: int, tries: int) -> None:
        """tries: hand-ins before this one. A relay that is dead, or takes no more, is met by another try."""
        accounts = self.world.accounts
        if accounts.done[wish]:
            return
        now, topic = self.clock.now, accounts.topic[wish]
        due = accounts.at[wish] + self.day.topic[topic].ttl
        if now >= due:
            return
        relay = self.pick()
        if relay is None or not relay.up or (relay.leaving and now > relay.leaving + DOOR):
            self.world.measured.counts["dead_door"] += 1
            self.clock.call_later(self.day.clients.patience, self.hand_in, wish, tries)
            return
        key = int(self.world.arrivals.key[wish])
        hand = Hand(f"{wish}.{tries}", wish, topic, due, f"k{key}" if key >= 0 else "")
        hand.relay = relay
        relay.tell(hand)

    def pick(self) -> Relay | None:
        """The relay that the front sends a client to; None where it finds none."""
        relays, uniform = self.world.relays, self.world.uniform
        if self.weights is not None:
            return relays[int(np.searchsorted(self.weights, uniform() * self.weights[-1], "right"))]
        if not self.known_dead:
            return relays[int(uniform() * len(relays))]
        for _ in range(PICKS):
            relay = relays[int(uniform() * len(relays))]
            if relay.number not in self.known_dead:
                return relay
        return None

    def notification(self, hand: Hand) -> interface.Notification:
        """What a policy is told of a hand-in, with its history."""
        wish = hand.wish
        return interface.Notification(
            hand.id,
            hand.due,
            int(self.world.arrivals.destination[wish]),
            self.day.topic[hand.topic].name,
            self.day.customer[self.world.accounts.customer[wish]].name,
            hand.order,
            hand.pushes,
            hand.maybe_at,
        )

    def taken(self, hand: Hand) -> None:
        self.world.measured.counts["taken"] += 1
        self.world.judge.taken(hand, self.clock.now)
        self.clock.call_at(hand.due + OVERDUE, self.look_for_end, hand)

    def look_for_end(self, hand: Hand) -> None:
        again = self.world.judge.overdue(hand, self.clock.now)
        if again is not None:
            self.clock.call_at(again, self.look_for_end, hand)

    def turned_away(self, hand: Hand) -> None:
        """For want of room, before the policy saw it."""
        self.world.measured.counts["turned_away"] += 1
        self.come_again(hand, 0.0)

    def given_up(self, hand: Hand, throttled: bool, back: float) -> None:
        what = "throttled" if throttled else "expired"
        self.world.measured.counts[what] += 1
        self.world.measured.add(what, self.clock.now)
        if throttled:
            self.come_again(hand, back)

    def come_again(self, hand: Hand, back: float) -> None:
        """back: seconds that it was told to stay away, 0 if none were."""
        tries, clients = tries_of(hand) + 1, self.day.clients
        if tries > clients.again:
            return
        backoff, uniform = clients.backoff, self.world.uniform
        low, high = backoff if isinstance(backoff, list) else (backoff, backoff)
        wait = low + (high - low) * uniform()
        if back > 0.0 and uniform() < clients.honour:
            wait = max(wait, back)
        self.world.measured.counts["again"] += 1
        self.clock.call_later(wait, self.hand_in, hand.wish, tries)


def tries_of(hand: Hand) -> int:
    """Hand-ins of the same wish before this one."""
    return int(hand.id.partition(".")[2])

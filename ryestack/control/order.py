"""Which control machine a relay asks. Pure.

Each relay has an order of its own, so that the relays of a lost machine part to all others, and each rests
for a time of chance before it asks the next.
"""

from collections.abc import Iterable
from hashlib import blake2b
from math import inf
from random import Random

import msgspec

INITIAL_BACKOFF_SECONDS = 1.0  # at most, before the next machine is asked; doubles with each failure in a row
MAX_BACKOFF_SECONDS = 4.0
MIN_BACKOFF_FRACTION = 0.1  # part of a rest that is not left to chance
ANSWER_TIMEOUT_SECONDS = (
    2.0  # for an answer, beside what the poll may be held; doubles where machines are too busy
)
MAX_ANSWER_TIMEOUT_SECONDS = 16.0
RETURN_DELAY_SECONDS = (
    30.0,
    90.0,
)  # after a failover, until the machine that is first in order is tried again


class Machine(msgspec.Struct, frozen=True):
    """A control machine as a relay knows it; address: host:port."""

    name: str
    address: str
    region: str = ""


def machine_order(relay: str, region: str, machines: Iterable[Machine]) -> list[Machine]:
    """The machines of the relay's region first, each group by rendezvous hashing of both names."""

    def rank(machine: Machine) -> tuple[bool, bytes]:
        score = blake2b(f"{relay}\n{machine.name}".encode(), digest_size=8).digest()
        return machine.region != region, score

    return sorted(machines, key=rank)


class Failover:
    """machine: the one to ask; confirmed: whether it has answered since it was turned to."""

    def __init__(self, order: list[Machine], rng: Random) -> None:
        if not order:
            raise ValueError("there are no control machines")
        self._order, self._rng = order, rng
        self._current, self._failures = 0, 0
        self._return_at = inf
        self._fallback: int | None = None  # where to go back to if the first machine is still lost
        self.confirmed = False

    @property
    def machine(self) -> Machine:
        return self._order[self._current]

    def choose(self, now: float) -> Machine:
        """The machine for the next request: now and then the first in order, after a failover."""
        if now >= self._return_at:
            self._fallback = self._current
            self._switch_to(0, inf)
        return self.machine

    def answer_timeout(self) -> float:
        """Seconds for an answer: the second machine is as quickly given up as the first, for one may be
        lost; where more fail in a row they are too busy, and asking anew would only add to it."""
        return min(
            MAX_ANSWER_TIMEOUT_SECONDS, ANSWER_TIMEOUT_SECONDS * 2.0 ** min(max(0, self._failures - 1), 10)
        )

    def answered(self) -> None:
        """The machine has given an answer that could be used."""
        self.confirmed, self._failures, self._fallback = True, 0, None

    def failed(self, now: float) -> float:
        """The machine gave none; returns when to ask the next."""
        self._failures += 1
        if self._fallback is not None:
            successor, self._fallback = self._fallback, None
        else:
            successor = (self._current + 1) % len(self._order)
        self._switch_to(successor, now + self._rng.uniform(*RETURN_DELAY_SECONDS) if successor else inf)
        backoff = min(MAX_BACKOFF_SECONDS, INITIAL_BACKOFF_SECONDS * 2.0 ** min(self._failures - 1, 10))
        return now + backoff * self._rng.uniform(MIN_BACKOFF_FRACTION, 1.0)

    def _switch_to(self, machine: int, return_at: float) -> None:
        self._current, self.confirmed, self._return_at = machine, False, return_at

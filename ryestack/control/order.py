"""Which control machine a relay uses, and when it fails over. Pure.

Each relay has its own order of machines, so that the relays of a failed machine spread over all others. Each
waits for a randomized backoff before it asks the next.
"""

from collections.abc import Iterable
from hashlib import blake2b
from math import inf
from random import Random

import msgspec

INITIAL_BACKOFF_SECONDS = 1.0  # upper limit before the next machine is asked; doubles with each failure
MAX_BACKOFF_SECONDS = 4.0
MIN_BACKOFF_FRACTION = 0.1  # of the backoff; the rest is randomized
ANSWER_TIMEOUT_SECONDS = 2.0  # in addition to the hold time; doubles while machines are overloaded
MAX_ANSWER_TIMEOUT_SECONDS = 16.0
RETURN_DELAY_SECONDS = (30.0, 90.0)  # after a failover, until the first machine is retried


class Machine(msgspec.Struct, frozen=True):
    """A control machine; address: host:port."""

    name: str
    address: str
    region: str = ""


def machine_order(relay: str, region: str, machines: Iterable[Machine]) -> list[Machine]:
    """The machines of the relay's region, then the others, each group ordered by rendezvous hashing."""

    def rank(machine: Machine) -> tuple[bool, bytes]:
        score = blake2b(f"{relay}\n{machine.name}".encode(), digest_size=8).digest()
        return machine.region != region, score

    return sorted(machines, key=rank)


class Failover:
    """machine: the one to ask; confirmed: whether it has answered since the switch to it."""

    def __init__(self, order: list[Machine], rng: Random) -> None:
        if not order:
            raise ValueError("there are no control machines")
        self._order, self._rng = order, rng
        self._current, self._failures = 0, 0
        self._return_at = inf
        self._fallback: int | None = None  # the machine to return to if the first one still fails
        self.confirmed = False

    @property
    def machine(self) -> Machine:
        """The current machine."""
        return self._order[self._current]

    def choose(self, now: float) -> Machine:
        """The machine for the next request; after a failover, the first one is retried from time to time."""
        if now >= self._return_at:
            self._fallback = self._current
            self._switch_to(0, inf)
        return self.machine

    def answer_timeout(self) -> float:
        """The timeout for an answer in seconds, without hold time.

        One failure may mean that the machine is down, so the second one gets the same timeout. More failures
        in a row mean that machines are overloaded, and fast retries would add to the load.
        """
        return min(
            MAX_ANSWER_TIMEOUT_SECONDS, ANSWER_TIMEOUT_SECONDS * 2.0 ** min(max(0, self._failures - 1), 10)
        )

    def answered(self) -> None:
        """The machine gave a usable answer."""
        self.confirmed, self._failures, self._fallback = True, 0, None

    def failed(self, now: float) -> float:
        """The machine gave no usable answer; returns when to ask the next one."""
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

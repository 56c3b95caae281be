"""What the owner of the decisions expects of the outside, free of any protocol.

A Listener hands notifications in and is told verdicts; a Dispatcher starts and cancels calls and tells how
they ended; a Directory tells list updates; a NoticeSink takes the final answers that are owed. `lifecycle/`
puts together the ones that the configuration names; no adapter knows another.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import Enum
from math import inf
from typing import TYPE_CHECKING, Protocol

from . import interface as it

if TYPE_CHECKING:
    from asyncio import Future


class Verdict(Enum):
    """What the relay made of a hand-in."""

    ACCEPTED = "taken"
    THROTTLED = "throttled"  # handing it in again is harmless
    EXPIRED = "expired"  # nothing is promised of its effect
    REJECTED = "unreadable"  # it cannot be taken as it is: its id is in use


class CloseReason(Enum):
    """What ended a client's connection; the words are those of the counter and of the log."""

    CLIENT = "its client"
    IDLE_TIMEOUT = "idle for long"
    EVICTED = "room for another"
    SHUTDOWN_OR_DRAIN = "a stop or a drain"
    AFTER_LAST_ANSWER = "behind its last answer"
    STALE_REQUEST = "a request that its client had given up"


@dataclass(slots=True)
class Submission:
    """A notification that a client hands in.

    verdict: what the relay made of it, (Verdict, seconds to stay away, 0 if none is told). heard: whether
    its client was told that it is taken on; pushes wait for it. key: the partner's idempotency key, "" if
    none; body: the bytes to deliver. answer_by: a time of the clock; later its client has gone, or will
    have before it can be told.
    """

    notification: it.Notification
    key: str
    body: bytes
    verdict: Future[tuple[Verdict, float]]
    acknowledged: Future[bool]
    answer_by: float = inf


@dataclass(slots=True)
class PushMessage:
    """One notification of a call; heard tells whether its client knows that it is taken on (None: it does).

    timeout: seconds, of the whole call; begin: the same for its first byte, for after that it may not go.
    cleared: whether it may go at all, once that is known (None: it may); one that may not counts as not sent.
    """

    id: str
    push: int
    timeout: float
    key: str
    body: bytes
    acknowledged: Future[bool] | None
    begin: float = inf
    cleared: Future[bool] | None = None


Tell = Callable[[Iterable[object]], None]  # puts events into the owner's queue, in one round together


class Listener(Protocol):
    """Takes notifications from clients of one protocol; it calls `hand_in(HandIn)` and `withdraw(id)`."""

    requests_in_progress: int  # requests under way
    closed_connections: Counter  # connections that have ended, by Closed

    async def open(self, listening_socket=None, beside: bool = False) -> str:
        """Listen; returns the address. From here on it serves.

        listening_socket: that of the process before us, if it handed one over; beside: it lives.
        """

    def descriptor(self) -> int | None:
        """The descriptor that clients come to, to hand over."""

    def yield_to_successor(self) -> None:
        """Another process serves here from now on: take no more, and let go of those there are."""

    def share(self, processes: int) -> None:
        """So many processes share the relay's descriptors now."""

    def start_drain(self) -> None:
        """A stop was asked for: say that no more should come, and take what still does."""

    def close_idle_clients(self) -> None:
        """It was left long enough: end what stands idle, but stay open and answer what still comes."""

    def resume(self) -> None:
        """Serve again, as before it was left or emptied."""

    def apply_settings(self, settings: it.Settings) -> None:
        """Other settings hold from now on."""

    def stop_accepting(self) -> None:
        """Take no more; answers under way go on."""

    def connection_count(self) -> int: ...


class Dispatcher(Protocol):
    """Carries pushes to endpoints and tells one Outcome for each."""

    def start(self, endpoint: str, items: list[PushMessage]) -> None: ...

    def cancel(self, name: str, push: int) -> None: ...

    def cancel_unsent(self, endpoint: str) -> None:
        """End calls to that endpoint that have not begun, as not sent: their connection may come up late."""

    def close_idle(self, endpoint: str) -> None:
        """Close what stands idle to that endpoint; calls that are out go on."""

    def drop_removed_endpoints(self) -> None:
        """The list has changed and the decisions know: let go of what is kept for endpoints gone."""

    written: int  # messages whose call went out whole

    def apply_settings(self, settings: it.Settings) -> None:
        """Other settings hold for calls from now on."""

    def share(self, processes: int) -> None:
        """So many processes share the relay's descriptors now."""

    def in_flight(self) -> int:
        """Pushes without an outcome."""

    async def close(self) -> None:
        """End all that is out; each gets its outcome."""


class Directory(Protocol):
    """Follows where endpoints are."""

    def initial_list(self) -> it.ListUpdate:
        """What is known before anything is asked."""

    async def fetch_initial(self) -> list[it.ListUpdate]:
        """What is told at once when asked now, before anything is pushed; nothing if it takes a moment."""

    async def run(self, tell: Tell) -> None:
        """Tell list updates until cancelled; what fails is told, and leaves the last list in force."""

    def refresh(self) -> None:
        """The decisions want it asked now, after what failed."""


class NoticeSink(Protocol):
    """Takes final answers that are owed, and tells the ids that have arrived."""

    def add(self, name: str, notice: dict) -> None:
        """notice: {"state": "returned" | "failed"}, with "after_ms" where there is a time to come back."""

    async def run(self) -> None: ...

    def pending_count(self) -> int: ...

"""Interfaces between the task that owns the decision module and the adapters for clients, endpoints and
storage.

They are independent of any protocol. A Listener submits notifications and receives verdicts; a Dispatcher
starts and cancels calls and reports how each one ended; a Directory reports updates of the endpoint list; a
NoticeSink takes the final answers that are owed. `lifecycle/` assembles the adapters that the configuration
names; no adapter knows another.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import Enum
from math import inf
from typing import TYPE_CHECKING, Protocol

from . import interface
from .connection_reasons import ConnectionState

if TYPE_CHECKING:
    from asyncio import Future


class Verdict(Enum):
    """What the relay decided about a submission."""

    ACCEPTED = "taken"
    THROTTLED = "throttled"  # submitting it again is harmless
    EXPIRED = "expired"  # whether it had an effect is unknown
    REJECTED = "unreadable"  # it cannot be accepted as it is: its id is in use


@dataclass(slots=True)
class Submission:
    """A notification that a client submits.

    key: the customer's idempotency key, "" if none. body: the bytes to deliver. verdict: the relay's
    decision, (Verdict, seconds before a retry, 0 if none is given). acknowledged: whether the client received
    the answer that the notification is accepted; pushes wait for it. answer_by: a time of the clock, after
    which the client has gone, or will have gone before the answer reaches it.
    """

    notification: interface.Notification
    key: str
    body: bytes
    verdict: Future[tuple[Verdict, float]]
    acknowledged: Future[bool]
    answer_by: float = inf

    def decide(self, verdict: Verdict, retry_after: float = 0.0) -> None:
        """Give the verdict, unless its client has gone and nobody waits for it."""
        if not self.verdict.done():
            self.verdict.set_result((verdict, retry_after))


@dataclass(slots=True)
class PushMessage:
    """One notification in a call to an endpoint.

    deadline: a time of the clock, by which the call ends. acknowledged: whether the client was told that the
    notification is accepted (None: it was). begin_by: a time of the clock; nothing of the call may be written
    later. permitted: whether it may be sent at all, once that is known (None: it may); one that may not
    counts as not sent. recorded: whether the journal has the push, which waits for that (None: it has); one
    that could not be recorded does not count as a push.
    """

    id: str
    push: int
    deadline: float
    key: str
    body: bytes
    acknowledged: Future[bool] | None
    begin_by: float = inf
    permitted: Future[bool] | None = None
    recorded: Future[bool] | None = None


PublishEvents = Callable[[Iterable[object]], None]
"""Puts events into the owner's queue; those of one call are handled in one round."""


class Listener(Protocol):
    """Takes notifications from clients of one protocol; it calls `submit(Submission)` and `withdraw(id)`."""

    requests_in_progress: int
    closed_connections: Counter  # connections that have ended, by CloseReason
    refused_input: Counter  # requests that were refused before they had come whole, by RefusedInput
    accept_pauses: int  # how often new connections were left waiting for want of a place
    held_bytes: int  # that clients' connections hold now, beyond what each is free to

    async def open(self, listening_socket=None, predecessor_alive: bool = False) -> str:
        """Start to listen and to serve; returns the address.

        listening_socket: that of the preceding process, if it handed one over. predecessor_alive: whether
        that process still runs.
        """

    def descriptor(self) -> int | None:
        """The descriptor of the listening socket, to hand over to another process."""

    def yield_to_successor(self) -> None:
        """Stop accepting and close the connections: another process serves this address from now on."""

    def share(self, processes: int) -> None:
        """Limit this process to its part of the relay's descriptors, which this many processes now share."""

    def start_drain(self) -> None:
        """Announce that no more should come, because of a stop or a drain; what still comes is accepted."""

    def close_idle_clients(self) -> None:
        """End idle connections, now and from now on, once the drain has lasted long enough.

        The listener stays open and answers what still comes.
        """

    def resume(self) -> None:
        """Serve again as before the drain."""

    def apply_settings(self, settings: interface.Settings) -> None:
        """Use other settings from now on."""

    def stop_accepting(self) -> None:
        """Accept no more connections; requests in progress are still answered."""

    def connection_count(self) -> int:
        """The number of open connections."""

    def connection_states(self) -> Counter[ConnectionState]:
        """The number of open connections by what they are doing."""


class Dispatcher(Protocol):
    """Sends pushes to endpoints and reports one Outcome for each."""

    def start(self, endpoint: str, messages: list[PushMessage]) -> None:
        """Start calls that carry these messages to the endpoint."""

    def cancel(self, notification_id: str, push: int) -> None:
        """Cancel the call that carries that push, if there is one."""

    def cancel_unsent(self, endpoint: str) -> None:
        """End calls to that endpoint that have not begun, as not sent: their connection may come up late."""

    def close_idle(self, endpoint: str) -> None:
        """Close the idle connections to that endpoint; calls in flight continue."""

    def drop_removed_endpoints(self) -> None:
        """Release what is kept for removed endpoints, once the decision module has received the new list."""

    written: int  # messages whose call was written whole
    closed_connections: Counter  # connections that this relay closed, by EndpointCloseReason
    skipped_answers: int  # answers that may be those of another call

    def apply_settings(self, settings: interface.Settings) -> None:
        """Use other settings for calls from now on."""

    def share(self, processes: int) -> None:
        """Limit this process to its part of the relay's descriptors, which this many processes now share."""

    def in_flight(self) -> int:
        """The number of pushes without an outcome."""

    async def close(self) -> None:
        """End all calls in flight; each push gets its outcome."""


class Directory(Protocol):
    """Follows the list of endpoints."""

    def initial_list(
        self, handed: dict | None = None, route_states: dict[str, str] | None = None
    ) -> interface.ListUpdate:
        """The list that is known before anything is requested.

        handed: `export` of the process that this one replaces; route_states: the state of each route that the
        process before had, by endpoint, if it told them.
        """

    async def fetch_initial(self) -> list[interface.ListUpdate]:
        """The updates available at once, before anything is pushed; empty if an answer takes too long."""

    async def run(self, publish: PublishEvents) -> None:
        """Publish list updates until cancelled.

        Failures are published too, and leave the last list in force.
        """

    def export(self) -> dict | None:
        """The list in force as plain values, for the process that replaces this one; None if it cannot be
        handed on."""

    def take_change(self, fields: dict) -> list[interface.ListUpdate]:
        """Take a change that another process of this relay was told, as plain values.

        Raises TypeError, ValueError or KeyError if it is invalid.
        """

    def supersede(self, known: dict) -> None:
        """A configuration with that list was read again, and the list in force stays."""

    def refresh(self) -> None:
        """Request the list now: the decision module asks for it after a failure."""


class NoticeSink(Protocol):
    """Takes final answers that are owed, and reports the ids of those that have arrived."""

    def add(self, notification_id: str, notice: dict) -> None:
        """notice: {"state": "returned" | "failed"}, with "after_ms" where there is a time before a retry."""

    async def run(self) -> None:
        """Deliver the notices until cancelled."""

    def pending_count(self) -> int:
        """The number of notices that have not arrived yet."""

"""The open connections to endpoints: which of them rest, which are closed to make room, and why."""

from collections import Counter
from typing import Protocol

from ..connection_reasons import EndpointCloseReason
from ..observe.log import event, is_debug_enabled
from .answer_stream import AnswerStream
from .call_progress import CallProgress


class PooledConnection(Protocol):
    """What the pool needs of a connection.

    endpoint: the name of its endpoint; number: of the connection, in this process; call: the one that it
    carries; stream: what it has brought; idle_since: a time of the loop's clock.
    """

    endpoint: str
    number: int
    call: CallProgress | None
    stream: AnswerStream
    idle_since: float

    def discard(self, reason: EndpointCloseReason) -> None:
        """Close at once."""


class ConnectionPool:
    """All connections to endpoints, the oldest first.

    budget: connections of the relay, of which max_connections are this process's part. closed: connections
    that this side closed, by reason. skipped_answers: answers that no call in flight could be shown to get.
    """

    def __init__(self, max_connections: int):
        self.budget = self.max_connections = max_connections
        self.connections: dict[PooledConnection, None] = {}
        self.closed: Counter[EndpointCloseReason] = Counter()
        self.skipped_answers = 0

    def add(self, connection: PooledConnection) -> None:
        """A connection has come up."""
        self.connections[connection] = None

    def remove(self, connection: PooledConnection) -> None:
        """A connection has ended."""
        self.connections.pop(connection, None)

    def count_closed(self, connection: PooledConnection, reason: EndpointCloseReason) -> None:
        """Record that this side closes a connection."""
        self.closed[reason] += 1
        if is_debug_enabled():
            facts = {"route": connection.endpoint, "connection": connection.number}
            event("endpoint.closed", **facts, calls=connection.stream.calls, why=reason.value)

    def idle(self) -> list[PooledConnection]:
        """The connections without a call."""
        return [connection for connection in self.connections if connection.call is None]

    def close_idle(self, endpoints: set[str], reason: EndpointCloseReason) -> None:
        """Close the idle connections to these endpoints."""
        for connection in self.idle():
            if connection.endpoint in endpoints:
                connection.discard(reason)

    def make_room(self, calls: int) -> None:
        """Close the connection that has been idle longest if as many are open as may be.

        calls: how many calls run, with a connection or on the way to one.
        """
        idle = self.idle()
        if len(idle) + calls >= self.max_connections and idle:
            min(idle, key=lambda connection: connection.idle_since).discard(EndpointCloseReason.EVICTED)

    def share(self, processes: int) -> None:
        """Limit this process to its part of the relay's descriptors, which this many processes now share."""
        self.max_connections = max(1, self.budget // processes)
        idle = sorted(self.idle(), key=lambda connection: connection.idle_since)
        for connection in idle[: max(0, len(self.connections) - self.max_connections)]:
            connection.discard(EndpointCloseReason.EVICTED)

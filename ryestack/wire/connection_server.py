"""The server of one listener: its connections, those that are ending, and which gives way to a new one."""

from collections import Counter

from aiohttp import web

from ..connection_reasons import CloseReason, RefusedInput
from .client_connection import ClientConnection
from .input_budget import DEFAULT_BYTES, InputBudget
from .lingering import MAX_LINGERING
from .shared_input import SharedInput
from .sockets import has_unread


class ConnectionServer(web.Server):
    """The library's server, with ClientConnection for its connections.

    lingering: half-closed connections, oldest first. closed_connections: ended ones, by reason. copies:
    requests whose bytes came twice.
    on_unanswered_close: called where a connection is ended while a request that was read has no answer.
    shared_input: what bounds the memory of all connections.
    """

    def __init__(self, *args, input_bytes: int = DEFAULT_BYTES, **options):
        super().__init__(*args, **options)
        self.shared_input = SharedInput(InputBudget(input_bytes))
        self.lingering: dict[ClientConnection, None] = {}
        self.closed_connections: Counter[CloseReason] = Counter()
        self.copies = 0
        self.on_unanswered_close = lambda: None

    def __call__(self) -> ClientConnection:
        return ClientConnection(self, loop=self._loop, **self._kwargs)

    def connection_lost(self, handler, exc: BaseException | None = None) -> None:
        self.lingering.pop(handler, None)
        super().connection_lost(handler, exc)

    def full(self, max_connections: int) -> bool:
        """Whether max_connections are open.

        Those that linger count apart; the oldest of them beyond MAX_LINGERING are aborted, first those whose
        answer is sent.
        """
        excess = len(self._connections) - max_connections - MAX_LINGERING
        by_unsent = sorted(self.lingering, key=lambda each: each.raw_transport.get_write_buffer_size() > 0)
        for connection in by_unsent[: max(0, excess + 1)]:
            connection.raw_transport.abort()
        return len(self._connections) - len(self.lingering) >= max_connections

    def longest_idle(self) -> ClientConnection | None:
        """The connection to evict for a new one; none that has received any part of a request."""
        resting = (c for c in self.idle_connections() if not c.received)
        return next((c for c in resting if not has_unread(c.raw_transport)), None)

    def idle_connections(self) -> list[ClientConnection]:
        """The idle connections, the longest idle first."""
        return sorted(filter(ClientConnection.idle, self._connections), key=ClientConnection.idle_deadline)

    def has_room(self, max_connections: int, now: float) -> bool:
        """Whether make_room() would find room."""
        if not self.full(max_connections):
            return True
        return self.shared_input.slowest(now) is not None or self.longest_idle() is not None

    def make_room(self, max_connections: int, now: float) -> bool:
        """Make room for a new connection; returns whether there is any.

        At the limit one gives way whose request does not come whole, else the longest idle one: that may have
        answered just now, and its client's next request may be on its way.
        """
        if not self.full(max_connections):
            return True
        if slow := self.shared_input.slowest(now):
            slow.refuse(RefusedInput.ROOM_FOR_ANOTHER)
            return True
        if idle := self.longest_idle():
            idle.end_with_reason(CloseReason.EVICTED)
            return True
        return False

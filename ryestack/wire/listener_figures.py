"""What a listener counts, for metrics and the log."""

from collections import Counter

from ..connection_reasons import CloseReason, ConnectionState, RefusedInput
from .acceptor import Acceptor
from .connection_server import ConnectionServer


class ListenerFigures:
    """The part of a listener that tells its figures. server: its connections; listener: None while closed."""

    server: ConnectionServer
    listener: Acceptor | None

    @property
    def closed_connections(self) -> Counter[CloseReason]:
        return self.server.closed_connections

    @property
    def refused_input(self) -> Counter[RefusedInput]:
        return self.server.shared_input.refused

    @property
    def accept_pauses(self) -> int:
        return self.listener.pauses if self.listener else 0

    @property
    def held_bytes(self) -> int:
        return self.server.shared_input.budget.used

    def connection_count(self) -> int:
        return len(self.server.connections)

    def connection_states(self) -> Counter[ConnectionState]:
        return Counter(connection.state() for connection in self.server.connections)

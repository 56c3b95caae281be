"""What the connections of one listener share: the budget of bytes, the turns to read, and who gives way."""

from __future__ import annotations

from collections import Counter
from typing import Protocol

from ..connection_reasons import RefusedInput
from .input_budget import InputBudget
from .read_pacer import PacedConnection, ReadPacer

CLIENT_TIMEOUT_S = 0.4  # after which a client has given up its request
STANDSTILL_S = 0.1  # without a byte, after which an incomplete request makes room where there is none


def response(status: int, reason: str) -> bytes:
    """An answer without a body, the last on its connection."""
    return f"HTTP/1.1 {status} {reason}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n".encode()


RESPONSES = {
    RefusedInput.OVER_BUDGET: response(503, "Service Unavailable"),
    RefusedInput.STALLED: response(503, "Service Unavailable"),
    RefusedInput.ROOM_FOR_ANOTHER: response(503, "Service Unavailable"),
    RefusedInput.HEAD_TOO_LARGE: response(431, "Request Header Fields Too Large"),
    RefusedInput.TOO_MANY_CHUNKS: response(413, "Content Too Large"),
}


class ReceivingConnection(PacedConnection, Protocol):
    """A connection that receives requests.

    began_at, received_last: when it read the first and the last bytes of the request that is incomplete.
    """

    began_at: float
    received_last: float

    def is_receiving(self) -> bool:
        """Whether a request has come in part and none waits for its answer: it may be refused."""

    def refuse(self, reason: RefusedInput) -> None:
        """Answer the incomplete request with an error, and end the connection."""


class SharedInput:
    """What the connections of one listener share.

    receiving: those whose request is incomplete, in the order in which these began. refused: connections that
    were refused, by reason.
    """

    def __init__(self, budget: InputBudget):
        self.budget, self.pacer = budget, ReadPacer()
        self.receiving: dict[ReceivingConnection, None] = {}
        self.refused: Counter[RefusedInput] = Counter()

    def forget(self, connection: ReceivingConnection) -> None:
        """The connection reads no more."""
        self.budget.release(connection)
        self.pacer.remove(connection)
        self.receiving.pop(connection, None)

    def slowest(self, now: float) -> ReceivingConnection | None:
        """The connection to refuse for another: the first whose client has given up, or stands still."""
        for connection in self.receiving:
            if connection.began_at > now - STANDSTILL_S:
                return None
            given_up = connection.began_at < now - CLIENT_TIMEOUT_S
            if connection.is_receiving() and (given_up or connection.received_last < now - STANDSTILL_S):
                return connection
        return None

    def make_room(self, connection: ReceivingConnection, now: float) -> None:
        """Refuse stalled connections, and if that is not enough this one, until the rest fits."""
        for stalled in self.budget.stalled(now):
            if stalled is not connection and stalled.is_receiving():
                stalled.refuse(RefusedInput.STALLED)
                if self.budget.used <= self.budget.limit:
                    return
        if connection.is_receiving():
            connection.refuse(RefusedInput.OVER_BUDGET)

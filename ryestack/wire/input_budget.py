"""The bytes that clients' connections hold together, and which connection gives way at the limit. No I/O."""

from collections.abc import Hashable
from itertools import takewhile

MEMORY_DIVISOR = 16  # this part of a process's memory is for what clients have sent
DEFAULT_BYTES = 4_000_000
# What each connection may hold without being counted: an ordinary request, read at once, always finds room.
FREE_BYTES = 8 * 1024
STALLED_S = 0.2  # without a byte, after which a connection gives way to others


class InputBudget:
    """Counts what each connection holds beyond FREE_BYTES.

    limit: bytes for all connections of this process; total_limit: for all processes of the relay.
    """

    def __init__(self, limit: int = DEFAULT_BYTES):
        self.total_limit = self.limit = limit
        self.used = 0
        self._held: dict[Hashable, tuple[int, float]] = {}

    def share(self, processes: int) -> None:
        """Limit this process to its part, of that many processes of the relay."""
        self.limit = self.total_limit // processes

    def hold(self, holder: Hashable, held: int, now: float) -> bool:
        """Record the bytes that a connection holds now; returns whether all together stay within the limit.

        now: the time in seconds, at which the connection received bytes.
        """
        self.release(holder)
        counted = held - FREE_BYTES
        if counted > 0:
            self._held[holder] = counted, now
            self.used += counted
        return self.used <= self.limit

    def release(self, holder: Hashable) -> None:
        """The connection holds nothing any more that is counted."""
        counted, _ = self._held.pop(holder, (0, 0.0))
        self.used -= counted

    def stalled(self, now: float) -> list[Hashable]:
        """The connections that have received nothing for STALLED_S, the longest first."""
        # They are in the order in which they received their last bytes.
        return [
            holder for holder, _ in takewhile(lambda item: item[1][1] <= now - STALLED_S, self._held.items())
        ]

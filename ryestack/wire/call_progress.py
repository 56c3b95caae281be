"""How far one call to an endpoint has come, shared by its task and by the connection that carries it."""

from collections.abc import Callable
from contextvars import ContextVar
from dataclasses import dataclass
from math import inf

from .members import Target


@dataclass(slots=True, eq=False)
class CallProgress:
    """How far a call has come.

    Until a byte of it is written none of its messages can have run. `status` is that of the first line,
    reported to `on_status_line` as it comes, and the text of a wait in its head, or None, to `on_wait`, even
    if the rest never comes.
    """

    endpoint: str
    decided_at: float  # a time of the loop's clock
    ids: tuple[str, ...] = ()  # of its messages
    target: Target | None = None  # where it was to go when it was decided
    find_target: Callable[[], Target | None] = lambda: None  # where calls to its endpoint go now
    on_status_line: object = None
    on_wait: object = None
    on_written: object = None  # called once the call's last byte is written
    timeout: object = None  # the asyncio.Timeout of the call while it runs
    connection: object = None  # the one that carries the call, while it runs
    begun: bool = False  # its first byte is written
    recalled: bool = False  # it was recalled before its last byte was written
    reused: bool = False  # its connection has carried a call before
    bytes_received: bool = False  # any byte has come back
    status: int = 0
    wait: float = 0.0  # seconds
    start_deadline: float = inf  # a time of the loop's clock: nothing of the call may be written later
    too_late: bool = False
    local_fault: bool = False  # this machine had no socket or port for it

    @property
    def not_attempted(self) -> bool:
        """Whether, if nothing was sent, the reason for that lies on this side."""
        return self.too_late or self.local_fault

    def target_holds(self) -> bool:
        """Whether the list still has its endpoint where the call was decided to go."""
        return self.target is not None and self.find_target() == self.target

    def recall(self) -> bool:
        """Prevent an unwritten last byte, with which an endpoint begins a call, from being sent.

        Returns whether that succeeded, now or before.
        """
        self.recalled = self.recalled or (self.connection is not None and self.connection.recall())
        return self.recalled


CURRENT_CALL: ContextVar[CallProgress] = ContextVar("call")  # the call that the running task makes

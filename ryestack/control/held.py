"""Long polls held until something changes, by requester, each with the time of its answer. Pure."""

import heapq
from collections.abc import Hashable
from dataclasses import dataclass
from math import inf

from .messages import Follow, Poll


@dataclass(slots=True)
class HeldPoll:
    """A held poll.

    token: identifies the request at the server; due: when it is answered, changed or not.
    """

    requester: str
    token: Hashable
    request: Poll | Follow
    due: float


class HeldPolls:
    """At most one poll per requester, and a limit on the total."""

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._held: dict[str, HeldPoll] = {}
        self._requesters: dict[Hashable, str] = {}  # by token
        self._heap: list[tuple[float, int, HeldPoll]] = []
        self._sequence = 0

    def __len__(self) -> int:
        return len(self._held)

    def __contains__(self, requester: str) -> bool:
        return requester in self._held

    def requesters(self) -> list[str]:
        """The requesters whose polls are held."""
        return list(self._held)

    def polls(self) -> list[HeldPoll]:
        """All held polls."""
        return list(self._held.values())

    def full(self) -> bool:
        """Whether the limit is reached."""
        return len(self._held) >= self._limit

    def hold(self, poll: HeldPoll) -> None:
        """Holds a poll. The caller has to `take` an earlier poll of the same requester first."""
        self._held[poll.requester] = poll
        self._requesters[poll.token] = poll.requester
        self._schedule(poll)

    def answer_by(self, requester: str, due: float) -> None:
        """Brings forward the answer to the requester's poll, if it is due later than that."""
        poll = self._held.get(requester)
        if poll is not None and due < poll.due:
            poll.due = due
            self._schedule(poll)

    def take(self, requester: str) -> HeldPoll | None:
        """Removes and returns the requester's poll; `take_due` skips its stale heap item later."""
        poll = self._held.pop(requester, None)
        if poll is not None:
            self._requesters.pop(poll.token, None)
        return poll

    def release(self, token: Hashable) -> None:
        """Removes the poll of a request that was dropped, such as by a closed connection."""
        if token in self._requesters:
            self.take(self._requesters[token])

    def take_due(self, now: float) -> list[HeldPoll]:
        """Removes and returns the polls that are due."""
        taken = []
        while self._heap and self._heap[0][0] <= now:
            item = heapq.heappop(self._heap)
            if self._is_current(item):
                taken.append(self.take(item[2].requester))
        return taken

    def next_due(self) -> float:
        """When the next poll is due, inf if none is held."""
        while self._heap and not self._is_current(self._heap[0]):
            heapq.heappop(self._heap)
        return self._heap[0][0] if self._heap else inf

    def _is_current(self, item: tuple[float, int, HeldPoll]) -> bool:
        due, _, poll = item
        return self._held.get(poll.requester) is poll and poll.due == due

    def _schedule(self, poll: HeldPoll) -> None:
        self._sequence += 1
        heapq.heappush(self._heap, (poll.due, self._sequence, poll))

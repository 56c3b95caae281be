"""Polls that wait for something new, by who asked, each with the time of its answer. Pure."""

import heapq
from collections.abc import Hashable
from dataclasses import dataclass
from math import inf

from .messages import Follow, Poll


@dataclass(slots=True)
class HeldPoll:
    """token: what the server knows the request by; due: when it is answered, whatever came."""

    asker: str
    token: Hashable
    request: Poll | Follow
    due: float


class HeldPolls:
    """One poll an asker, and a bound on all."""

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._held: dict[str, HeldPoll] = {}
        self._askers: dict[Hashable, str] = {}  # by token
        self._heap: list[tuple[float, int, HeldPoll]] = []
        self._sequence = 0

    def __len__(self) -> int:
        return len(self._held)

    def __contains__(self, asker: str) -> bool:
        return asker in self._held

    def askers(self) -> list[str]:
        """Whose polls are held."""
        return list(self._held)

    def polls(self) -> list[HeldPoll]:
        """All that is held."""
        return list(self._held.values())

    def full(self) -> bool:
        """Whether the bound is reached."""
        return len(self._held) >= self._limit

    def hold(self, poll: HeldPoll) -> None:
        """The asker's poll before it, if one is held, has to be taken first."""
        self._held[poll.asker] = poll
        self._askers[poll.token] = poll.asker
        self._schedule(poll)

    def answer_by(self, asker: str, due: float) -> None:
        """Answer the asker's poll by then at the latest."""
        poll = self._held.get(asker)
        if poll is not None and due < poll.due:
            poll.due = due
            self._schedule(poll)

    def take(self, asker: str) -> HeldPoll | None:
        """The asker's poll, no longer held; its place in the heap is passed over later."""
        poll = self._held.pop(asker, None)
        if poll is not None:
            self._askers.pop(poll.token, None)
        return poll

    def release(self, token: Hashable) -> None:
        """The request is gone."""
        if token in self._askers:
            self.take(self._askers[token])

    def take_due(self, now: float) -> list[HeldPoll]:
        """Those whose time has come, no longer held."""
        taken = []
        while self._heap and self._heap[0][0] <= now:
            item = heapq.heappop(self._heap)
            if self._is_current(item):
                taken.append(self.take(item[2].asker))
        return taken

    def next_due(self) -> float:
        """When `take_due` has something next, inf if nothing is held."""
        while self._heap and not self._is_current(self._heap[0]):
            heapq.heappop(self._heap)
        return self._heap[0][0] if self._heap else inf

    def _is_current(self, item: tuple[float, int, HeldPoll]) -> bool:
        due, _, poll = item
        return self._held.get(poll.asker) is poll and poll.due == due

    def _schedule(self, poll: HeldPoll) -> None:
        self._sequence += 1
        heapq.heappush(self._heap, (poll.due, self._sequence, poll))

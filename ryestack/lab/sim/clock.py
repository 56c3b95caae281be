"""Simulated time: a heap of what is due. Equal times go in the order in which they were asked for."""

from collections.abc import Callable
from heapq import heappop, heappush


class Clock:
    """now: seconds. A plain loop, for its speed: docs/design/lab.md has it beside SimPy."""

    __slots__ = ("heap", "now", "number")

    def __init__(self):
        self.now, self.heap, self.number = 0.0, [], 0

    def call_at(self, when: float, what: Callable, *arguments) -> None:
        """Call what(*arguments) at that time, or now if it is past."""
        self.number += 1
        heappush(self.heap, (when if when > self.now else self.now, self.number, what, arguments))

    def call_later(self, seconds: float, what: Callable, *arguments) -> None:
        self.number += 1
        heappush(self.heap, (self.now + seconds, self.number, what, arguments))

    def run(self, until: float) -> None:
        """All that is due up to that time."""
        heap = self.heap
        while heap and heap[0][0] <= until:
            self.now, _, what, arguments = heappop(heap)
            what(*arguments)
        self.now = until

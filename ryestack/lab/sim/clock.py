"""Simulated time: a heap of scheduled calls. Calls for the same time run in the order of scheduling."""

from collections.abc import Callable
from heapq import heappop, heappush


class Clock:
    """An event loop in simulated time; now: seconds.

    A plain heap for speed; docs/design/lab.md compares it with SimPy.
    """

    __slots__ = ("heap", "now", "sequence")

    def __init__(self):
        self.now, self.heap, self.sequence = 0.0, [], 0

    def call_at(self, time: float, callback: Callable, *arguments) -> None:
        """Call callback(*arguments) at that time, or now if it is in the past."""
        self.sequence += 1
        heappush(self.heap, (time if time > self.now else self.now, self.sequence, callback, arguments))

    def call_later(self, seconds: float, callback: Callable, *arguments) -> None:
        """Call callback(*arguments) after so many seconds."""
        self.sequence += 1
        heappush(self.heap, (self.now + seconds, self.sequence, callback, arguments))

    def run(self, until: float) -> None:
        """Run all calls that are due up to that time."""
        heap = self.heap
        while heap and heap[0][0] <= until:
            self.now, _, callback, arguments = heappop(heap)
            callback(*arguments)
        self.now = until

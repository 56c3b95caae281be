"""Shares the event loop between clients that send large requests and all others."""

from __future__ import annotations

import asyncio
from collections import OrderedDict
from typing import Protocol

COST_PER_ITERATION = 8  # of the reads of large requests: two or three milliseconds
READ_COST, CHUNKED_READ_COST = 1, 4  # of a read; the parser calls back for each chunk


class PacedConnection(Protocol):
    """A connection that does not read until it is told to. read_cost: of one read."""

    read_cost: int

    def resume_paced(self) -> None:
        """Read once more."""


class ReadPacer:
    """Lets a few of the waiting connections read in each iteration of the event loop.

    A request that has begun goes before one that has not, so that few of them are held in part.
    """

    def __init__(self):
        self.waiting: OrderedDict[PacedConnection, None] = OrderedDict()
        self.scheduled: asyncio.Handle | None = None

    def add(self, connection: PacedConnection, first: bool) -> None:
        """Have a connection wait for its next read. first: whether it has not waited for this request yet."""
        self.waiting[connection] = None
        if not first:
            self.waiting.move_to_end(connection, last=False)
        if self.scheduled is None:
            self.scheduled = asyncio.get_running_loop().call_soon(self.run)

    def remove(self, connection: PacedConnection) -> None:
        """The connection has ended, and waits no more."""
        self.waiting.pop(connection, None)

    def run(self) -> None:
        """Let the next connections read."""
        cost = 0
        while self.waiting and cost < COST_PER_ITERATION:
            connection, _ = self.waiting.popitem(last=False)
            cost += connection.read_cost
            connection.resume_paced()
        self.scheduled = asyncio.get_running_loop().call_soon(self.run) if self.waiting else None

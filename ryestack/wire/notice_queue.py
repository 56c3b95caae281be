"""A queue of final answers that wait to be delivered, common to all kinds of sink."""

import asyncio
import json
from collections import deque

from ..observe.log import event


class NoticeQueue:
    """Notices in order; done(ids) tells the owner which have been delivered for good.

    queue: the id and the line of JSON of each. not_empty: set while notices wait.
    """

    def __init__(self, done):
        self.done = done
        self.queue: deque[tuple[str, str]] = deque()
        self.not_empty, self.flowing = asyncio.Event(), True

    def add(self, notification_id: str, notice: dict) -> None:
        self.queue.append(
            (notification_id, json.dumps({"id": notification_id, **notice}, separators=(",", ":")))
        )
        self.not_empty.set()

    def pending_count(self) -> int:
        return len(self.queue)

    def delivered(self, batch: list[tuple[str, str]]) -> None:
        """Remove a batch, which is the head of the queue, and report its ids."""
        for _ in batch:
            self.queue.popleft()
        self.done([name for name, _ in batch])

    def pause_if_empty(self) -> None:
        """Clear not_empty, so that the sink waits for the next notice, if none is left."""
        if not self.queue:
            self.not_empty.clear()

    def log_flow(self, flowing: bool, why: str = "") -> None:
        """Log when the sink stops taking notices, and when it takes them again."""
        if flowing != self.flowing:
            self.flowing = flowing
            event("ends.flowing") if flowing else event("ends.blocked", why=why)

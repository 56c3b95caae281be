"""Final answers that wait to be taken, in order: what each kind of sink for them shares."""

import asyncio
import json
from collections import deque

from ..observe.log import event


class NoticeQueue:
    """done(ids) tells the owner which notices have arrived for good."""

    def __init__(self, done):
        self.done = done
        self.queue: deque[tuple[str, str]] = deque()  # id and line of JSON
        self.more, self.flowing = asyncio.Event(), True

    def add(self, name: str, notice: dict) -> None:
        self.queue.append((name, json.dumps({"id": name, **notice}, separators=(",", ":"))))
        self.more.set()

    def pending_count(self) -> int:
        return len(self.queue)

    def arrived(self, some: list[tuple[str, str]]) -> None:
        """The first of the queue have been taken."""
        for _ in some:
            self.queue.popleft()
        self.done([name for name, _ in some])

    def rest(self) -> None:
        """Until more is added, where nothing waits."""
        if not self.queue:
            self.more.clear()

    def tell(self, flows: bool, why: str = "") -> None:
        """To the log, when notices cease to be taken and when they are taken again."""
        if flows != self.flowing:
            self.flowing = flows
            event("ends.flowing") if flows else event("ends.blocked", why=why)

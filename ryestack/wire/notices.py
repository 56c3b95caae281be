"""Notices to the platform: the ends of messages that were taken on and not delivered, sent until 204."""

import asyncio
import json
from collections import deque

import aiohttp

from ..observe.log import event
from .platform import Platform

LINES = 200  # in one post
PAUSE = 0.1  # seconds before the next try; the platform answers at once
LIMIT = 2.0  # seconds for a post


class Notices:
    """Sends what is owed in order; done(ids) tells the owner what the platform has."""

    def __init__(self, platform: Platform, done):
        self.platform, self.done = platform, done
        self.queue, self.more, self.well = deque(), asyncio.Event(), True

    def add(self, name: str, notice: dict) -> None:
        self.queue.append((name, json.dumps({"id": name, **notice}, separators=(",", ":"))))
        self.more.set()

    def waiting(self) -> int:
        return len(self.queue)

    async def run(self) -> None:
        most = LINES
        while True:
            await self.more.wait()
            some = [self.queue[i] for i in range(min(most, len(self.queue)))]
            status = await self.post("\n".join(line for _, line in some) + "\n")
            if status == 204:
                for _ in some:
                    self.queue.popleft()
                self.done([name for name, _ in some])
                most = LINES
            else:  # one that cannot be read must not hold up the others
                most = 1
                self.queue.rotate(-len(some) if len(some) == 1 else 0)
                await asyncio.sleep(PAUSE)
            if not self.queue:
                self.more.clear()

    async def post(self, body: str) -> int:
        try:
            status, _ = await self.platform.ask("POST", "/status", LIMIT, data=body.encode())
            why = f"status {status}"
        except (aiohttp.ClientError, OSError, TimeoutError) as problem:
            status, why = 0, repr(problem)
        if self.well != (status == 204):
            self.well = status == 204
            event("ends.flowing") if self.well else event("ends.blocked", why=why)
        return status

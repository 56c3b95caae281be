"""Notices to the platform: the ends of messages that were taken on and not delivered, sent until 204."""

import asyncio
import json
from collections import deque

import aiohttp
from loguru import logger

from .platform import Platform

LINES = 200  # in one post
PAUSE = 0.1  # seconds before the next try; the platform answers at once
LIMIT = 2.0  # seconds for a post


class Notices:
    """Sends what is owed in order; done(ids) tells the owner what the platform has."""

    def __init__(self, platform: Platform, done):
        self.platform, self.done = platform, done
        self.waiting, self.more, self.well = deque(), asyncio.Event(), True

    def add(self, name: str, notice: dict) -> None:
        self.waiting.append((name, json.dumps({"id": name, **notice}, separators=(",", ":"))))
        self.more.set()

    async def run(self) -> None:
        most = LINES
        while True:
            await self.more.wait()
            some = [self.waiting[i] for i in range(min(most, len(self.waiting)))]
            status = await self.post("\n".join(line for _, line in some) + "\n")
            if status == 204:
                for _ in some:
                    self.waiting.popleft()
                self.done([name for name, _ in some])
                most = LINES
            else:  # one that cannot be read must not hold up the others
                most = 1
                self.waiting.rotate(-len(some) if len(some) == 1 else 0)
                await asyncio.sleep(PAUSE)
            if not self.waiting:
                self.more.clear()

    async def post(self, body: str) -> int:
        try:
            status, _ = await self.platform.ask("POST", "/status", LIMIT, data=body.encode())
            why = f"status {status}"
        except (aiohttp.ClientError, OSError, TimeoutError) as problem:
            status, why = 0, repr(problem)
        if self.well != (status == 204):
            self.well = status == 204
            logger.log("INFO" if self.well else "WARNING", "notices: {}", "taken again" if self.well else why)
        return status

"""Notices to the platform: the ends of messages that were taken on and not delivered, sent until 204."""

import asyncio

import aiohttp

from .notice_queue import NoticeQueue
from .platform import PlatformClient

LINES = 200  # in one post
PAUSE = 0.1  # seconds before the next try; the platform answers at once
LIMIT = 2.0  # seconds for a post


class PlatformNotices(NoticeQueue):
    """Sends what is owed in order; done(ids) tells the owner what the platform has."""

    def __init__(self, platform: PlatformClient, done):
        super().__init__(done)
        self.platform = platform

    async def run(self) -> None:
        most = LINES
        while True:
            await self.more.wait()
            some = [self.queue[i] for i in range(min(most, len(self.queue)))]
            status = await self.post("\n".join(line for _, line in some) + "\n")
            if status == 204:
                self.arrived(some)
                most = LINES
            else:  # one that cannot be read must not hold up the others
                most = 1
                self.queue.rotate(-len(some) if len(some) == 1 else 0)
                await asyncio.sleep(PAUSE)
            self.rest()

    async def post(self, body: str) -> int:
        try:
            status, _ = await self.platform.ask("POST", "/status", LIMIT, data=body.encode())
            why = f"status {status}"
        except (aiohttp.ClientError, OSError, TimeoutError) as problem:
            status, why = 0, repr(problem)
        self.tell(status == 204, why)
        return status

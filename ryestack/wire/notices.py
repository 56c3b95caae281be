"""Sends notices to the platform: final answers for notifications that were accepted and not delivered."""

import asyncio

import aiohttp

from .notice_queue import NoticeQueue
from .platform import PlatformClient

MAX_LINES_PER_POST = 200
RETRY_DELAY_S = 0.1  # the platform answers at once
POST_TIMEOUT_S = 2.0


class PlatformNotices(NoticeQueue):
    """Sends notices in order, each until the platform answers 204; done(ids) reports those that it has."""

    def __init__(self, platform: PlatformClient, done):
        super().__init__(done)
        self.platform = platform

    async def run(self) -> None:
        max_lines = MAX_LINES_PER_POST
        while True:
            await self.not_empty.wait()
            batch = [self.queue[i] for i in range(min(max_lines, len(self.queue)))]
            status = await self.post("\n".join(line for _, line in batch) + "\n")
            if status == 204:
                self.delivered(batch)
                max_lines = MAX_LINES_PER_POST
            else:  # sent one by one, so that a notice that cannot be read does not block the others
                max_lines = 1
                self.queue.rotate(-len(batch) if len(batch) == 1 else 0)
                await asyncio.sleep(RETRY_DELAY_S)
            self.pause_if_empty()

    async def post(self, body: str) -> int:
        """Post lines of notices; returns the status, 0 if there was no answer."""
        try:
            status, _ = await self.platform.request("POST", "/status", POST_TIMEOUT_S, data=body.encode())
            why = f"status {status}"
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            status, why = 0, repr(error)
        self.log_flow(status == 204, why)
        return status

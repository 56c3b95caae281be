"""Sends notices to the platform: final answers for notifications that were accepted and not delivered."""

import asyncio
from enum import Enum, auto

import aiohttp

from .notice_queue import NoticeQueue
from .platform import PlatformClient

MAX_LINES_PER_POST = 200
RETRY_DELAY_S = 0.1  # the platform answers at once
POST_TIMEOUT_S = 2.0


class PostResult(Enum):
    """What became of one post."""

    ACCEPTED = auto()  # the platform has all its notices
    NOT_CONNECTED = auto()  # nothing was sent
    FAILED = auto()  # the platform cannot read one of them, or did not answer


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
            result = await self.post("\n".join(line for _, line in batch) + "\n")
            if result is PostResult.ACCEPTED:
                self.delivered(batch)
                max_lines = MAX_LINES_PER_POST
            else:
                if (
                    result is PostResult.FAILED
                ):  # one by one: one that cannot be read must not block the others
                    max_lines = 1
                    self.queue.rotate(-len(batch) if len(batch) == 1 else 0)
                await asyncio.sleep(RETRY_DELAY_S)
            self.pause_if_empty()

    async def post(self, body: str) -> PostResult:
        """Post lines of notices."""
        try:
            status, _ = await self.platform.request("POST", "/status", POST_TIMEOUT_S, data=body.encode())
            result, why = PostResult.ACCEPTED if status == 204 else PostResult.FAILED, f"status {status}"
        except aiohttp.ClientConnectorError as error:
            result, why = PostResult.NOT_CONNECTED, repr(error)
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            result, why = PostResult.FAILED, repr(error)
        self.log_flow(result is PostResult.ACCEPTED, why)
        return result

"""Sends notices to the platform: final answers for notifications that were accepted and not delivered."""

import asyncio
from enum import Enum, auto

import aiohttp

from .notice_queue import NoticeQueue
from .platform import PlatformClient

MAX_LINES_PER_POST = 200
CONCURRENT_POSTS = 3  # one that is slow must not delay the next notices past their time
RETRY_DELAY_S = 0.1  # the platform answers at once
FIRST_POST_TIMEOUT_S = 0.2  # an answer that is lost must not make the notices late; a repeat does no harm
POST_TIMEOUT_S = 2.0
Batch = list[tuple[str, str]]  # ids and lines


class PostResult(Enum):
    """What became of one post."""

    ACCEPTED = auto()  # the platform has all its notices
    NOT_CONNECTED = auto()  # nothing was sent
    UNANSWERED = auto()  # no answer came in time
    FAILED = auto()  # another answer than 204, or none that can be read


class PlatformNotices(NoticeQueue):
    """Sends notices, each until the platform answers 204; done(ids) reports those that it has.

    posting: how many notices are in posts without an answer. max_lines: of the next post.
    """

    def __init__(self, platform: PlatformClient, done):
        super().__init__(done)
        self.platform, self.posting, self.max_lines = platform, 0, MAX_LINES_PER_POST

    def pending_count(self) -> int:
        return len(self.queue) + self.posting

    async def run(self) -> None:
        async with asyncio.TaskGroup() as group:
            for _ in range(CONCURRENT_POSTS):
                group.create_task(self.send_queued())

    async def send_queued(self) -> None:
        """Post what is queued, one batch at a time."""
        while True:
            while not self.queue:  # another post may have taken what this one was woken for
                await self.not_empty.wait()
            batch = self.take_batch()
            result = await self.post("\n".join(line for _, line in batch) + "\n")
            self.posting -= len(batch)
            if result is PostResult.ACCEPTED:
                self.max_lines = MAX_LINES_PER_POST
                self.done([name for name, _ in batch])
            else:
                self.requeue(batch, result)
                await asyncio.sleep(RETRY_DELAY_S)

    def take_batch(self) -> Batch:
        """Take the notices of the next post out of the queue."""
        batch = [self.queue.popleft() for _ in range(min(self.max_lines, len(self.queue)))]
        self.posting += len(batch)
        self.pause_if_empty()
        return batch

    def requeue(self, batch: Batch, result: PostResult) -> None:
        """Put back what was not accepted.

        If the platform was reached, notices go one by one, and one that fails alone goes last: one that
        cannot be read must not block the others.
        """
        reached = result is not PostResult.NOT_CONNECTED
        if reached:
            self.max_lines = 1
        if reached and len(batch) == 1:
            self.queue.append(batch[0])
        else:
            self.queue.extendleft(reversed(batch))
        self.not_empty.set()

    async def post(self, body: str) -> PostResult:
        """Post lines of notices, and once more at once if no answer comes."""
        result, why = await self.try_post(body, FIRST_POST_TIMEOUT_S)
        if result is PostResult.UNANSWERED:
            result, why = await self.try_post(body, POST_TIMEOUT_S)
        self.log_flow(result is PostResult.ACCEPTED, why)
        return result

    async def try_post(self, body: str, timeout_s: float) -> tuple[PostResult, str]:
        """Post lines of notices once; returns what became of it, and the reason for the log."""
        try:
            status, _ = await self.platform.request("POST", "/status", timeout_s, data=body.encode())
        except aiohttp.ClientConnectorError as error:
            return PostResult.NOT_CONNECTED, repr(error)
        except TimeoutError as error:
            return PostResult.UNANSWERED, repr(error)
        except (aiohttp.ClientError, OSError) as error:
            return PostResult.FAILED, repr(error)
        return PostResult.ACCEPTED if status == 204 else PostResult.FAILED, f"status {status}"

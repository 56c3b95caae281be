"""Sends notices to the platform: final answers for notifications that were accepted and not delivered."""

import asyncio
from enum import Enum, auto

import aiohttp

from .notice_queue import NoticeQueue
from .platform import PlatformClient

MAX_LINES_PER_POST = 200
CONCURRENT_POSTS = 3  # one that is slow must not delay the next notices past their time
RETRY_DELAY_S = 0.1  # the platform answers at once
POST_TIMEOUT_S = 2.0
Batch = list[tuple[str, str]]  # ids and lines


class PostResult(Enum):
    """What became of one post."""

    ACCEPTED = auto()  # the platform has all its notices
    NOT_CONNECTED = auto()  # nothing was sent
    FAILED = auto()  # the platform cannot read one of them, or did not answer


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

        After an answer other than 204 notices go one by one, and one that fails alone goes last: one that
        cannot be read must not block the others.
        """
        if result is PostResult.FAILED:
            self.max_lines = 1
        if result is PostResult.FAILED and len(batch) == 1:
            self.queue.append(batch[0])
        else:
            self.queue.extendleft(reversed(batch))
        self.not_empty.set()

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

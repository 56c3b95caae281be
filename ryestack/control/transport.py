"""Carries messages to the other voters: those that wait together share a POST. It decides nothing.

Whatever is lost is said again by the consensus, so queues are short and failures are not told to anyone.
"""

import asyncio
from collections import deque

import aiohttp

from . import consensus_messages
from .consensus_messages import MAX_BATCH, Append, Message, SnapshotPiece

PATH = "/consensus"
POSTS_AT_ONCE = 3  # to a voter: one that is lost must not hold up the next
POST_SECONDS = 2.0
REST_SECONDS = 0.1  # after a failure
MAX_QUEUED = 64  # messages for a voter; the oldest make room
BATCH_BYTES = 1024 * 1024  # of payloads in one body, unless a single message is larger


class Transport:
    """addresses: voter to host:port, the others' alone."""

    def __init__(self, addresses: dict[str, str], session: aiohttp.ClientSession):
        self._session = session
        self._addresses = addresses
        self._queues: dict[str, deque[Message]] = {name: deque(maxlen=MAX_QUEUED) for name in addresses}
        self._filled = {name: asyncio.Event() for name in addresses}
        self._tasks = [
            asyncio.ensure_future(self._carry(name)) for name in addresses for _ in range(POSTS_AT_ONCE)
        ]

    def send(self, messages: list[Message]) -> None:
        """Returns at once."""
        for message in messages:
            self._queues[message.recipient].append(message)
            self._filled[message.recipient].set()

    async def close(self) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _carry(self, voter: str) -> None:
        queue, filled = self._queues[voter], self._filled[voter]
        url = f"http://{self._addresses[voter]}{PATH}"
        while True:
            if not queue:
                filled.clear()
                await filled.wait()
                continue
            body = consensus_messages.encode(_batch(queue))
            try:
                async with asyncio.timeout(POST_SECONDS), self._session.post(url, data=body) as answer:
                    await answer.read()
            except (aiohttp.ClientError, OSError, TimeoutError):
                await asyncio.sleep(REST_SECONDS)


def _batch(queue: deque[Message]) -> list[Message]:
    """The messages that go next, taken from the queue."""
    size, batch = 0, []
    while queue and len(batch) < MAX_BATCH:
        size += _payload_bytes(queue[0])
        if batch and size > BATCH_BYTES:
            break
        batch.append(queue.popleft())
    return batch


def _payload_bytes(message: Message) -> int:
    if isinstance(message, Append):
        return sum(len(entry.payload) for entry in message.entries)
    return len(message.data) if isinstance(message, SnapshotPiece) else 0

"""Sends consensus messages to the other voters; queued messages share a POST.

The consensus resends lost messages, so queues are short and failures are not reported.
"""

import asyncio
from collections import deque

import aiohttp

from . import consensus_messages
from .consensus_messages import MAX_BATCH, Append, Message, SnapshotPiece

PATH = "/consensus"
CONCURRENT_POSTS = 3  # to each voter, so that a stuck one does not block the next
POST_TIMEOUT_SECONDS = 2.0
RETRY_DELAY_SECONDS = 0.1  # after a failed POST
MAX_QUEUED = 64  # messages for each voter; the oldest are dropped
BATCH_BYTES = 1024 * 1024  # of payloads in one body; a single larger message is sent alone


class Transport:
    """addresses: host:port by name, of the other voters only."""

    def __init__(self, addresses: dict[str, str], session: aiohttp.ClientSession):
        self._session = session
        self._addresses = addresses
        self._queues: dict[str, deque[Message]] = {name: deque(maxlen=MAX_QUEUED) for name in addresses}
        self._not_empty = {name: asyncio.Event() for name in addresses}
        self._tasks = [
            asyncio.ensure_future(self._send_queued(name))
            for name in addresses
            for _ in range(CONCURRENT_POSTS)
        ]

    def send(self, messages: list[Message]) -> None:
        """Queues messages; does not block."""
        for message in messages:
            self._queues[message.recipient].append(message)
            self._not_empty[message.recipient].set()

    async def close(self) -> None:
        """Stops sending; queued messages are dropped."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _send_queued(self, voter: str) -> None:
        queue, not_empty = self._queues[voter], self._not_empty[voter]
        url = f"http://{self._addresses[voter]}{PATH}"
        while True:
            if not queue:
                not_empty.clear()
                await not_empty.wait()
                continue
            body = consensus_messages.encode(_batch(queue))
            try:
                async with (
                    asyncio.timeout(POST_TIMEOUT_SECONDS),
                    self._session.post(url, data=body) as answer,
                ):
                    await answer.read()
            except (aiohttp.ClientError, OSError, TimeoutError):
                await asyncio.sleep(RETRY_DELAY_SECONDS)


def _batch(queue: deque[Message]) -> list[Message]:
    """Takes the next batch of messages from the queue."""
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

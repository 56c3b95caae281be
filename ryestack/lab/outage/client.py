"""Hands messages in to the relays of an outage play, on connections used as long as they stay open."""

import asyncio
import time
from contextlib import suppress
from random import Random

from ..soak.http_client import read_answer
from ..soak.model import Attempt, Behaviour
from .process_model import CUSTOMER, DESTINATION, LIFETIME_S, TOPICS, ProcessPlay

ANSWER_TIMEOUT_S = 0.4


class Client:
    """All clients of a play. addresses: of the relays, by number; taken: ids of the accepted messages."""

    def __init__(self, play: ProcessPlay, addresses: list[str]):
        self.play, self.addresses, self.rng = play, addresses, Random(f"client {play.seed}")
        self.taken: set[str] = set()
        self.connections: dict[int, tuple] = {}

    async def run(self, begin: float) -> None:
        """Hands messages in to random relays, at random times."""
        play, tasks, when, number = self.play, [], 0.0, 0
        weights = [1.0 if play.even else self.rng.paretovariate(1.2) for _ in range(play.relays)]
        while (when := when + self.rng.expovariate(play.load * play.capacity)) < play.seconds:
            relay, topic = self.rng.choices(range(play.relays), weights)[0], self.rng.choice(TOPICS)
            await asyncio.sleep(max(0.0, begin + when - time.time()))
            number += 1
            name = f"r{relay}-{play.seed}-{number}"
            attempt = Attempt(name, relay, topic.name, topic.effect, "", Behaviour.PLAIN, 0.0, 0.0)
            tasks.append(asyncio.ensure_future(self.hand_in_one(attempt)))
        await asyncio.gather(*tasks)

    async def hand_in_one(self, attempt: Attempt) -> None:
        """Hands one message in, on the relay's open connection if there is one."""
        lines = [
            "POST /api HTTP/1.1", "Host: service.internal", f"X-Request-Id: {attempt.id}",
            f"X-Class: {attempt.topic}", f"X-Tenant: {CUSTOMER}", f"X-Deadline: {LIFETIME_S * 1000.0:.0f}m",
            "Content-Length: 1", f"X-Envelope: dest={DESTINATION}",
        ]  # fmt: skip
        request = "\r\n".join([*lines, "", "x"]).encode()
        kept = self.connections.pop(attempt.relay, None)
        if kept and await self.exchange(attempt, request, *kept):
            return
        with suppress(OSError):
            await self.exchange(attempt, request, *await self.connect(attempt.relay))

    async def exchange(self, attempt: Attempt, request: bytes, reader, writer) -> bool:
        """Sends the request and reads its answer; False if the connection ended without one."""
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                writer.write(request)
                status, keep = await read_answer(reader)
        except TimeoutError:
            return True
        except (OSError, asyncio.IncompleteReadError):
            return False
        if status in (200, 202):
            self.taken.add(attempt.id)
        if keep:
            self.connections[attempt.relay] = reader, writer
        return True

    async def connect(self, relay: int) -> tuple:
        """A new connection to the relay."""
        host, _, port = self.addresses[relay].rpartition(":")
        return await asyncio.open_connection(host, int(port))

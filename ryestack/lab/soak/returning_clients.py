"""Clients that write several requests at once, leave without reading, and hand in the same ids again.

Started as `python -m ryestack.lab.soak.returning_clients PLAN`, PLAN being a ReturningPlan as JSON. Appends a
Returned request to the report for each id, one JSON object a line.
"""

import asyncio
import sys
import time
from contextlib import suppress
from random import Random

import msgspec

from .http_client import ClientTopic
from .returning_model import HandIn, ReturnedRequest

ANSWER_TIMEOUT_S = 0.4  # time that a client waits for an answer
MAX_REQUESTS = 20  # written at once
MAX_STAY_S = 0.05  # before a client leaves
MAX_ABSENCE_S = 1.5  # before it hands the same ids in again
CLIENT_INTERVAL_S = 0.05  # between one client's rounds


class ReturningPlan(msgspec.Struct, frozen=True):
    """relay: its number, and its address; clients: at once; topics: drawn for each request."""

    relay: int
    address: str
    clients: int
    seconds: float
    seed: int
    topics: list[ClientTopic]
    destinations: list[int]
    customer: str
    report: str
    absence: float = MAX_ABSENCE_S


class ReturningClients:
    """All clients of one plan."""

    def __init__(self, plan: ReturningPlan):
        self.plan, self.rng, self.count = plan, Random(f"returning {plan.seed}"), 0
        host, _, port = plan.address.rpartition(":")
        self.target = host, int(port)
        self.report = open(plan.report, "ab", buffering=0)  # noqa: SIM115 - stays open until the process ends

    async def run(self) -> None:
        deadline = time.monotonic() + self.plan.seconds
        await asyncio.gather(*(self.repeat(deadline) for _ in range(self.plan.clients)))

    async def repeat(self, deadline: float) -> None:
        while time.monotonic() < deadline:
            await self.hand_in_twice()
            await asyncio.sleep(CLIENT_INTERVAL_S)

    async def hand_in_twice(self) -> None:
        requests = [self.new_request() for _ in range(self.rng.randint(1, MAX_REQUESTS))]
        with suppress(OSError, TimeoutError):
            await self.write_and_leave(requests)
        await asyncio.sleep(self.rng.uniform(0.0, self.plan.absence))
        for request, data in requests:
            hand_in = HandIn(time.time())
            request.hand_ins.append(hand_in)
            with suppress(OSError, TimeoutError, asyncio.IncompleteReadError):
                hand_in.status = await self.ask(data)
            hand_in.left = time.time()
            self.report.write(msgspec.json.encode(request) + b"\n")

    def new_request(self) -> tuple[ReturnedRequest, bytes]:
        self.count += 1
        topic = self.rng.choice(self.plan.topics)
        name = f"r{self.plan.relay}-return-{self.plan.seed}-{self.count}"
        body = name.encode().ljust(48, b".")
        lines = [
            "POST /api HTTP/1.1", "Host: service.internal", f"X-Request-Id: {name}", f"X-Class: {topic.name}",
            f"X-Tenant: {self.plan.customer}", f"X-Deadline: {topic.seconds * 1000.0:.0f}m",
            f"Content-Length: {len(body)}", f"X-Envelope: dest={self.rng.choice(self.plan.destinations)}",
            f"Idempotency-Key: k-{name}",
        ]  # fmt: skip
        return ReturnedRequest(name, topic.effect), "\r\n".join([*lines, "", ""]).encode() + body

    async def write_and_leave(self, requests: list[tuple[ReturnedRequest, bytes]]) -> None:
        """Write all requests at once, and leave without reading: by an end of the connection or a reset."""
        hand_ins = [HandIn(time.time()) for _ in requests]
        for (request, _), hand_in in zip(requests, hand_ins, strict=True):
            request.hand_ins.append(hand_in)
        async with asyncio.timeout(ANSWER_TIMEOUT_S):
            _, writer = await asyncio.open_connection(*self.target)
        try:
            writer.write(b"".join(data for _, data in requests))
            await asyncio.sleep(self.rng.uniform(0.0, MAX_STAY_S))
        finally:
            if self.rng.random() < 0.5:
                writer.transport.abort()
            else:
                writer.close()
            for hand_in in hand_ins:
                hand_in.left = time.time()

    async def ask(self, data: bytes) -> int:
        """The status of the answer to one request on a connection of its own."""
        async with asyncio.timeout(ANSWER_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(*self.target)
            try:
                writer.write(data)
                head = await reader.readuntil(b"\r\n\r\n")
                return int(head.split()[1])
            finally:
                writer.transport.abort()


def main() -> None:
    plan = msgspec.json.decode(sys.argv[1], type=ReturningPlan)
    asyncio.run(ReturningClients(plan).run())


if __name__ == "__main__":
    main()

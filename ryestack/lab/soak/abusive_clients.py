"""Clients that hold a relay's memory, connections or processor: slow, incomplete, large, or never reading.

Started as `python -m ryestack.lab.soak.abusive_clients PLAN`, PLAN being an AbusePlan as JSON. Each client
opens another connection as soon as its last one has ended, until the plan's time is over. Prints its counts.
"""

import asyncio
import itertools
import sys
import time
from collections import Counter
from collections.abc import Awaitable, Callable
from contextlib import suppress

import msgspec

from .model import Style

REOPEN_DELAY_S = 0.05  # before a client whose connection ended opens another
BODY_BYTES = 60_000
PIECE_BYTES, PIECE_INTERVAL_S = 512, 0.01
PIPELINE_DEPTH = 8  # requests that are written at once
FIELD_INTERVAL_S = 0.05
TINY_CHUNK = b"1\r\nx\r\n"


class AbusePlan(msgspec.Struct, frozen=True):
    """relay: its number, and its address; clients: connections at once.

    topic, destination, customer: of sound requests.
    """

    relay: int
    address: str
    style: Style
    clients: int
    seconds: float
    topic: str
    destination: int
    customer: str


class AbusiveClients:
    """All clients of one plan. counts: connections by how they ended, and answers by status."""

    def __init__(self, plan: AbusePlan):
        self.plan = plan
        host, _, port = plan.address.rpartition(":")
        self.host, self.port = host, int(port)
        self.deadline = time.monotonic() + plan.seconds
        self.numbers = itertools.count()
        self.counts: Counter[str] = Counter()
        self.chunks = TINY_CHUNK * BODY_BYTES + b"0\r\n\r\n"

    async def run(self) -> Counter[str]:
        await asyncio.gather(*(self.stay() for _ in range(self.plan.clients)))
        return self.counts

    async def stay(self) -> None:
        while (left := self.deadline - time.monotonic()) > 0.0:
            try:
                async with asyncio.timeout(left):
                    await self.connect_once()
            except TimeoutError:
                return
            except (OSError, asyncio.IncompleteReadError) as error:
                self.counts[type(error).__name__] += 1
            await asyncio.sleep(REOPEN_DELAY_S)

    async def connect_once(self) -> None:
        reader, writer = await asyncio.open_connection(self.host, self.port)
        reading = None
        try:
            if self.plan.style is not Style.DEAF:
                reading = asyncio.ensure_future(self.read_answers(reader))
            acting = asyncio.ensure_future(self.ACTIONS[self.plan.style](self, writer))
            await asyncio.wait([reading or acting])
            acting.cancel()
            with suppress(asyncio.CancelledError):
                await acting
        finally:
            if reading:
                reading.cancel()
            writer.transport.abort()

    async def read_answers(self, reader: asyncio.StreamReader) -> None:
        """Count answers until the relay ends the connection."""
        with suppress(asyncio.IncompleteReadError, OSError):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).lower()
                self.counts[f"status {head.split()[1].decode()}"] += 1
                lengths = [line for line in head.split(b"\r\n") if line.startswith(b"content-length:")]
                await reader.readexactly(int(lengths[0].split(b":")[1]) if lengths else 0)
        self.counts["closed"] += 1

    def head(self, *fields: str) -> bytes:
        name = f"r{self.plan.relay}-abuse-{next(self.numbers)}"
        lines = [
            "POST /api HTTP/1.1", "Host: service.internal", f"X-Request-Id: {name}",
            f"X-Class: {self.plan.topic}", f"X-Tenant: {self.plan.customer}", "X-Deadline: 4000m",
            f"X-Envelope: dest={self.plan.destination}", f"Idempotency-Key: k-{name}",
        ]  # fmt: skip
        return "\r\n".join([*lines, *fields, "", ""]).encode()

    def large(self) -> bytes:
        return self.head(f"Content-Length: {BODY_BYTES}") + b"b" * BODY_BYTES

    async def send(self, writer: asyncio.StreamWriter, data: bytes) -> None:
        writer.write(data)
        await writer.drain()

    async def pause(self) -> None:
        await asyncio.sleep(self.plan.seconds)

    async def rest(self, writer: asyncio.StreamWriter) -> None:
        await self.pause()

    async def send_slow_head(self, writer: asyncio.StreamWriter) -> None:
        for byte in self.head():
            await self.send(writer, bytes([byte]))
            await asyncio.sleep(FIELD_INTERVAL_S)

    async def send_fields(self, writer: asyncio.StreamWriter) -> None:
        await self.send(writer, b"POST /api HTTP/1.1\r\n")
        while True:
            await self.send(writer, b"a:b\r\n" * 20)
            await asyncio.sleep(FIELD_INTERVAL_S)

    async def stop_in_fields(self, writer: asyncio.StreamWriter) -> None:
        await self.send(writer, b"POST /api HTTP/1.1\r\n" + b"a:b\r\n" * 120)
        await self.pause()

    async def stop_in_body(self, writer: asyncio.StreamWriter) -> None:
        await self.send(writer, self.large()[: -BODY_BYTES // 2])
        await self.pause()

    async def send_slow_body(self, writer: asyncio.StreamWriter) -> None:
        data = self.large()
        for offset in range(0, len(data), PIECE_BYTES):
            await self.send(writer, data[offset : offset + PIECE_BYTES])
            await asyncio.sleep(PIECE_INTERVAL_S)
        await self.pause()

    async def send_tiny_chunks(self, writer: asyncio.StreamWriter) -> None:
        while True:
            await self.send(writer, self.head("Transfer-Encoding: chunked") + self.chunks)
            await asyncio.sleep(REOPEN_DELAY_S)

    async def send_large_bodies(self, writer: asyncio.StreamWriter) -> None:
        while True:
            await self.send(writer, self.large())
            await asyncio.sleep(REOPEN_DELAY_S)

    async def send_pipelined(self, writer: asyncio.StreamWriter) -> None:
        while True:
            await self.send(writer, b"".join(self.large() for _ in range(PIPELINE_DEPTH)))
            await asyncio.sleep(REOPEN_DELAY_S)

    async def send_small(self, writer: asyncio.StreamWriter) -> None:
        while True:
            await self.send(writer, b"".join(self.head("Content-Length: 1") + b"x" for _ in range(50)))
            await asyncio.sleep(0)

    async def send_nonsense(self, writer: asyncio.StreamWriter) -> None:
        while True:
            await self.send(writer, b"GET /api HTTP/1.1\r\nHost: x\r\n\r\n" * 50)
            await asyncio.sleep(0)

    ACTIONS: dict[Style, Callable[["AbusiveClients", asyncio.StreamWriter], Awaitable[None]]] = {
        Style.IDLE: rest,
        Style.SLOW_HEAD: send_slow_head,
        Style.SHORT_FIELDS: send_fields,
        Style.STOPPED_FIELDS: stop_in_fields,
        Style.HALF_BODY: stop_in_body,
        Style.SLOW_BODY: send_slow_body,
        Style.TINY_CHUNKS: send_tiny_chunks,
        Style.LARGE_BODIES: send_large_bodies,
        Style.PIPELINED: send_pipelined,
        Style.DEAF: send_small,
        Style.NONSENSE: send_nonsense,
    }


def main() -> None:
    plan = msgspec.json.decode(sys.argv[1], type=AbusePlan)
    print(dict(asyncio.run(AbusiveClients(plan).run())), flush=True)


if __name__ == "__main__":
    main()

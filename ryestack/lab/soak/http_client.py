"""A client of one relay as a process of its own, on raw sockets: it must see how each connection ends.

Started as `python -m ryestack.lab.soak.http_client PLAN`, a ClientPlan as JSON; it appends each Attempt to
the report as it ends, a JSON object a line.
"""

import asyncio
import sys
import time
from contextlib import suppress
from dataclasses import dataclass
from pathlib import Path
from random import Random

import msgspec

from .model import STOPS, Answer, Attempt, Behaviour

PATIENCE = 0.4  # seconds that a client waits for its answer
STOP_PATIENCE = 5.0  # seconds that one which stops within a request watches its connection
KEPT = 8  # idle connections that a client keeps
IDLE = 2.0  # seconds after which it takes no idle connection any more
GARBAGE_WITHIN = 0.01  # seconds behind a whole request
STATUS = {
    200: Answer.TAKEN, 202: Answer.TAKEN, 429: Answer.THROTTLED, 503: Answer.THROTTLED,
    400: Answer.MALFORMED, 408: Answer.MALFORMED, 413: Answer.MALFORMED,
}  # fmt: skip
BEHAVIOURS = {
    Behaviour.PLAIN: 80.0, Behaviour.GARBAGE_BEHIND: 4.0, Behaviour.SPLIT: 6.0, Behaviour.LEAVES: 3.0,
    Behaviour.HALF_HEAD: 2.0, Behaviour.HALF_BODY: 2.0, Behaviour.NONSENSE: 2.0,
}  # fmt: skip


class ClientTopic(msgspec.Struct, frozen=True):
    """effect: as the oracle's; seconds: that a notification may take."""

    name: str
    effect: str
    seconds: float


class ClientPlan(msgspec.Struct, frozen=True):
    """relay: its number; address: where clients reach it; rate: a second; begin: of the wall clock."""

    relay: int
    address: str
    rate: float
    begin: float
    seconds: float
    seed: int
    topics: list[ClientTopic]
    destinations: list[int]
    customer: str
    report: str


@dataclass(slots=True)
class Connection:
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    used: float = 0.0

    def close(self) -> None:
        self.writer.transport.abort()


class Client:
    """Sends a plan's requests, each at its time, and reports what became of them."""

    def __init__(self, plan: ClientPlan):
        self.plan, self.chance = plan, Random(f"client {plan.seed} {plan.relay}")
        self.idle: list[Connection] = []
        self.host, _, port = plan.address.rpartition(":")
        self.port, self.count = int(port), 0
        self.report = open(plan.report, "ab", buffering=0)  # noqa: SIM115 - open as long as the process

    async def run(self) -> None:
        plan, tasks, now = self.plan, set(), 0.0
        while now < plan.seconds:
            now += self.chance.expovariate(plan.rate)
            await asyncio.sleep(max(0.0, plan.begin + now - time.time()))
            task = asyncio.ensure_future(self.one())
            tasks.add(task)
            task.add_done_callback(tasks.discard)
        await asyncio.gather(*tasks)

    async def one(self) -> None:
        topic, self.count = self.chance.choice(self.plan.topics), self.count + 1
        behaviour = self.chance.choices(list(BEHAVIOURS), list(BEHAVIOURS.values()))[0]
        name = f"r{self.plan.relay}-{self.plan.seed}-{self.count}"
        key = f"k-{name}" if topic.effect == "collapsible" else ""
        attempt = Attempt(name, self.plan.relay, topic.name, topic.effect, key, behaviour, 0.0, 0.0)
        attempt.sent = time.time()
        attempt.due = attempt.sent + topic.seconds
        with suppress(OSError, asyncio.IncompleteReadError):
            await (self.stop_within if behaviour in STOPS else self.ask)(attempt, topic)
        self.report.write(msgspec.json.encode(attempt) + b"\n")

    def request(self, attempt: Attempt, topic: ClientTopic) -> bytes:
        body = attempt.id.encode().ljust(48, b".")
        lines = [
            "POST /api HTTP/1.1", "Host: service.internal", f"X-Request-Id: {attempt.id}",
            f"X-Class: {attempt.topic}", f"X-Tenant: {self.plan.customer}",
            f"X-Deadline: {topic.seconds * 1000.0:.0f}m", f"Content-Length: {len(body)}",
            f"X-Envelope: dest={self.chance.choice(self.plan.destinations)}",
        ]  # fmt: skip
        lines += [f"Idempotency-Key: {attempt.key}"] if attempt.key else []
        return "\r\n".join([*lines, "", ""]).encode() + body

    async def connection(self, attempt: Attempt, fresh: bool) -> Connection | None:
        while self.idle and not fresh:
            kept = self.idle.pop()
            if time.time() < kept.used + IDLE and not kept.reader.at_eof():
                attempt.fresh = False
                return kept
            kept.close()
        attempt.fresh = True
        try:
            async with asyncio.timeout(PATIENCE):
                return Connection(*await asyncio.open_connection(self.host, self.port))
        except TimeoutError:
            attempt.answer = Answer.UNHEARD
        except OSError:
            attempt.answer = Answer.REFUSED
        return None

    async def ask(self, attempt: Attempt, topic: ClientTopic) -> None:
        """A whole request; once more on a new connection where an idle one ended under it."""
        data = self.request(attempt, topic)
        fresh = attempt.behaviour is not Behaviour.PLAIN
        for again in (False, True):
            connection = await self.connection(attempt, fresh or again)
            if connection is None:
                attempt.ended = time.time()
                return
            await self.exchange(connection, attempt, data, topic)
            if attempt.fresh or attempt.answer not in (Answer.CLOSED, Answer.RESET):
                return

    async def exchange(self, connection: Connection, attempt: Attempt, data: bytes, topic) -> None:
        status, keep = 0, False
        try:
            async with asyncio.timeout(PATIENCE):
                await self.send(connection, attempt, data)
                attempt.sent = time.time()
                attempt.due = attempt.sent + topic.seconds
                status, keep = await read_answer(connection.reader)
            attempt.answer = STATUS.get(status, Answer.EXPIRED)
        except TimeoutError:
            attempt.answer = Answer.UNHEARD
        except asyncio.IncompleteReadError:
            attempt.answer = Answer.CLOSED
        except OSError:
            attempt.answer = Answer.RESET
        attempt.ended = time.time()
        if keep and attempt.behaviour is Behaviour.PLAIN and len(self.idle) < KEPT:
            connection.used = attempt.ended
            self.idle.append(connection)
        else:
            connection.close()

    async def send(self, connection: Connection, attempt: Attempt, data: bytes) -> None:
        if attempt.behaviour is Behaviour.GARBAGE_BEHIND:
            connection.writer.write(data)
            await asyncio.sleep(self.chance.uniform(0.0, GARBAGE_WITHIN))
            data = b"\x00\x01 no request\r\n\r\n"
        if attempt.behaviour is Behaviour.SPLIT:
            third = len(data) // 3
            for at in (0, third):
                connection.writer.write(data[at : at + third])
                await asyncio.sleep(0.01)
            data = data[2 * third :]
        connection.writer.write(data)
        await connection.writer.drain()
        if attempt.behaviour is Behaviour.LEAVES:
            connection.close()
            raise asyncio.IncompleteReadError(b"", None)

    async def stop_within(self, attempt: Attempt, topic: ClientTopic) -> None:
        """Part of a request, or none: it is owed an error or an end."""
        connection = await self.connection(attempt, True)
        if connection is None:
            attempt.ended = time.time()
            return
        data = self.request(attempt, topic)
        head = data.index(b"\r\n\r\n") + 4
        parts = {
            Behaviour.HALF_HEAD: data[: head // 2],
            Behaviour.HALF_BODY: data[: head + 9],
            Behaviour.NONSENSE: b"\xff\x00 no request\r\n\r\n",
        }
        attempt.sent = time.time()
        try:
            async with asyncio.timeout(STOP_PATIENCE):
                connection.writer.write(parts[attempt.behaviour])
                status, _ = await read_answer(connection.reader)
            attempt.answer = STATUS.get(status, Answer.EXPIRED)
        except TimeoutError:
            attempt.answer = Answer.UNHEARD
        except asyncio.IncompleteReadError:
            attempt.answer = Answer.CLOSED
        except OSError:
            attempt.answer = Answer.RESET
        attempt.ended = time.time()
        connection.close()


async def read_answer(reader: asyncio.StreamReader) -> tuple[int, bool]:
    """Status, and whether the connection may be kept."""
    head = (await reader.readuntil(b"\r\n\r\n")).lower()
    lines = head.split(b"\r\n")
    length = next((int(x.split(b":")[1]) for x in lines if x.startswith(b"content-length:")), 0)
    await reader.readexactly(length)
    return int(lines[0].split()[1]), b"connection: close" not in head


def main() -> None:
    plan = msgspec.json.decode(Path(sys.argv[1]).read_bytes(), type=ClientPlan)
    asyncio.run(Client(plan).run())


if __name__ == "__main__":
    main()

"""Client process of one relay, on raw sockets because it must observe how each connection ends.

Started as `python -m ryestack.lab.soak.http_client PLAN`, PLAN being a file with a ClientPlan as JSON.
Appends each finished Attempt to the report, one JSON object a line.
"""

import asyncio
import sys
import time
from contextlib import suppress
from dataclasses import dataclass
from pathlib import Path
from random import Random

import msgspec

from .model import INCOMPLETE, Answer, Attempt, Behaviour

ANSWER_TIMEOUT_S = 0.4  # time that a client waits for an answer
INCOMPLETE_REQUEST_TIMEOUT_S = 5.0  # time that it watches a connection after an incomplete request
MAX_IDLE_CONNECTIONS = 8  # per client
MAX_COPY_DELAY_S = 0.4  # after a request whose bytes come again
SECOND_ANSWER_TIMEOUT_S = 0.1  # that no second answer may come in after a copy
MAX_GARBAGE_DELAY_S = 0.01  # after a complete request
ANSWER_BY_STATUS = {
    200: Answer.TAKEN, 202: Answer.TAKEN, 429: Answer.THROTTLED, 503: Answer.THROTTLED,
    400: Answer.MALFORMED, 408: Answer.MALFORMED, 413: Answer.MALFORMED,
}  # fmt: skip
BEHAVIOUR_WEIGHTS = {
    Behaviour.PLAIN: 76.0, Behaviour.COPIED: 4.0, Behaviour.GARBAGE_BEHIND: 4.0,
    Behaviour.SPLIT: 6.0, Behaviour.LEAVES: 3.0,
    Behaviour.HALF_HEAD: 2.0, Behaviour.HALF_BODY: 2.0, Behaviour.NONSENSE: 2.0,
}  # fmt: skip


class ClientTopic(msgspec.Struct, frozen=True):
    """A topic to send. effect: as in the oracle; seconds: TTL of its notifications."""

    name: str
    effect: str
    seconds: float


class ClientPlan(msgspec.Struct, frozen=True):
    """relay: its number; address: where it listens; rate: requests a second; begin: wall-clock time."""

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
    """A connection to the relay, used as long as the relay leaves it open."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    def close(self) -> None:
        self.writer.transport.abort()


class Client:
    """Sends the requests of a plan at random times with its rate, and reports their outcomes."""

    def __init__(self, plan: ClientPlan):
        self.plan, self.rng = plan, Random(f"client {plan.seed} {plan.relay}")
        self.idle: list[Connection] = []
        self.host, _, port = plan.address.rpartition(":")
        self.port, self.count = int(port), 0
        self.report = open(plan.report, "ab", buffering=0)  # noqa: SIM115 - stays open until the process ends

    async def run(self) -> None:
        plan, tasks, now = self.plan, set(), 0.0
        while now < plan.seconds:
            now += self.rng.expovariate(plan.rate)
            await asyncio.sleep(max(0.0, plan.begin + now - time.time()))
            task = asyncio.ensure_future(self.send_one())
            tasks.add(task)
            task.add_done_callback(tasks.discard)
        await asyncio.gather(*tasks)

    async def send_one(self) -> None:
        topic, self.count = self.rng.choice(self.plan.topics), self.count + 1
        behaviour = self.rng.choices(list(BEHAVIOUR_WEIGHTS), list(BEHAVIOUR_WEIGHTS.values()))[0]
        request_id = f"r{self.plan.relay}-{self.plan.seed}-{self.count}"
        key = f"k-{request_id}" if topic.effect == "collapsible" else ""
        attempt = Attempt(request_id, self.plan.relay, topic.name, topic.effect, key, behaviour, 0.0, 0.0)
        attempt.sent = time.time()
        attempt.due = attempt.sent + topic.seconds
        with suppress(OSError, asyncio.IncompleteReadError):
            await (self.send_incomplete if behaviour in INCOMPLETE else self.send_request)(attempt, topic)
        self.report.write(msgspec.json.encode(attempt) + b"\n")

    def request(self, attempt: Attempt, topic: ClientTopic) -> bytes:
        body = attempt.id.encode().ljust(48, b".")
        lines = [
            "POST /api HTTP/1.1", "Host: service.internal", f"X-Request-Id: {attempt.id}",
            f"X-Class: {attempt.topic}", f"X-Tenant: {self.plan.customer}",
            f"X-Deadline: {topic.seconds * 1000.0:.0f}m", f"Content-Length: {len(body)}",
            f"X-Envelope: dest={self.rng.choice(self.plan.destinations)}",
        ]  # fmt: skip
        lines += [f"Idempotency-Key: {attempt.key}"] if attempt.key else []
        return "\r\n".join([*lines, "", ""]).encode() + body

    async def connection(self, attempt: Attempt, fresh: bool) -> Connection | None:
        """Reuses an idle connection unless fresh, or opens one; None, with the answer set, if that fails."""
        while self.idle and not fresh:
            connection = self.idle.pop()
            if not connection.reader.at_eof():
                attempt.fresh = False
                return connection
            connection.close()
        attempt.fresh = True
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                return Connection(*await asyncio.open_connection(self.host, self.port))
        except TimeoutError:
            attempt.answer = Answer.TIMED_OUT
        except OSError:
            attempt.answer = Answer.REFUSED
        return None

    async def send_request(self, attempt: Attempt, topic: ClientTopic) -> None:
        """Sends a complete request; retries on a new connection if a reused one was closed."""
        data = self.request(attempt, topic)
        fresh = attempt.behaviour is not Behaviour.PLAIN
        for is_retry in (False, True):
            connection = await self.connection(attempt, fresh or is_retry)
            if connection is None:
                attempt.ended = time.time()
                return
            await self.exchange(connection, attempt, data, topic)
            if attempt.fresh or attempt.answer not in (Answer.CLOSED, Answer.RESET):
                return

    async def exchange(self, connection: Connection, attempt: Attempt, data: bytes, topic) -> None:
        """Sends a request and waits for its answer; keeps the connection for reuse if possible."""
        status, keep = 0, False
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                await self.send(connection, attempt, data)
                attempt.sent = time.time()
                attempt.due = attempt.sent + topic.seconds
                status, keep = await read_answer(connection.reader)
            attempt.answer = ANSWER_BY_STATUS.get(status, Answer.EXPIRED)
        except TimeoutError:
            attempt.answer = Answer.TIMED_OUT
        except asyncio.IncompleteReadError:
            attempt.answer = Answer.CLOSED
        except OSError:
            attempt.answer = Answer.RESET
        attempt.ended = time.time()
        if attempt.behaviour is Behaviour.COPIED and keep:
            await self.send_copy(connection, attempt, data)
        if keep and attempt.behaviour is Behaviour.PLAIN and len(self.idle) < MAX_IDLE_CONNECTIONS:
            self.idle.append(connection)
        else:
            connection.close()

    async def send(self, connection: Connection, attempt: Attempt, data: bytes) -> None:
        if attempt.behaviour is Behaviour.GARBAGE_BEHIND:
            connection.writer.write(data)
            await asyncio.sleep(self.rng.uniform(0.0, MAX_GARBAGE_DELAY_S))
            data = b"\x00\x01 no request\r\n\r\n"
        if attempt.behaviour is Behaviour.SPLIT:
            third = len(data) // 3
            for offset in (0, third):
                connection.writer.write(data[offset : offset + third])
                await asyncio.sleep(0.01)
            data = data[2 * third :]
        connection.writer.write(data)
        await connection.writer.drain()
        if attempt.behaviour is Behaviour.LEAVES:
            connection.close()
            raise asyncio.IncompleteReadError(b"", None)

    async def send_copy(self, connection: Connection, attempt: Attempt, data: bytes) -> None:
        """Sends the bytes of an answered request again; a second answer counts as one to no request."""
        await asyncio.sleep(self.rng.uniform(0.0, MAX_COPY_DELAY_S))
        with suppress(OSError, TimeoutError):
            connection.writer.write(data)
            async with asyncio.timeout(SECOND_ANSWER_TIMEOUT_S):
                if await connection.reader.read(1):
                    attempt.answered_twice = True

    async def send_incomplete(self, attempt: Attempt, topic: ClientTopic) -> None:
        """Sends an incomplete or invalid request: the relay must answer an error or close the connection."""
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
            async with asyncio.timeout(INCOMPLETE_REQUEST_TIMEOUT_S):
                connection.writer.write(parts[attempt.behaviour])
                status, _ = await read_answer(connection.reader)
            attempt.answer = ANSWER_BY_STATUS.get(status, Answer.EXPIRED)
        except TimeoutError:
            attempt.answer = Answer.TIMED_OUT
        except asyncio.IncompleteReadError:
            attempt.answer = Answer.CLOSED
        except OSError:
            attempt.answer = Answer.RESET
        attempt.ended = time.time()
        connection.close()


async def read_answer(reader: asyncio.StreamReader) -> tuple[int, bool]:
    """Reads an answer; returns its status and whether the connection may be reused."""
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

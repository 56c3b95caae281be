"""An open-loop load generator on real sockets: each request is sent at its scheduled time, whatever returns.

Latency is measured from the time at which a request was scheduled to be sent. This includes the wait for a
connection and avoids coordinated omission. The oracle judges the results from the books of the partners and
the platform.
"""

import asyncio
import time
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field
from random import Random

import aiohttp
from hdrh.histogram import HdrHistogram

from ..standins import books as book
from .oracle import Handed, Judged, judge
from .shapes import times

LOWEST_US, HIGHEST_US, DIGITS = 1, 3_600_000_000, 3  # up to an hour, with three significant digits
PERCENTILES = (50.0, 90.0, 99.0, 99.9)
ANSWERS = {202: "taken", 200: "taken", 429: "throttled", 503: "throttled", 400: "malformed"}


@dataclass(slots=True)
class Topic:
    """A topic type. effect: one of oracle.EFFECTS; ttl: seconds."""

    name: str
    effect: str
    ttl: float


@dataclass(slots=True)
class Plan:
    """What is sent. Topics, destinations and customers are drawn uniformly.

    rate: requests a second; patience: seconds a client waits for an answer; window: seconds, of collapsible
    topics; size: bytes of a body.
    """

    topics: list[Topic]
    destinations: list[int]
    customers: list[str] = field(default_factory=lambda: [""])
    rate: float = 50.0
    seconds: float = 10.0
    shape: str = "poisson"
    connections: int = 32
    patience: float = 0.4
    size: int = 64
    seed: int = 1
    window: float = 6.0


class Load:
    """Sends the requests of a plan to the relays in round-robin order and records the clients' view."""

    def __init__(self, plan: Plan, relays: list[str], note: Callable[[int], None] = lambda _: None):
        self.plan, self.relays, self.note = plan, relays, note
        self.handed: list[Handed] = []
        self.rng, self.id_prefix = Random(plan.seed), Random().randbytes(4).hex()

    async def run(self) -> None:
        plan, tasks, behind = self.plan, set(), 0.0
        connector = aiohttp.TCPConnector(limit=plan.connections, keepalive_timeout=2.0)
        cookie_jar, no_timeout = aiohttp.DummyCookieJar(), aiohttp.ClientTimeout(total=None)
        async with aiohttp.ClientSession(
            connector=connector, cookie_jar=cookie_jar, timeout=no_timeout
        ) as session:
            started_at, wall_started_at = time.monotonic(), time.time()
            for number, offset in enumerate(times(plan.shape, plan.rate, plan.seconds, self.rng)):
                wait = started_at + offset - time.monotonic()
                behind = max(behind, -wait)
                if wait > 0.0:
                    await asyncio.sleep(wait)
                request = self.draw(number, wall_started_at + offset)
                task = asyncio.ensure_future(
                    self.send(session, request, self.relays[number % len(self.relays)])
                )
                tasks.add(task)
                task.add_done_callback(tasks.discard)
                self.note(number + 1)
            if tasks:
                await asyncio.wait(tasks)

    def draw(self, number: int, intended_at: float) -> Handed:
        """A request of a random topic, recorded as not yet answered. intended_at: its scheduled wall time."""
        topic = self.rng.choice(self.plan.topics)
        name = f"{self.id_prefix}-{number}"
        key = f"k-{name}" if topic.effect == "collapsible" else ""
        request = Handed(name, topic.name, topic.effect, key, intended_at, intended_at + topic.ttl)
        self.handed.append(request)
        return request

    async def send(self, session: aiohttp.ClientSession, request: Handed, relay: str) -> None:
        """Sends one request and records its answer; none is recorded if it fails or times out."""
        left = max(0.001, request.due - time.time())
        headers = {
            "X-Request-Id": request.id,
            "X-Class": request.topic,
            "X-Deadline": f"{left * 1000.0:.3f}m",
            "X-Envelope": f"dest={self.rng.choice(self.plan.destinations)}",
            "X-Tenant": self.rng.choice(self.plan.customers),
        }
        if request.key:
            headers["Idempotency-Key"] = request.key
        body = (request.id.encode() + b"." * self.plan.size)[: self.plan.size]
        with suppress(aiohttp.ClientError, OSError, TimeoutError):
            async with asyncio.timeout(self.plan.patience):
                async with session.post(f"http://{relay}/api", data=body, headers=headers) as answer:
                    request.answer, request.answered_at = ANSWERS.get(answer.status, "expired"), time.time()


async def books_of(control: str) -> book.Books:
    """Fetches a stand-in's books; raises OSError or aiohttp.ClientError if its control cannot be reached."""
    async with aiohttp.ClientSession() as session, session.get(f"http://{control}/books") as answer:
        return book.load(await answer.read())


async def settled(load: Load, collect, longest: float, step: float = 0.25) -> Judged:
    """Judges once no taken request is pending, or after longest seconds; checks every step seconds.

    collect() returns (runs, notices, whole).
    """
    deadline = time.monotonic() + longest
    while True:
        runs, notices, whole = await collect()
        result = judge(load.handed, runs, notices, time.time(), load.plan.window, whole)
        if not result.pending or time.monotonic() >= deadline:
            return result
        await asyncio.sleep(step)


def histogram(seconds: list[float]) -> HdrHistogram:
    """A histogram in microseconds; values outside its range are clamped."""
    recorded = HdrHistogram(LOWEST_US, HIGHEST_US, DIGITS)
    for value in seconds:
        recorded.record_value(min(HIGHEST_US, max(LOWEST_US, round(value * 1e6))))
    return recorded


def figures(result: Judged) -> dict:
    """The result as plain values: counts, and latencies in milliseconds."""
    names = (
        "handed", "taken", "delivered", "throttled", "expired", "at_the_door", "unheard", "pending", "lost",
        "twice", "late", "after_its_end", "two_ends", "false_ends",
    )  # fmt: skip
    report = {name: getattr(result, name) for name in names}
    for name, values in (("to_answer_ms", result.to_answer), ("to_effect_ms", result.to_effect)):
        recorded = histogram(values)
        percentiles = {f"p{p:g}": recorded.get_value_at_percentile(p) / 1000.0 for p in PERCENTILES}
        report[name] = percentiles if values else dict.fromkeys(percentiles)
    return {**report, "whole": result.whole, "broken": result.broken, "good": result.good()}

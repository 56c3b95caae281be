"""An open loop of hand-ins on real sockets: each is sent at its time, however the others fare.

Latency counts from the time a hand-in was meant to be sent, so that waiting for a connection is in it and no
omission is coordinated with the relay. What it saw is judged by the oracle from others' books.
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

LOWEST, HIGHEST, DIGITS = 1, 3_600_000_000, 3  # microseconds, up to an hour, to a thousandth
PARTS = (50.0, 90.0, 99.0, 99.9)
ANSWERS = {202: "taken", 200: "taken", 429: "throttled", 503: "throttled", 400: "malformed"}


@dataclass(slots=True)
class Topic:
    """effect: as the oracle's; ttl: seconds."""

    name: str
    effect: str
    ttl: float


@dataclass(slots=True)
class Plan:
    """What is sent: topics and destinations are drawn evenly.

    rate: a second; patience: seconds for an answer; window: of collapsible topics; size: bytes of a body.
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
    """Sends a plan to relays, in turn, and keeps what its clients saw."""

    def __init__(self, plan: Plan, relays: list[str], note: Callable[[int], None] = lambda _: None):
        self.plan, self.relays, self.note = plan, relays, note
        self.handed: list[Handed] = []
        self.chance, self.mark = Random(plan.seed), Random().randbytes(4).hex()

    async def run(self) -> None:
        plan, tasks, behind = self.plan, set(), 0.0
        connector = aiohttp.TCPConnector(limit=plan.connections, keepalive_timeout=2.0)
        jar, none = aiohttp.DummyCookieJar(), aiohttp.ClientTimeout(total=None)
        async with aiohttp.ClientSession(connector=connector, cookie_jar=jar, timeout=none) as session:
            began, wall = time.monotonic(), time.time()
            for number, at in enumerate(times(plan.shape, plan.rate, plan.seconds, self.chance)):
                wait = began + at - time.monotonic()
                behind = max(behind, -wait)
                if wait > 0.0:
                    await asyncio.sleep(wait)
                one = self.draw(number, wall + at)
                task = asyncio.ensure_future(self.send(session, one, self.relays[number % len(self.relays)]))
                tasks.add(task)
                task.add_done_callback(tasks.discard)
                self.note(number + 1)
            if tasks:
                await asyncio.wait(tasks)

    def draw(self, number: int, meant: float) -> Handed:
        topic = self.chance.choice(self.plan.topics)
        name = f"{self.mark}-{number}"
        key = f"k-{name}" if topic.effect == "collapsible" else ""
        one = Handed(name, topic.name, topic.effect, key, meant, meant + topic.ttl)
        self.handed.append(one)
        return one

    async def send(self, session: aiohttp.ClientSession, one: Handed, relay: str) -> None:
        left = max(0.001, one.due - time.time())
        headers = {
            "X-Request-Id": one.id,
            "X-Class": one.topic,
            "X-Deadline": f"{left * 1000.0:.3f}m",
            "X-Envelope": f"dest={self.chance.choice(self.plan.destinations)}",
            "X-Tenant": self.chance.choice(self.plan.customers),
        }
        if one.key:
            headers["Idempotency-Key"] = one.key
        body = (one.id.encode() + b"." * self.plan.size)[: self.plan.size]
        with suppress(aiohttp.ClientError, OSError, TimeoutError):
            async with asyncio.timeout(self.plan.patience):
                async with session.post(f"http://{relay}/api", data=body, headers=headers) as answer:
                    one.answer, one.heard = ANSWERS.get(answer.status, "expired"), time.time()


async def books_of(control: str) -> book.Books:
    """The books of a stand-in; raises OSError or aiohttp.ClientError where it cannot be reached."""
    async with aiohttp.ClientSession() as session, session.get(f"http://{control}/books") as answer:
        return book.load(await answer.read())


async def settled(load: Load, collect, longest: float, step: float = 0.25) -> Judged:
    """Judge once each taken one has its end, or its time is up. collect() gives (runs, notices, whole)."""
    until = time.monotonic() + longest
    while True:
        runs, notices, whole = await collect()
        told = judge(load.handed, runs, notices, time.time(), load.plan.window, whole)
        if not told.pending or time.monotonic() >= until:
            return told
        await asyncio.sleep(step)


def histogram(seconds: list[float]) -> HdrHistogram:
    made = HdrHistogram(LOWEST, HIGHEST, DIGITS)
    for each in seconds:
        made.record_value(min(HIGHEST, max(LOWEST, round(each * 1e6))))
    return made


def figures(told: Judged) -> dict:
    """The result as plain values: counts, and latencies in milliseconds."""
    names = (
        "handed", "taken", "delivered", "throttled", "expired", "at_the_door", "unheard", "pending", "lost",
        "twice", "late", "after_its_end", "two_ends", "false_ends",
    )  # fmt: skip
    result = {name: getattr(told, name) for name in names}
    for name, values in (("to_answer_ms", told.to_answer), ("to_effect_ms", told.to_effect)):
        made = histogram(values)
        found = {f"p{p:g}": made.get_value_at_percentile(p) / 1000.0 for p in PARTS}
        result[name] = found if values else dict.fromkeys(found)
    return {**result, "whole": told.whole, "broken": told.broken, "good": told.good()}

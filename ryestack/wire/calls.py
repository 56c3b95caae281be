"""Calls to endpoints: one call carries one message or several, and ends in one outcome for each."""

import asyncio
from dataclasses import dataclass

import aiohttp
from loguru import logger

from .. import interface as it
from ..interface import Result
from ..settings import limit_of
from . import forms

STATUS = {
    200: Result.DELIVERED,
    410: Result.NOT_SENT,
    413: Result.NOT_SENT,
    429: Result.FULL,
    500: Result.ERROR,
    503: Result.FULL,
    504: Result.NOT_SENT,
}
WORDS = {
    "done": Result.DELIVERED,
    "failed": Result.ERROR,
    "busy": Result.FULL,
    "void": Result.NOT_SENT,
    "used_up": Result.NOT_SENT,
}
OVER = {410, "void"}  # nothing is owed any more
IDLE_PART = 0.95  # of the time after which the other side closes an idle connection; we do so earlier


@dataclass(slots=True)
class Item:
    """One message of a call; heard tells whether its client knows that it is taken on."""

    id: str
    push: int
    timeout: float
    key: str
    body: bytes
    heard: asyncio.Future | None


@dataclass(slots=True)
class Progress:
    """How far a call came: until it has a connection, none of it can have run; answers, once they are known,
    stand whatever becomes of the connection."""

    connected: bool = False
    answers: dict | None = None


class Calls:
    """Starts and cancels calls; tell(events) puts their outcomes into the owner's queue together."""

    def __init__(self, settings: it.Settings, members, clock, tell):
        self.members, self.clock, self.tell = members, clock, tell
        self.running: dict[tuple[str, int], asyncio.Task] = {}
        self.batch = {k.name: k.batch for k in settings.kinds}
        trace = aiohttp.TraceConfig()
        trace.on_connection_create_end.append(_connected)
        trace.on_connection_reuseconn.append(_connected)
        idle = settings.connection_idle * IDLE_PART
        self.session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(
                limit=0,
                happy_eyeballs_delay=None,
                **({"keepalive_timeout": idle} if idle else {"force_close": True}),
            ),
            timeout=aiohttp.ClientTimeout(total=None, sock_connect=settings.connect_timeout or None),
            cookie_jar=aiohttp.DummyCookieJar(),
            skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding", "Content-Type"),
            auto_decompress=False,
            trace_configs=[trace],
        )

    def start(self, endpoint: str, items: list[Item]) -> None:
        """Send the messages of one turn, as many in a call as that kind of endpoint takes."""
        most = self.batch.get(self.members.kind(endpoint), 1)
        for at in range(0, len(items), most):
            self.start_one(endpoint, items[at : at + most])

    def start_one(self, endpoint: str, items: list[Item]) -> None:
        loop, longest = asyncio.get_running_loop(), max(item.timeout for item in items)
        task = loop.create_task(self.run(endpoint, items, longest))
        for item in items:
            self.running[item.id, item.push] = task
            if item.timeout < longest:
                loop.call_later(item.timeout, self.end_early, endpoint, item)

    def end_early(self, endpoint: str, item: Item) -> None:
        """The time of one message in a call is up before that of the others."""
        if self.running.pop((item.id, item.push), None):
            self.tell([it.Outcome(item.id, item.push, endpoint, Result.TIMED_OUT, item.timeout)])

    def cancel(self, name: str, push: int) -> None:
        if (name, push) in self.running:
            self.running[name, push].cancel()

    async def close(self) -> None:
        tasks = set(self.running.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self.session.close()

    async def run(self, endpoint: str, items: list[Item], timeout: float) -> None:
        began, progress = self.clock(), Progress()
        void: list[Item] = []
        try:
            async with asyncio.timeout(timeout):
                heard = [item.heard is None or await item.heard for item in items]
                void = [item for item, told in zip(items, heard, strict=True) if not told]
                items = [item for item in items if item not in void]
                if items:
                    await self.post(endpoint, items, began + timeout, progress)
            broke = Result.BROKEN
        except asyncio.CancelledError:
            broke = Result.CANCELLED
        except TimeoutError:
            broke = Result.TIMED_OUT
        except (aiohttp.ClientError, OSError):
            broke = Result.BROKEN
        except Exception:  # whatever it was, the message keeps its outcome
            logger.exception("a call to {} failed in this program", endpoint)
            broke = Result.BROKEN
        broke = broke if progress.connected else Result.NO_CONNECTION
        answers = progress.answers or {item.id: (broke, False, 0.0, 0.0) for item in items}
        elapsed = self.clock() - began
        outcomes = [it.Outcome(i.id, i.push, endpoint, Result.NOT_SENT, elapsed, True) for i in void]
        for item in items:
            result, ended, wait, limit = answers[item.id]
            outcomes.append(it.Outcome(item.id, item.push, endpoint, result, elapsed, ended, wait, limit))
        self.tell([o for o in outcomes if self.running.pop((o.id, o.push), None)])

    async def post(self, endpoint: str, items: list[Item], until: float, progress: Progress) -> None:
        url = f"http://{self.members.address(endpoint)}/receive"
        headers = {"X-Deadline": forms.duration(until - self.clock())}
        if len(items) > 1:
            url, body = url + "-many", forms.many([(i.id, i.key, i.body) for i in items])
        else:
            body, headers["X-Request-Id"] = items[0].body, items[0].id
            if items[0].key:
                headers["Idempotency-Key"] = items[0].key
        context = {"data": body, "headers": headers, "allow_redirects": False, "trace_request_ctx": progress}
        async with self.session.post(url, **context) as answer:
            told = forms.report(answer.headers.get("X-Load"))
            wait, limit = _milliseconds(answer.headers.get("X-Retry-In-Ms")), limit_of(told)
            if len(items) > 1 and answer.status == 200:
                ends = forms.ends(await _bounded(answer))
                progress.answers = {
                    i.id: _answer(WORDS, ends.get(i.id, "failed"), wait, limit) for i in items
                }
            else:  # the first line is what counts; the rest is read for the connection's sake
                one = _answer(STATUS, answer.status, wait, limit, answer.headers)
                progress.answers = {i.id: one for i in items}
                await _bounded(answer)


async def _bounded(answer: aiohttp.ClientResponse) -> bytes:
    body = bytearray()
    async for chunk in answer.content.iter_any():
        body += chunk
        if len(body) > forms.MOST_BODY:
            raise aiohttp.ClientPayloadError("an answer without bounds")
    return bytes(body)


def _answer(table: dict, said, wait: float, limit: float, headers=()) -> tuple:
    result = Result.NOT_SENT if "X-No-Slot" in headers else table.get(said, Result.ERROR)
    return result, said in OVER, wait, limit


def _milliseconds(text: str | None) -> float:
    told = forms.NUMBER.fullmatch((text or "").strip())
    return float(told[0]) / 1000.0 if told else 0.0


async def _connected(_, context, __) -> None:
    context.trace_request_ctx.connected = True

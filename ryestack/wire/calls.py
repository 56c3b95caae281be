"""Calls to endpoints: one call carries one message or several, and ends in one outcome for each."""

import asyncio
from functools import partial
from math import inf

import aiohttp

from .. import interface as it
from ..interface import Result
from ..observe.log import fault
from ..ports import Item
from ..settings import left_of, limit_of
from . import forms
from .answers import STATUS, WORDS, bounded, meaning, milliseconds
from .endpoint_connection import CALL, MOST_HEAD, EndpointConnection, Progress

IDLE_PART = 0.95  # of the time after which the other side closes an idle connection; we do so earlier
# Seconds that an answer may take after its first line, which mostly comes with it. After a 200 to one message
# there is nothing more to learn, and a connection given up costs a handshake; the others tell who ran.
REST_OF_200, REST = 0.05, 0.25


class Calls:
    """Starts and cancels calls; tell(events) puts their outcomes into the owner's queue together."""

    def __init__(self, settings: it.Settings, members, clock, tell, most: int):
        self.members, self.clock, self.tell, self.whole, self.most = members, clock, tell, most, most
        self.running: dict[tuple[str, int], asyncio.Task] = {}
        self.written = 0  # messages whose call went out whole
        self.kept: dict[EndpointConnection, None] = {}  # all connections to endpoints, the oldest first
        self.begun: dict[asyncio.Task, Progress] = {}  # of all calls, begun or not yet
        self.retune(settings)
        idle = settings.connection_idle * IDLE_PART
        connector = aiohttp.TCPConnector(
            limit=0,
            happy_eyeballs_delay=None,
            **({"keepalive_timeout": idle} if idle else {"force_close": True}),
        )
        connector._factory = partial(
            EndpointConnection, asyncio.get_running_loop(), self.kept
        )  # the library has no hook
        self.session = aiohttp.ClientSession(
            connector=connector,
            max_line_size=MOST_HEAD,
            max_field_size=MOST_HEAD,
            cookie_jar=aiohttp.DummyCookieJar(),
            skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding", "Content-Type"),
            auto_decompress=False,
        )

    def retune(self, settings: it.Settings) -> None:
        self.batch = {k.name: k.batch for k in settings.kinds}
        self.limits = aiohttp.ClientTimeout(total=None, sock_connect=settings.connect_timeout or None)

    def start(self, endpoint: str, items: list[Item]) -> None:
        """Send the messages of one turn, as many in a call as that kind of endpoint takes."""
        most = self.batch.get(self.members.kind(endpoint), 1)
        for at in range(0, len(items), most):
            self.start_one(endpoint, items[at : at + most])

    def start_one(self, endpoint: str, items: list[Item]) -> None:
        """A call is over when the time of the first of its messages is up: whether an answer that comes later
        stands for the others is not ours to say, and the connection must not bring it."""
        progress = Progress(endpoint)
        task = asyncio.get_running_loop().create_task(
            self.run(progress, items, min(item.timeout for item in items))
        )
        self.begun[task] = progress
        task.add_done_callback(partial(self.over, items))
        for item in items:
            self.running[item.id, item.push] = task

    def over(self, items: list[Item], task: asyncio.Task) -> None:
        """A task that is cancelled before its first step never runs at all: its pushes were not sent."""
        progress = self.begun.pop(task)
        left = [i for i in items if self.running.get((i.id, i.push)) is task]
        for item in left:
            del self.running[item.id, item.push]
        if left:
            self.tell([it.Outcome(i.id, i.push, progress.endpoint, Result.NOT_SENT) for i in left])

    def cancel(self, name: str, push: int) -> None:
        if (name, push) in self.running:
            self.running[name, push].cancel()

    def forget(self) -> None:
        """What stays open to endpoints that are gone ends here; calls that are out go on."""
        self.end_idle(self.members.leave())

    def cancel_unsent(self, endpoint: str) -> None:
        for progress in self.begun.values():
            if progress.endpoint == endpoint:
                self.not_begun(progress)

    def close_idle(self, endpoint: str) -> None:
        self.end_idle({endpoint})

    def end_idle(self, endpoints: set[str]) -> None:
        for reply in [r for r in self.kept if r.call is None and r.endpoint in endpoints]:
            reply.spoilt()

    def make_room(self) -> None:
        idle = [r for r in self.kept if r.call is None]
        if len(idle) + len(set(self.running.values())) >= self.most and idle:
            min(idle, key=lambda r: r.idle_since).spoilt()

    def share(self, processes: int) -> None:
        self.most = max(1, self.whole // processes)
        idle = sorted((r for r in self.kept if r.call is None), key=lambda r: r.idle_since)
        for reply in idle[: max(0, len(self.kept) - self.most)]:
            reply.spoilt()

    def out(self) -> int:
        return len(self.running)

    async def close(self) -> None:
        tasks = set(self.running.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self.session.close()

    async def run(self, progress: Progress, items: list[Item], timeout: float) -> None:
        began, void, held, answers, endpoint = self.clock(), [], [], {}, progress.endpoint
        progress.limit = limit = asyncio.timeout(timeout)
        progress.heard = lambda: self.first_line(progress, len(items) == 1)
        progress.told = partial(self.told, progress)
        progress.wrote = lambda: self.wrote(len(items))
        CALL.set(progress)  # for this task, which is this call's
        lapse = None
        if (last := min(item.begin for item in items)) < inf:
            progress.begin = asyncio.get_running_loop().time() + last
            lapse = asyncio.get_running_loop().call_at(progress.begin, self.not_begun, progress)
        try:
            async with limit:
                # Shielded: a call that ends while it waits must not take away what the next one waits for.
                heard = [i.heard is None or await asyncio.shield(i.heard) for i in items]
                void = [item for item, told in zip(items, heard, strict=True) if not told]
                items = [item for item in items if item not in void]
                clear = [i.cleared is None or await asyncio.shield(i.cleared) for i in items]
                held = [item for item, may in zip(items, clear, strict=True) if not may]
                items = [item for item in items if item not in held]
                if items:
                    if progress.too_late:  # called off before it began
                        raise TimeoutError
                    answers = await self.post(endpoint, items, began + timeout)
            broke = Result.BROKEN
        except asyncio.CancelledError:
            broke = Result.CANCELLED
        except TimeoutError:
            broke = Result.BROKEN if progress.status else Result.TIMED_OUT
        except (aiohttp.ClientError, OSError, ValueError):
            broke = Result.BROKEN
        except Exception:  # whatever it was, the message keeps its outcome
            fault("call.fault", endpoint=endpoint)
            broke = Result.BROKEN
        finally:
            progress.limit = progress.connection = None  # over: the connection may carry another call
            if lapse:
                lapse.cancel()
        if not progress.begun or progress.unsent:
            broke = Result.NOT_SENT if progress.too_late else Result.NO_CONNECTION
        if not answers:
            one = Result.DELIVERED if progress.status == 200 and len(items) == 1 else broke
            answers = {item.id: (one, False, progress.wait, 0.0, 1.0) for item in items}
        elapsed, stale = self.clock() - began, broke is Result.BROKEN and progress.kept and not progress.words
        outcomes = [
            it.Outcome(i.id, i.push, endpoint, Result.NOT_SENT, elapsed, i in void) for i in void + held
        ]
        for item in items:
            result, ended, wait, rate, left = answers[item.id]
            told = elapsed, ended, wait, rate, stale and result is broke, left
            outcomes.append(it.Outcome(item.id, item.push, endpoint, result, *told))
        self.tell([o for o in outcomes if self.running.pop((o.id, o.push), None)])

    def not_begun(self, progress: Progress) -> bool:
        """Ends a call of which nothing, or not the last byte, is written; returns whether it may run."""
        if progress.begun and not progress.call_back():
            return True
        progress.too_late, progress.begin = True, -inf  # should it connect in this very turn
        if progress.limit and not progress.limit.expired():
            progress.limit.reschedule(asyncio.get_running_loop().time())
        return False

    def told(self, progress: Progress, headers) -> None:
        """A head is whole: a wait in it holds from now on, whatever becomes of the rest."""
        progress.wait = milliseconds(headers.get("X-Retry-In-Ms"))
        if progress.wait > 0.0:
            self.tell([it.WaitTold(progress.endpoint, progress.wait)])

    def wrote(self, messages: int) -> None:
        self.written += messages

    def first_line(self, progress: Progress, single: bool) -> None:
        rest, limit = REST_OF_200 if single and progress.status == 200 else REST, progress.limit
        if limit and not limit.expired():
            limit.reschedule(min(limit.when(), asyncio.get_running_loop().time() + rest))

    async def post(self, endpoint: str, items: list[Item], until: float) -> dict:
        """Id to answer, once all of it has come."""
        address = self.members.address(endpoint)
        if address is None:  # it went off the list a moment ago
            return {i.id: (Result.NOT_SENT, False, 0.0, 0.0, 1.0) for i in items}
        self.make_room()
        url, headers = f"http://{address}/receive", {"X-Deadline": forms.duration(until - self.clock())}
        if len(items) > 1:
            url, body = url + "-many", forms.many([(i.id, i.key, i.body) for i in items])
        else:
            body, headers["X-Request-Id"] = items[0].body, items[0].id
            if items[0].key:
                headers["Idempotency-Key"] = items[0].key
        # The name keeps connections apart by endpoint: another at the same address gets none of them.
        more = {
            "data": body,
            "headers": headers,
            "timeout": self.limits,
            "allow_redirects": False,
            "server_hostname": endpoint,
        }
        async with self.session.post(url, **more) as answer:
            told = forms.report(answer.headers.get("X-Load"))
            wait, limit = CALL.get().wait, (limit_of(told), left_of(told))
            said = await bounded(answer)
            if len(items) > 1 and answer.status == 200:
                ends = forms.ends(said)
                return {i.id: meaning(WORDS, ends.get(i.id, "failed"), wait, limit) for i in items}
            one = meaning(STATUS, answer.status, wait, limit, answer.headers)
            return {i.id: one for i in items}

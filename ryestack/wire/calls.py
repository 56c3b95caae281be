"""Calls to endpoints: one call carries one message or several, and ends in one outcome for each."""

import asyncio
from functools import partial
from math import inf

import aiohttp

from .. import interface as it
from ..interface import Result
from ..observe.log import fault
from ..ports import PushMessage
from . import forms
from .answers import Answer, bounded, milliseconds, of_many, of_one
from .batch import Batch, request_of
from .endpoint_connection import CALL, MOST_HEAD, EndpointConnection, Progress
from .sockets import is_of_this_machine

IDLE_PART = 0.95  # of the time after which the other side closes an idle connection; we do so earlier
# Seconds that an answer may take after its first line, which mostly comes with it. After a 200 to one message
# there is nothing more to learn, and a connection given up costs a handshake; the others tell who ran.
REST_OF_200, REST = 0.05, 0.25


class CallDispatcher:
    """Starts and cancels calls; tell(events) puts their outcomes into the owner's queue together."""

    def __init__(self, settings: it.Settings, members, clock, tell, most: int):
        self.members, self.clock, self.tell, self.whole, self.max_connections = (
            members,
            clock,
            tell,
            most,
            most,
        )
        self.running: dict[tuple[str, int], asyncio.Task] = {}
        self.written = 0  # messages whose call went out whole
        self.open_connections: dict[
            EndpointConnection, None
        ] = {}  # all connections to endpoints, the oldest first
        self.begun: dict[asyncio.Task, Progress] = {}  # of all calls, begun or not yet
        self.apply_settings(settings)
        idle = settings.connection_idle * IDLE_PART
        connector = aiohttp.TCPConnector(
            limit=0,
            happy_eyeballs_delay=None,
            **({"keepalive_timeout": idle} if idle else {"force_close": True}),
        )
        connector._factory = partial(
            EndpointConnection, asyncio.get_running_loop(), self.open_connections
        )  # the library has no hook
        self.session = aiohttp.ClientSession(
            connector=connector,
            max_line_size=MOST_HEAD,
            max_field_size=MOST_HEAD,
            cookie_jar=aiohttp.DummyCookieJar(),
            skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding", "Content-Type"),
            auto_decompress=False,
        )

    def apply_settings(self, settings: it.Settings) -> None:
        self.batch = {k.name: k.batch for k in settings.kinds}
        self.limits = aiohttp.ClientTimeout(total=None, sock_connect=settings.connect_timeout or None)

    def start(self, endpoint: str, items: list[PushMessage]) -> None:
        """Send the messages of one turn, as many in a call as that kind of endpoint takes."""
        most = self.batch.get(self.members.kind(endpoint), 1)
        for at in range(0, len(items), most):
            self.start_one(endpoint, items[at : at + most])

    def start_one(self, endpoint: str, items: list[PushMessage]) -> None:
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

    def over(self, items: list[PushMessage], task: asyncio.Task) -> None:
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

    def drop_removed_endpoints(self) -> None:
        """What stays open to endpoints that are gone ends here; calls that are out go on."""
        self.end_idle(self.members.drop_removed())

    def cancel_unsent(self, endpoint: str) -> None:
        for progress in self.begun.values():
            if progress.endpoint == endpoint:
                self.not_begun(progress)

    def close_idle(self, endpoint: str) -> None:
        self.end_idle({endpoint})

    def end_idle(self, endpoints: set[str]) -> None:
        for reply in [r for r in self.open_connections if r.call is None and r.endpoint in endpoints]:
            reply.spoilt()

    def make_room(self) -> None:
        idle = [r for r in self.open_connections if r.call is None]
        if len(idle) + len(set(self.running.values())) >= self.max_connections and idle:
            min(idle, key=lambda r: r.idle_since).spoilt()

    def share(self, processes: int) -> None:
        self.max_connections = max(1, self.whole // processes)
        idle = sorted((r for r in self.open_connections if r.call is None), key=lambda r: r.idle_since)
        for reply in idle[: max(0, len(self.open_connections) - self.max_connections)]:
            reply.spoilt()

    def in_flight(self) -> int:
        return len(self.running)

    async def close(self) -> None:
        tasks = set(self.running.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self.session.close()

    async def run(self, progress: Progress, items: list[PushMessage], timeout: float) -> None:
        began, batch, answers = self.clock(), Batch(items), {}
        lapse = self.prepare(progress, batch, timeout)
        broke = Result.BROKEN
        try:
            async with progress.limit:
                await batch.wait_until_clear()
                if batch.items:
                    if progress.too_late:  # called off before it began
                        raise TimeoutError
                    answers = await self.post(progress.endpoint, batch.items, began + timeout)
        except asyncio.CancelledError:
            broke = Result.CANCELLED
        except TimeoutError:
            broke = Result.BROKEN if progress.status else Result.TIMED_OUT
        except (aiohttp.ClientError, OSError, ValueError) as problem:
            progress.local_fault = is_of_this_machine(problem)
        except Exception:  # whatever it was, the message keeps its outcome
            fault("call.fault", endpoint=progress.endpoint)
        finally:
            progress.limit = progress.connection = None  # over: the connection may carry another call
            if lapse:
                lapse.cancel()
        if not progress.begun or progress.unsent:
            broke = Result.NOT_SENT if progress.not_tried else Result.NO_CONNECTION
        self.conclude(progress, batch, answers, broke, self.clock() - began)

    def prepare(self, progress: Progress, batch: Batch, timeout: float) -> asyncio.TimerHandle | None:
        """Tie a call to its connection; the timer ends it if its first byte has not gone in time."""
        loop, last = asyncio.get_running_loop(), min(item.begin for item in batch.items)
        progress.limit = asyncio.timeout(timeout)
        progress.heard = lambda: self.first_line(progress, len(batch.items) == 1)
        progress.told = partial(self.told, progress)
        progress.wrote = lambda: self.wrote(len(batch.items))
        CALL.set(progress)  # for this task, which is this call's
        if last == inf:
            return None
        progress.begin = loop.time() + last
        return loop.call_at(progress.begin, self.not_begun, progress)

    def conclude(
        self, progress: Progress, batch: Batch, answers: dict[str, Answer], broke: Result, elapsed: float
    ) -> None:
        """Tell the outcome of each message. broke: of those without an answer; elapsed: seconds."""
        if not answers:
            one = Result.DELIVERED if progress.status == 200 and len(batch.items) == 1 else broke
            answers = dict.fromkeys([item.id for item in batch.items], Answer(one, wait=progress.wait))
        stale = broke is Result.BROKEN and progress.kept and not progress.words
        outcomes = [
            it.Outcome(i.id, i.push, progress.endpoint, Result.NOT_SENT, elapsed, i in batch.void)
            for i in batch.void + batch.held
        ]
        for item in batch.items:
            result, ended, wait, limit, left = answers[item.id]
            told = elapsed, ended, wait, limit, stale and result is broke, left
            outcomes.append(it.Outcome(item.id, item.push, progress.endpoint, result, *told))
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

    async def post(self, endpoint: str, items: list[PushMessage], until: float) -> dict[str, Answer]:
        """Id to answer, once all of it has come."""
        address = self.members.address(endpoint)
        if address is None:  # it went off the list a moment ago
            return {item.id: Answer(Result.NOT_SENT) for item in items}
        self.make_room()
        deadline = forms.duration(until - self.clock())
        path, body, headers = request_of(items)
        # The name keeps connections apart by endpoint: another at the same address gets none of them.
        more = {
            "data": body,
            "headers": {"X-Deadline": deadline, **headers},
            "timeout": self.limits,
            "allow_redirects": False,
            "server_hostname": endpoint,
        }
        async with self.session.post(f"http://{address}{path}", **more) as answer:
            wait = CALL.get().wait
            said = await bounded(answer)
            if len(items) > 1 and answer.status == 200:
                return of_many([item.id for item in items], said, answer.headers, wait)
            return dict.fromkeys([item.id for item in items], of_one(answer.status, answer.headers, wait))

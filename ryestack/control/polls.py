"""Runs a publisher in an event loop: a future for each held request, and one timer for all of them.

An assignment over all relays takes seconds of CPU time, so a thread computes it. Other users of the publisher
wait for it; the change log and its heartbeats do not.
"""

import asyncio
from collections.abc import Callable, Sequence
from concurrent.futures import ThreadPoolExecutor
from math import inf

import msgspec

from .catalogue import Catalogue
from .messages import Answer, Delta, Entry, Fetch, Poll, Request, Unavailable
from .publisher import Publisher

UNHELD_TOKEN = 0  # the token of a request that must not be held
MIN_TIMER_SECONDS = 0.005  # lower limit between two runs of the timer


class Polls:
    """Answers requests from a publisher.

    stale: returns why this machine may be behind all others, or ""; while stale, no polls are held.
    """

    def __init__(self, publisher: Publisher, clock: Callable[[], float], stale: Callable[[], str]):
        self._publisher, self._clock, self._stale = publisher, clock, stale
        self._waiting: dict[int, asyncio.Future] = {}
        self._abandoned: list[int] = []  # tokens to release once the publisher is free
        self._last_token = UNHELD_TOKEN
        self._lock = asyncio.Lock()
        self._assigner = ThreadPoolExecutor(1, "assignment")
        self._timer: asyncio.TimerHandle | None = None
        self._due_task: asyncio.Task | None = None

    async def answer(self, request: Request) -> Answer:
        """Waits for and returns the answer to a request. Raises publisher.Refused."""
        if self._publisher.wake_at <= self._clock():
            await asyncio.shield(self._start_due_task())  # it continues if this requester disconnects
        async with self._lock:
            if not isinstance(request, Fetch) and (reason := self._stale()):
                return self._answer_while_stale(request, reason)
            self._last_token += 1
            token = self._last_token
            answer = self._publisher.handle(request, self._clock(), token)
            if answer is None:
                self._waiting[token] = asyncio.get_running_loop().create_future()
            self._set_timer()
        return await self._wait(token) if answer is None else answer

    async def apply(self, version: int, entries: Sequence[Entry]) -> None:
        """Applies changes; see Publisher.apply."""
        async with self._lock:
            self._publisher.apply(version, entries, self._clock())
            self._publisher.ready = version > 0
            self._set_timer()

    async def load(self, catalogue: Catalogue) -> None:
        """Replaces the catalogue; see Publisher.load."""
        async with self._lock:
            await self._in_thread(self._publisher.load, catalogue)
            self._publisher.ready = catalogue.version > 0
            self._set_timer()

    def close(self) -> None:
        """Cancels all held requests."""
        if self._timer:
            self._timer.cancel()
        if self._due_task:
            self._due_task.cancel()
        for future in self._waiting.values():
            future.cancel()
        self._assigner.shutdown()

    async def _answer_due(self) -> None:
        async with self._lock:
            await self._resolve_due()
            self._set_timer()

    async def _resolve_due(self) -> None:
        """Resolves the futures of due answers. The caller must hold the lock."""
        for token in self._abandoned:
            self._publisher.release(token)
        self._abandoned.clear()
        now = self._clock()
        if self._publisher.wake_at > now:
            return
        if self._publisher.scopes.due_at <= now:
            answers = await self._in_thread(self._publisher.due, now)
        else:
            answers = self._publisher.due(now)
        for token, answer in answers:
            future = self._waiting.get(token)
            if future and not future.done():
                future.set_result(answer)

    def _set_timer(self) -> None:
        if self._timer:
            self._timer.cancel()
            self._timer = None
        if (wake_at := self._publisher.wake_at) < inf:
            wait = max(MIN_TIMER_SECONDS, wake_at - self._clock())
            self._timer = asyncio.get_running_loop().call_later(wait, self._start_due_task)

    def _start_due_task(self) -> asyncio.Task:
        if self._due_task is None or self._due_task.done():
            self._due_task = asyncio.ensure_future(self._answer_due())
        return self._due_task

    async def _wait(self, token: int) -> Answer:
        try:
            return await self._waiting[token]
        finally:
            del self._waiting[token]
            self._abandoned.append(token)

    def _answer_while_stale(self, request: Request, reason: str) -> Answer:
        """Requesters that are behind get their changes; all others should ask another machine."""
        immediate = msgspec.structs.replace(request, hold=0.0)
        answer = self._publisher.handle(immediate, self._clock(), UNHELD_TOKEN)
        self._set_timer()
        if answer is None:  # a change of the set of relays is pending
            self._publisher.release(UNHELD_TOKEN)
            return Unavailable(self._publisher.catalogue.version, reason)
        unchanged = isinstance(answer, Delta) and not answer.entries and not answer.more
        newest = request.applied if isinstance(request, Poll) else request.version
        if unchanged and answer.version <= max(newest, request.version):
            return Unavailable(answer.version, reason)
        return answer

    def _in_thread(self, call: Callable, *arguments) -> asyncio.Future:
        return asyncio.get_running_loop().run_in_executor(self._assigner, call, *arguments)

"""Requests of relays and followers that wait at a publisher: a future each, and one timer for all."""

import asyncio
from collections.abc import Callable
from math import inf

import msgspec

from .messages import Answer, Delta, Fetch, Poll, Request, Unavailable
from .publisher import Publisher

NOBODY = 0  # the token of a request that is not to be held
LEAST_WAIT_SECONDS = 0.005  # between two looks at what is due


class Polls:
    """stale: why this machine may be behind all others, "" while it is not; nothing is held meanwhile."""

    def __init__(self, publisher: Publisher, clock: Callable[[], float], stale: Callable[[], str]):
        self._publisher, self._clock, self._stale = publisher, clock, stale
        self._waiting: dict[int, asyncio.Future] = {}
        self._tokens = 0
        self._timer: asyncio.TimerHandle | None = None

    async def answer(self, request: Request) -> Answer:
        """Raises publisher.Refused."""
        if not isinstance(request, Fetch) and (reason := self._stale()):
            return self._answer_while_stale(request, reason)
        self._tokens += 1
        token = self._tokens
        answer = self._publisher.hear(request, self._clock(), token)
        self.look()
        return await self._wait(token) if answer is None else answer

    def look(self) -> None:
        """What is due may have changed: answer it, and set the timer for the rest."""
        if self._timer:
            self._timer.cancel()
            self._timer = None
        now = self._clock()
        if self._publisher.wake_at <= now:
            for token, answer in self._publisher.due(now):
                future = self._waiting.get(token)
                if future and not future.done():
                    future.set_result(answer)
        if (wake_at := self._publisher.wake_at) < inf:
            wait = max(LEAST_WAIT_SECONDS, wake_at - now)
            self._timer = asyncio.get_running_loop().call_later(wait, self.look)

    def close(self) -> None:
        if self._timer:
            self._timer.cancel()
        for future in self._waiting.values():
            future.cancel()

    async def _wait(self, token: int) -> Answer:
        future = self._waiting[token] = asyncio.get_running_loop().create_future()
        try:
            return await future
        finally:
            del self._waiting[token]
            self._publisher.release(token)

    def _answer_while_stale(self, request: Request, reason: str) -> Answer:
        """Whoever lies behind is helped, everybody else should ask another machine."""
        asked = msgspec.structs.replace(request, hold=0.0)
        answer = self._publisher.hear(asked, self._clock(), NOBODY)
        self.look()
        if answer is None:  # a change of the relays' set is being worked in
            self._publisher.release(NOBODY)
            return Unavailable(self._publisher.catalogue.version, reason)
        has_all = isinstance(answer, Delta) and not answer.entries and not answer.more
        newest = request.applied if isinstance(request, Poll) else request.version
        if has_all and answer.version <= max(newest, request.version):
            return Unavailable(answer.version, reason)
        return answer

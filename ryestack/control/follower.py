"""A control machine without a vote: it replicates from a voter and answers relays like one."""

import asyncio
from collections.abc import Callable
from math import inf
from random import Random

import aiohttp

from ..observe.log import event
from . import messages
from .gathering import BadAnswer, Gathered, Gathering, NotAhead
from .machine_client import CONNECTION_ERRORS, RequestFailed, post
from .messages import PATH, BadMessage, Delta, Fetch
from .order import Failover, Machine, machine_order
from .polls import Polls

ANSWER_TIMEOUT_SECONDS = 5.0  # for an answer, in addition to the hold time


class Follower:
    """Replicates the catalogue from voters, with failover.

    voters: the machines to replicate from; confirmed_at: when one last confirmed that there is nothing newer.
    """

    def __init__(
        self,
        machine: Machine,
        cluster: str,
        voters: list[Machine],
        polls: Polls,
        session: aiohttp.ClientSession,
        hold: float,
        clock: Callable[[], float],
        rng: Random,
    ):
        self._polls, self._session, self._clock = polls, session, clock
        self._gathering = Gathering(cluster, machine.name, hold)
        self._failover = Failover(machine_order(machine.name, machine.region, voters), rng)
        self._hold = hold
        self.confirmed_at = -inf

    async def run(self) -> None:
        """Runs until cancelled."""
        while True:
            source = self._failover.choose(self._clock())
            try:
                await self._poll(source)
            except (RequestFailed, NotAhead, BadAnswer, BadMessage, *CONNECTION_ERRORS) as error:
                event("machine.lost", machine=source.name, why=str(error) or type(error).__name__)
                rest_until = self._failover.failed(self._clock())
                await asyncio.sleep(max(0.0, rest_until - self._clock()))

    async def _poll(self, source: Machine) -> None:
        request = self._gathering.request()
        body = messages.encode(request)
        hold = 0.0 if isinstance(request, Fetch) else request.hold
        answer = messages.decode_answer(
            await post(self._session, source.address, PATH, body, hold + ANSWER_TIMEOUT_SECONDS)
        )
        complete = self._gathering.receive(answer)
        self._failover.answered()
        if complete:
            await self._apply(complete)
        if isinstance(answer, Delta) and not answer.more:
            self.confirmed_at = self._clock()

    async def _apply(self, complete: Gathered) -> None:
        if complete.catalogue is not None:
            await self._polls.load(complete.catalogue)
        else:
            await self._polls.apply(complete.version, complete.entries)
        self._gathering.applied(complete)

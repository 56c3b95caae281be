"""A request for the registry's list that is under way."""

import asyncio
import json
from collections.abc import Callable
from dataclasses import dataclass, field

import aiohttp

from ..membership import following
from ..membership.following import WatchState
from .members import BadList
from .platform import PlatformClient

REQUEST_ERRORS = (aiohttp.ClientError, OSError, TimeoutError, ValueError, RecursionError, BadList)


@dataclass(eq=False, slots=True)
class ListRequest:
    """A request at the address that was in force at its beginning.

    began: by the loop's clock, in seconds; hold: seconds that the registry may hold it; asked_whole: whether
    for the whole list.
    """

    began: float
    address: str
    hold: float
    asked_whole: bool
    task: asyncio.Task = field(default=None, repr=False)

    @classmethod
    def begin(
        cls,
        platform: PlatformClient,
        state: WatchState,
        version: int,
        now: float,
        arriving: Callable[["ListRequest"], None],
    ) -> "ListRequest":
        """Send the request that the state wants.

        version: of the list in force; arriving: called for each part of the answer.
        """
        request = cls(now, platform.address, state.hold(), state.requests_whole_list())
        query = {"from": str(version), "hold_ms": str(int(request.hold * 1000))}
        parameters = {} if request.asked_whole else query
        sending = platform.request(
            "GET",
            "/catalog/members",
            following.MAX_ANSWER_S,
            arriving=lambda: arriving(request),
            params=parameters,
        )
        request.task = asyncio.ensure_future(sending)
        return request

    def message(self) -> dict:
        """The answer, once the task is done; raises one of REQUEST_ERRORS."""
        status, body = self.task.result()
        if status != 200:
            raise BadList(f"status {status}")
        return json.loads(body)

    def is_prompt(self, now: float) -> bool:
        """Whether its answer is prompt at that time."""
        return following.is_prompt(self.began, self.hold, now)

    async def cancel(self) -> None:
        """Give it up."""
        self.task.cancel()
        await asyncio.gather(self.task, return_exceptions=True)

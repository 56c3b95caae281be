"""Following the registry's list: the requests for it, and the watch that waits for changes."""

import asyncio
from collections.abc import Callable

from .. import interface
from ..membership import following
from ..membership.following import RequestSchedule, WatchState, believes
from ..observe.log import event
from .list_request import REQUEST_ERRORS, ListRequest
from .members import BadList, Members, read_version
from .platform import PlatformClient
from .sockets import shows_process_ended

TakeAnswer = Callable[[dict, float, str], interface.ListUpdate]
"""Puts an answer in force: the message, when it was requested, the registry's address. Raises BadList."""


async def watch(platform: PlatformClient, members: Members, publish) -> None:
    """Follow the list as long as the process lives; a silent registry leaves the last list in force."""
    await RegistryWatch(platform, members, publish).run()


class RegistryWatch:
    """The requests that follow the list.

    A request that fails, or has no answer yet, is published, with the time of the registry's last answer.
    When to request again is decided elsewhere (`platform.refresh_requested`) up to a maximum delay: relays
    that all ask an overloaded registry ten times a second keep it overloaded. A request without an answer
    stays open beside the next ones for a while. At a new address the watch starts with the whole list:
    versions there need not continue the old ones.

    take_answer: puts an answer in force; address: where the list in force comes from; state: of the watch at
    its start. is_reported: whether a failure was published since the last answer.
    """

    def __init__(
        self,
        platform: PlatformClient,
        members: Members,
        publish,
        take_answer: TakeAnswer | None = None,
        address: str = "",
        state: WatchState | None = None,
    ):
        self.platform, self.members, self.publish = platform, members, publish
        self.take_answer = take_answer or (lambda message, *_: members.apply_list(message))
        self.clock = asyncio.get_running_loop().time
        self.address, self.healthy, self.is_reported = address or platform.address, True, False
        self.state = state or WatchState(self.clock())
        self.schedule = RequestSchedule()
        self.open: list[ListRequest] = []  # the oldest first

    async def run(self) -> None:
        try:
            while True:
                await self._begin()
                while not self._is_due():
                    await self._wait()
                    self._report_missing()
        finally:
            await self._give_up(self.open)

    # -- requests -----------------------------------------------------------------------------------

    async def _begin(self) -> None:
        now = self.clock()
        if self.address != self.platform.address:
            self.address = self.platform.address
            self.state.update("moved", now)
            await self._give_up(self.open)
        if self.open:
            self._log_blocked(f"no answer for {now - self.schedule.began:.1f} s")
            await self._give_up(self.open[: max(0, len(self.open) + 1 - following.MAX_OPEN_REQUESTS)])
        self.platform.refresh_requested.clear()
        self.schedule.begin(now, self.state.hold())
        self.open.append(
            ListRequest.begin(self.platform, self.state, self.members.index, now, self._arriving)
        )

    async def _give_up(self, requests: list[ListRequest]) -> None:
        for request in list(requests):
            self.open.remove(request)
            await request.cancel()

    def _arriving(self, request: ListRequest) -> None:
        if self.open and request is self.open[-1]:
            self.schedule.arriving(self.clock())

    def _is_due(self) -> bool:
        return self.address != self.platform.address or self.clock() >= self.schedule.due_at()

    async def _wait(self) -> None:
        """Until a request ends, the list is wanted, or the schedule has something due."""
        wanted = asyncio.ensure_future(self.platform.refresh_requested.wait())
        until = min(self.schedule.due_at(), self.schedule.report_at())
        try:
            tasks = [wanted, *(request.task for request in self.open)]
            timeout = max(0.0, until - self.clock())
            await asyncio.wait(tasks, timeout=timeout, return_when=asyncio.FIRST_COMPLETED)
        finally:
            wanted.cancel()
        if self.platform.refresh_requested.is_set():
            self.platform.refresh_requested.clear()
            self.schedule.wanted(self.clock())
        for request in [each for each in self.open if each.task.done()]:
            await self._ended(request)

    async def _ended(self, request: ListRequest) -> None:
        if request not in self.open or request.address != self.platform.address:
            return  # a later one is answered; or the address is another one now
        is_last = request is self.open[-1]
        try:
            self.apply(request.message(), request)
        except REQUEST_ERRORS as error:
            self.open.remove(request)
            if is_last:
                self._failed(error)
            return
        await self._give_up(self.open[: self.open.index(request) + 1])  # older ones have nothing newer
        if is_last:
            self.schedule.answered(request.is_prompt(self.clock()))

    # -- answers ------------------------------------------------------------------------------------

    def apply(self, message: dict, request: ListRequest) -> None:
        """Put an answer in force and publish it, or doubt it; raises one of REQUEST_ERRORS."""
        version, whole = read_version(message)
        if not believes(version, whole, self.members.index, request.asked_whole):
            return self.doubt(version, request)
        update = self.take_answer(message, request.began, self.address)
        if update.endpoints or update.whole:
            details = {"entries": len(update.endpoints), "whole": update.whole}
            event("list.changed", version=self.members.index, **details)
        if update.endpoints or update.whole or self.is_reported:
            self.publish(update)
        if not self.healthy:
            event("list.flowing")
        self.healthy, self.is_reported = True, False
        self._answered(request)
        if self.members.displaced:
            self.state.update("disputed", request.began)
            self.schedule.hurry()

    def _answered(self, request: ListRequest) -> None:
        now = self.clock()
        if request.is_prompt(now):
            return self.state.update("told", request.began)
        event("list.slow", seconds=round(now - request.began, 1))
        self.state.update("late", request.began)

    def doubt(self, version: int, request: ListRequest) -> None:
        """Have the whole list requested at once; raises BadList if that was the request answered so."""
        event("list.older", version=version, in_force=self.members.index)
        if request.asked_whole:
            raise BadList(f"a change of version {version}, older than {self.members.index}")
        self.state.update("older", self.clock())
        self.schedule.hurry()

    # -- failures -----------------------------------------------------------------------------------

    def _report_missing(self) -> None:
        """Report that the last request has no answer yet, once that is due."""
        if self.clock() >= self.schedule.report_at():
            self.state.update("failed", self.clock())
            self.schedule.reported()
            self._report()

    def _failed(self, error: Exception) -> None:
        self.state.update("restarted" if shows_process_ended(error) else "failed", self.clock())
        self.schedule.failed()
        self._log_blocked(repr(error))
        self._report()

    def _report(self) -> None:
        self.is_reported = True
        self.publish(interface.ListUpdate(failed=True, confirmed_at=self.state.confirmed_at))

    def _log_blocked(self, why: str) -> None:
        if self.healthy:
            event("list.blocked", why=why)
        self.healthy = False

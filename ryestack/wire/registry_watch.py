"""Following the registry's list: the requests for it, and the watch that waits for changes."""

import asyncio
import json
from contextlib import suppress

import aiohttp

from .. import interface
from ..membership.following import WatchState
from ..observe.log import event
from .members import BadList, Members, read_version
from .platform import PlatformClient

MIN_REQUEST_INTERVAL_S = 0.1  # where answers or failures come at once; a watch continues within 200 ms
INITIAL_FETCH_TIMEOUT_S = 0.3  # at a start: an agent on the same machine answers at once, or is down
REQUEST_ERRORS = (aiohttp.ClientError, OSError, TimeoutError, ValueError, RecursionError, BadList)


class RegistryDirectory:
    """A Directory that follows the list of the platform's registry. known: the list of the configuration."""

    def __init__(self, platform: PlatformClient, known: dict):
        self.platform, self.members = platform, Members()
        self.initial_update = self.members.apply_list(known)

    def initial_list(self) -> interface.ListUpdate:
        return self.initial_update

    async def fetch_initial(self) -> list[interface.ListUpdate]:
        """The registry's current list, if it answers at once: it is in force before the first push."""
        try:
            query = {"from": str(self.members.index), "hold_ms": "0"}
            status, body = await self.platform.request(
                "GET", "/catalog/members", INITIAL_FETCH_TIMEOUT_S, params=query
            )
            message = json.loads(body)
            version, _ = read_version(message)
            if status != 200 or version < self.members.index:  # the watch asks again before it believes that
                return []
            return [self.members.apply_list(message)]
        except REQUEST_ERRORS:
            return []

    async def run(self, publish) -> None:
        await watch(self.platform, self.members, lambda update: publish([update]))

    def refresh(self) -> None:
        self.platform.refresh_requested.set()


class FixedDirectory(RegistryDirectory):
    """A Directory with the list of the configuration, which never changes: nothing is requested."""

    async def fetch_initial(self) -> list[interface.ListUpdate]:
        return []

    def refresh(self) -> None:
        pass

    async def run(self, publish) -> None:
        await asyncio.Event().wait()


async def watch(platform: PlatformClient, members: Members, publish) -> None:
    """Follow the list as long as the process lives; a silent registry leaves the last list in force."""
    await RegistryWatch(platform, members, publish).run()


class RegistryWatch:
    """The requests that follow the list.

    A failed request is published, with the time of the registry's last answer. When to request again is
    decided elsewhere (`platform.refresh_requested`): relays that all ask an overloaded registry ten times a
    second keep it overloaded. At a new address the watch starts with the whole list: versions there need not
    continue the old ones.
    """

    def __init__(self, platform: PlatformClient, members: Members, publish):
        self.platform, self.members, self.publish = platform, members, publish
        self.clock = asyncio.get_running_loop().time
        self.address, self.healthy, self.state = platform.address, True, WatchState(self.clock())

    async def run(self) -> None:
        while True:
            began, requested = self.clock(), self.platform.address
            if self.address != requested:
                self.address = requested
                self.state.update("moved", began)
            try:
                self.apply(await self.request(), began)
            except REQUEST_ERRORS as error:
                await self.failed(error)
            await asyncio.sleep(began + MIN_REQUEST_INTERVAL_S - self.clock())

    async def request(self) -> dict:
        """The registry's answer; raises one of REQUEST_ERRORS."""
        query = {"from": str(self.members.index), "hold_ms": str(int(self.state.hold() * 1000))}
        parameters = {} if self.state.requests_whole_list() else query
        timeout = self.state.timeout()
        status, body = await self.platform.request("GET", "/catalog/members", timeout, params=parameters)
        if status != 200:
            raise BadList(f"status {status}")
        return json.loads(body)

    def apply(self, message: dict, requested_at: float) -> None:
        """Put an answer in force and publish it, or doubt it; raises one of REQUEST_ERRORS."""
        version, whole = read_version(message)
        if not self.state.believes(version, whole, self.members.index):
            return self.doubt(version)
        update = self.members.apply_list(message)
        if update.endpoints or update.whole or not self.healthy:
            details = {"entries": len(update.endpoints), "whole": update.whole}
            event("list.changed", version=self.members.index, **details)
            self.publish(update)
        if not self.healthy:
            event("list.flowing")
        self.healthy = True
        self.state.update("told", requested_at)

    def doubt(self, version: int) -> None:
        """Have the whole list requested at once; raises BadList if that was the request answered so."""
        event("list.older", version=version, in_force=self.members.index)
        if self.state.requests_whole_list():
            raise BadList(f"a change of version {version}, older than {self.members.index}")
        self.state.update("older", self.clock())

    async def failed(self, error: Exception) -> None:
        """Publish a failure at the address in force, and wait until the list is wanted again."""
        self.state.update("failed", self.clock())
        if self.address != self.platform.address:
            return
        if self.healthy:
            event("list.blocked", why=repr(error))
            self.healthy = False
        self.platform.refresh_requested.clear()
        self.publish(interface.ListUpdate(failed=True, confirmed_at=self.state.confirmed_at))
        with suppress(TimeoutError):  # the list's maximum age holds whatever the decision module says
            async with asyncio.timeout(self.state.max_retry_delay):
                await self.platform.refresh_requested.wait()

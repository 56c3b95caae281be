"""Following the registry's list: the requests for it, and the watch that waits for changes."""

import asyncio
import json
from contextlib import suppress

import aiohttp

from .. import interface
from ..membership.following import WatchState
from ..observe.log import event
from .members import BadList, Members
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
            return [self.members.apply_list(json.loads(body))] if status == 200 else []
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
    """Follow the list as long as the process lives; a silent registry leaves the last list in force.

    A failed request is published, with the time of the registry's last answer. When to request again is
    decided elsewhere (`platform.refresh_requested`): relays that all ask an overloaded registry ten times a
    second keep it overloaded. At a new address the watch starts with the whole list: versions there need not
    continue the old ones.
    """
    clock = asyncio.get_running_loop().time
    address, healthy, state = platform.address, True, WatchState(clock())
    while True:
        began, requested = clock(), platform.address
        if address != requested:
            state.update("moved", began)
        query = {"from": str(members.index), "hold_ms": str(int(state.hold() * 1000))}
        try:
            status, body = await platform.request(
                "GET", "/catalog/members", state.timeout(), params=query if address == requested else {}
            )
            if status != 200:
                raise BadList(f"status {status}")
            update, address = members.apply_list(json.loads(body)), requested
            if update.endpoints or update.whole or not healthy:
                details = {"entries": len(update.endpoints), "whole": update.whole}
                event("list.changed", version=members.index, **details)
                publish(update)
            if not healthy:
                event("list.flowing")
            healthy = True
            state.update("told", began)
        except REQUEST_ERRORS as error:
            state.update("failed", clock())
            if healthy and requested == platform.address:
                event("list.blocked", why=repr(error))
                healthy = False
            if requested == platform.address:
                platform.refresh_requested.clear()
                publish(interface.ListUpdate(failed=True, confirmed_at=state.confirmed_at))
                with suppress(TimeoutError):  # the list's maximum age holds whatever the decision module says
                    async with asyncio.timeout(state.max_retry_delay):
                        await platform.refresh_requested.wait()
        await asyncio.sleep(began + MIN_REQUEST_INTERVAL_S - clock())

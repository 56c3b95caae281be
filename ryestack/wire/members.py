"""The registry's list: its JSON form, where each endpoint is reached, and the watch that follows it."""

import asyncio
import json
import time
from collections import Counter
from contextlib import suppress
from math import isfinite

import aiohttp

from .. import interface as it
from ..membership.following import Following
from ..observe.log import event
from .platform import PlatformClient

LISTED = {"up": it.Listed.READY, "draining": it.Listed.DRAINING, "removed": it.Listed.GONE}
BARE = 60.0  # a destination without endpoints is one we know for so long
PAUSE = 0.1  # between calls at least, if answers or failures come at once; a watch goes on within 200 ms
FIRST = 0.3  # seconds for the first word at a start: an agent beside us answers at once, or is down
INVALID_VALUE_ERRORS = (
    KeyError,
    TypeError,
    ValueError,
    ArithmeticError,
)  # what a value of the wrong kind raises


class BadList(Exception):
    """A list that cannot be read."""


UNHEARD = (aiohttp.ClientError, OSError, TimeoutError, ValueError, RecursionError, BadList)


def read_list(told: dict, known: dict[str, dict]) -> tuple[int, it.ListUpdate, dict[str, dict]]:
    """The version, what the decisions are told, and the rows by name.

    A row may leave out what is known; one that cannot be read is passed over, so that it hides no other.
    """
    rows, endpoints = {}, []
    try:
        index, whole, entries = int(told["index"]), told["snapshot"] is True, list(told["endpoints"])
    except INVALID_VALUE_ERRORS as problem:
        raise BadList(f"{type(problem).__name__}: {problem}") from None
    for entry in entries:
        try:
            row = {**known.get(entry["name"], {}), **entry}
            if row["status"] == "removed" and entry["name"] not in known:
                continue  # never here, or gone before
            endpoints.append(read_row(row))
            rows[row["name"]] = row
        except INVALID_VALUE_ERRORS as problem:
            event("list.row_bad", version=index, why=repr(problem))
    return index, it.ListUpdate(tuple(endpoints), whole=whole), rows


def read_row(row: dict) -> it.Endpoint:
    name, zone, kind = str(row["name"]), str(row["zone"]), str(row["type"])
    listed = LISTED.get(row["status"], it.Listed.DRAINING)  # a word we do not know: nothing new goes there
    if not row["address"]:
        raise ValueError("no address")
    weight = float(row.get("weight", 1.0))
    if not isfinite(weight):
        raise ValueError("the weight is no number")
    return it.Endpoint(name, zone, kind, int(row["group"]), listed, weight)


class Members:
    """Where endpoints are reached, of what kind they are, as last told, and which destinations there are.

    scoped: whether other relays may serve destinations that are not listed here.
    """

    scoped = False

    def __init__(self, clock=time.monotonic):
        self.index, self.rows, self.clock = 0, {}, clock
        self.removed: set[str] = set()  # names of rows that stand as removed
        self.endpoints: Counter[int] = Counter()  # destination -> its rows, removed ones too; never 0
        self.bare: dict[int, float] = {}  # destinations that lost an endpoint, since when; oldest first

    def apply_list(self, told: dict) -> it.ListUpdate:
        self.index, update, rows = read_list(told, self.rows)
        for name in set(self.rows) - set(rows) if update.whole else ():
            rows[name] = {**self.rows[name], "status": "removed"}
        for name, row in rows.items():
            self.put(name, row)
        return update

    def put(self, name: str, row: dict) -> None:
        if name in self.rows:
            self.uncount(self.rows[name])
        self.rows[name] = row
        self.endpoints[int(row["group"])] += 1
        if row["status"] == "removed":
            self.removed.add(name)
        else:
            self.removed.discard(name)

    def uncount(self, row: dict) -> int:
        """One endpoint less of that row's destination; returns the destination."""
        destination = int(row["group"])
        self.endpoints[destination] -= 1
        if not self.endpoints[destination]:
            del self.endpoints[destination]
        return destination

    def drop_removed(self) -> set[str]:
        """Drop the rows that stand as removed, once the decisions know of it; returns their names."""
        gone, self.removed = self.removed, set()
        for name in gone:
            destination = self.uncount(self.rows.pop(name))
            self.bare.pop(destination, None)  # it goes to the end: the oldest stay first
            self.bare[destination] = self.clock()
        return gone

    def has(self, destination: int) -> bool:
        """A destination outlives its endpoints for a while: they are replaced one by one, or all at once."""
        while self.bare and next(iter(self.bare.values())) + BARE <= self.clock():
            del self.bare[next(iter(self.bare))]
        return destination in self.bare or destination in self.endpoints

    def listed_names(self) -> list[str]:
        return [name for name, row in self.rows.items() if row["status"] != "removed"]

    def address(self, endpoint: str) -> str | None:
        return self.rows[endpoint]["address"] if endpoint in self.rows else None

    def kind(self, endpoint: str) -> str | None:
        return self.rows[endpoint]["type"] if endpoint in self.rows else None


class RegistryDirectory:
    """The platform's registry as a Directory: its list, and the watch that follows it."""

    def __init__(self, platform: PlatformClient, known: dict):
        self.platform, self.members = platform, Members()
        self.first = self.members.apply_list(known)

    def initial_list(self) -> it.ListUpdate:
        return self.first

    async def fetch_initial(self) -> list[it.ListUpdate]:
        """What the registry has now, if it says so at once: it counts from the first moment of a process."""
        try:
            query = {"from": str(self.members.index), "hold_ms": "0"}
            status, body = await self.platform.ask("GET", "/catalog/members", FIRST, params=query)
            return [self.members.apply_list(json.loads(body))] if status == 200 else []
        except UNHEARD:
            return []

    async def run(self, tell) -> None:
        await watch(self.platform, self.members, lambda update: tell([update]))

    def refresh(self) -> None:
        self.platform.asked.set()


class FixedDirectory(RegistryDirectory):
    """The list that the configuration knew, for good: nothing is asked."""

    async def fetch_initial(self) -> list[it.ListUpdate]:
        return []

    def refresh(self) -> None:
        pass

    async def run(self, tell) -> None:
        await asyncio.Event().wait()


async def watch(platform: PlatformClient, members: Members, tell) -> None:
    """Follow the list for as long as the process lives; a silent registry leaves the old one in force.

    An asking that fails is told, with the time of the registry's last word; when to ask again is decided
    elsewhere (`platform.asked`): relays that all ask a full registry ten times a second keep it full. At a
    new address it starts with the whole list: versions there need not go on from the old ones.
    """
    clock = asyncio.get_running_loop().time
    address, well, following = platform.address, True, Following(clock())
    while True:
        began, asked = clock(), platform.address
        if address != asked:
            following.heard("moved", began)
        query = {"from": str(members.index), "hold_ms": str(int(following.hold() * 1000))}
        try:
            status, body = await platform.ask(
                "GET", "/catalog/members", following.limit(), params=query if address == asked else {}
            )
            if status != 200:
                raise BadList(f"status {status}")
            update, address = members.apply_list(json.loads(body)), asked
            if update.endpoints or update.whole or not well:
                told = {"entries": len(update.endpoints), "whole": update.whole}
                event("list.changed", version=members.index, **told)
                tell(update)
            if not well:
                event("list.flowing")
            well = True
            following.heard("told", began)
        except UNHEARD as problem:
            following.heard("failed", clock())
            if well and asked == platform.address:
                event("list.blocked", why=repr(problem))
                well = False
            if asked == platform.address:
                platform.asked.clear()
                tell(it.ListUpdate(failed=True, sure_at=following.sure_at))
                with suppress(TimeoutError):  # whatever the decisions say, the clock is met
                    async with asyncio.timeout(following.rest):
                        await platform.asked.wait()
        await asyncio.sleep(began + PAUSE - clock())

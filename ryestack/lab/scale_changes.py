"""Destinations and changes of a scale run: sends them to the control machines and keeps the answers."""

import asyncio
import itertools
import time
from collections.abc import Iterator
from contextlib import suppress
from dataclasses import dataclass, replace
from random import Random

import aiohttp
import msgspec

from .scale_book import digest, value_digest
from .scale_judge import Change
from .scale_plan import REGIONS, ScalePlan
from .trial import TrialFailed

ENTRIES_PER_BATCH = 1000  # in one change while the run is set up
CONCURRENT_BATCHES = 4
BATCH_TIMEOUT_S = 120.0  # for one batch, over all tries
TRY_TIMEOUT_S = 5.0  # for the answer to one try of a change
CHANGE_TIMEOUT_S = 20.0  # for a change, over all tries
BAD_REQUEST = 400
RETRY_INTERVAL_S = 0.2  # between tries
SHARED_EVERY = 4  # every fourth steady change is shared by all relays
SETTINGS = 16  # shared keys that changes cycle through
CHANGED_DESTINATIONS = 64  # destinations that changes cycle through; they get no load
LAST_LOADED = (
    "setting/scale-loaded"  # shared and loaded last: a relay that has it has all that was loaded before
)
ENDPOINTS = ("a", "b")
WEIGHT = 50.0


class NotAnswered(Exception):
    """No control machine confirmed a change; it may be in force or not."""


def region_of(destination: int) -> str:
    """The home region of a destination."""
    return REGIONS[destination % len(REGIONS)]


def destination_key(destination: int) -> str:
    """The key of a destination in the control store."""
    return f"destination/{destination}"


def destination_value(destination: int, addresses: list[str], weight: float = WEIGHT) -> dict:
    """The value of a destination with two endpoints; addresses: of partner stand-ins, used round-robin."""
    region = region_of(destination)
    endpoints = [
        {
            "name": f"d{destination}{letter}", "zone": f"{region}-{number}", "type": "shop", "status": "up",
            "address": addresses[(destination + number) % len(addresses)], "weight": weight,
        }
        for number, letter in enumerate(ENDPOINTS)
    ]  # fmt: skip
    return {"region": region, "endpoints": endpoints}


@dataclass(frozen=True, slots=True)
class Accepted:
    """The version that contains a change, and how many tries it took."""

    version: int
    tries: int


class _Answer(msgspec.Struct):
    """A control machine's answer: the version, or the address of the leader."""

    version: int = 0
    address: str = ""


class Changes:
    """Sends changes to the control machines and keeps the answers.

    addresses: listen address by machine; partners: addresses of the endpoints.
    """

    def __init__(self, plan: ScalePlan, addresses: dict[str, str], partners: list[str], seed: int):
        self.plan, self.addresses, self.partners = plan, addresses, partners
        self.random, self.addresses_by_preference = Random(f"{seed} changes"), list(addresses.values())
        self.made: list[Change] = []
        self.doubtful: list[Change] = []  # earlier tries, which may be in force, even after a later change
        self.counts = {True: 0, False: 0}  # of changes, by whether they are shared
        self.newest, self.newest_shared = 0, 0
        self.session: aiohttp.ClientSession | None = None

    async def open(self) -> None:
        self.session = aiohttp.ClientSession(cookie_jar=aiohttp.DummyCookieJar())

    async def close(self) -> None:
        if self.session:
            await self.session.close()

    # -- setting up -------------------------------------------------------------------------------------

    async def load(self) -> None:
        """Loads all relays' locations, then all destinations; raises TrialFailed."""
        places = ((f"relay/{p.name}", {"region": p.region, "zone": p.zone}) for p in self.plan.relays)
        numbers = range(self.plan.destinations)
        destinations = ((destination_key(n), destination_value(n, self.partners)) for n in numbers)
        for rows in (places, destinations, iter([(LAST_LOADED, {})])):
            await asyncio.gather(*(self._load(rows) for _ in range(CONCURRENT_BATCHES)))
        self.newest_shared = self.newest

    async def _load(self, rows: Iterator[tuple[str, dict]]) -> None:
        """Sends the rest of the rows batch by batch; several workers share the iterator."""
        while batch := list(itertools.islice(rows, ENTRIES_PER_BATCH)):
            await self._load_batch(batch)

    async def _load_batch(self, batch: list[tuple[str, dict]]) -> None:
        until = time.monotonic() + BATCH_TIMEOUT_S
        while time.monotonic() < until:
            with suppress(NotAnswered):
                accepted = await self.post(batch)
                self.newest = max(self.newest, accepted.version)
                return
        raise TrialFailed(f"no control machine accepted {len(batch)} entries within {BATCH_TIMEOUT_S:g} s")

    # -- measured changes -------------------------------------------------------------------------------

    def draw(self, shared: bool) -> tuple[str, dict]:
        """Key and value of the next change; each kind cycles through its keys."""
        self.counts[shared] += 1
        count = self.counts[shared]
        if shared:
            return f"setting/scale-{count % SETTINGS}", {"number": count, "note": "x" * 60}
        destination = count % min(CHANGED_DESTINATIONS, self.plan.destinations)
        weight = WEIGHT + count / 1000.0
        return destination_key(destination), destination_value(destination, self.partners, weight)

    async def one(self, shared: bool) -> Change:
        """Sends the next change and keeps its outcome; shared: whether it concerns all relays."""
        key, value = self.draw(shared)
        asked, accepted = time.monotonic(), Accepted(0, 0)
        with suppress(NotAnswered):
            accepted = await self.post([(key, value)])
        version = accepted.version
        made = Change(
            key=digest(key), value=value_digest(msgspec.json.encode(value)), shared=shared, asked=asked,
            answered=time.monotonic(), version=version,
        )  # fmt: skip
        self.made.append(made)
        if version and accepted.tries > 1:
            self.doubtful.append(replace(made, version=0))
        self.newest = max(self.newest, version)
        self.newest_shared = max(self.newest_shared, version if shared else 0)
        return made

    async def steady(self, rate: float) -> None:
        """Makes `rate` changes a second until it is cancelled, then waits for those in progress."""
        tasks: set[asyncio.Task] = set()
        try:
            for number in itertools.count():
                task = asyncio.ensure_future(self.one(number % SHARED_EVERY == 0))
                tasks.add(task)
                task.add_done_callback(tasks.discard)
                await asyncio.sleep(1.0 / rate)
        finally:
            if tasks:
                await asyncio.wait(tasks, timeout=TRY_TIMEOUT_S + CHANGE_TIMEOUT_S)

    async def burst(self, count: int, seconds: float) -> None:
        """Makes `count` changes evenly over some seconds without waiting for answers; half are shared."""
        tasks = []
        for number in range(count):
            tasks.append(asyncio.ensure_future(self.one(number % 2 == 0)))
            await asyncio.sleep(seconds / count)
        await asyncio.wait(tasks)

    # -- requests ---------------------------------------------------------------------------------------

    async def post(self, rows: list[tuple[str, dict]]) -> Accepted:
        """Sends values by key; raises NotAnswered.

        A try without an answer may be in force too: then two versions contain the same values.
        """
        body = msgspec.json.encode({"changes": [{"key": key, "value": value} for key, value in rows]})
        until, tries = time.monotonic() + CHANGE_TIMEOUT_S, 0
        while time.monotonic() < until:
            answer, tries = await self._try(body), tries + 1
            if answer.version:
                return Accepted(answer.version, tries)
            self._select_machine(answer.address)
            await asyncio.sleep(RETRY_INTERVAL_S)
        raise NotAnswered

    async def _try(self, body: bytes) -> _Answer:
        limit, url = (
            aiohttp.ClientTimeout(total=TRY_TIMEOUT_S),
            f"http://{self.addresses_by_preference[0]}/control/changes",
        )
        with suppress(aiohttp.ClientError, OSError, TimeoutError, msgspec.MsgspecError):
            async with self.session.post(url, data=body, timeout=limit) as answer:
                text = await answer.read()
                if answer.status == BAD_REQUEST:
                    raise TrialFailed(f"a control machine refused a change: {text.decode(errors='replace')}")
                return msgspec.json.decode(text, type=_Answer)
        return _Answer()

    def _select_machine(self, address: str) -> None:
        """Directs the next try to the leader where its address is known, else to the next machine."""
        if address in self.addresses_by_preference and address != self.addresses_by_preference[0]:
            self.addresses_by_preference.remove(address)
            self.addresses_by_preference.insert(0, address)
        else:
            self.addresses_by_preference.append(self.addresses_by_preference.pop(0))

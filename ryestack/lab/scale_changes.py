"""Destinations and changes of a scale run: what is handed to control machines, and what they answered."""

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

BATCH = 1000  # entries in one change while the run is being set up
BATCHES_AT_ONCE = 4
SETUP_WITHIN = 120.0  # seconds for one batch, over all tries
PATIENCE = 5.0  # seconds for the answer to one try of a change
ANSWERED_WITHIN = 20.0  # seconds for a change, over all tries
BAD_REQUEST = 400
PAUSE = 0.2  # seconds between tries
SHARED_EVERY = 4  # one in so many of the steady changes is shared by all relays
SETTINGS = 16  # shared keys that changes go round
CHANGED_DESTINATIONS = 64  # destinations that changes go round; no load goes to them
LAST_LOADED = "setting/scale-loaded"  # shared: who has it has all that was loaded before
ENDPOINTS = ("a", "b")
WEIGHT = 50.0


class NotAnswered(Exception):
    """No control machine said that a change holds; it may hold or not."""


def region_of(destination: int) -> str:
    return REGIONS[destination % len(REGIONS)]


def destination_key(destination: int) -> str:
    return f"destination/{destination}"


def destination_value(destination: int, addresses: list[str], weight: float = WEIGHT) -> dict:
    """A destination of two endpoints; addresses: of the partners' stand-ins, dealt in turn."""
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
class Taken:
    """The version that holds a change, and how many tries it took."""

    version: int
    tries: int


class _Told(msgspec.Struct):
    """A machine's answer: the version, or where the leader is."""

    version: int = 0
    address: str = ""


class Changes:
    """Hands changes to control machines and keeps what was answered.

    addresses: machine to where it listens; partners: addresses of endpoints.
    """

    def __init__(self, plan: ScalePlan, addresses: dict[str, str], partners: list[str], seed: int):
        self.plan, self.addresses, self.partners = plan, addresses, partners
        self.random, self.order = Random(f"{seed} changes"), list(addresses.values())
        self.made: list[Change] = []
        self.doubtful: list[Change] = []  # earlier tries of changes: they may hold, behind a later change too
        self.counts = {True: 0, False: 0}  # of changes, by whether all relays share them
        self.newest, self.newest_shared = 0, 0
        self.session: aiohttp.ClientSession | None = None

    async def open(self) -> None:
        self.session = aiohttp.ClientSession(cookie_jar=aiohttp.DummyCookieJar())

    async def close(self) -> None:
        if self.session:
            await self.session.close()

    # -- setting up -------------------------------------------------------------------------------------

    async def load(self) -> None:
        """All relays' places, then all destinations. Raises TrialFailed."""
        places = ((f"relay/{p.name}", {"region": p.region, "zone": p.zone}) for p in self.plan.relays)
        numbers = range(self.plan.destinations)
        destinations = ((destination_key(n), destination_value(n, self.partners)) for n in numbers)
        for rows in (places, destinations, iter([(LAST_LOADED, {})])):
            await asyncio.gather(*(self._load(rows) for _ in range(BATCHES_AT_ONCE)))
        self.newest_shared = self.newest

    async def _load(self, rows: Iterator[tuple[str, dict]]) -> None:
        """Hands in what is left of the rows, a batch at a time; several of these share them."""
        while batch := list(itertools.islice(rows, BATCH)):
            await self._load_batch(batch)

    async def _load_batch(self, batch: list[tuple[str, dict]]) -> None:
        until = time.monotonic() + SETUP_WITHIN
        while time.monotonic() < until:
            with suppress(NotAnswered):
                taken = await self.post(batch)
                self.newest = max(self.newest, taken.version)
                return
        raise TrialFailed(f"no control machine took {len(batch)} entries within {SETUP_WITHIN:g} s")

    # -- what is measured -------------------------------------------------------------------------------

    def draw(self, shared: bool) -> tuple[str, dict]:
        """Key and value of the next change; each kind goes round its keys."""
        self.counts[shared] += 1
        count = self.counts[shared]
        if shared:
            return f"setting/scale-{count % SETTINGS}", {"number": count, "note": "x" * 60}
        destination = count % min(CHANGED_DESTINATIONS, self.plan.destinations)
        weight = WEIGHT + count / 1000.0
        return destination_key(destination), destination_value(destination, self.partners, weight)

    async def one(self, shared: bool) -> Change:
        """Hands in the next change and enters what came of it; shared: whether all relays have it."""
        key, value = self.draw(shared)
        asked, taken = time.monotonic(), Taken(0, 0)
        with suppress(NotAnswered):
            taken = await self.post([(key, value)])
        version = taken.version
        made = Change(
            key=digest(key), value=value_digest(msgspec.json.encode(value)), shared=shared, asked=asked,
            answered=time.monotonic(), version=version,
        )  # fmt: skip
        self.made.append(made)
        if version and taken.tries > 1:
            self.doubtful.append(replace(made, version=0))
        self.newest = max(self.newest, version)
        self.newest_shared = max(self.newest_shared, version if shared else 0)
        return made

    async def steady(self, rate: float) -> None:
        """Changes at a rate a second until it is cancelled; those on their way are waited for."""
        tasks: set[asyncio.Task] = set()
        try:
            for number in itertools.count():
                task = asyncio.ensure_future(self.one(number % SHARED_EVERY == 0))
                tasks.add(task)
                task.add_done_callback(tasks.discard)
                await asyncio.sleep(1.0 / rate)
        finally:
            if tasks:
                await asyncio.wait(tasks, timeout=PATIENCE + ANSWERED_WITHIN)

    async def burst(self, count: int, seconds: float) -> None:
        """So many changes, evenly over some seconds, whatever is answered meanwhile; half are shared."""
        tasks = []
        for number in range(count):
            tasks.append(asyncio.ensure_future(self.one(number % 2 == 0)))
            await asyncio.sleep(seconds / count)
        await asyncio.wait(tasks)

    # -- the wire ---------------------------------------------------------------------------------------

    async def post(self, rows: list[tuple[str, dict]]) -> Taken:
        """Hands in values by key; raises NotAnswered.

        A try without an answer may hold too: then the same values hold by two versions.
        """
        body = msgspec.json.encode({"changes": [{"key": key, "value": value} for key, value in rows]})
        until, tries = time.monotonic() + ANSWERED_WITHIN, 0
        while time.monotonic() < until:
            told, tries = await self._try(body), tries + 1
            if told.version:
                return Taken(told.version, tries)
            self._turn_to(told.address)
            await asyncio.sleep(PAUSE)
        raise NotAnswered

    async def _try(self, body: bytes) -> _Told:
        limit, url = aiohttp.ClientTimeout(total=PATIENCE), f"http://{self.order[0]}/control/changes"
        with suppress(aiohttp.ClientError, OSError, TimeoutError, msgspec.MsgspecError):
            async with self.session.post(url, data=body, timeout=limit) as answer:
                text = await answer.read()
                if answer.status == BAD_REQUEST:
                    raise TrialFailed(f"a change was refused: {text.decode(errors='replace')}")
                return msgspec.json.decode(text, type=_Told)
        return _Told()

    def _turn_to(self, address: str) -> None:
        """The next try goes to the leader, where that was told, else to the next machine."""
        if address in self.order and address != self.order[0]:
            self.order.remove(address)
            self.order.insert(0, address)
        else:
            self.order.append(self.order.pop(0))

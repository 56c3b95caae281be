"""Load of a scale run: notifications for destinations that each real relay serves, and their check."""

import asyncio
from collections.abc import Callable, Iterable

from ..standins.partner import Partner
from ..standins.platform import Platform
from ..standins.stage import Endpoint, Pace, Stage
from ..standins.stage import Platform as PlatformStage
from .load import Load, Plan, Topic, settled
from .oracle import Handed, Judged

TOPICS = [
    Topic("balance", "repeatable", 12.0),
    Topic("points", "collapsible", 12.0),
    Topic("charge", "once-only", 12.0),
]
WINDOW = 6.0  # seconds in which notifications of the collapsible topic type collapse
PARTNER_ENDPOINTS = 12
SETTLE_MARGIN_S = 3.0  # past the longest time to live


def stage(seed: int) -> Stage:
    """Partner endpoints shared by many destinations, each at one address."""
    base = {"address": "127.0.0.1:0", "kind": "shop", "pace": Pace(mean=0.03), "slots": 64}
    rows = [Endpoint(f"partner{n}", n, **base) for n in range(PARTNER_ENDPOINTS)]
    platform = PlatformStage("127.0.0.1:0", "127.0.0.1:0")
    return Stage(endpoint=rows, platform=platform, control="127.0.0.1:0", seed=seed)


class StandIns:
    """Stand-ins for partners and platform, and the load; created and used within one running event loop."""

    def __init__(self, seed: int):
        self.seed, self.partner, self.platform = seed, Partner(stage(seed)), None
        self.loads: list[Load] = []

    async def start(self) -> None:
        await self.partner.start()
        addresses = {name: place.address for name, place in self.partner.places.items()}
        self.platform = Platform(self.partner.stage, addresses)
        await self.platform.start()

    @property
    def partner_addresses(self) -> list[str]:
        return [place.address for place in self.partner.places.values()]

    @property
    def handed(self) -> list[Handed]:
        return [one for load in self.loads for one in load.handed]

    def begin(self, served: dict[str, list[int]], rate: float, seconds: float) -> list[asyncio.Task]:
        """Starts a load at each relay (destinations by address); rate: requests a second at each."""
        for number, (address, destinations) in enumerate(served.items()):
            plan = Plan(
                TOPICS, destinations, ["acme"], rate=rate, seconds=seconds, seed=self.seed * 1000 + number,
                window=WINDOW, connections=8,
            )  # fmt: skip
            self.loads.append(Load(plan, [address]))
        return [asyncio.ensure_future(load.run()) for load in self.loads]

    async def judged(self) -> Judged:
        """Waits until each accepted notification has its outcome or its time has passed, then checks them."""
        return await settled(
            _CombinedLoads(self.handed), self._books, max(t.ttl for t in TOPICS) + SETTLE_MARGIN_S
        )

    async def _books(self):
        books = self.partner.books, self.platform.books
        return books[0].runs, books[1].notices, books[0].whole and books[1].whole

    async def close(self) -> None:
        await self.partner.close()
        if self.platform:
            await self.platform.close()


class _CombinedLoads:
    """Several loads combined into the form of one."""

    def __init__(self, handed: list[Handed]):
        self.handed, self.plan = handed, Plan(TOPICS, [], window=WINDOW)


def served_by(
    relays: dict[str, str], destinations: Iterable[int], relays_of: Callable[[int], set[str]]
) -> dict[str, list[int]]:
    """Maps each relay's address to those of the destinations that it serves; relays: name to address."""
    served: dict[str, list[int]] = {}
    for number in destinations:
        for name in relays_of(number) & relays.keys():
            served.setdefault(relays[name], []).append(number)
    return served

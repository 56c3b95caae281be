"""Which way each relay and machine of a scale run reaches a control machine: straight, or through a link.

Links (standins/links.py) stand where a story cuts or where bytes are counted: before one machine, between two
regions, and before every machine for the relays whose traffic is measured.
"""

import asyncio
import time
from dataclasses import dataclass, field

from ..standins.links import Link
from .scale_plan import Machine, Place

ENDS_WITHIN = 2.0  # seconds for connections that were ended
LOOK = 0.05


@dataclass(frozen=True, slots=True)
class Traffic:
    """Sums over a group's links: bytes both ways, and pieces read (a short message is one)."""

    carried: int
    reads: int


@dataclass(slots=True)
class Roads:
    """The links of a run. group: those who share links: `real`, `sample`, `region`, or a machine's name."""

    machines: list[Machine]
    addresses: dict[str, str]  # machine to its own address
    faulty: str  # the machine before which a link stands for all
    parted: tuple[str, str]  # the two regions between which links stand
    seed: int
    links: dict[tuple[str, str], Link] = field(default_factory=dict)
    regions: dict[str, str] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.regions = {machine.place.name: machine.place.region for machine in self.machines}

    def needed(self, region: str, machine: str) -> bool:
        return machine == self.faulty or {region, self.regions[machine]} == set(self.parted)

    async def table(self, group: str, place: Place, measured: bool = False) -> dict[str, str]:
        """Machine to address, as one at a place sees them; links are opened at the first who needs them."""
        found = {}
        for machine, address in self.addresses.items():
            if machine == place.name or not (measured or self.needed(place.region, machine)):
                found[machine] = address
                continue
            key = (f"{group}@{place.region}", machine)
            if key not in self.links:
                host, _, port = address.rpartition(":")
                self.links[key] = Link((host, int(port)), self.seed * 1000 + len(self.links))
                await self.links[key].start()
            found[machine] = self.links[key].address
        return found

    def turn_machine(self, mode: str, delay: float = 0.5, rate: float = 20_000.0) -> None:
        """All links to the faulty machine."""
        for (_, machine), link in self.links.items():
            if machine == self.faulty:
                link.rate = rate
                link.turn(mode, delay)

    def turn_regions(self, mode: str) -> None:
        """All links between the two regions, both ways."""
        for (group, machine), link in self.links.items():
            if {group.rpartition("@")[2], self.regions[machine]} == set(self.parted):
                link.turn(mode)

    def traffic(self, group: str) -> Traffic:
        mine = [link for (name, _), link in self.links.items() if name.rpartition("@")[0] == group]
        return Traffic(sum(link.carried for link in mine), sum(link.reads for link in mine))

    async def close(self) -> None:
        """Ends all connections, lets those who serve them end, then closes the links."""
        for link in self.links.values():
            link.turn("refuse")
        until = time.monotonic() + ENDS_WITHIN
        while time.monotonic() < until and any(link.tasks for link in self.links.values()):
            await asyncio.sleep(LOOK)
        for link in self.links.values():
            await link.close()

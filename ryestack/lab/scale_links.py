"""How each relay and machine of a scale run reaches a control machine: directly or through a link.

Links (standins/links.py) are used where a story injects faults or bytes are counted: in front of one machine,
between two regions, and in front of every machine for the relays whose traffic is measured.
"""

import asyncio
import time
from dataclasses import dataclass, field

from ..standins.links import Link
from .scale_plan import Machine, Place

CLOSE_TIMEOUT_S = 2.0  # for connections that were refused
POLL_INTERVAL_S = 0.05


@dataclass(frozen=True, slots=True)
class Traffic:
    """Totals over a group's links: bytes in both directions, and reads (one for a short message)."""

    carried: int
    reads: int


@dataclass(slots=True)
class LinkTable:
    """The links of a run.

    group: names the relays that share links: `real`, `sample`, `region`, or a machine's name.
    """

    machines: list[Machine]
    addresses: dict[str, str]  # listen address by machine
    faulty: str  # the machine that all others reach through links
    parted: tuple[str, str]  # the two regions with links between them
    seed: int
    links: dict[tuple[str, str], Link] = field(default_factory=dict)
    regions: dict[str, str] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.regions = {machine.place.name: machine.place.region for machine in self.machines}

    def needs_link(self, region: str, machine: str) -> bool:
        """Whether a region reaches a machine through a link, so that a story can inject faults."""
        return machine == self.faulty or {region, self.regions[machine]} == set(self.parted)

    async def address_table(self, group: str, place: Place, measured: bool = False) -> dict[str, str]:
        """Returns the address of each machine as seen from a place; opens a link when it is first needed."""
        found = {}
        for machine, address in self.addresses.items():
            if machine == place.name or not (measured or self.needs_link(place.region, machine)):
                found[machine] = address
                continue
            key = (f"{group}@{place.region}", machine)
            if key not in self.links:
                host, _, port = address.rpartition(":")
                self.links[key] = Link((host, int(port)), self.seed * 1000 + len(self.links))
                await self.links[key].start()
            found[machine] = self.links[key].address
        return found

    def set_machine_mode(self, mode: str, delay: float = 0.5, rate: float = 20_000.0) -> None:
        """Sets the mode of all links to the faulty machine; delay in seconds, rate in bytes a second."""
        for (_, machine), link in self.links.items():
            if machine == self.faulty:
                link.rate = rate
                link.turn(mode, delay)

    def set_region_mode(self, mode: str) -> None:
        """Sets the mode of all links between the two regions, in both directions."""
        for (group, machine), link in self.links.items():
            if {group.rpartition("@")[2], self.regions[machine]} == set(self.parted):
                link.turn(mode)

    def traffic(self, group: str) -> Traffic:
        """Totals over the links of a group."""
        mine = [link for (name, _), link in self.links.items() if name.rpartition("@")[0] == group]
        return Traffic(sum(link.carried for link in mine), sum(link.reads for link in mine))

    async def close(self) -> None:
        """Ends all connections, waits for their tasks to finish, then closes the links."""
        for link in self.links.values():
            link.turn("refuse")
        deadline = time.monotonic() + CLOSE_TIMEOUT_S
        while time.monotonic() < deadline and any(link.tasks for link in self.links.values()):
            await asyncio.sleep(POLL_INTERVAL_S)
        for link in self.links.values():
            await link.close()

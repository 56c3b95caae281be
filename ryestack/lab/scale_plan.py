"""What a scale run needs of the machine, worked out before anything is started. Pure.

Sizes are bytes. The costs are measured ones, rounded up; `docs/lab.md` says how.
"""

import math
from bisect import bisect_left
from dataclasses import dataclass, field

REGIONS = [f"region-{number}" for number in range(7)]
ZONES_IN_REGION = (3, 3, 2, 2, 2, 2, 2)  # 16 in all
DESTINATIONS_PER_RELAY = 72  # 860,000 destinations over 12,000 relays
RELAYS_PER_MACHINE = 600
FEWEST_MACHINES, MOST_MACHINES = 3, 20
VOTERS_OF_FEW, VOTERS_OF_MANY = 3, 5
RELAYS_PER_HOST = 400
MOST_PROCESSES = 200
MOST_RELAYS = 12_000
MEMORY_PART = 0.5  # of the computer's memory

MEGABYTE = 1_000_000
HOST_MEMORY = 55 * MEGABYTE
HOLLOW_MEMORY = 220_000  # a hollow relay: its client, its connection at both ends, its scope
REAL_MEMORY = 45 * MEGABYTE
MACHINE_MEMORY = 120 * MEGABYTE
DESTINATION_MEMORY = 550  # at each control machine
OWN_MEMORY = 300 * MEGABYTE  # of the run itself: links, load, books
OWN_DESCRIPTORS = 300
REAL_DESCRIPTORS = 2  # links that the run holds open for each relay that is measured or cut off


class DoesNotFit(Exception):
    """The run does not fit into this computer; the text has a line a reason."""


@dataclass(frozen=True, slots=True)
class Limits:
    """What there is: memory (bytes), descriptors a process, ports of outgoing connections, processes."""

    memory: int
    descriptors: int
    ports: int
    processes: int = MOST_PROCESSES


@dataclass(frozen=True, slots=True)
class Place:
    """Where a relay or a machine stands."""

    name: str
    region: str
    zone: str


@dataclass(frozen=True, slots=True)
class Machine:
    """A control machine."""

    place: Place
    voter: bool


@dataclass(frozen=True, slots=True)
class ScalePlan:
    """Who takes part: real relays, relays without control to compare them with, hollow ones, machines."""

    real: list[Place]
    plain: list[str]
    hosts: list[list[Place]]
    machines: list[Machine]
    destinations: int
    needs: dict[str, int] = field(default_factory=dict)

    @property
    def relays(self) -> list[Place]:
        """Real and hollow ones."""
        return self.real + [place for host in self.hosts for place in host]


def place(prefix: str, number: int) -> Place:
    """Places are dealt in turn: over the regions, then over the zones of each."""
    region = number % len(REGIONS)
    zone = number // len(REGIONS) % ZONES_IN_REGION[region]
    return Place(f"{prefix}{number}", REGIONS[region], f"{REGIONS[region]}-{zone}")


def machine_count(relays: int) -> int:
    return min(MOST_MACHINES, max(FEWEST_MACHINES, math.ceil(relays / RELAYS_PER_MACHINE)))


def make_plan(relays: int, real: int, plain: int, limits: Limits) -> ScalePlan:
    """The plan for so many relays, `real` of them processes; raises DoesNotFit.

    plain: further relays without control, whose processor time is what the others' is compared with.
    """
    if not 0 <= real <= relays <= MOST_RELAYS:
        raise DoesNotFit(f"{relays} relays, {real} real: at most {MOST_RELAYS}, no more real ones than all")
    places = [place("r", number) for number in range(relays)]
    hollow = places[real:]
    host_count = math.ceil(len(hollow) / RELAYS_PER_HOST)
    machines = machine_count(relays)
    voters = VOTERS_OF_MANY if machines >= VOTERS_OF_MANY else VOTERS_OF_FEW
    made = ScalePlan(
        real=places[:real],
        plain=[f"plain{number}" for number in range(plain)],
        hosts=[hollow[number::host_count] for number in range(host_count)],
        machines=[Machine(place("m", number), number < voters) for number in range(machines)],
        destinations=DESTINATIONS_PER_RELAY * relays,
    )
    made.needs.update(needs_of(made))
    if reasons := reasons_against(made.needs, limits):
        raise DoesNotFit("\n".join(reasons))
    return made


def needs_of(plan: ScalePlan) -> dict[str, int]:
    """Memory of all processes; descriptors and ports of who needs most of them; processes."""
    relays, machines = len(plan.relays), len(plan.machines)
    hollow = relays - len(plan.real)
    memory = (
        OWN_MEMORY
        + len(plan.hosts) * HOST_MEMORY
        + hollow * HOLLOW_MEMORY
        + (len(plan.real) + len(plan.plain)) * REAL_MEMORY
        + machines * (MACHINE_MEMORY + plan.destinations * DESTINATION_MEMORY)
    )
    at_machine = 2 * math.ceil(relays / machines)  # twice its part, when others are gone
    at_host = max((len(host) for host in plan.hosts), default=0)
    through_links = 2 * (
        2 * len(plan.real) + math.ceil(relays / machines) + 2 * math.ceil(relays / len(REGIONS))
    )
    return {
        "memory": memory,
        "descriptors": OWN_DESCRIPTORS + max(at_machine, 2 * at_host, through_links),
        "ports": 2 * at_machine,  # to one address; a closed connection holds its port for a while
        "processes": 1 + len(plan.hosts) + len(plan.real) + len(plan.plain) + machines,
    }


def reasons_against(needs: dict[str, int], limits: Limits) -> list[str]:
    """A line for each need that goes beyond its limit."""
    found = {
        "memory": (needs["memory"], int(limits.memory * MEMORY_PART), "bytes of memory"),
        "descriptors": (needs["descriptors"], limits.descriptors, "descriptors in one process"),
        "ports": (needs["ports"], limits.ports, "ports for connections to one address"),
        "processes": (needs["processes"], limits.processes, "processes"),
    }
    return [
        f"needs {need:,} {what}, {there:,} allowed" for need, there, what in found.values() if need > there
    ]


def largest(real: int, plain: int, limits: Limits, step: int = 100) -> int:
    """The largest size, in steps, that fits; 0 if none does."""

    def refused(steps: int) -> bool:
        try:
            make_plan(steps * step, min(real, steps * step), plain, limits)
        except DoesNotFit:
            return True
        return False

    sizes = range(1, MOST_RELAYS // step + 1)
    return step * bisect_left(sizes, True, key=refused)

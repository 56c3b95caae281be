"""Plan of a scale run and what it needs of the computer, worked out before anything is started. Pure.

Sizes are bytes. The costs are measured values, rounded up; `docs/lab.md` describes the measurement.
"""

import math
from bisect import bisect_left
from dataclasses import dataclass, field

REGIONS = [f"region-{number}" for number in range(7)]
ZONES_IN_REGION = (3, 3, 2, 2, 2, 2, 2)  # 16 in all
DESTINATIONS_PER_RELAY = 72  # 860,000 destinations over 12,000 relays
RELAYS_PER_MACHINE = 600
MIN_MACHINES, MAX_MACHINES = 3, 20
VOTERS_OF_SMALL_CLUSTER, VOTERS_OF_LARGE_CLUSTER = 3, 5
RELAYS_PER_HOST = 400
MAX_PROCESSES = 200
MAX_RELAYS = 12_000
MEMORY_FRACTION = 0.5  # of the computer's memory that a run may use

MEGABYTE = 1_000_000
HOST_MEMORY = 55 * MEGABYTE
HOLLOW_MEMORY = 220_000  # its client, both ends of its connection, its scope
REAL_MEMORY = 45 * MEGABYTE
MACHINE_MEMORY = 120 * MEGABYTE
DESTINATION_MEMORY = 550  # at each control machine
OWN_MEMORY = 300 * MEGABYTE  # of the run itself: links, load, books
OWN_DESCRIPTORS = 300
REAL_DESCRIPTORS = (
    2  # link descriptors in the run's own process for each relay that is measured or partitioned
)


class DoesNotFit(Exception):
    """The run needs more than this computer has; the message has one line for each reason."""


@dataclass(frozen=True, slots=True)
class Limits:
    """What is available: memory (bytes), descriptors per process, ephemeral ports, processes."""

    memory: int
    descriptors: int
    ports: int
    processes: int = MAX_PROCESSES


@dataclass(frozen=True, slots=True)
class Place:
    """Name and location of a relay or a control machine."""

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
    """Members of a run: real relays, hollow relays by host, control machines.

    plain: names of relays without control, for comparison.
    """

    real: list[Place]
    plain: list[str]
    hosts: list[list[Place]]
    machines: list[Machine]
    destinations: int
    needs: dict[str, int] = field(default_factory=dict)

    @property
    def relays(self) -> list[Place]:
        """Real and hollow relays."""
        return self.real + [place for host in self.hosts for place in host]


def place(prefix: str, number: int) -> Place:
    """Assigns locations round-robin: over the regions, then over the zones of each."""
    region = number % len(REGIONS)
    zone = number // len(REGIONS) % ZONES_IN_REGION[region]
    return Place(f"{prefix}{number}", REGIONS[region], f"{REGIONS[region]}-{zone}")


def machine_count(relays: int) -> int:
    """Number of control machines for so many relays."""
    return min(MAX_MACHINES, max(MIN_MACHINES, math.ceil(relays / RELAYS_PER_MACHINE)))


def make_plan(relays: int, real: int, plain: int, limits: Limits) -> ScalePlan:
    """Returns the plan for `relays` relays, `real` of them real processes; raises DoesNotFit.

    plain: further relays without control, the baseline for the processor time of the others.
    """
    if not 0 <= real <= relays <= MAX_RELAYS:
        raise DoesNotFit(f"{relays} relays, {real} real: at most {MAX_RELAYS}, and real at most the total")
    places = [place("r", number) for number in range(relays)]
    hollow = places[real:]
    host_count = math.ceil(len(hollow) / RELAYS_PER_HOST)
    machines = machine_count(relays)
    voters = VOTERS_OF_LARGE_CLUSTER if machines >= VOTERS_OF_LARGE_CLUSTER else VOTERS_OF_SMALL_CLUSTER
    made = ScalePlan(
        real=places[:real],
        plain=[f"plain{number}" for number in range(plain)],
        hosts=[hollow[number::host_count] for number in range(host_count)],
        machines=[Machine(place("m", number), number < voters) for number in range(machines)],
        destinations=DESTINATIONS_PER_RELAY * relays,
    )
    made.needs.update(needs_of(made))
    if reasons := exceeded_limits(made.needs, limits):
        raise DoesNotFit("\n".join(reasons))
    return made


def needs_of(plan: ScalePlan) -> dict[str, int]:
    """Total memory, maximum descriptors and ports of any process, and the number of processes."""
    relays, machines = len(plan.relays), len(plan.machines)
    hollow = relays - len(plan.real)
    memory = (
        OWN_MEMORY
        + len(plan.hosts) * HOST_MEMORY
        + hollow * HOLLOW_MEMORY
        + (len(plan.real) + len(plan.plain)) * REAL_MEMORY
        + machines * (MACHINE_MEMORY + plan.destinations * DESTINATION_MEMORY)
    )
    at_machine = 2 * math.ceil(relays / machines)  # twice its share, for when other machines are down
    at_host = max((len(host) for host in plan.hosts), default=0)
    through_links = 2 * (
        2 * len(plan.real) + math.ceil(relays / machines) + 2 * math.ceil(relays / len(REGIONS))
    )
    return {
        "memory": memory,
        "descriptors": OWN_DESCRIPTORS + max(at_machine, 2 * at_host, through_links),
        "ports": 2 * at_machine,  # to one address; a closed connection keeps its port for a while (TIME_WAIT)
        "processes": 1 + len(plan.hosts) + len(plan.real) + len(plan.plain) + machines,
    }


def exceeded_limits(needs: dict[str, int], limits: Limits) -> list[str]:
    """A line for each need that exceeds its limit."""
    found = {
        "memory": (needs["memory"], int(limits.memory * MEMORY_FRACTION), "bytes of memory"),
        "descriptors": (needs["descriptors"], limits.descriptors, "descriptors in one process"),
        "ports": (needs["ports"], limits.ports, "ports for connections to one address"),
        "processes": (needs["processes"], limits.processes, "processes"),
    }
    return [
        f"needs {need:,} {what}, {limit:,} allowed" for need, limit, what in found.values() if need > limit
    ]


def largest_fitting(real: int, plain: int, limits: Limits, step: int = 100) -> int:
    """The largest number of relays, in steps, that fits; 0 if none does."""

    def refused(steps: int) -> bool:
        try:
            make_plan(steps * step, min(real, steps * step), plain, limits)
        except DoesNotFit:
            return True
        return False

    sizes = range(1, MAX_RELAYS // step + 1)
    return step * bisect_left(sizes, True, key=refused)

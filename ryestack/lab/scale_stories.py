"""What befalls a fleet in a scale run. A story gets the operations there are and leaves the fleet whole.

Changes go on at a steady rate throughout. After each story the run waits until all relays have caught up.
"""

import asyncio
import signal
from dataclasses import dataclass

BURST = 100  # changes in BURST_SECONDS
BURST_SECONDS = 1.0
RESTARTED_PART = 0.1
SLOW_RATE = 4_000.0  # bytes a second through the slowed link
LATE = 1.0  # seconds that each piece is held up, in the mean
FLAPS = 6  # times that the losing link ends what it carries


@dataclass(frozen=True, slots=True)
class Lengths:
    """Seconds of each state of affairs."""

    ordinary: float = 20.0
    fault: float = 6.0
    parted: float = 60.0


async def ordinary(fleet) -> None:
    await fleet.measure(fleet.lengths.ordinary)


async def burst(fleet) -> None:
    await fleet.changes.burst(BURST, BURST_SECONDS)


async def tenth_restarted(fleet) -> None:
    """Half of the hollow ones have lost their state folder and fetch their whole scope anew."""
    hollow = fleet.random.sample(fleet.hollow_names, round(RESTARTED_PART * len(fleet.hollow_names)))
    real = fleet.random.sample(fleet.real_names, round(RESTARTED_PART * len(fleet.real_names)))
    await fleet.stop_hollow(hollow[::2], keep=True)
    await fleet.stop_hollow(hollow[1::2], keep=False)
    await fleet.start_hollow(hollow)
    await fleet.kill_children(real)
    await fleet.start_children(real)


async def leader_killed(fleet) -> None:
    leader = await fleet.leader()
    await fleet.kill_children([leader])
    await asyncio.sleep(fleet.lengths.fault)
    await fleet.start_children([leader])


async def machine_killed(fleet) -> None:
    await fleet.kill_children([fleet.fleet.faulty])
    await asyncio.sleep(fleet.lengths.fault)
    await fleet.start_children([fleet.fleet.faulty])


async def leader_stopped(fleet) -> None:
    leader = await fleet.leader()
    fleet.children.signal(leader, signal.SIGSTOP)
    await asyncio.sleep(fleet.lengths.fault)
    fleet.children.signal(leader, signal.SIGCONT)


async def link_cut_one_way(fleet) -> None:
    for way in ("out", "back"):
        fleet.roads.turn_machine(way)
        await asyncio.sleep(fleet.lengths.fault)
        fleet.roads.turn_machine("ok")


async def link_slowed(fleet) -> None:
    fleet.roads.turn_machine("slow", rate=SLOW_RATE)
    await asyncio.sleep(fleet.lengths.fault)
    fleet.roads.turn_machine("late", delay=LATE)
    await asyncio.sleep(fleet.lengths.fault)
    fleet.roads.turn_machine("ok")


async def link_losing(fleet) -> None:
    for _ in range(FLAPS):
        fleet.roads.turn_machine("reset")
        await asyncio.sleep(fleet.lengths.fault / FLAPS / 2.0)
        fleet.roads.turn_machine("ok")
        await asyncio.sleep(fleet.lengths.fault / FLAPS / 2.0)


async def zone_gone(fleet) -> None:
    """Relays and control machines of one zone are killed at once, and come back together."""
    zone = fleet.fleet.lost_zone
    machines = [m.place.name for m in fleet.fleet.plan.machines if m.place.zone == zone]
    hollow = [name for name in fleet.hollow_names if fleet.places[name].zone == zone]
    real = [name for name in fleet.real_names if fleet.places[name].zone == zone]
    await asyncio.gather(fleet.kill_children(machines + real), fleet.stop_hollow(hollow, keep=True))
    await asyncio.sleep(fleet.lengths.fault)
    await asyncio.gather(fleet.start_children(machines + real), fleet.start_hollow(hollow))


async def regions_parted(fleet) -> None:
    fleet.roads.turn_regions("hole")
    await asyncio.sleep(fleet.lengths.parted)
    fleet.roads.turn_regions("ok")


STORIES = {
    story.__name__: story
    for story in (
        ordinary, burst, tenth_restarted, leader_killed, machine_killed, leader_stopped, link_cut_one_way,
        link_slowed, link_losing, zone_gone, regions_parted,
    )
}  # fmt: skip

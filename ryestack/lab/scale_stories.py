"""Stories of a scale run: faults and load on the fleet. Each gets the Operations and restores the fleet.

Changes continue at a steady rate throughout. After each story the run waits until all relays have caught up.
"""

import asyncio
import signal
from dataclasses import dataclass

BURST = 100  # changes in BURST_SECONDS
BURST_SECONDS = 1.0
RESTARTED_FRACTION = 0.1
SLOW_RATE = 4_000.0  # bytes a second through the slowed link
MEAN_DELAY_S = 1.0  # mean delay of each read on the link
RESETS = 6  # times that the lossy link resets its connections


@dataclass(frozen=True, slots=True)
class Lengths:
    """Durations in seconds: of the ordinary story, of each fault, of the partition between regions."""

    ordinary: float = 20.0
    fault: float = 6.0
    parted: float = 60.0


async def ordinary(operations) -> None:
    """Injects no fault; measures all processes."""
    await operations.measure(operations.lengths.ordinary)


async def burst(operations) -> None:
    """Makes many changes within a second."""
    await operations.changes.burst(BURST, BURST_SECONDS)


async def tenth_restarted(operations) -> None:
    """Restarts a tenth of all relays; half of the hollow ones lose their state and refetch their scope."""
    hollow = operations.random.sample(
        operations.hollow_names, round(RESTARTED_FRACTION * len(operations.hollow_names))
    )
    real = operations.random.sample(
        operations.real_names, round(RESTARTED_FRACTION * len(operations.real_names))
    )
    await operations.stop_hollow(hollow[::2], keep=True)
    await operations.stop_hollow(hollow[1::2], keep=False)
    await operations.start_hollow(hollow)
    await operations.kill_processes(real)
    await operations.start_processes(real)


async def leader_killed(operations) -> None:
    """Kills the leader and restarts it."""
    leader = await operations.leader()
    await operations.kill_processes([leader])
    await asyncio.sleep(operations.lengths.fault)
    await operations.start_processes([leader])


async def machine_killed(operations) -> None:
    """Kills a fixed control machine and restarts it."""
    await operations.kill_processes([operations.fleet.faulty])
    await asyncio.sleep(operations.lengths.fault)
    await operations.start_processes([operations.fleet.faulty])


async def leader_stopped(operations) -> None:
    """Pauses the leader by SIGSTOP and resumes it."""
    leader = await operations.leader()
    operations.processes.signal(leader, signal.SIGSTOP)
    await asyncio.sleep(operations.lengths.fault)
    operations.processes.signal(leader, signal.SIGCONT)


async def link_cut_one_way(operations) -> None:
    """Cuts the links to one machine in one direction, then in the other."""
    for direction in ("out", "back"):
        operations.link_table.set_machine_mode(direction)
        await asyncio.sleep(operations.lengths.fault)
        operations.link_table.set_machine_mode("ok")


async def link_slowed(operations) -> None:
    """Limits the rate of the links to one machine, then delays them."""
    operations.link_table.set_machine_mode("slow", rate=SLOW_RATE)
    await asyncio.sleep(operations.lengths.fault)
    operations.link_table.set_machine_mode("late", delay=MEAN_DELAY_S)
    await asyncio.sleep(operations.lengths.fault)
    operations.link_table.set_machine_mode("ok")


async def link_losing(operations) -> None:
    """Resets the connections to one machine several times."""
    for _ in range(RESETS):
        operations.link_table.set_machine_mode("reset")
        await asyncio.sleep(operations.lengths.fault / RESETS / 2.0)
        operations.link_table.set_machine_mode("ok")
        await asyncio.sleep(operations.lengths.fault / RESETS / 2.0)


async def zone_gone(operations) -> None:
    """Kills the relays and control machines of one zone at once and restarts them together."""
    zone = operations.fleet.lost_zone
    machines = [m.place.name for m in operations.fleet.plan.machines if m.place.zone == zone]
    hollow = [name for name in operations.hollow_names if operations.places[name].zone == zone]
    real = [name for name in operations.real_names if operations.places[name].zone == zone]
    await asyncio.gather(
        operations.kill_processes(machines + real), operations.stop_hollow(hollow, keep=True)
    )
    await asyncio.sleep(operations.lengths.fault)
    await asyncio.gather(operations.start_processes(machines + real), operations.start_hollow(hollow))


async def regions_parted(operations) -> None:
    """Partitions two regions from each other."""
    operations.link_table.set_region_mode("hole")
    await asyncio.sleep(operations.lengths.parted)
    operations.link_table.set_region_mode("ok")


STORIES = {
    story.__name__: story
    for story in (
        ordinary, burst, tenth_restarted, leader_killed, machine_killed, leader_stopped, link_cut_one_way,
        link_slowed, link_losing, zone_gone, regions_parted,
    )
}  # fmt: skip

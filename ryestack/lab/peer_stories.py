"""What befalls a cluster of relays under load: a story each, with faults between its processes.

Times are seconds from the first hand-in. A story gets the cluster (`lab.peers.Cluster`) and has it whole
at its end, but for what it wiped.
"""

import asyncio
import random
import signal
import time

LEASE = 1.0
ZONES = "ab"


async def keeper_killed(c) -> None:
    await asyncio.sleep(2.5)
    await c.kill("r0")
    await asyncio.sleep(0.4)
    await c.restart("r0")


async def keeper_wiped(c) -> None:
    await asyncio.sleep(2.5)
    await c.kill("r0", wipe=True)


async def keeper_wiped_and_back(c) -> None:
    await keeper_wiped(c)
    await asyncio.sleep(0.5)
    await c.restart("r0")


async def keeper_stopped(c) -> None:
    await asyncio.sleep(2.0)
    c.signal("r0", signal.SIGSTOP)
    await asyncio.sleep(3.5 * LEASE)
    c.signal("r0", signal.SIGCONT)


async def zone_cut(c) -> None:
    ones = [n for n in c.names if c.zones[n] == ZONES[0]]
    await asyncio.sleep(1.5)
    c.net.turn("hole", ones, [n for n in c.names if n not in ones])
    await asyncio.sleep(2.5 * LEASE)
    c.net.turn("ok")


async def one_way(c) -> None:
    await asyncio.sleep(1.5)
    for (one, _), link in c.net.links.items():
        if one == "r0":
            link.turn("out")
    await asyncio.sleep(2.5 * LEASE)
    c.net.turn("ok")


async def flapping(c) -> None:
    await asyncio.sleep(1.0)
    for i in range(12):
        c.net.turn(("reset", "ok", "refuse", "ok")[i % 4], ["r0"], c.names[1:])
        await asyncio.sleep(0.4)
    c.net.turn("ok")


async def late(c) -> None:
    await asyncio.sleep(1.0)
    c.net.turn("late", delay=2.0)
    await asyncio.sleep(4.0)
    c.net.turn("ok")


async def guard_killed_in_the_take_over(c) -> None:
    await keeper_wiped(c)
    await asyncio.sleep(LEASE)
    await c.kill("r1")
    await asyncio.sleep(0.3)
    await c.restart("r1")


async def successor_killed(c) -> None:
    await keeper_wiped(c)
    await asyncio.sleep(1.8 * LEASE)
    for name in c.names[1:]:
        if "seat.acts seat=r0" in (c.relays[name].folder / "relay.log").read_text(errors="replace"):
            await c.kill(name)
            await asyncio.sleep(0.3)
            await c.restart(name)
            return


async def rolling(c) -> None:
    for number, name in enumerate(c.names):
        await asyncio.sleep(1.2)
        await c.relays[name].kill(signal.SIGTERM if number % 2 else signal.SIGKILL)
        await c.restart(name)


async def upgraded(c) -> None:
    """A second process in the first one's folder takes over at the door, then its seat."""
    await asyncio.sleep(1.5)
    heir = c.heir("r0")
    await heir.start()
    await asyncio.sleep(0.5)
    await c.relays["r0"].kill(signal.SIGTERM)
    c.relays["r0"] = heir


async def everything(c) -> None:
    chance, until = random.Random(c.seed), time.monotonic() + 6.0
    while time.monotonic() < until:
        await asyncio.sleep(chance.uniform(0.2, 0.9))
        name, what = chance.choice(c.names), chance.randrange(6)
        if what == 0:
            c.net.turn(chance.choice(["hole", "late", "reset", "slow", "refuse"]), [name], c.names, delay=0.6)
        elif what == 1:
            c.net.turn("ok")
        elif what == 2:
            c.signal(name, signal.SIGSTOP)
            await asyncio.sleep(chance.uniform(0.2, 2.0 * LEASE))
            c.signal(name, signal.SIGCONT)
        elif what == 3:
            await c.kill(name)
            await c.restart(name)
    c.net.turn("ok")


STORIES = {
    story.__name__: story
    for story in (
        keeper_killed, keeper_wiped, keeper_wiped_and_back, keeper_stopped, zone_cut, one_way, flapping,
        late, upgraded, guard_killed_in_the_take_over, successor_killed, rolling, everything,
    )
}  # fmt: skip

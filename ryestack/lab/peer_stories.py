"""Stories for a cluster of relays under load: sequences of faults in its processes and links.

Times are seconds from the first request. A story gets the cluster (`lab.peers.Cluster`) and leaves all relays
running and all links working at its end, except for relays that it wiped.
"""

import asyncio
import random
import signal
import time

LEASE = 1.0  # seconds
ZONES = "ab"  # the relays are placed in them alternately


async def keeper_killed(cluster) -> None:
    """A relay is killed and soon started again."""
    await asyncio.sleep(2.5)
    await cluster.kill("r0")
    await asyncio.sleep(0.4)
    await cluster.restart("r0")


async def keeper_wiped(cluster) -> None:
    """A relay is killed and its state is lost."""
    await asyncio.sleep(2.5)
    await cluster.kill("r0", wipe=True)


async def keeper_wiped_and_back(cluster) -> None:
    """A relay is killed, its state is lost, and it is started again."""
    await keeper_wiped(cluster)
    await asyncio.sleep(0.5)
    await cluster.restart("r0")


async def keeper_stopped(cluster) -> None:
    """A relay is paused by SIGSTOP for longer than a lease."""
    await asyncio.sleep(2.0)
    cluster.signal("r0", signal.SIGSTOP)
    await asyncio.sleep(3.5 * LEASE)
    cluster.signal("r0", signal.SIGCONT)


async def zone_cut(cluster) -> None:
    """The links between two zones hold back all data in both directions."""
    zone = [n for n in cluster.names if cluster.zones[n] == ZONES[0]]
    await asyncio.sleep(1.5)
    cluster.net.turn("hole", zone, [n for n in cluster.names if n not in zone])
    await asyncio.sleep(2.5 * LEASE)
    cluster.net.turn("ok")


async def one_way(cluster) -> None:
    """The links that one relay opens hold back what it sends; data to it still passes."""
    await asyncio.sleep(1.5)
    for (source, _), link in cluster.net.links.items():
        if source == "r0":
            link.turn("out")
    await asyncio.sleep(2.5 * LEASE)
    cluster.net.turn("ok")


async def flapping(cluster) -> None:
    """The links of one relay fail and recover again and again."""
    await asyncio.sleep(1.0)
    for i in range(12):
        cluster.net.turn(("reset", "ok", "refuse", "ok")[i % 4], ["r0"], cluster.names[1:])
        await asyncio.sleep(0.4)
    cluster.net.turn("ok")


async def late(cluster) -> None:
    """All links delay data by 2 s on average, which is longer than a lease."""
    await asyncio.sleep(1.0)
    cluster.net.turn("late", delay=2.0)
    await asyncio.sleep(4.0)
    cluster.net.turn("ok")


async def guard_killed_in_the_take_over(cluster) -> None:
    """A second relay is killed while the shard of a wiped one is taken over."""
    await keeper_wiped(cluster)
    await asyncio.sleep(LEASE)
    await cluster.kill("r1")
    await asyncio.sleep(0.3)
    await cluster.restart("r1")


async def successor_killed(cluster) -> None:
    """The relay that has taken over the shard of a wiped one is killed."""
    await keeper_wiped(cluster)
    await asyncio.sleep(1.8 * LEASE)
    for name in cluster.names[1:]:
        if "seat.acts seat=r0" in (cluster.relays[name].folder / "relay.log").read_text(errors="replace"):
            await cluster.kill(name)
            await asyncio.sleep(0.3)
            await cluster.restart(name)
            return


async def rolling(cluster) -> None:
    """All relays are restarted one after the other, by SIGKILL and SIGTERM alternately."""
    for number, name in enumerate(cluster.names):
        await asyncio.sleep(1.2)
        await cluster.relays[name].kill(signal.SIGTERM if number % 2 else signal.SIGKILL)
        await cluster.restart(name)


async def upgraded(cluster) -> None:
    """A second process in the first one's folder takes over its clients, then its shard."""
    await asyncio.sleep(1.5)
    successor = cluster.heir("r0")
    await successor.start()
    await asyncio.sleep(0.5)
    await cluster.relays["r0"].kill(signal.SIGTERM)
    cluster.relays["r0"] = successor


async def everything(cluster) -> None:
    """Random faults: broken links, pauses and kills."""
    rng, deadline = random.Random(cluster.seed), time.monotonic() + 6.0
    while time.monotonic() < deadline:
        await asyncio.sleep(rng.uniform(0.2, 0.9))
        name, action = rng.choice(cluster.names), rng.randrange(6)
        if action == 0:
            cluster.net.turn(
                rng.choice(["hole", "late", "reset", "slow", "refuse"]), [name], cluster.names, delay=0.6
            )
        elif action == 1:
            cluster.net.turn("ok")
        elif action == 2:
            cluster.signal(name, signal.SIGSTOP)
            await asyncio.sleep(rng.uniform(0.2, 2.0 * LEASE))
            cluster.signal(name, signal.SIGCONT)
        elif action == 3:
            await cluster.kill(name)
            await cluster.restart(name)
    cluster.net.turn("ok")


STORIES = {
    story.__name__: story
    for story in (
        keeper_killed, keeper_wiped, keeper_wiped_and_back, keeper_stopped, zone_cut, one_way, flapping,
        late, upgraded, guard_killed_in_the_take_over, successor_killed, rolling, everything,
    )
}  # fmt: skip

"""Costs of relays that hold replicas of each other's work, by size; benchmarks/capacity.py runs them.

Bytes are those of the streams between relays, HTTP heads included, each counted where it is sent and where it
is received. Processor time is of relay processes only.
"""

import asyncio
import tempfile
import time
from pathlib import Path

from capacity_processes import IDLE, LEAST_SECONDS, LEAST_SENT, SETTLE, WINDOW, cpu
from capacity_state import BODY, REPEATS, median_seconds, resident

from ryestack.lab import peers
from ryestack.lab.load import Load, Plan
from ryestack.peers.contents import Contents
from ryestack.peers.messages import Append, Envelope, Record, decode, encode
from ryestack.standins.links import Link
from ryestack.store.owed import record

LEASES = {13: 60.0, 53: 15.0, 200: 4.0, 800: 1.0}  # heartbeats in 100 s to the lease that makes so many
DEFAULT_LEASE = 3.0
MOST_SECONDS = 45.0  # of a load
BARRED = 1.1  # leases after a start in which a replica grants nothing and is asked again and again
GUARDS, BEATS = 2, 4  # heartbeats of a relay: one a replica and beat, a lease has four


# -- what a replica holds ----------------------------------------------------------------------------------


def record_of(number: int) -> Record:
    """One notification as its owner tells it to its replicas."""
    name = f"m{number:07}"
    head = [name, 2e9, number % 1000, "balance", "acme", "", "", 0, None, 0]
    return Record(name, record("taken", *head, body=BODY), due=2e9)


def guard_by_messages(messages: int) -> dict[str, float]:
    """Memory of what a replica holds of one relay, and the message that tells all of it."""
    before, contents = resident(), Contents()
    for number in range(messages):
        piece = Append(("r", 1), 3, 0.0, number, [record_of(number)])
        contents.apply(decode(encode(Envelope("c", "r", 1, "g", number, piece))).message.records)
    memory = resident() - before
    every = Append(("r", 1), 3, 0.0, messages, contents.snapshot(), whole=True)
    envelope = Envelope("c", "r", 1, "g", 1, every)
    text = encode(envelope)
    seconds = median_seconds(lambda: (encode(envelope), decode(text)), REPEATS)
    return {"guard.memory": memory, "guard.letter": len(text), "guard.letter_time": seconds}


# -- messages ---------------------------------------------------------------------------------------------


class Counted:
    """A reader that counts the requests which pass."""

    def __init__(self, reader, link: "CountingLink"):
        self.reader, self.link = reader, link

    async def read(self, most: int) -> bytes:
        data = await self.reader.read(most)
        self.link.heartbeats += data.count(b"POST /peers")
        return data


class CountingLink(Link):
    heartbeats = 0

    async def pump(self, reader, writer, way: str) -> None:
        await super().pump(Counted(reader, self) if way == "out" else reader, writer, way)


def counting(cluster: peers.Cluster, lease: float) -> peers.Cluster:
    """The same with links that count requests, and that lease; 0: without peers."""
    links = {ways: CountingLink(link.target, 1) for ways, link in cluster.net.links.items()}
    cluster.net.links, told = links, cluster.operator

    def operator(name: str) -> dict:
        whole = told(name)
        return {**whole, "peers": {**whole["peers"], "lease": lease}} if lease else {"format": 1}

    cluster.operator = operator
    return cluster


def carried_by(cluster: peers.Cluster) -> int:
    return sum(link.carried for link in cluster.net.links.values())


def heartbeats_of(cluster: peers.Cluster) -> int:
    return sum(link.heartbeats for link in cluster.net.links.values())


async def idle_cluster(folder: Path, lease: float, window: float) -> dict[str, float]:
    """Three idle relays, a relay and second; lease 0: without peers. bytes: sent and received."""
    cluster = counting(peers.Cluster(folder, 3, 1), lease)
    try:
        await cluster.start()
        await asyncio.sleep(SETTLE + BARRED * lease)
        pids = [relay.process.pid for relay in cluster.relays.values()]
        began, used = time.monotonic(), cpu(pids)
        heartbeats, carried = heartbeats_of(cluster), carried_by(cluster)
        await asyncio.sleep(window)
        shared = (time.monotonic() - began) * len(pids)
        return {
            "cpu": (cpu(pids) - used) / shared,
            "heartbeats": (heartbeats_of(cluster) - heartbeats) / shared,
            "bytes": 2 * (carried_by(cluster) - carried) / shared,
        }
    finally:
        await cluster.close()


def peers_by_heartbeats(heartbeats: int) -> dict[str, float]:
    """What a relay spends on its two replicas and as one of two others, idle, by heartbeats it sends."""
    lease = LEASES[heartbeats]
    window = max(WINDOW, 2.0 * lease / BEATS + 12.0)
    with tempfile.TemporaryDirectory() as folder:
        alone = asyncio.run(idle_cluster(Path(folder) / "a", 0.0, WINDOW))
        guarded = asyncio.run(idle_cluster(Path(folder) / "b", lease, window))
    return {
        "size": 100.0 * guarded["heartbeats"],
        "peers.idle_cpu": guarded["cpu"] - alone["cpu"],
        "peers.idle_bytes": guarded["bytes"],
    }


async def loaded_cluster(folder: Path, lease: float, rate: float) -> dict[str, float]:
    """Three relays under load, above idle: seconds on processors and bytes on links, a second."""
    cluster = counting(peers.Cluster(folder, 3, 1), lease)
    seconds = min(MOST_SECONDS, max(LEAST_SECONDS, LEAST_SENT / rate))
    try:
        await cluster.start()
        await asyncio.sleep(SETTLE + BARRED * lease)
        pids = [relay.process.pid for relay in cluster.relays.values()]
        idle, carried = await spent(pids, cluster, asyncio.sleep(IDLE))
        plan = Plan(peers.TOPICS, [1], ["acme"], rate=rate, seconds=seconds, seed=1, window=peers.WINDOW)
        load = Load(plan, [relay.address for relay in cluster.relays.values()])
        began = time.monotonic()
        used, more = await spent(pids, cluster, load.run())
        taken = sum(one.answer == "taken" for one in load.handed) / (time.monotonic() - began)
        return {"taken": taken, "cpu": used - idle, "bytes": 2 * (more - carried)}
    finally:
        await cluster.close()


async def spent(pids: list[int], cluster: peers.Cluster, work) -> tuple[float, float]:
    """(seconds on processors, bytes on links) a second while that work runs."""
    began, used, carried = time.monotonic(), cpu(pids), carried_by(cluster)
    await work
    seconds = time.monotonic() - began
    return (cpu(pids) - used) / seconds, (carried_by(cluster) - carried) / seconds


def guarded_by_rate(rate: int) -> dict[str, float]:
    """Processor time a second for messages at three relays, with two replicas and without, and bytes."""
    with tempfile.TemporaryDirectory() as folder:
        alone = asyncio.run(loaded_cluster(Path(folder) / "a", 0.0, float(rate)))
        guarded = asyncio.run(loaded_cluster(Path(folder) / "b", DEFAULT_LEASE, float(rate)))
    share = guarded["taken"] / alone["taken"]
    return {
        "size": guarded["taken"],
        "guarded.cpu": guarded["cpu"],
        "unguarded.cpu": alone["cpu"] * share,
        "guarded.bytes": guarded["bytes"],
    }

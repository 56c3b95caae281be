"""What guarding costs: three relays on loopback with and without `[peers]`, the same load, in turn.

    python benchmarks/peers_cost.py [--rate 120] [--seconds 8] [--pairs 3]

CPU of all relay processes for a notification taken, and p50 and p99 of the 202, from the clients' side.
Simulated partners on the same machine; a ratio in one run tells more than either figure.
"""

import argparse
import asyncio
import os
import statistics
import sys
import tempfile
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from ryestack.lab import peers  # noqa: E402
from ryestack.lab.load import Load, Plan, histogram, settled  # noqa: E402


def cpu(pid: int) -> float:
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


async def play(folder: Path, guarded: bool, rate: float, seconds: float, seed: int):
    cluster = peers.Cluster(folder, 3, seed)
    if not guarded:
        cluster.operator = lambda name: {"format": 1}
    try:
        await cluster.start()
        await asyncio.sleep(1.5)
        pids = [relay.process.pid for relay in cluster.relays.values()]
        before = [cpu(pid) for pid in pids]
        plan = Plan(peers.TOPICS, [1], ["acme"], rate=rate, seconds=seconds, seed=seed, window=peers.WINDOW)
        load = Load(plan, [relay.address for relay in cluster.relays.values()])
        cluster.partner.began = cluster.platform.began = time.monotonic()
        await load.run()
        used = sum(cpu(pid) for pid in pids) - sum(before)

        async def collect():
            books = cluster.partner.books, cluster.platform.books
            return books[0].runs, books[1].notices, books[0].whole and books[1].whole

        told = await settled(load, collect, 12.0)
        answers = histogram(told.to_answer)
        quantiles = [answers.get_value_at_percentile(p) / 1000.0 for p in (50, 99)]
        return used / max(1, told.taken) * 1000.0, *quantiles, told
    finally:
        await cluster.close()


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--rate", type=float, default=120.0)
    parser.add_argument("--seconds", type=float, default=8.0)
    parser.add_argument("--pairs", type=int, default=3)
    chosen = parser.parse_args()
    rows = {False: [], True: []}
    for pair in range(chosen.pairs):
        for guarded in (False, True):
            with tempfile.TemporaryDirectory() as folder:
                one = asyncio.run(play(Path(folder), guarded, chosen.rate, chosen.seconds, pair + 1))
            rows[guarded].append(one)
            name = "two guards" if guarded else "alone"
            print(f"{name:>10}: CPU {one[0]:.2f} ms, 202 p50 {one[1]:.1f} ms, p99 {one[2]:.1f} ms")
            print(f"            taken {one[3].taken}, lost {one[3].lost}")
    middle = {g: [statistics.median(r[i] for r in rows[g]) for i in range(3)] for g in rows}
    ratio = [b / a for a, b in zip(middle[False], middle[True], strict=True)]
    print(f"two guards to alone: CPU {ratio[0]:.2f}, p50 {ratio[1]:.2f}, p99 {ratio[2]:.2f}")


if __name__ == "__main__":
    main()

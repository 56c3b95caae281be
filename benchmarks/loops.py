"""Compares a plain event loop with SimPy: the same M/M/1 queue in both, customers per second.

SimPy is not among the requirements: pip install simpy to run this.
"""

import random
import sys
import time
from pathlib import Path

import simpy

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from ryestack.lab.sim.clock import Clock  # noqa: E402

COUNT, LOAD = 200_000, 0.7


def plain() -> float:
    """Simulates the queue on the lab's clock; returns the mean wait."""
    clock, rng, waiting, busy, waits = Clock(), random.Random(1), [], [False], [0.0]

    def arrive(remaining: int) -> None:
        if remaining:
            clock.call_later(rng.expovariate(LOAD), arrive, remaining - 1)
        waiting.append(clock.now)
        if not busy[0]:
            begin()

    def begin() -> None:
        busy[0] = True
        waits[0] += clock.now - waiting.pop(0)
        clock.call_later(rng.expovariate(1.0), end)

    def end() -> None:
        busy[0] = False
        if waiting:
            begin()

    clock.call_later(0.0, arrive, COUNT - 1)
    clock.run(1e12)
    return waits[0] / COUNT


def with_simpy() -> float:
    """Simulates the queue with SimPy; returns the mean wait."""
    env, rng, waits = simpy.Environment(), random.Random(1), [0.0]
    server = simpy.Resource(env, 1)

    def customer():
        arrived = env.now
        with server.request() as request:
            yield request
            waits[0] += env.now - arrived
            yield env.timeout(rng.expovariate(1.0))

    def source():
        for _ in range(COUNT):
            env.process(customer())
            yield env.timeout(rng.expovariate(LOAD))

    env.process(source())
    env.run()
    return waits[0] / COUNT


for pair in range(3):
    durations = []
    for simulate in (plain, with_simpy):
        began = time.perf_counter()
        wait = simulate()
        durations.append(time.perf_counter() - began)
    rate, simpy_rate = (COUNT / duration for duration in durations)
    print(f"plain {rate:.0f} customers/s, SimPy {simpy_rate:.0f}, ratio {rate / simpy_rate:.1f}")
    print(f"mean wait {wait:.3f}, theory {LOAD / (1 - LOAD):.3f}")

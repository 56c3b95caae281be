"""A plain event loop beside SimPy: the same M/M/1 queue in both, events a second in one run.

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
    clock, chance, waiting, busy, waits = Clock(), random.Random(1), [], [False], [0.0]

    def arrive(left: int) -> None:
        if left:
            clock.call_later(chance.expovariate(LOAD), arrive, left - 1)
        waiting.append(clock.now)
        if not busy[0]:
            begin()

    def begin() -> None:
        busy[0] = True
        waits[0] += clock.now - waiting.pop(0)
        clock.call_later(chance.expovariate(1.0), end)

    def end() -> None:
        busy[0] = False
        if waiting:
            begin()

    clock.call_later(0.0, arrive, COUNT - 1)
    clock.run(1e12)
    return waits[0] / COUNT


def with_simpy() -> float:
    env, chance, waits = simpy.Environment(), random.Random(1), [0.0]
    server = simpy.Resource(env, 1)

    def customer():
        came = env.now
        with server.request() as turn:
            yield turn
            waits[0] += env.now - came
            yield env.timeout(chance.expovariate(1.0))

    def source():
        for _ in range(COUNT):
            env.process(customer())
            yield env.timeout(chance.expovariate(LOAD))

    env.process(source())
    env.run()
    return waits[0] / COUNT


for pair in range(3):
    spent = []
    for kind in (plain, with_simpy):
        began = time.perf_counter()
        wait = kind()
        spent.append(time.perf_counter() - began)
    rate, other = (COUNT / each for each in spent)
    print(f"plain {rate:.0f} customers/s, SimPy {other:.0f}, ratio {rate / other:.1f}")
    print(f"mean wait {wait:.3f}, theory {LOAD / (1 - LOAD):.3f}")

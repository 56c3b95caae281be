"""Sweeps: a grid or a random draw over keys, seeds and policies, on all cores, that can be stopped and gone
on with.

Results are JSON lines, one a day, each with the revision, the seed, the keys and the scenario's hash.
"""

import itertools
import json
import os
from collections.abc import Callable, Iterator
from pathlib import Path

import numpy as np
from joblib import Parallel, delayed

from . import scenario as sc
from .runner import bare, mark_of, play, revision


def grid(keys: dict[str, list]) -> list[dict]:
    """All combinations of the values of each dotted key."""
    names = list(keys)
    return [dict(zip(names, values, strict=True)) for values in itertools.product(*keys.values())] or [{}]


def drawn(keys: dict[str, list], count: int, seed: int) -> list[dict]:
    """count combinations, each value drawn evenly: from [least, most] where both are numbers, else from the
    list."""
    gen, found = np.random.default_rng(seed), []
    for _ in range(count):
        row = {}
        for name, values in keys.items():
            span = len(values) == 2 and all(isinstance(v, (int, float)) for v in values)
            if span and all(isinstance(v, int) for v in values):
                row[name] = int(gen.integers(values[0], values[1] + 1))
            else:
                row[name] = float(gen.uniform(*values)) if span else values[int(gen.integers(len(values)))]
        found.append(row)
    return found


def jobs_of(table: dict, points: list[dict], seeds: list[int], policies: list[str]) -> list[tuple]:
    """(scenario, keys, seed, policy) of each day; raises BadScenario if a point makes none that can be
    used."""
    found = []
    for point in points:
        made = table
        for key, value in point.items():
            made = sc.with_key(made, key, value)
        day = sc.of(
            made, "scenario with " + ", ".join(f"{k}={v}" for k, v in point.items()) if point else "scenario"
        )
        found += [(day, point, seed, policy) for seed in seeds for policy in policies]
    return found


def name_of(day, point: dict, seed: int, policy: str, tree: str) -> str:
    return json.dumps([mark_of(day), point, seed, policy, tree], sort_keys=True)


def one(day, point: dict, seed: int, policy: str, tree: str) -> dict:
    summary = bare(play(day, seed, policy).summary)
    return {"name": name_of(day, point, seed, policy, tree), "revision": tree, "hash": mark_of(day),
            "keys": point, **summary}  # fmt: skip


def run(jobs: list[tuple], path: str | None, note: Callable[[int, int], None], cores: int = 0) -> list[dict]:
    """Plays what `path` does not hold yet and adds it there as it comes; returns all in the order of the
    jobs.

    note(done, of) is told after each. cores: 0 for all.
    """
    tree = revision()
    held = {row["name"]: row for row in lines(path)} if path else {}
    names = [name_of(*job, tree) for job in jobs]
    missing = [(name, job) for name, job in zip(names, jobs, strict=True) if name not in held]
    done = len(jobs) - len(missing)
    note(done, len(jobs))
    work = (delayed(one)(*job, tree) for _, job in missing)
    for row in Parallel(cores or os.cpu_count() or 1, return_as="generator_unordered")(work):
        held[row["name"]] = row
        if path:
            with open(path, "ab") as file:
                file.write(json.dumps(row, separators=(",", ":")).encode() + b"\n")
        done += 1
        note(done, len(jobs))
    return [held[name] for name in names]


def lines(path: str) -> Iterator[dict]:
    """The whole lines of a file of results; one that was cut off when a sweep was stopped is passed over."""
    if not Path(path).exists():
        return
    with open(path, "rb") as file:
        for line in file:
            if line.endswith(b"\n"):
                yield json.loads(line)

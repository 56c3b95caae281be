"""Resumable sweeps: a grid or random points over keys, seeds and policies, on all cores.

Results are JSON lines, one for each day, with the revision, the seed, the keys and the scenario's hash.
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


def random_points(keys: dict[str, list], count: int, seed: int) -> list[dict]:
    """`count` combinations with values drawn uniformly: from [minimum, maximum] if both are numbers, else
    from the list."""
    rng, found = np.random.default_rng(seed), []
    for _ in range(count):
        row = {}
        for name, values in keys.items():
            span = len(values) == 2 and all(isinstance(v, (int, float)) for v in values)
            if span and all(isinstance(v, int) for v in values):
                row[name] = int(rng.integers(values[0], values[1] + 1))
            else:
                row[name] = float(rng.uniform(*values)) if span else values[int(rng.integers(len(values)))]
        found.append(row)
    return found


def jobs_of(table: dict, points: list[dict], seeds: list[int], policies: list[str]) -> list[tuple]:
    """(scenario, keys, seed, policy) of each day; raises BadScenario if a point gives an invalid scenario."""
    found = []
    for point in points:
        changed = table
        for key, value in point.items():
            changed = sc.with_key(changed, key, value)
        day = sc.from_table(
            changed,
            "scenario with " + ", ".join(f"{k}={v}" for k, v in point.items()) if point else "scenario",
        )
        found += [(day, point, seed, policy) for seed in seeds for policy in policies]
    return found


def row_name(day, point: dict, seed: int, policy: str, tree: str) -> str:
    """The unique name of a job's row; tree: the git revision."""
    return json.dumps([mark_of(day), point, seed, policy, tree], sort_keys=True)


def play_job(day, point: dict, seed: int, policy: str, tree: str) -> dict:
    """Play a day; returns its row."""
    summary = bare(play(day, seed, policy).summary)
    return {"name": row_name(day, point, seed, policy, tree), "revision": tree, "hash": mark_of(day),
            "keys": point, **summary}  # fmt: skip


def run(
    jobs: list[tuple], path: str | None, progress: Callable[[int, int], None], cores: int = 0
) -> list[dict]:
    """Play the jobs that `path` has no row of and append each result; returns all rows in the order of the
    jobs.

    progress(done, total): called after each job; cores: 0 for all.
    """
    tree = revision()
    rows_by_name = {row["name"]: row for row in read_rows(path)} if path else {}
    names = [row_name(*job, tree) for job in jobs]
    missing = [(name, job) for name, job in zip(names, jobs, strict=True) if name not in rows_by_name]
    done = len(jobs) - len(missing)
    progress(done, len(jobs))
    work = (delayed(play_job)(*job, tree) for _, job in missing)
    for row in Parallel(cores or os.cpu_count() or 1, return_as="generator_unordered")(work):
        rows_by_name[row["name"]] = row
        if path:
            with open(path, "ab") as file:
                file.write(json.dumps(row, separators=(",", ":")).encode() + b"\n")
        done += 1
        progress(done, len(jobs))
    return [rows_by_name[name] for name in names]


def read_rows(path: str) -> Iterator[dict]:
    """The complete rows of a results file; a line truncated when a sweep was stopped is skipped."""
    if not Path(path).exists():
        return
    with open(path, "rb") as file:
        for line in file:
            if line.endswith(b"\n"):
                yield json.loads(line)

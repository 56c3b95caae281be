"""A family of outage plays in simulated time: ways to be away, and shapes of the fleet, outage and kills.

`python -m ryestack.lab.outage.family SEEDS [WORKERS [CASE ...]]` plays it on seeds from FIRST_SEED on, and
prints for each case the broken plays by way and the part of all messages that was delivered.
"""

import sys
from collections import Counter, defaultdict
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass

from .fleet import Fleet
from .partner import Away
from .plays import OutagePlay, PlayResult

FIRST_SEED = 3000
REFUSING = (Away.REFUSES, Away.REFUSES_UNTIL_RETURN, Away.REFUSES_WITH_WAIT, Away.REFUSES_MOST, Away.TURNS)
FAILING = (Away.ERRORS, Away.RESETS, Away.NO_CONNECTION, Away.HANGS, Away.VANISHES, Away.FAILS_MOST)
ANY_WAY = REFUSING + FAILING + (Away.HELD,)
HANDFUL = {"relays": 4, "capacity": 20.0, "load": 0.8, "begin": 8.0}
NO_SAVE_IN_IT = {"killed": 1.0, "save_interval": 2.0, "saves_until": 8.0}
QUIET = {"load": 0.7, "capacity": 10.0, "seconds": 60.0}


@dataclass(frozen=True, slots=True)
class Case:
    """ways: to be away; settings: of OutagePlay, beside the seed."""

    ways: tuple[Away, ...]
    settings: dict


def _outage(seconds: float, **more) -> Case:
    settings = {**HANDFUL, **more}
    return Case(ANY_WAY, {**settings, "end": settings["begin"] + seconds})


OUTAGES = {
    "0.5 s": _outage(0.5),
    "1 s": _outage(1.0),
    "1.5 s": _outage(1.5),
    "2 s": _outage(2.0),
    "4 s": _outage(4.0),
    "8 s": _outage(8.0),
    "1 s at load 1.2": _outage(1.0, load=1.2),
    "1 s at capacity 80": _outage(1.0, capacity=80.0),
    "1.5 s at capacity 80": _outage(1.5, capacity=80.0),
    "4 s, 2 relays": _outage(4.0, relays=2),
    "8 s, 12 relays at capacity 5": _outage(8.0, relays=12, capacity=5.0),
    "2 s, 12 relays at capacity 5": _outage(2.0, relays=12, capacity=5.0),
    "2 s, 40 relays": _outage(2.0, relays=40, capacity=10.0),
    "8 s, 40 relays": _outage(8.0, relays=40, capacity=10.0),
    "4 s, 200 relays": _outage(4.0, relays=200, capacity=40.0),
    "2 s, by endpoint": _outage(2.0, per_route=True),
    "2 s, by endpoint, killed in it": _outage(
        2.0, begin=2.0, per_route=True, killed=1.0, killed_after=-0.6, save_interval=2.0, saves_until=1.9
    ),
    "4 s, killed in it": _outage(4.0, killed=1.0, killed_after=-0.5, save_interval=2.0),
    "4 s, killed 0.5 s after": _outage(4.0, killed_after=0.5, **NO_SAVE_IN_IT),
    "4 s, killed 3 s after": _outage(4.0, killed_after=3.0, **NO_SAVE_IN_IT),
    "1.9 s, killed 0.4 s after": _outage(1.9, killed_after=0.4, **NO_SAVE_IN_IT),
    "4 s, killed in it, no folder": _outage(4.0, killed=1.0, killed_after=-0.5, forgets=True),
    "4 s, killed 0.5 s after, no folder": _outage(4.0, killed=1.0, killed_after=0.5, forgets=True),
    "4 s, limit twice the capacity": _outage(4.0, reports=True, reported_factor=2.0),
    "4 s, limit twice the capacity, even": _outage(4.0, reports=True, reported_factor=2.0, even=True),
}
WITHOUT_OUTAGE = {
    f"none, {relays} relays, {name}": Case((Away.NEVER,), {**QUIET, "relays": relays, **settings})
    for relays in (4, 40, 200)
    for name, settings in {
        "no refusal": {},
        "one call in seven refused": {"refuses": 1 / 7},
        "one in three refused": {"refuses": 1 / 3},
        "limit at load 1": {"limited": True, "load": 1.0},
        "limit at load 1.3": {"limited": True, "load": 1.3},
        "one in seven refused with waits": {"refuses": 1 / 7, "waits": True},
    }.items()
}
CASES = OUTAGES | WITHOUT_OUTAGE


def _play(job: tuple[str, Away, int]) -> PlayResult:
    name, away, seed = job
    return Fleet(OutagePlay(seed, away, **CASES[name].settings)).run()


def play(names: list[str], seeds: range, workers: int) -> dict[str, dict[tuple[Away, int], PlayResult]]:
    """The results of each case, by way and seed."""
    jobs = [(name, away, seed) for name in names for away in CASES[name].ways for seed in seeds]
    found = defaultdict(dict)
    with ProcessPoolExecutor(workers) as pool:
        for (name, away, seed), result in zip(jobs, pool.map(_play, jobs, chunksize=2), strict=True):
            found[name][away, seed] = result
    return found


def broken(results: dict[tuple[Away, int], PlayResult]) -> list[tuple[str, int]]:
    """The way and seed of each play that overloads the partner."""
    return [(away.name, seed) for (away, seed), result in results.items() if result.overload.breaks_rule]


def report(name: str, results: dict[tuple[Away, int], PlayResult]) -> str:
    """One line about a case."""
    by_way = Counter(way for way, _ in broken(results))
    rows = list(results.values())
    early = sum(row.early[1] for row in rows) / max(1, sum(row.early[0] for row in rows))
    delivered = sum(row.delivered_share for row in rows) / len(rows)
    wait = sum(row.wait for row in rows) / len(rows)
    fullest = max(row.overload.fullest for row in rows)
    ways = ", ".join(f"{way} {count}" for way, count in by_way.items())
    return (
        f"{name} | {by_way.total()} of {len(rows)} | fullest {fullest:.2f} | delivered {delivered:.3f} | "
        f"of those before the return {early:.3f} | wait {wait:.2f} s | {ways}"
    )


def main(arguments: list[str]) -> None:
    """Plays and reports."""
    seeds = range(FIRST_SEED, FIRST_SEED + int(arguments[0]))
    workers = int(arguments[1]) if arguments[1:] else 1
    names = [name for name in CASES if not arguments[2:] or any(word in name for word in arguments[2:])]
    total = plays = 0
    for name in names:
        results = play([name], seeds, workers)[name]
        total, plays = total + len(broken(results)), plays + len(results)
        print(report(name, results), flush=True)
    print(f"broken: {total} of {plays}")


if __name__ == "__main__":
    main(sys.argv[1:])

"""Assignment of destinations to relays by size: evenness, moved seats, time and memory, as JSON.

    python benchmarks/assignment.py [relays ...]

Each size runs in a process of its own. The fleet has 16 zones in 7 regions (two regions with 3 zones, five
with 2) and all relays weigh 1. Destinations are in proportion, 860,000 to 12,000 relays, spread over regions
as relays are. Times are processor seconds; `most_over_mean` is that of the worst region; `moved` counts seats
that a relay has after a change and had not before.
"""

import json
import platform
import random
import resource
import statistics
import subprocess
import sys
import time
import tracemalloc
from collections import Counter, defaultdict
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from ryestack.control.assignment import (  # noqa: E402
    REPLICAS,
    SHARDS_PER_REGION,
    SLACK,
    Assignment,
    RelayMember,
    shard_of,
)
from ryestack.control.bounded_load import shard_probes  # noqa: E402

SIZES = (300, 1_000, 3_000, 12_000)
REGIONS = 7
ZONES = [(f"region-{n % REGIONS}", f"zone-{n}") for n in range(16)]
DESTINATIONS_PER_RELAY = 860_000 / 12_000
LEAVERS = 20
SEED = 7


def fleet(size: int) -> list[RelayMember]:
    return [RelayMember(f"relay-{n}", *ZONES[n % len(ZONES)]) for n in range(size)]


def timed(call, *arguments, **keywords):
    """What a call returns, and its processor seconds."""
    start = time.process_time()
    value = call(*arguments, **keywords)
    return value, time.process_time() - start


def spread(seconds: list[float]) -> dict[str, float]:
    return {"best": min(seconds), "median": statistics.median(seconds), "worst": max(seconds)}


def worst_most_over_mean(loads: Counter, members: dict[str, RelayMember]) -> float:
    by_region = defaultdict(list)
    for name, member in members.items():
        by_region[member.region].append(loads[name])
    return max(max(values) / statistics.fmean(values) for values in by_region.values())


def seat_loads(assignment: Assignment) -> Counter:
    return Counter({name: len(assignment.shards_of(name)) for name in assignment.members})


def destination_loads(assignment: Assignment, destinations: int) -> Counter:
    regions = [member.region for member in assignment.members.values()]
    loads: Counter = Counter()
    for number in range(destinations):
        region = regions[number % len(regions)]
        loads.update(assignment.relays_of(shard_of(region, f"destination/{number}")))
    return loads


def gained_seats(before: Assignment, after: Assignment) -> Counter:
    """Relay to the seats that it has after a change and did not have before."""
    return Counter(
        {name: len(set(after.shards_of(name)) - set(before.shards_of(name))) for name in after.members}
    )


def one_relay_figures(assignment: Assignment) -> dict:
    chance = random.Random(SEED)
    leave_times, join_times, own, moved = [], [], 0, 0
    for name in chance.sample(sorted(assignment.members), LEAVERS):
        without, seconds = timed(assignment.with_changes, left=[name])
        leave_times.append(seconds)
        again, seconds = timed(without.with_changes, joined=[assignment.members[name]])
        join_times.append(seconds)
        own += len(assignment.shards_of(name))
        moved += gained_seats(assignment, without).total()
    return {
        "leave_s": spread(leave_times),
        "join_s": spread(join_times),
        "moved_per_own_seat": moved / own,
        "moved_share_of_all_seats": moved / LEAVERS / seat_loads(assignment).total(),
    }


def zone_figures(assignment: Assignment, zone: str) -> dict:
    lost = [name for name, member in assignment.members.items() if member.zone == zone]
    without, seconds = timed(assignment.with_changes, left=lost)
    region = assignment.members[lost[0]].region
    gained = gained_seats(assignment, without)
    heirs = [gained[name] for name, member in without.members.items() if member.region == region]
    return {
        "relays": len(lost),
        "seconds": seconds,
        "moved_per_own_seat": gained.total() / sum(len(assignment.shards_of(name)) for name in lost),
        "moved_in_other_regions": gained.total() - sum(heirs),
        "gained_most_over_mean": max(heirs) / statistics.fmean(heirs),
        "seats_most_over_mean": worst_most_over_mean(seat_loads(without), without.members),
    }


def region_figures(assignment: Assignment, region: str) -> dict:
    lost = [name for name, member in assignment.members.items() if member.region == region]
    homes = {member.region for member in assignment.members.values()}
    kept = assignment.with_changes(homes=homes)
    without, seconds = timed(kept.with_changes, left=lost)
    return {
        "relays": len(lost),
        "seconds": seconds,
        "moved_per_own_seat": gained_seats(kept, without).total()
        / sum(len(kept.shards_of(name)) for name in lost),
        "seats_most_over_mean": worst_most_over_mean(seat_loads(without), without.members),
    }


def point(size: int) -> dict:
    """All figures of one size; traced memory last, as tracing slows down what runs under it."""
    members = fleet(size)
    rss_before = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    assignment, build_seconds = timed(Assignment, members)
    rss_grown = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss - rss_before
    destinations = round(size * DESTINATIONS_PER_RELAY)
    loads = seat_loads(assignment)
    figures = {
        "relays": size,
        "destinations": destinations,
        "seats_a_relay": loads.total() / size,
        "build_s": build_seconds,
        "peak_rss_grown_mb": rss_grown / 1024,
        "seats_most_over_mean": worst_most_over_mean(loads, assignment.members),
        "fewest_seats": min(loads.values()),
        "destinations_most_over_mean": worst_most_over_mean(
            destination_loads(assignment, destinations), assignment.members
        ),
        "one_relay": one_relay_figures(assignment),
        "zone_of_three_lost": zone_figures(assignment, "zone-0"),
        "zone_of_two_lost": zone_figures(assignment, "zone-2"),
        "region_lost": region_figures(assignment, "region-2"),
    }
    shard_probes.cache_clear()
    tracemalloc.start()
    kept = Assignment(members)
    figures["held_mb"] = tracemalloc.get_traced_memory()[0] / 1e6
    del kept  # it lived until here: what was traced is the assignment and the probes of its shards
    return figures


def main(arguments: list[str]) -> int:
    if arguments[:1] == ["--point"]:
        print(json.dumps(point(int(arguments[1]))))
        return 0
    points = []
    for size in map(int, arguments) if arguments else SIZES:
        command = [sys.executable, __file__, "--point", str(size)]
        run = subprocess.run(command, capture_output=True, text=True, check=True)
        points.append(json.loads(run.stdout))
        print(f"{size} relays done", file=sys.stderr)
    settings = {"replicas": REPLICAS, "shards_per_region": SHARDS_PER_REGION, "slack": SLACK, "seed": SEED}
    print(json.dumps({"python": platform.python_version(), "settings": settings, "points": points}, indent=2))
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))

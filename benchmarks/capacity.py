"""What each part of the program costs by size: the slopes of docs/CAPACITY.md, measured.

    python benchmarks/capacity.py [PROBE ...] [--repeats 3] [--out FILE]

Each point runs in a process of its own. JSON goes to FILE or standard output: for each quantity its points
(size, median over repeats), all repeats, the fitted exponent with its standard error and the lowest and
highest exponent between neighbouring points, and what was held fixed.
"""

import json
import os
import platform
import statistics
import subprocess
import sys
import time
from collections.abc import Callable
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Annotated

import typer

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

import capacity_control as control  # noqa: E402
import capacity_control_idle as control_idle  # noqa: E402
import capacity_peers as guards  # noqa: E402
import capacity_processes as processes  # noqa: E402
import capacity_state as state  # noqa: E402

from ryestack.lab.slopes import fit  # noqa: E402

LONGEST = 300.0  # seconds of one point


@dataclass(frozen=True, slots=True)
class Probe:
    """measure: a size to quantities by name, among them `size` where it came out otherwise.

    size: what the size counts; fixed: what was held fixed.
    """

    measure: Callable[[int], dict[str, float]]
    sizes: tuple[int, ...]
    size: str
    fixed: str


DESTINATIONS = (1000, 5000, 20_000, 100_000)
PROBES = {
    "brain": Probe(
        state.brain_by_destinations, DESTINATIONS, "destinations", "2 endpoints each, nothing in hand"
    ),
    "list": Probe(
        state.list_by_destinations, DESTINATIONS, "destinations", "2 endpoints each, the stand-in's fields"
    ),
    "members": Probe(
        state.members_by_destinations, DESTINATIONS, "destinations", "2 endpoints each; one row changes"
    ),
    "parked": Probe(
        state.brain_by_parked,
        (1000, 3000, 10_000, 30_000, 100_000),
        "messages",
        "one destination, 2 endpoints, one topic type",
    ),
    "ledger": Probe(
        state.ledger_by_messages,
        (1000, 3000, 10_000, 30_000, 100_000),
        "messages",
        "bodies of 200 bytes, one failed push each, 1,000 destinations",
    ),
    "group": Probe(state.group_by_relays, (200, 800, 3000, 12_000), "relays", "2 replicas, 16 zones"),
    "watch": Probe(
        processes.watch_by_relays,
        (1, 3, 10, 32),
        "relays",
        "idle, 3 endpoints, a registry that says nothing new",
    ),
    "peers": Probe(
        guards.peers_by_heartbeats,
        tuple(guards.LEASES),
        "messages in 100 s",
        "3 relays, 2 replicas each, idle; leases of 60, 15, 4 and 1 s",
    ),
    "guard": Probe(
        guards.guard_by_messages, (1000, 3000, 10_000, 40_000), "messages", "one shard, bodies of 200 bytes"
    ),
    "guarded": Probe(
        guards.guarded_by_rate,
        (1, 5, 15, 50),
        "messages/s",
        "3 relays, 2 replicas each, lease 3 s, one endpoint, bodies of 64 bytes",
    ),
    "assignment": Probe(
        control.assignment_by_relays,
        (200, 800, 3000, 12_000),
        "relays",
        "7 regions, 16 zones, 8,192 shards a region, 3 replicas, equal weights",
    ),
    "publisher": Probe(
        control.publisher_by_destinations,
        DESTINATIONS,
        "destinations",
        "2 endpoints each, 12,000 relays in 7 regions, one poll held, no sockets",
    ),
    "subscriber": Probe(
        control.subscriber_by_entries,
        (1000, 4000, 12_000, 40_000),
        "entries in scope",
        "2 endpoints each, 15 shards, relay and machine in one process, no sockets",
    ),
    "consensus": Probe(
        control.consensus_by_changes,
        (10, 50, 200, 1000),
        "changes",
        "3 voters in one process, a folder each on one disk, one change at a time",
    ),
    "control": Probe(
        control_idle.control_by_relays,
        (1, 3, 10, 32),
        "relays",
        "one machine that knows 12,000 relays and 5,000 destinations, polls held 5 s",
    ),
    "message": Probe(
        processes.message_by_rate,
        (4, 15, 50, 180),
        "messages/s",
        "6 endpoints of 3 destinations, bodies of 64 bytes, all delivered",
    ),
}


def reference() -> float:
    """Seconds of a fixed loop: processor times of two machines are compared by it."""
    return state.median_seconds(lambda: sum(range(1_000_000)))


def revision() -> str:
    """The commit of this tree, with a mark where files of the package differ from it."""
    head = subprocess.run(["git", "rev-parse", "--short", "HEAD"], cwd=ROOT, capture_output=True, text=True)
    changed = ["git", "status", "--porcelain", "--", "ryestack"]
    told = subprocess.run(changed, cwd=ROOT, capture_output=True, text=True).stdout
    return head.stdout.strip() + ("+changed" if told.strip() else "")


def measured(name: str, size: int) -> dict[str, float]:
    """One point, in a process of its own."""
    command = [sys.executable, __file__, "--point", f"{name}:{size}"]
    run = subprocess.run(command, capture_output=True, text=True, timeout=LONGEST)
    if run.returncode:
        raise SystemExit(f"{name} at {size}: status {run.returncode}\n{run.stderr}")
    return json.loads(run.stdout)


def quantities(name: str, repeats: int) -> dict[str, dict]:
    """All quantities of a probe, with their fits."""
    probe, rows = PROBES[name], {}
    for nominal in probe.sizes:
        began = time.perf_counter()
        found = [measured(name, nominal) for _ in range(repeats)]
        size = statistics.median(each.pop("size", nominal) for each in found)
        for quantity in found[0]:
            rows.setdefault(quantity, {})[size] = [each[quantity] for each in found]
        print(f"{name} {nominal}: {time.perf_counter() - began:.1f} s", file=sys.stderr, flush=True)
    told = {}
    for quantity, by_size in rows.items():
        points = [(size, statistics.median(values)) for size, values in by_size.items()]
        law = asdict(fit(points)) if min(value for _, value in points) > 0.0 else None
        told[quantity] = {
            "probe": name, "size": probe.size, "fixed": probe.fixed, "points": points,
            "repeats": list(by_size.values()), "fit": law,
        }  # fmt: skip
    return told


def main(
    probes: Annotated[list[str] | None, typer.Argument(help="all if none is named")] = None,
    repeats: int = 3,
    out: Path | None = None,
    point: Annotated[str, typer.Option(help="one point in this process: PROBE:SIZE", hidden=True)] = "",
) -> None:
    if point:
        name, _, size = point.partition(":")
        print(json.dumps(PROBES[name].measure(int(size))))
        return
    unknown = set(probes or []) - set(PROBES)
    if unknown:
        raise typer.BadParameter(f"no probe {', '.join(sorted(unknown))}; there are {', '.join(PROBES)}")
    named = probes or list(PROBES)
    told = {
        "commit": revision(), "python": platform.python_version(), "cores": len(os.sched_getaffinity(0)),
        "reference_loop_s": reference(), "repeats": repeats, "slopes": {},
        "command": f"python benchmarks/capacity.py {' '.join(named)}",
    }  # fmt: skip
    for name in named:
        told["slopes"] |= quantities(name, repeats)
    text = json.dumps(told, indent=1) + "\n"
    if out:
        out.write_text(text)
    else:
        print(text, end="")


if __name__ == "__main__":
    typer.run(main)

"""Cost of a simulated day by size: wall time, memory and the share of the decision module, on one core.

python benchmarks/lab_scale.py                    # 1,000 relays x 1,000 destinations x 5,000 a second, 60 s
python benchmarks/lab_scale.py --fleets 10,100    # cost per notification by fleet, 5 a second per relay
"""

import json
import resource
import subprocess
import sys
from pathlib import Path

import typer

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from ryestack.lab import scenario  # noqa: E402
from ryestack.lab.runner import play  # noqa: E402


def measure(relays: int, destinations: int, rate: float, seconds: float, seed: int) -> dict:
    simulated_day = scenario.from_table(
        {
            "format": 1,
            "seconds": seconds,
            "fleet": {"relays": relays},
            "group": [{"count": destinations, "zipf": 0.8}],
            "traffic": {"rate": rate, "load": 1.0},
            "topic": [{"name": "a", "effect": "collapsible", "share": 3.0}, {"name": "b"}],
        }
    )
    summary = play(simulated_day, seed).summary
    wall, inside = summary["wall"]["seconds"], summary["wall"]["inside"]
    return {
        "relays": relays,
        "destinations": destinations,
        "notifications": summary["handed"],
        "wall_s": wall,
        "inside_s": inside,
        "world_s": wall - inside,
        "us_a_notification": wall / summary["handed"] * 1e6,
        "notifications_a_second": summary["handed"] / wall,
        "memory_mb": resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024.0,
        "G": summary["G"],
        "rules_broken": sum(summary["rules"].values()),
    }


def main(
    relays: int = 1000,
    destinations: int = 1000,
    rate: float = 5000.0,
    seconds: float = 60.0,
    fleets: str = "",
    seed: int = 1,
    as_json: bool = False,
) -> None:
    if fleets:  # a process for each size, so that peak memory is measured separately
        rows = []
        for fleet in fleets.split(","):
            command = [
                sys.executable,
                __file__,
                "--relays",
                fleet,
                "--rate",
                str(5.0 * int(fleet)),
                "--as-json",
            ]
            command += ["--destinations", str(destinations), "--seconds", str(seconds), "--seed", str(seed)]
            rows += json.loads(subprocess.run(command, check=True, capture_output=True, text=True).stdout)
    else:
        rows = [measure(relays, destinations, rate, seconds, seed)]
    if as_json:
        print(json.dumps(rows, indent=2))
        return
    for row in rows:
        print(
            "  ".join(
                f"{name} {value:.1f}" if isinstance(value, float) and name != "G" else f"{name} {value}"
                for name, value in row.items()
            )
        )


if __name__ == "__main__":
    typer.run(main)

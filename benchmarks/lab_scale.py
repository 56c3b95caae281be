"""What a simulated day costs at size: wall time, memory, the module's share, on one core.

python benchmarks/lab_scale.py                    # 1,000 relays x 1,000 destinations x 5,000 a second, 60 s
python benchmarks/lab_scale.py --fleets 10,100    # cost a notification by fleet, at five a second a relay
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


def one(relays: int, destinations: int, rate: float, seconds: float, seed: int) -> dict:
    day = scenario.from_table(
        {
            "format": 1,
            "seconds": seconds,
            "fleet": {"relays": relays},
            "group": [{"count": destinations, "zipf": 0.8}],
            "traffic": {"rate": rate, "load": 1.0},
            "topic": [{"name": "a", "effect": "collapsible", "share": 3.0}, {"name": "b"}],
        }
    )
    s = play(day, seed).summary
    wall, inside = s["wall"]["seconds"], s["wall"]["inside"]
    return {
        "relays": relays,
        "destinations": destinations,
        "notifications": s["handed"],
        "wall_s": wall,
        "inside_s": inside,
        "world_s": wall - inside,
        "us_a_notification": wall / s["handed"] * 1e6,
        "notifications_a_second": s["handed"] / wall,
        "memory_mb": resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024.0,
        "G": s["G"],
        "rules_broken": sum(s["rules"].values()),
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
    if fleets:  # each in a process of its own, so that memory is its own
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
        rows = [one(relays, destinations, rate, seconds, seed)]
    if as_json:
        print(json.dumps(rows, indent=2))
        return
    for row in rows:
        print(
            "  ".join(
                f"{k} {v:.1f}" if isinstance(v, float) and k != "G" else f"{k} {v}" for k, v in row.items()
            )
        )


if __name__ == "__main__":
    typer.run(main)

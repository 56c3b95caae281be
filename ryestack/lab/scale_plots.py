"""Plots of scale runs by size: `python -m ryestack.lab.scale_plots FOLDER`.

Reads FOLDER/scale.json, a list of results; writes scale-force.png, scale-traffic.png,
scale-cpu.png and scale-memory.png beside it.
"""

import sys
from pathlib import Path

import msgspec

from .plots import curves
from .scale_report import ScaleResult

ACROSS = "relays"
SHOWN_STORIES = ("ordinary", "burst", "tenth_restarted", "leader_killed", "zone_gone")
BYTES_ALLOWED, CORE_ALLOWED, SECONDS_ALLOWED = 2_000.0, 0.011, 13.0

Rows = dict[str, list[tuple[float, float, float]]]


def rows_of(results: list[ScaleResult]) -> dict[str, tuple[Rows, str]]:
    """Maps each plot to its curves, with points as (value, low, high), and its unit."""
    force: Rows = {}
    for story in SHOWN_STORIES:
        in_story = [next((s for s in result.stories if s.story == story), None) for result in results]
        if all(one is not None and one.shared.worst is not None for one in in_story):
            force[f"{story}: p50 to worst"] = [(s.shared.p50, s.shared.p50, s.shared.worst) for s in in_story]
    force["allowed"] = [_point(SECONDS_ALLOWED) for _ in results]
    figures = {
        "force": (force, "seconds until in force at all relays"),
        "traffic": (_compared(results, "carried", BYTES_ALLOWED), "bytes a second and relay"),
        "cpu": (_compared(results, "cpu", CORE_ALLOWED), "cores"),
        "memory": (
            {
                "hollow relay": [_point(result.hollow_memory / 1e6) for result in results],
                "control machine": [_point(result.machine.memory_mean / 1e6) for result in results],
            },
            "MB resident",
        ),
    }
    machines = [(m.cpu_mean, m.cpu_mean, m.cpu_most) for m in (result.machine for result in results)]
    figures["cpu"][0]["control machine: mean to most"] = machines
    return figures


def _compared(results: list[ScaleResult], name: str, allowed: float) -> Rows:
    hollow = [_point(result.compared[name].hollow) for result in results]
    real = [
        (c.real, c.real - (c.spread or 0.0), c.real + (c.spread or 0.0))
        for c in (result.compared[name] for result in results)
    ]
    return {"hollow relay": hollow, "real relay": real, "allowed a relay": [_point(allowed) for _ in results]}


def _point(value: float) -> tuple[float, float, float]:
    return (value, value, value)


def main(folder: Path) -> int:
    results = msgspec.json.decode((folder / "scale.json").read_bytes(), type=list[ScaleResult])
    sizes = [result.relays for result in results]
    for name, (rows, unit) in rows_of(results).items():
        path = folder / f"scale-{name}.png"
        path.write_bytes(curves(sizes, rows, f"scale run: {name}", ACROSS, unit, log=True))
        print(path)
    return 0


if __name__ == "__main__":
    sys.exit(main(Path(sys.argv[1])))

"""What `run` costs, of two revisions side by side in one run: start, memory, CPU a message.

    python benchmarks/run_cost.py --before REV [--pairs 5] [--rate 150] [--seconds 8]

Each pair starts both relays, one after the other, at stand-ins of their own, and then gives both the same
load at the same time, on one core that they share: one run after the other differs by a quarter on a shared
machine, with the same program on both sides. Printed are the medians and the median of the ratios by pair.
"""

import asyncio
import compileall
import io
import json
import os
import shutil
import statistics
import subprocess
import sys
import tarfile
import tempfile
from pathlib import Path

import typer

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from ryestack.lab.load import Load, Plan  # noqa: E402
from ryestack.lab.trial import TOPICS, RelayProcess, free_port, platform_config  # noqa: E402
from ryestack.standins.partner import Partner  # noqa: E402
from ryestack.standins.platform import Platform  # noqa: E402
from ryestack.standins.stage import Endpoint, Pace, Stage  # noqa: E402
from ryestack.standins.stage import Platform as PlatformStage  # noqa: E402

CORE = {0}  # both relays
TICK = os.sysconf("SC_CLK_TCK")


def memory(pid: int) -> float:
    """Resident memory in MB now."""
    rows = Path(f"/proc/{pid}/status").read_text().splitlines()
    return next(int(row.split()[1]) for row in rows if row.startswith("VmRSS")) / 1024.0


def cpu(pid: int) -> float:
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICK


class Side:
    """One relay with its stand-ins and its load."""

    def __init__(self, tree: Path, folder: Path, seed: int, rate: float, seconds: float):
        rows = [Endpoint(f"e{i}", i % 3, pace=Pace(mean=0.03), weight=rate, slots=64) for i in range(6)]
        here = PlatformStage("127.0.0.1:0", "127.0.0.1:0")
        self.partner = Partner(Stage(rows, platform=here, control="127.0.0.1:0", seed=seed))
        self.tree, self.folder, self.seed, self.figures = tree, folder, seed, {}
        self.plan = Plan(TOPICS, [0, 1, 2], ["acme"], rate, seconds, "constant", seed=seed)
        self.platform = self.relay = None

    async def start(self) -> None:
        await self.partner.start()
        addresses = {name: place.address for name, place in self.partner.places.items()}
        self.platform = Platform(self.partner.stage, addresses)
        await self.platform.start()
        self.listen = f"127.0.0.1:{free_port()}"
        known = self.platform.listing()
        config = platform_config(self.listen, self.platform.address, known, TOPICS, self.seed)
        self.relay = RelayProcess(config, self.folder, cwd=self.tree)
        self.figures["start ms"] = await self.relay.start() * 1e3
        os.sched_setaffinity(self.relay.process.pid, CORE)
        self.figures["memory at rest MB"] = memory(self.relay.process.pid)

    async def run(self) -> None:
        pid, load = self.relay.process.pid, Load(self.plan, [self.listen])
        before = cpu(pid)
        await load.run()
        await asyncio.sleep(0.5)
        taken = sum(h.answer == "taken" for h in load.handed)
        self.figures["memory after load MB"] = memory(pid)
        self.figures["CPU ms a message"] = (cpu(pid) - before) * 1e3 / max(1, taken)
        self.figures["taken"] = float(taken)

    async def close(self) -> None:
        for part in (self.relay, self.partner, self.platform):
            if part:
                await part.close()


async def pair_of(trees: list[Path], seed: int, rate: float, seconds: float) -> list[dict[str, float]]:
    """Figures of both, which start in the order given and run together."""
    with tempfile.TemporaryDirectory() as folder:
        sides = [Side(t, Path(folder) / str(i), seed, rate, seconds) for i, t in enumerate(trees)]
        try:
            for side in sides:
                await side.start()
            await asyncio.gather(*(side.run() for side in sides))
        finally:
            for side in sides:
                await side.close()
    return [side.figures for side in sides]


def unpacked(revision: str, folder: str) -> Path:
    """A revision's package, compiled, so that no first start pays for that."""
    made = subprocess.run(["git", "archive", revision, "ryestack"], cwd=ROOT, check=True, capture_output=True)
    with tarfile.open(fileobj=io.BytesIO(made.stdout)) as archive:
        archive.extractall(folder, filter="data")
    return compiled(Path(folder))


def compiled(tree: Path) -> Path:
    compileall.compile_dir(tree / "ryestack", quiet=2)
    return tree


def main(
    before: str = "HEAD", pairs: int = 5, rate: float = 150.0, seconds: float = 8.0, as_json: bool = False
) -> None:
    found: dict[str, list[dict]] = {"before": [], "now": []}
    with tempfile.TemporaryDirectory() as folder, tempfile.TemporaryDirectory() as other:
        shutil.copytree(ROOT / "ryestack", Path(other) / "ryestack")
        trees = {"before": unpacked(before, folder), "now": compiled(Path(other))}
        for pair in range(pairs):
            names = sorted(trees, reverse=pair % 2 == 0)
            told = asyncio.run(pair_of([trees[name] for name in names], pair + 1, rate, seconds))
            for name, figures in zip(names, told, strict=True):
                found[name].append(figures)
    rows = {}
    for key in found["now"][0]:
        a, b = ([row[key] for row in found[name]] for name in ("before", "now"))
        ratio = statistics.median(y / x for x, y in zip(a, b, strict=True))
        rows[key] = {"before": statistics.median(a), "now": statistics.median(b), "ratio": ratio}
    if as_json:
        print(json.dumps(rows, indent=2))
        return
    print(f"{before} and this tree, {pairs} pairs, {rate:g} a second for {seconds:g} s")
    for key, row in rows.items():
        print(f"{key:24} {row['before']:10.2f} {row['now']:10.2f}   ratio {row['ratio']:.3f}")


if __name__ == "__main__":
    typer.run(main)

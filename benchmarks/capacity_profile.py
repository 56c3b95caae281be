"""Where a relay's processor time goes under load: samples of its stack, by package and by function.

    python benchmarks/capacity_profile.py [--rate 100] [--seconds 30]

One sample each 5 ms of processor time, by SIGPROF in the relay's process. A signal is seen between two
bytecodes, so time in C counts for the Python function that called it; each sample wakes the loop once,
which adds some hundredths to asyncio.
"""

import asyncio
import json
import signal
import sys
import tempfile
from collections import Counter
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

EACH = 0.005  # seconds of processor time between samples
PACKAGES = ("ryestack", "aiohttp", "asyncio", "json", "loguru", "yarl", "multidict")


def place(frame) -> tuple[str, str]:
    """(package or ryestack's part, file and function) of a frame."""
    parts = Path(frame.f_code.co_filename).parts
    package = next((name for name in PACKAGES if name in parts), "other")
    where = "/".join(parts[-2:])
    if package == "ryestack" and len(parts) - parts[::-1].index("ryestack") < len(parts):
        package = "ryestack/" + parts[len(parts) - parts[::-1].index("ryestack")]
    return package, f"{where}:{frame.f_code.co_qualname}"


class Sampler:
    """own: samples in a function itself; under: samples in it or in what it called, ryestack's alone."""

    def __init__(self):
        self.samples, self.packages, self.own, self.under = 0, Counter(), Counter(), Counter()

    def take(self, _, frame) -> None:
        package, function = place(frame)
        self.samples += 1
        self.packages[package] += 1
        self.own[function] += 1
        seen = set()
        while frame is not None:
            package, function = place(frame)
            if package.startswith("ryestack"):
                seen.add(function)
            frame = frame.f_back
        self.under.update(seen)

    def told(self, most: int = 25) -> dict:
        counters = {"packages": self.packages, "own": self.own, "under": self.under}
        shares = {
            name: {key: round(n / max(1, self.samples), 4) for key, n in counter.most_common(most)}
            for name, counter in counters.items()
        }
        return {"samples": self.samples, **shares}


def relay(out: str) -> int:
    """Run a relay as `python -m ryestack` does, and write what was sampled."""
    from ryestack.lifecycle.service import serve

    sampler = Sampler()
    signal.signal(signal.SIGPROF, sampler.take)
    signal.setitimer(signal.ITIMER_PROF, EACH, EACH)
    try:
        return serve()
    finally:
        signal.setitimer(signal.ITIMER_PROF, 0.0)
        Path(out).write_text(json.dumps(sampler.told(), indent=1))


async def play(folder: Path, rate: float, seconds: float) -> str:
    import os

    import run_cost

    run_cost.CORE = os.sched_getaffinity(0)
    side = run_cost.Side(ROOT, folder, 1, rate, seconds)
    out, made = folder / "profile.json", run_cost.RelayProcess

    def sampled(config: dict, place: Path, cwd: Path):
        return made(config, place, [sys.executable, __file__, "--relay", str(out)], cwd)

    run_cost.RelayProcess = sampled
    try:
        await side.start()
        await side.run()
        await side.relay.kill(signal.SIGTERM)
        print(f"{side.figures['taken']:.0f} taken", file=sys.stderr)
        return out.read_text()
    finally:
        await side.close()


def main(rate: float = 100.0, seconds: float = 30.0) -> None:
    with tempfile.TemporaryDirectory() as folder:
        print(asyncio.run(play(Path(folder), rate, seconds)))


if __name__ == "__main__":
    if sys.argv[1:2] == ["--relay"]:
        sys.exit(relay(sys.argv[2]))
    import typer

    typer.run(main)

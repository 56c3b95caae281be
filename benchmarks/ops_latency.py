"""How long a call at the second address takes while clients flood the first and others hold the second.

    python benchmarks/ops_latency.py [--rate 400] [--idle 300] [--seconds 12]

The relay has one core for itself; idle and half-written client connections stand beside the load, and callers
that never finish a call at the second address. Printed are p50, p99 and the worst, by call.
"""

import asyncio
import contextlib
import json
import os
import sys
import tempfile
import time
from pathlib import Path

import aiohttp
import typer

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from ryestack.lab.load import Load, Plan  # noqa: E402
from ryestack.lab.trial import TOPICS, RelayProcess, free_port, platform_config  # noqa: E402
from ryestack.standins.partner import Partner  # noqa: E402
from ryestack.standins.platform import Platform  # noqa: E402
from ryestack.standins.stage import Endpoint, Pace, Stage  # noqa: E402
from ryestack.standins.stage import Platform as PlatformStage  # noqa: E402

HOLDERS = 32  # at the second address, twice its bound
STEP = 0.1  # seconds between calls


async def hold(address: str, how_many: int, words: list[bytes], until: float) -> None:
    """Connections that are opened and never say a whole call; each comes again when it is closed."""
    host, port = address.split(":")

    async def one(number: int) -> None:
        while time.monotonic() < until:
            with contextlib.suppress(OSError):
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(words[number % len(words)])
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(reader.read(), max(0.1, until - time.monotonic()))
                writer.close()
            await asyncio.sleep(0.2)

    await asyncio.gather(*(one(number) for number in range(how_many)))


async def run(rate: float, idle: int, seconds: float, seed: int) -> dict:
    here = PlatformStage("127.0.0.1:0", "127.0.0.1:0")
    rows = [Endpoint(f"e{i}", i % 3, pace=Pace(mean=0.03), weight=rate, slots=64) for i in range(6)]
    partner = Partner(Stage(rows, platform=here, control="127.0.0.1:0", seed=seed))
    platform = relay = None
    took: dict[str, list[float]] = {"/-/ready": [], "/-/metrics": []}
    wrong = 0
    with tempfile.TemporaryDirectory(prefix="ryestack-ops-") as folder:
        try:
            await partner.start()
            platform = Platform(
                partner.stage, {name: place.address for name, place in partner.places.items()}
            )
            await platform.start()
            listen = f"127.0.0.1:{free_port()}"
            config = platform_config(listen, platform.address, platform.listing(), TOPICS, seed)
            relay = RelayProcess(config, Path(folder))
            relay.ops = f"127.0.0.1:{free_port()}"
            await relay.start()
            os.sched_setaffinity(relay.process.pid, {min(os.sched_getaffinity(0))})
            until = time.monotonic() + seconds
            halves = [
                b"",
                b"POST /api HTTP/1.1\r\nContent-Le",
                b"POST /api HTTP/1.1\r\nContent-Length: 9\r\n\r\nx",
            ]
            beside = [
                asyncio.ensure_future(hold(listen, idle, halves, until)),
                asyncio.ensure_future(hold(relay.ops, HOLDERS, [b"", b"GET /-/met"], until)),
                asyncio.ensure_future(
                    Load(
                        Plan(TOPICS, [0, 1, 2], ["acme"], rate, seconds, seed=seed, connections=200), [listen]
                    ).run()
                ),
            ]
            while time.monotonic() < until:
                for path, values in took.items():
                    began = time.monotonic()
                    try:
                        limit = aiohttp.ClientTimeout(total=5.0)
                        async with aiohttp.request(
                            "GET", f"http://{relay.ops}{path}", timeout=limit
                        ) as answer:
                            await answer.read()
                            wrong += answer.status != 200
                    except (aiohttp.ClientError, OSError, TimeoutError):
                        wrong += 1
                    values.append(time.monotonic() - began)
                await asyncio.sleep(STEP)
            await asyncio.gather(*beside)
        finally:
            if relay:
                await relay.close()
            await partner.close()
            if platform:
                await platform.close()

    def figures(values: list[float]) -> dict:
        ms = [round(v * 1000.0, 1) for v in sorted(values)]
        return {"calls": len(ms), "p50": ms[len(ms) // 2], "p99": ms[int(len(ms) * 0.99)], "worst": ms[-1]}

    return {"wrong": wrong, **{path: figures(values) for path, values in took.items()}}


def main(rate: float = 400.0, idle: int = 300, seconds: float = 12.0, seed: int = 1) -> None:
    print(json.dumps(asyncio.run(run(rate, idle, seconds, seed)), indent=1))


if __name__ == "__main__":
    typer.run(main)

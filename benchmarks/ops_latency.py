"""Latency of the operations address while clients flood the service address and others hold connections.

    python benchmarks/ops_latency.py [--rate 400] [--idle 300] [--seconds 12]

The relay has one core. Besides the load, there are idle and half-written client connections, and callers of
the operations address that never complete a request. Prints p50, p99 and the worst latency by path, in ms.
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

HOLDERS = 32  # connections to the operations address, twice its limit
STEP = 0.1  # seconds between probes


async def hold(address: str, count: int, prefixes: list[bytes], deadline: float) -> None:
    """Opens connections that never send a complete request, and reopens each one that is closed."""
    host, port = address.split(":")

    async def one(number: int) -> None:
        while time.monotonic() < deadline:
            with contextlib.suppress(OSError):
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(prefixes[number % len(prefixes)])
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(reader.read(), max(0.1, deadline - time.monotonic()))
                writer.close()
            await asyncio.sleep(0.2)

    await asyncio.gather(*(one(number) for number in range(count)))


async def run(rate: float, idle: int, seconds: float, seed: int) -> dict:
    platform_stage = PlatformStage("127.0.0.1:0", "127.0.0.1:0")
    rows = [Endpoint(f"e{i}", i % 3, pace=Pace(mean=0.03), weight=rate, slots=64) for i in range(6)]
    partner = Partner(Stage(rows, platform=platform_stage, control="127.0.0.1:0", seed=seed))
    platform = relay = None
    latencies: dict[str, list[float]] = {"/-/ready": [], "/-/metrics": []}
    failures = 0
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
            deadline = time.monotonic() + seconds
            partial_requests = [
                b"",
                b"POST /api HTTP/1.1\r\nContent-Le",
                b"POST /api HTTP/1.1\r\nContent-Length: 9\r\n\r\nx",
            ]
            background = [
                asyncio.ensure_future(hold(listen, idle, partial_requests, deadline)),
                asyncio.ensure_future(hold(relay.ops, HOLDERS, [b"", b"GET /-/met"], deadline)),
                asyncio.ensure_future(
                    Load(
                        Plan(TOPICS, [0, 1, 2], ["acme"], rate, seconds, seed=seed, connections=200), [listen]
                    ).run()
                ),
            ]
            while time.monotonic() < deadline:
                for path, values in latencies.items():
                    began = time.monotonic()
                    try:
                        limit = aiohttp.ClientTimeout(total=5.0)
                        async with aiohttp.request(
                            "GET", f"http://{relay.ops}{path}", timeout=limit
                        ) as answer:
                            await answer.read()
                            failures += answer.status != 200
                    except (aiohttp.ClientError, OSError, TimeoutError):
                        failures += 1
                    values.append(time.monotonic() - began)
                await asyncio.sleep(STEP)
            await asyncio.gather(*background)
        finally:
            if relay:
                await relay.close()
            await partner.close()
            if platform:
                await platform.close()

    def figures(values: list[float]) -> dict:
        ms = [round(value * 1000.0, 1) for value in sorted(values)]
        return {"calls": len(ms), "p50": ms[len(ms) // 2], "p99": ms[int(len(ms) * 0.99)], "worst": ms[-1]}

    return {"wrong": failures, **{path: figures(values) for path, values in latencies.items()}}


def main(rate: float = 400.0, idle: int = 300, seconds: float = 12.0, seed: int = 1) -> None:
    print(json.dumps(asyncio.run(run(rate, idle, seconds, seed)), indent=1))


if __name__ == "__main__":
    typer.run(main)

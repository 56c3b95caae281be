"""Costs of running relays by size: processes on loopback; benchmarks/capacity.py runs them.

Processor time is the scheduler's count of nanoseconds, of relay processes only. Bytes are those of the
streams on loopback, HTTP heads included, TCP and IP heads not.
"""

import asyncio
import json
import os
import sys
import tempfile
import time
from pathlib import Path

import run_cost

from ryestack.lab.load import Load, Plan
from ryestack.lab.trial import TOPICS, RelayProcess, free_port, platform_config

HERE = Path(__file__).resolve().parent
SETTLE, WINDOW = 3.0, 10.0  # seconds
LEAST_SENT, LEAST_SECONDS = 120, 8.0  # of a load: messages, seconds
IDLE = 4.0  # seconds that a relay is watched idle before a load


def cpu(pids: list[int]) -> float:
    """Seconds on a processor so far, all threads."""
    files = (file for pid in pids for file in Path(f"/proc/{pid}/task").glob("*/schedstat"))
    return sum(int(file.read_text().split()[0]) for file in files) / 1e9


def proportional_memory(pid: int) -> int:
    """Bytes, with what is shared divided among those that share it."""
    rows = Path(f"/proc/{pid}/smaps_rollup").read_text().splitlines()
    return 1024 * next(int(row.split()[1]) for row in rows if row.startswith("Pss:"))


def resident_memory(pid: int) -> int:
    return int(run_cost.memory(pid) * 1024**2)


# -- the watch of the list -------------------------------------------------------------------------------


class Registry:
    """A registry that holds each asking as long as it is told and then says that nothing is new."""

    def __init__(self, rows: list[dict]):
        self.rows, self.asked, self.heard, self.said, self.address = rows, 0, 0, 0, ""

    async def start(self) -> None:
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        host, port = self.server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    async def serve(self, reader, writer) -> None:
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                path = head.split(b" ", 2)[1].decode()
                hold = int(path.rpartition("hold_ms=")[2]) / 1000.0 if "hold_ms=" in path else 0.0
                await asyncio.sleep(hold)
                answer = self.answer("from=" in path)
                self.asked, self.heard, self.said = (
                    self.asked + 1,
                    self.heard + len(head),
                    self.said + len(answer),
                )
                writer.write(answer)
        except (asyncio.IncompleteReadError, asyncio.CancelledError, OSError):
            pass  # the relay has gone, or the measurement is over
        finally:
            writer.close()

    def answer(self, delta: bool) -> bytes:
        told = {"index": 1, "snapshot": not delta, "endpoints": [] if delta else self.rows}
        body = json.dumps(told, separators=(",", ":")).encode()
        head = f"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
        return head.encode() + body


async def idle_relays(count: int, folder: Path, operator: str = "") -> dict[str, float]:
    """So many idle relays at one registry: its load, their processor time and memory, a second."""
    row = {"zone": "a", "type": "shop", "status": "up", "weight": 50.0, "since_ms": 0}
    rows = [{**row, "name": f"e{i}", "address": "127.0.0.1:9", "group": i} for i in range(3)]
    registry, relays = Registry(rows), []
    await registry.start()
    known = {"index": 1, "snapshot": True, "endpoints": rows}
    try:
        for number in range(count):
            listen = f"127.0.0.1:{free_port()}"
            place = folder / str(number)
            place.mkdir(parents=True)
            (place / "operator.toml").write_text("format = 1\n" + operator)
            chosen = {"RYESTACK_OPERATOR": str(place / "operator.toml")}
            config = platform_config(listen, registry.address, known, TOPICS, number)
            relays.append(RelayProcess(config, place, environment=chosen))
            await relays[-1].start()
        await asyncio.sleep(SETTLE)
        pids = [relay.process.pid for relay in relays]
        began, used = time.monotonic(), cpu(pids)
        asked, heard, said = registry.asked, registry.heard, registry.said
        await asyncio.sleep(WINDOW)
        seconds = time.monotonic() - began
        return {
            "requests": (registry.asked - asked) / seconds, "heard": (registry.heard - heard) / seconds,
            "said": (registry.said - said) / seconds, "cpu": (cpu(pids) - used) / seconds,
            "pss": sum(map(proportional_memory, pids)), "rss": sum(map(resident_memory, pids)),
        }  # fmt: skip
    finally:
        for relay in relays:
            await relay.close()
        registry.server.close()


def watch_by_relays(relays: int) -> dict[str, float]:
    """What a registry bears, and what idle relays cost with and without following its list."""
    with tempfile.TemporaryDirectory() as folder:
        followed = asyncio.run(idle_relays(relays, Path(folder) / "a"))
        fixed = asyncio.run(idle_relays(relays, Path(folder) / "b", '[directory]\nsource = "fixed"\n'))
    return {
        "registry.requests": followed["requests"],
        "registry.bytes_in": followed["heard"],
        "registry.bytes_out": followed["said"],
        "relay.idle_cpu": followed["cpu"],
        "relay.idle_cpu_no_watch": fixed["cpu"],
        "relay.memory": followed["rss"],
        "relay.memory_proportional": followed["pss"],
    }


# -- messages --------------------------------------------------------------------------------------------


async def loaded(pid: int, plan: Plan, address: str) -> tuple[float, float]:
    """(messages taken a second, seconds on a processor a second above idle) of one process."""
    began, used = time.monotonic(), cpu([pid])
    await asyncio.sleep(IDLE)
    idle = (cpu([pid]) - used) / (time.monotonic() - began)
    load = Load(plan, [address])
    began, used = time.monotonic(), cpu([pid])
    await load.run()
    await asyncio.sleep(0.5)
    seconds = time.monotonic() - began
    taken = sum(one.answer == "taken" for one in load.handed)
    return taken / seconds, (cpu([pid]) - used) / seconds - idle


async def relay_and_proxy(folder: Path, rate: float) -> dict[str, float]:
    run_cost.CORE = os.sched_getaffinity(0)
    seconds = max(LEAST_SECONDS, LEAST_SENT / rate)
    side = run_cost.Side(HERE.parent, folder, 1, rate, seconds)
    proxy = None
    try:
        await side.start()
        taken, used = await loaded(side.relay.process.pid, side.plan, side.listen)
        targets = [place.address for place in side.partner.places.values()]
        command = [
            sys.executable,
            str(HERE / "bare_proxy.py"),
            listen := f"127.0.0.1:{free_port()}",
            *targets,
        ]
        proxy = RelayProcess({"listen": listen}, folder / "proxy", command)
        await proxy.start()
        forwarded, spent = await loaded(proxy.process.pid, side.plan, listen)
        return {"size": taken, "message.cpu": used, "proxy.cpu": spent * taken / forwarded}
    finally:
        if proxy:
            await proxy.close()
        await side.close()


def message_by_rate(rate: int) -> dict[str, float]:
    """Processor time a second for messages, of a relay and of a proxy that only forwards."""
    with tempfile.TemporaryDirectory() as folder:
        return asyncio.run(relay_and_proxy(Path(folder), float(rate)))

"""What relays that follow a control machine cost, idle and with changes; benchmarks/capacity.py runs it.

One control machine that alone is a voter, and real relays, each a process, with a link between that counts
bytes. The machine knows 12,000 relays, so that a scope has as many shards as at the size. Processor time is
the scheduler's count; bytes are those of the streams, HTTP heads included.
"""

import asyncio
import json
import tempfile
import time
from pathlib import Path

import aiohttp
from capacity_control import HOLD, destination, member
from capacity_processes import cpu, resident_memory

from ryestack.lab.scale_processes import MachineProcess
from ryestack.lab.trial import TOPICS, RelayProcess, free_port, platform_config
from ryestack.standins.links import Link

KNOWN_RELAYS, DESTINATIONS = 12_000, 5000
IN_BODY = 2000  # changes told together while the state is built
SETTLE, WINDOW = 12.0, 15.0  # seconds
CHANGES = 10  # of what every relay has, one a second
BUSY = CHANGES + 3.0  # seconds that changes and their spread are watched
EMPTY = {"index": 1, "snapshot": True, "endpoints": []}


def machines(name: str, address: str, **more) -> str:
    """An operator file; more: keys of [control]."""
    told = "".join(f"{key} = {json.dumps(value)}\n" for key, value in more.items())
    control = f'[control]\ncluster = "c"\nhold = {HOLD}\nreplicas = 3\nname = "{name}"\n{told}'
    machine = f'[[control.machines]]\nname = "m0"\naddress = "{address}"\nvoter = true\n'
    return f'format = 1\n[directory]\nsource = "fixed"\n{control}{machine}'


def started(folder: Path, name: str, operator: str, address: str) -> tuple[dict, Path, Path]:
    """(configuration, folder, operator file) of a process."""
    place = folder / name
    place.mkdir(parents=True)
    path = place / "operator.toml"
    path.write_text(operator)
    config = platform_config(address, "127.0.0.1:9", EMPTY, TOPICS, 1)
    return {**config, "name": name}, place, path


async def change(address: str, changes: list[dict]) -> None:
    """Hand a change in; raises where it is not taken."""
    async with aiohttp.ClientSession() as session:
        url, body = f"http://{address}/control/changes", json.dumps({"changes": changes})
        async with session.post(url, data=body) as answer:
            if answer.status != 200:
                raise RuntimeError(f"{answer.status}: {await answer.text()}")


async def build(address: str) -> None:
    rows = []
    for number in range(KNOWN_RELAYS):
        place = member(number)
        rows.append({"key": f"relay/{place.name}", "value": {"region": place.region, "zone": place.zone}})
    for number in range(DESTINATIONS):
        entry = destination(number, 1)
        rows.append({"key": entry.key, "value": json.loads(entry.value)})
    for first in range(0, len(rows), IN_BODY):
        await change(address, rows[first : first + IN_BODY])


async def measured(relays: int, folder: Path) -> dict[str, float]:
    address = f"127.0.0.1:{free_port()}"
    config, place, path = started(folder, "m0", machines("m0", address, role="machine"), address)
    children = [MachineProcess(address, config, place, path)]
    host, port = address.split(":")
    link = Link((host, int(port)), 1)
    try:
        await children[0].start()
        await asyncio.sleep(3.0)  # until it leads
        await build(address)
        way = await link.start()
        for number in range(relays):
            own = member(number)
            operator = machines(own.name, way, region=own.region, zone=own.zone).replace(
                f'name = "{own.name}"\n', "", 1
            )
            listen = f"127.0.0.1:{free_port()}"
            config, place, path = started(folder, own.name, operator, listen)
            children.append(RelayProcess(config, place, environment={"RYESTACK_OPERATOR": str(path)}))
            await children[-1].start()
        await asyncio.sleep(SETTLE)
        pids = [child.process.pid for child in children]
        idle = await spent(pids, link, WINDOW)
        told = asyncio.ensure_future(changes(address))
        busy = await spent(pids, link, BUSY)
        await told
        return {
            **idle,
            **each_change(idle, busy),
            "control.relay_memory": sum(map(resident_memory, pids[1:])),
        }
    finally:
        for child in children:
            await child.close()
        await link.close()


def each_change(idle: dict[str, float], busy: dict[str, float]) -> dict[str, float]:
    """What one change of what every relay has adds to the idle rates."""
    return {f"{key}_a_change": (busy[key] - idle[key]) * BUSY / CHANGES for key in idle}


async def changes(address: str) -> None:
    for number in range(CHANGES):
        await change(address, [{"key": "setting/measured", "value": {"number": number}}])
        await asyncio.sleep(1.0)


async def spent(pids: list[int], link: Link, seconds: float) -> dict[str, float]:
    """A second: processor time of machine and relays, bytes both ways."""
    began, used, carried = time.monotonic(), [cpu([pid]) for pid in pids], link.carried
    await asyncio.sleep(seconds)
    lasted = time.monotonic() - began
    each = [(cpu([pid]) - before) / lasted for pid, before in zip(pids, used, strict=True)]
    return {
        "control.machine_cpu": each[0],
        "control.relay_cpu": sum(each[1:]),
        "control.bytes": (link.carried - carried) / lasted,
    }


def control_by_relays(relays: int) -> dict[str, float]:
    """What relays cost and say that follow a control machine, and what they cost the machine."""
    with tempfile.TemporaryDirectory() as folder:
        return asyncio.run(measured(relays, Path(folder)))

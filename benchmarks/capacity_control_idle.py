"""Cost of relays that follow a control machine, idle and with changes; benchmarks/capacity.py runs it.

One control machine, the only voter, and real relays, each a process, with a link between that counts bytes.
The machine knows 12,000 relays, so that a scope has as many shards as at full size. Processor time is the
scheduler's count; bytes are those of the streams, HTTP heads included.
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
CHANGES_PER_REQUEST = 2000  # while the state is built
SETTLE, WINDOW = 12.0, 15.0  # seconds
CHANGES = 10  # of a shared key, one a second
BUSY = CHANGES + 3.0  # seconds in which changes and their distribution are measured
EMPTY = {"index": 1, "snapshot": True, "endpoints": []}


def operator_file(name: str, address: str, **more) -> str:
    """Text of an operator file; more: further keys of [control]."""
    extra = "".join(f"{key} = {json.dumps(value)}\n" for key, value in more.items())
    control = f'[control]\ncluster = "c"\nhold = {HOLD}\nreplicas = 3\nname = "{name}"\n{extra}'
    machine = f'[[control.machines]]\nname = "m0"\naddress = "{address}"\nvoter = true\n'
    return f'format = 1\n[directory]\nsource = "fixed"\n{control}{machine}'


def prepare(folder: Path, name: str, operator: str, address: str) -> tuple[dict, Path, Path]:
    """Writes a process's files; returns its configuration, folder and operator file."""
    place = folder / name
    place.mkdir(parents=True)
    path = place / "operator.toml"
    path.write_text(operator)
    config = platform_config(address, "127.0.0.1:9", EMPTY, TOPICS, 1)
    return {**config, "name": name}, place, path


async def change(address: str, changes: list[dict]) -> None:
    """Sends a change; raises RuntimeError where it is not accepted."""
    async with aiohttp.ClientSession() as session:
        url, body = f"http://{address}/control/changes", json.dumps({"changes": changes})
        async with session.post(url, data=body) as answer:
            if answer.status != 200:
                raise RuntimeError(f"{answer.status}: {await answer.text()}")


async def build(address: str) -> None:
    """Loads all relays and destinations into the control machine."""
    rows = []
    for number in range(KNOWN_RELAYS):
        place = member(number)
        rows.append({"key": f"relay/{place.name}", "value": {"region": place.region, "zone": place.zone}})
    for number in range(DESTINATIONS):
        entry = destination(number, 1)
        rows.append({"key": entry.key, "value": json.loads(entry.value)})
    for first in range(0, len(rows), CHANGES_PER_REQUEST):
        await change(address, rows[first : first + CHANGES_PER_REQUEST])


async def measured(relays: int, folder: Path) -> dict[str, float]:
    """Starts machine and relays, and measures them idle and with changes."""
    address = f"127.0.0.1:{free_port()}"
    config, place, path = prepare(folder, "m0", operator_file("m0", address, role="machine"), address)
    children = [MachineProcess(address, config, place, path)]
    host, port = address.split(":")
    link = Link((host, int(port)), 1)
    try:
        await children[0].start()
        await asyncio.sleep(3.0)  # until it is the leader
        await build(address)
        link_address = await link.start()
        for number in range(relays):
            own = member(number)
            operator = operator_file(own.name, link_address, region=own.region, zone=own.zone).replace(
                f'name = "{own.name}"\n', "", 1
            )
            listen = f"127.0.0.1:{free_port()}"
            config, place, path = prepare(folder, own.name, operator, listen)
            children.append(RelayProcess(config, place, environment={"RYESTACK_OPERATOR": str(path)}))
            await children[-1].start()
        await asyncio.sleep(SETTLE)
        pids = [child.process.pid for child in children]
        idle = await spent(pids, link, WINDOW)
        changes_task = asyncio.ensure_future(changes(address))
        busy = await spent(pids, link, BUSY)
        await changes_task
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
    """Cost that one change of a shared key adds to the idle rates."""
    return {f"{key}_a_change": (busy[key] - idle[key]) * BUSY / CHANGES for key in idle}


async def changes(address: str) -> None:
    """Changes a shared key once a second."""
    for number in range(CHANGES):
        await change(address, [{"key": "setting/measured", "value": {"number": number}}])
        await asyncio.sleep(1.0)


async def spent(pids: list[int], link: Link, seconds: float) -> dict[str, float]:
    """Per second: processor time of machine and relays, bytes in both directions."""
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
    """Processor time, memory and bytes of relays that follow a control machine, and of the machine."""
    with tempfile.TemporaryDirectory() as folder:
        return asyncio.run(measured(relays, Path(folder)))

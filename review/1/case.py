"""A relay is upgraded while discovery is down, some time after an endpoint was replaced."""

import asyncio
import os
import signal
import sys
from contextlib import suppress
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins"))

from base import CannotRun, Record, free_port
from places import Endpoint, Platform
from world import Relay, hand_in, play, settings

TTL_S, DOWN_S, STOP_S = 16.0, 8.0, 3.7
TOLD_S = 2.5  # behind the new process's yes; the page's 2 s, and some more
MODE = os.environ.get("MODE", "upgrade")  # or kill: SIGKILL and a start with the same configuration


async def clients(record: Record, relay: Relay) -> None:
    """Hand in messages for both destinations, ten a second."""
    while True:
        for destination in (1, 2):
            await hand_in(record, relay, "again", destination, TTL_S)
            await asyncio.sleep(0.1)


async def upgrade(record: Record, folder: Path, platform: Platform, elder: Relay) -> Relay:
    """Start `run` once more, all else the same but the second address, and end the process before."""
    heir = Relay(record, folder, elder.name, platform, elder.config["settings"])
    heir.config, heir.address, heir.ops = elder.config, elder.address, f"127.0.0.1:{free_port()}"
    if MODE == "kill":
        await elder.kill()
        await asyncio.sleep(0.6)
    await heir.start()
    elder.signal(signal.SIGTERM)
    with suppress(TimeoutError):
        async with asyncio.timeout(STOP_S):
            await elder.process.wait()
    await elder.close()
    return heir


async def story(record: Record, folder: Path, trouble: bool) -> list[str]:
    a1, a2, a3 = (Endpoint(record, name, 1) for name in ("s-a1", "s-a2", "s-a3"))
    b1, b2 = (Endpoint(record, name, 2) for name in ("s-b1", "s-b2"))
    platform, relays = Platform(record, [a1, a2, b1]), []
    sending = None
    try:
        await platform.server.open()
        for endpoint in (a1, a2, b1, a3):
            await endpoint.up()
        relays.append(Relay(record, folder, "n0", platform, settings(TTL_S)))
        relays[0].ops = f"127.0.0.1:{free_port()}"
        await relays[0].start()
        sending = asyncio.ensure_future(clients(record, relays[0]))
        await asyncio.sleep(2.0)
        # A new endpoint under a new name takes the place of s-a1; later one of destination 2 has its address.
        a1.status = "draining"
        await platform.change(a1, a2, a3, b1)
        await asyncio.sleep(3.0)
        await platform.change(a2, a3, b1)
        await a1.down()
        await asyncio.sleep(3.0)
        b2.port = a1.port
        await b2.up()
        await platform.change(a2, a3, b1, b2)
        await asyncio.sleep(6.0)
        sending.cancel()
        await asyncio.sleep(0.5)
        if any(facts["dest"] != facts["of"] for _, facts in record.of("call")):
            raise CannotRun("a message went astray before the disruption")
        platform.silent = trouble
        record.add("discovery", silent=platform.silent)
        back_at = asyncio.get_running_loop().time() + DOWN_S
        await asyncio.sleep(1.0)
        relays.append(await upgrade(record, folder, platform, relays[0]))
        yes_at = record.of("relay ready")[-1][0]
        await asyncio.sleep(max(0.0, yes_at + TOLD_S - record.now()))
        sending = asyncio.ensure_future(clients(record, relays[1]))
        await asyncio.sleep(max(0.0, back_at - asyncio.get_running_loop().time()))
        platform.silent = False
        record.add("discovery", silent=False)
        await asyncio.sleep(3.0)
        astray = [facts for _, facts in record.of("call") if facts["dest"] != facts["of"]]
        return [
            f"message {f['id']} of destination {f['dest']} was sent to {f['endpoint']} of {f['of']}"
            for f in astray
        ]
    finally:
        if sending:
            sending.cancel()
        for relay in relays:
            await relay.close()
        for server in (platform.server, *(e.server for e in (a1, a2, a3, b1, b2))):
            await server.shut()


play(__file__, story)

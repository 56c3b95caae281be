"""A relay of a large fleet is killed while discovery is down: it goes on by an old list."""

import asyncio
import os
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins2"))

from common import play
from parts import Endpoint, Platform, hand_in
from processes import Relay, settings

ENDPOINTS = int(os.environ.get("ENDPOINTS", "3200"))  # in the list; the pages allow 3,200
TOLD_S, GRACE_S, SLACK_S = 6.0, 2.0, 0.05  # from a change until it counts as told; of drains; on sockets
OUTAGE_S = 8.0  # of discovery, as on the day herd+mass
STARTED_MS = 1_764_990_000_000
KINDS = ("bank", "retailer", "warung")


class Listed(Endpoint):
    """An endpoint with the row of a real list: its kind, a rough rate and when it last started."""

    def __init__(self, record, name, group, number):
        super().__init__(record, name, group, kind=KINDS[number % 3])
        self.number, self.elsewhere = number, f"127.{1 + number % 200}.{number // 250}.{1 + number % 250}"

    def row(self) -> dict:
        address = f"127.0.0.1:{self.port}" if self.group < 10 else f"{self.elsewhere}:{3000 + self.number}"
        rough = 1.0 + (self.number * 7919 % 600) / 10
        started = STARTED_MS + self.number * 104_729 % 86_400_000
        row = {"zone": f"gedung-{'ab'[self.number % 2]}", "weight": rough, "since_ms": started}
        return {**super().row(), "address": address, **row}


async def story(record, folder, trouble):
    old, other = Listed(record, "s-0a91c3f7", 1, 1), Listed(record, "s-77d0e25b", 2, 2)
    # Others of other destinations: nothing is sent to them.
    rest = [
        Listed(record, f"s-{i * 2654435761 % 2**32:08x}", 10 + i // 2, i) for i in range(3, ENDPOINTS + 1)
    ]
    platform = Platform(record, [old, other, *rest])
    options = {**settings(), "kinds": list(KINDS), "weights": "rough"}
    options["specifics"] = {**options["specifics"], "kindBatch": [1, 1, 1], "routesApart": [False] * 3}
    await old.up()
    await other.up()
    await platform.server.open()
    relay = Relay(record, folder, "n0", platform, options)
    try:
        await relay.start()
        await hand_in(record, relay, "again", 1, 10.0)
        await asyncio.sleep(0.5)
        # Both destinations get a new endpoint, 2 one at the address of the one of 1 that has gone.
        await old.down()
        new = Listed(record, "s-c4e8b016", 1, 4001)
        reused = Listed(record, "s-19f2d8aa", 2, 4002)
        reused.port = old.port
        await new.up()
        await reused.up()
        await platform.change([new, reused, other, *rest])
        told = record.now() + TOLD_S + GRACE_S + SLACK_S
        await asyncio.sleep(6.0)
        for dest in (1, 2, 1, 2):
            await hand_in(record, relay, "again", dest, 10.0)
        await asyncio.sleep(1.0)
        if trouble:
            platform.down = True
            down = record.add("discovery down")
            await asyncio.sleep(1.0)
            await relay.kill()
            await asyncio.sleep(0.6)
            await relay.start()
        for _ in range(8):
            await hand_in(record, relay, "again", 1, 10.0)
            await asyncio.sleep(0.3)
        if trouble:
            await asyncio.sleep(max(0.0, down + OUTAGE_S - record.now()))
            platform.down = False
            record.add("discovery up")
        await asyncio.sleep(8.0)
        record.add("log", tail=relay.tail(12))
    finally:
        await relay.close()
        for server in (platform.server, *(e.server for e in (old, other, new, reused))):
            await server.shut()
    # The gone endpoint's process is no more: what comes to its address comes to the new one of destination 2.
    groups = {e.name: e.group for e in (old, other, new, reused)}
    sent = {f["id"]: f["dest"] for _, f in record.all("sent")}
    return [
        f"message {f['id']} for destination {sent.get(f['id'])} came to {f['endpoint']} of destination "
        f"{groups[f['endpoint']]}"
        for at, f in record.all("call")
        if sent.get(f["id"]) != groups[f["endpoint"]] and at > told
    ]


play(__file__, story)

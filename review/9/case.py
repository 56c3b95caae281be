"""Discovery answers slowly: the relay never hears of a change and sends to another destination's endpoint."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins2"))

from common import play
from parts import Endpoint, Platform, hand_in
from processes import Relay, settings

DELAY_S = 1.4  # of each answer while discovery is slow; a call may take 2 s
TOLD_S, GRACE_S, SLACK_S = 6.0, 2.0, 0.05  # from the change until it counts as told; of drains; on sockets
TTL_S = 12.0


class SlowPlatform(Platform):
    """Discovery that answers every call rightly, `delay` seconds later than it could."""

    delay = 0.0

    async def serve(self, first, headers, body, writer):
        reply = await super().serve(first, headers, body, writer)
        if first[0] == "GET":
            await asyncio.sleep(self.delay)
            self.record.add("list answered", path=first[1], delay=self.delay)
        return reply


async def story(record, folder, trouble):
    gone, other = Endpoint(record, "first-a", 1), Endpoint(record, "second-a", 2)
    new, newcomer = Endpoint(record, "first-b", 1), Endpoint(record, "second-b", 2)
    newcomer.port = gone.port  # a new endpoint at the address of one that has gone
    platform = SlowPlatform(record, [gone, other])
    await gone.up()
    await other.up()
    await platform.server.open()
    relay = Relay(record, folder, "n0", platform, {**settings(TTL_S), "discovery": "ask"})
    try:
        await relay.start()
        for _ in range(10):
            await hand_in(record, relay, "once", 1, TTL_S)
            await asyncio.sleep(0.3)
        if trouble:
            platform.delay = DELAY_S
            record.add("discovery slow", delay=DELAY_S)
        for _ in range(12):
            await hand_in(record, relay, "once", 1, TTL_S)
            await asyncio.sleep(0.3)
        await gone.down()
        await new.up()
        await newcomer.up()
        await platform.change([new, other, newcomer])
        changed = record.now()
        while record.now() < changed + 20.0:
            await hand_in(record, relay, "once", 1, TTL_S)
            await asyncio.sleep(0.3)
        record.add("log", tail=relay.tail(5))
    finally:
        await relay.close()
        for server in (platform.server, *(e.server for e in (gone, other, new, newcomer))):
            await server.shut()
    groups = {e.name: e.group for e in (gone, other, new, newcomer)}
    sent = {f["id"]: f["dest"] for _, f in record.all("sent")}
    told = changed + TOLD_S + GRACE_S + SLACK_S
    return [
        f"message {f['id']} for destination {sent.get(f['id'])} came to {f['endpoint']} of destination "
        f"{groups[f['endpoint']]}, {at - changed:.2f} s after the change"
        for at, f in record.all("call")
        if sent.get(f["id"]) != groups[f["endpoint"]] and at > told
    ]


play(__file__, story)

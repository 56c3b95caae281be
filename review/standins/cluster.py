"""Relays that guard each other's work, by `[peers]` of docs/operation.md."""

import asyncio
from pathlib import Path

from base import Record, free_port
from places import Endpoint, Platform
from world import Relay

ZONES = "abc"
NOTED = ("seat.", "relay.fault", "Error", "relay.recovered", "ryestack:", "peer.refuses")


class Cluster:
    """Relays r0, r1, ... of one cluster, with the endpoints and the platform beside them."""

    def __init__(self, record: Record, folder: Path, endpoints: list[Endpoint], lease: float):
        self.record, self.folder, self.lease = record, folder, lease
        self.platform, self.relays = Platform(record, endpoints), []

    async def start(self, options: dict, count: int = 3) -> None:
        """Start all, and wait until a relay that has just started may grant a lease."""
        await self.platform.server.open()
        names = [f"r{i}" for i in range(count)]
        rows = ",\n".join(
            f'  {{ name = "{name}", address = "127.0.0.1:{free_port()}", zone = "{ZONES[i % 3]}" }}'
            for i, name in enumerate(names)
        )
        for name in names:
            relay = Relay(self.record, self.folder, name, self.platform, options)
            relay.operator(
                f'format = 1\n[log]\nrepeat = 0.0\n[peers]\ncluster = "review"\nname = "{name}"\n'
                f'guards = 2\nlease = {self.lease}\nalone = "serve"\nrelays = [\n{rows},\n]\n'
            )
            self.relays.append(relay)
        await asyncio.gather(*(relay.start() for relay in self.relays))
        await asyncio.sleep(1.5 * self.lease + 0.5)

    async def close(self) -> None:
        for relay in self.relays:
            await relay.close()
        for server in (self.platform.server, *(e.server for e in self.platform.endpoints)):
            await server.shut()

    def logs(self) -> None:
        """Copy what the relays logged of seats, peers and faults into the record."""
        for relay in self.relays:
            lines = (relay.folder / "relay.log").read_text(errors="replace").splitlines()
            for line in lines:
                if any(word in line for word in NOTED):
                    self.record.add("log", relay=relay.name, line=line[:200])

"""Stand-ins for endpoints and for the platform with its discovery, by the operators' PROTOCOL page."""

import asyncio
import json
from contextlib import suppress

from base import Record, free_port
from http1 import Server, answer


class Endpoint:
    """One endpoint: runs each call after `pace` seconds. A call begins once its last byte has come."""

    def __init__(self, record: Record, name: str, destination: int, pace: float = 0.03):
        self.record, self.name, self.destination, self.pace = record, name, destination, pace
        self.server, self.port, self.status = Server(self.serve, self.written), free_port(), "up"

    async def up(self) -> None:
        self.record.add("endpoint up", name=self.name, address=f"127.0.0.1:{self.port}")
        await self.server.open(self.port)

    async def down(self) -> None:
        self.record.add("endpoint down", name=self.name)
        await self.server.shut()

    async def serve(self, head, body):
        name, close = head.get("x-request-id"), head.get("connection").lower() == "close"
        if head.first[:2] != ["POST", "/receive"] or not name:
            return answer(404 if head.first[0] == "GET" else 400, close=close)
        dest = next((f["dest"] for _, f in self.record.of("sent") if f["id"] == name), None)
        self.record.add("call", endpoint=self.name, of=self.destination, id=name, dest=dest)
        if dest != self.destination:  # no client handed it in for us
            return answer(400, close=close)
        await asyncio.sleep(self.pace)
        self.record.add("run", endpoint=self.name, id=name, key=head.get("idempotency-key") or "-")
        return answer(200, close=close)

    def written(self, head, reply: bytes) -> None:
        if reply.startswith(b"HTTP/1.1 200"):
            self.record.add("delivered", endpoint=self.name, id=head.get("x-request-id"))

    def row(self) -> dict:
        return {
            "name": self.name, "address": f"127.0.0.1:{self.port}", "zone": "a", "type": "shop",
            "group": self.destination, "status": self.status, "weight": 100.0, "since_ms": 0,
        }  # fmt: skip


class Platform:
    """Discovery and the platform: the list, watches of it, and notices."""

    def __init__(self, record: Record, endpoints: list[Endpoint]):
        self.record, self.endpoints, self.index = record, endpoints, 1
        self.silent = False  # while discovery is down the agent is silent; notices are answered all the same
        self.changed = asyncio.Condition()
        self.server = Server(self.serve)

    def listing(self) -> dict:
        return {"index": self.index, "snapshot": True, "endpoints": [e.row() for e in self.endpoints]}

    async def change(self, *endpoints: Endpoint) -> None:
        """Put these in the list, which is told to all who watch."""
        self.endpoints = list(endpoints)
        async with self.changed:
            self.index += 1
            rows = ",".join(f"{e.name}@{e.port}:{e.destination}:{e.status}" for e in endpoints)
            self.record.add("list", index=self.index, rows=rows)
            self.changed.notify_all()

    async def serve(self, head, body):
        method, target = head.first[0], head.first[1]
        close = head.get("connection").lower() == "close"
        path, _, query = target.partition("?")
        if method == "POST" and path == "/status":
            for line in body.decode().splitlines():
                notice = json.loads(line)
                self.record.add("notice", id=notice["id"], state=notice["state"])
            return answer(204, close=close)
        if method != "GET" or path != "/catalog/members":
            return answer(404, close=close)
        while self.silent:
            await asyncio.sleep(0.05)
        asked = dict(pair.split("=") for pair in query.split("&") if pair)
        if "from" in asked and int(asked["from"]) >= self.index:
            hold = min(60.0, float(asked.get("hold_ms", "0")) / 1000.0)
            with suppress(TimeoutError):
                async with asyncio.timeout(hold), self.changed:
                    await self.changed.wait_for(lambda: self.index > int(asked["from"]))
            while self.silent:
                await asyncio.sleep(0.05)
            if self.index <= int(asked["from"]):
                empty = {"index": self.index, "snapshot": False, "endpoints": []}
                return answer(200, json.dumps(empty).encode(), close)
        return answer(200, json.dumps(self.listing()).encode(), close)

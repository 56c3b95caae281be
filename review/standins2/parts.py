"""Stand-ins for endpoints, discovery and platform, and usual clients, by the operators' PROTOCOL page."""

import asyncio
import json
import random
from contextlib import suppress

from common import Record, Server, ask, free_port, response


class Endpoint:
    """An endpoint: a call begins once its last byte has come, and runs for `pace` seconds.

    mode: "ok"; "full": 429 with `wait` seconds; "error": 500 unrun; "hang": runs and answers nothing;
    "silent": does not run and answers nothing.
    """

    def __init__(self, record: Record, name: str, group: int, pace: float = 0.03, kind: str = "shop"):
        self.record, self.name, self.group, self.pace, self.kind = record, name, group, pace, kind
        self.mode, self.wait, self.status, self.port = "ok", 0.5, "up", free_port()
        self.server = Server(self.serve)

    async def up(self) -> None:
        self.record.add("endpoint up", name=self.name)
        await self.server.open(self.port)

    async def down(self) -> None:
        self.record.add("endpoint down", name=self.name)
        await self.server.shut()

    def row(self) -> dict:
        return {
            "name": self.name, "address": f"127.0.0.1:{self.port}", "zone": "a", "type": self.kind,
            "group": self.group, "status": self.status, "weight": 100.0, "since_ms": 0,
        }  # fmt: skip

    async def serve(self, first, headers, body, writer):
        close = headers.get("connection", "").lower() == "close"
        if first[:2] == ["POST", "/receive"] and headers.get("x-request-id"):
            items = [(headers["x-request-id"], headers.get("idempotency-key", "-"))]
        elif first[:2] == ["POST", "/receive-many"]:
            items = parse_many(body)
        else:
            return response(404 if first[0] == "GET" else 400, close=close)
        for name, _ in items:
            self.record.add("call", endpoint=self.name, id=name)
        if self.mode == "full":
            return response(429, close=close, headers={"X-Retry-In-Ms": int(self.wait * 1000)})
        if self.mode == "error":
            return response(500, close=close)
        if self.mode == "silent":
            return None
        await asyncio.sleep(self.pace)
        for name, key in items:
            self.record.add("run", endpoint=self.name, id=name, key=key)
        if self.mode == "hang" or writer.transport.is_closing():
            return None
        for name, _ in items:
            self.record.add("delivered", endpoint=self.name, id=name)
        words = (
            "".join(f"{name} done\r\n" for name, _ in items).encode() if first[1] == "/receive-many" else b""
        )
        return response(200, words, close)


def parse_many(body: bytes) -> list[tuple[str, str]]:
    """Ids and keys of a call with several messages."""
    items = []
    while body:
        line, _, body = body.partition(b"\r\n")
        name, key, length = line.decode().split(" ")
        items.append((name, key))
        body = body[int(length) + 2 :]
    return items


class Platform:
    """Discovery and the receiver of notices at one address; `down`: discovery is silent, notices are not."""

    def __init__(self, record: Record, endpoints: list[Endpoint]):
        self.record, self.endpoints, self.index, self.down = record, endpoints, 1, False
        self.changed, self.server = asyncio.Condition(), Server(self.serve)

    def listing(self) -> dict:
        return {"index": self.index, "snapshot": True, "endpoints": [e.row() for e in self.endpoints]}

    async def change(self, endpoints: list[Endpoint]) -> None:
        """Put another list in force, and tell those who watch."""
        self.endpoints = endpoints
        async with self.changed:
            self.index += 1
            self.record.add("list", index=self.index, endpoints=",".join(e.name for e in endpoints))
            self.changed.notify_all()

    async def serve(self, first, headers, body, _):
        close = headers.get("connection", "").lower() == "close"
        path, _, query = first[1].partition("?")
        if first[0] == "POST" and path == "/status":
            for line in body.decode().splitlines():
                notice = json.loads(line)
                self.record.add("notice", id=notice["id"], state=notice["state"])
            return response(204, close=close)
        if first[0] != "GET" or path != "/catalog/members":
            return response(404, close=close)
        asked = dict(pair.split("=") for pair in query.split("&") if pair)
        if "from" in asked and int(asked["from"]) >= self.index:
            with suppress(TimeoutError):
                async with asyncio.timeout(float(asked.get("hold_ms", "0")) / 1000.0), self.changed:
                    await self.changed.wait_for(lambda: self.index > int(asked["from"]))
        while self.down:
            await asyncio.sleep(0.05)
        if "from" in asked and int(asked["from"]) >= self.index:
            return response(
                200, json.dumps({"index": self.index, "snapshot": False, "endpoints": []}).encode(), close
            )
        return response(200, json.dumps(self.listing()).encode(), close)


def request(name: str, cls: str, dest: int, ttl_s: float, key: str = "", body: bytes = b"") -> bytes:
    """The bytes of one hand-in."""
    body = body or b"message " + name.encode()
    lines = [
        "POST /api HTTP/1.1", "Host: service.internal", f"X-Request-Id: {name}", f"X-Class: {cls}",
        "X-Tenant: acme", f"X-Deadline: {int(ttl_s * 1000)}m", f"X-Envelope: dest={dest}",
        f"Content-Length: {len(body)}",
    ]  # fmt: skip
    lines += [f"Idempotency-Key: {key}"] if key else []
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


async def hand_in(record: Record, relay, cls: str, dest: int, ttl_s: float, body: bytes = b"") -> str:
    """Hand in one message as a usual client, which waits 400 ms; its id if it was taken on, else ""."""
    name = f"{random.SystemRandom().getrandbits(64):016x}"
    key = f"k{name}" if cls == "keyed" else ""
    record.add("sent", id=name, relay=relay.name, cls=cls, dest=dest, ttl_s=ttl_s)
    status, _ = await ask(relay.address, request(name, cls, dest, ttl_s, key, body), 0.4)
    record.add("answered", id=name, status=status)
    return name if status in (200, 202) else ""


def judge(record: Record, window_s: float = 6.0) -> list[str]:
    """What breaks the rules on lost messages and on duplicates, by what clients, endpoints and platform saw.

    To be asked 0.35 s after the time of the last message is up. The slack is the page's: 50 ms and 300 ms.
    """
    broken = []
    taken = {f["id"]: at for at, f in record.all("answered") if f["status"] in (200, 202)}
    for at, sent in record.all("sent"):
        name, runs = sent["id"], record.all("run", id=sent["id"])
        ends = [t for t, _ in record.all("delivered", id=name) + record.all("notice", id=name)]
        if name in taken and (not ends or min(ends) > at + sent["ttl_s"] + 0.35):
            when = f"first end {min(ends) - at:.2f} s after it was sent" if ends else "no end"
            broken.append(f"lost: {name} ({sent['cls']}), its time {sent['ttl_s']} s: {when}")
        if sent["cls"] == "once" and len(runs) > 1:
            broken.append(f"twice: {name} (once) ran at " + ", ".join(f"{t:.2f}" for t, _ in runs))
        if sent["cls"] == "keyed" and len(runs) > 1 and runs[-1][0] - runs[0][0] > window_s + 0.05:
            broken.append(f"twice: {name} (keyed) ran {runs[-1][0] - runs[0][0]:.2f} s after its first run")
    return broken

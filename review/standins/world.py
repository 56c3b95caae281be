"""Stand-ins for endpoints, the platform and clients, and the relay's own processes, for the review's cases.

All of them follow the operators' PROTOCOL page; what happens is written to a record, a line an event.
"""

import asyncio
import json
import os
import random
import signal
import socket
import sys
import tempfile
import time
import tomllib
from contextlib import suppress
from pathlib import Path

from http1 import Server, answer, exchange

ROOT = Path(__file__).resolve().parents[2]
READY_S = 30.0  # a relay may take so long to be ready


class CannotRun(Exception):
    """The case could not be played; its script ends with status 2."""


class Record:
    """What was sent, answered and run: lines of seconds, event and facts, kept in memory and in a file."""

    def __init__(self, path: Path):
        self.path, self.began, self.rows = path, time.monotonic(), []
        path.write_text("")

    def add(self, what: str, **facts) -> None:
        now = time.monotonic() - self.began
        self.rows.append((now, what, facts))
        text = " ".join(f"{name}={value}" for name, value in facts.items())
        with open(self.path, "a") as file:
            file.write(f"{now:8.3f} {what} {text}\n")

    def of(self, what: str) -> list[tuple[float, dict]]:
        return [(at, facts) for at, kind, facts in self.rows if kind == what]


def free_port() -> int:
    """A free port below the range that the system takes outgoing connections from."""
    while True:
        port = random.randrange(20_000, 32_000)
        with suppress(OSError), socket.create_server(("127.0.0.1", port)):
            return port


class Endpoint:
    """One endpoint: runs each call after `pace` seconds. A call begins once its last byte has come."""

    def __init__(self, record: Record, name: str, destination: int, pace: float = 0.03):
        self.record, self.name, self.destination, self.pace = record, name, destination, pace
        self.server, self.port, self.status = Server(self.serve), free_port(), "up"

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


GRADES = {"once": "unsafe", "keyed": "keyed", "again": "safe"}  # the classes and their effects


def settings(ttl_s: float, relays: int = 1, tenants: bool = True) -> dict:
    """Settings like those of a small deployment."""
    row = {"targetMs": 3000.0, "deadlineMs": ttl_s * 1000.0, "windowMs": 6000.0, "credit": 1.0}
    return {
        "balancers": relays, "kinds": ["shop"], "weights": "nominal", "quantumMs": 5.0,
        "specifics": {"callSlots": 32, "kindBatch": [1], "routesApart": [False], "late": "line"},
        "allowed": {
            "connIdleMs": 15000.0, "connectTimeoutMs": 400.0, "maxAttempts": 6, "maxOpen": 400,
            "maxRetryAfterMs": 2000.0, "mayCancel": True, "retryAfter": True,
        },
        "grades": [{"name": n, "effect": e, "lateShare": 0.3, **row} for n, e in GRADES.items()],
        "projects": [{"name": "acme", "quotaPerS": 1000.0}] if tenants else [],
        "overShareWorth": 0.1,
        "rules": {"coldShare": 0.3, "coldMs": 3000.0, "overloadFactor": 2.0, "fallMs": 1500.0},
    }  # fmt: skip


class Relay:
    """A relay's process, started by `run` of the deploy file."""

    def __init__(self, record: Record, folder: Path, name: str, platform: Platform, options: dict):
        self.record, self.folder, self.name = record, folder / name, name
        self.address, self.process, self.ops = f"127.0.0.1:{free_port()}", None, ""
        self.environment: dict[str, str] = {}
        (self.folder / "state").mkdir(parents=True, exist_ok=True)
        self.config = {
            "name": name, "listen": self.address, "discovery": platform.server.address, "seed": "5be2a07c",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": 3},
            "known": platform.listing(), "settings": options,
        }  # fmt: skip

    def operator(self, text: str) -> None:
        """Gives it an operator file."""
        (self.folder / "operator.toml").write_text(text)
        self.environment["RYESTACK_OPERATOR"] = str(self.folder / "operator.toml")

    async def start(self) -> None:
        """Start the process and wait until it is ready; raises CannotRun."""
        command = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        (self.folder / "config.json").write_text(json.dumps(self.config))
        env = {n: v for n, v in os.environ.items() if not n.startswith(("RYESTACK_", "LB_"))}
        env |= {"LB_CONFIG": str(self.folder / "config.json"), "LB_STATE": str(self.folder / "state")}
        env |= self.environment | ({"LB_OPS": self.ops} if self.ops else {})
        with open(self.folder / "relay.log", "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", command, cwd=ROOT, env=env, stdout=log, stderr=log, start_new_session=True
            )
        self.record.add("relay started", name=self.name, pid=self.process.pid)
        until = time.monotonic() + READY_S
        while time.monotonic() < until and self.process.returncode is None:
            if await self.ready():
                self.record.add("relay ready", name=self.name)
                return
            await asyncio.sleep(0.05)
        raise CannotRun(f"{self.name} is not ready, status {self.process.returncode}")

    async def ready(self) -> bool:
        address, path = (self.ops, "/-/ready") if self.ops else (self.address, "/_health")
        data = f"GET {path} HTTP/1.1\r\nHost: relay\r\nConnection: close\r\n\r\n"
        return (await exchange(address, data.encode(), 1.0))[0] == 200

    def signal(self, number: int) -> None:
        if self.process and self.process.returncode is None:
            self.record.add("signal", relay=self.name, number=signal.Signals(number).name)
            self.process.send_signal(number)

    async def kill(self) -> None:
        self.signal(signal.SIGKILL)
        await self.process.wait()

    async def close(self) -> None:
        if self.process and self.process.returncode is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            await self.process.wait()


async def hand_in(record: Record, relay: Relay, cls: str, dest: int, ttl_s: float, **more) -> str:
    """Hand in one message as a usual client does; its id if it was taken on, else ""."""
    name = more.get("name") or f"{random.getrandbits(64):016x}"
    tenant = more.get("tenant", "acme")
    body = b"points " + name.encode()
    lines = [
        "POST /api HTTP/1.1", "Host: service.internal", f"X-Request-Id: {name}", f"X-Class: {cls}",
        f"X-Deadline: {int(ttl_s * 1000)}m", f"X-Envelope: dest={dest}", f"Content-Length: {len(body)}",
    ]  # fmt: skip
    lines += [f"X-Tenant: {tenant}"] if tenant else []
    lines += [f"Idempotency-Key: k{name}"] if cls == "keyed" else []
    record.add("sent", id=name, relay=relay.name, cls=cls, dest=dest, ttl_s=ttl_s)
    status, _ = await exchange(relay.address, ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body)
    record.add("answered", id=name, status=status)
    return name if status in (200, 202) else ""


def play(case: str, story) -> None:
    """Run `story(record, folder, trouble) -> what broke the rule` and exit with 1, 0 or 2."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(Path(case).resolve().parent / "record.txt")
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        with tempfile.TemporaryDirectory(prefix="review-") as folder:
            found = asyncio.run(story(record, Path(folder), trouble))
    except (CannotRun, OSError) as problem:
        record.add("could not run", why=repr(problem))
        print(f"could not run: {problem}")
        sys.exit(2)
    for line in found:
        record.add("broken", why=line)
        print(f"broken: {line}")
    record.add("result", trouble=trouble, broken=len(found))
    print(f"trouble={trouble}: {len(found)} broken")
    sys.exit(1 if found else 0)

"""A relay's own process, the usual client, and how a case is played, for the review.

What happens is written to a record, a line an event.
"""

import asyncio
import json
import os
import random
import signal
import sys
import tempfile
import time
import tomllib
from pathlib import Path

from base import CannotRun, Record, free_port
from http1 import exchange
from places import Platform

ROOT = Path(__file__).resolve().parents[2]
READY_S = 30.0  # a relay may take so long to be ready
LIMIT_S = 110.0  # of a case, with its processes to be ended in what is left of 120 s
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
            found = asyncio.run(asyncio.wait_for(story(record, Path(folder), trouble), LIMIT_S))
    except Exception as problem:  # a fault of the case itself says nothing about the rule
        record.add("could not run", why=repr(problem))
        print(f"could not run: {problem}")
        sys.exit(2)
    for line in found:
        record.add("broken", why=line)
        print(f"broken: {line}")
    record.add("result", trouble=trouble, broken=len(found))
    print(f"trouble={trouble}: {len(found)} broken")
    sys.exit(1 if found else 0)

"""The project's processes: relays by `run` of the deploy file, and control machines by the same command."""

import asyncio
import json
import os
import signal
import time
import tomllib
from contextlib import suppress
from pathlib import Path

from common import ROOT, CannotRun, Record, call, free_port

READY_S = 30.0
GRADES = {"once": "unsafe", "keyed": "keyed", "again": "safe"}  # the classes of the cases and their effects


def settings(ttl_s: float = 20.0, relays: int = 1) -> dict:
    """Settings in the form of the pages, like those of a small deployment."""
    row = {
        "credit": 1.0,
        "targetMs": 2500.0,
        "deadlineMs": ttl_s * 1000.0,
        "windowMs": 6000.0,
        "lateShare": 0.4,
    }
    return {
        "allowed": {
            "connIdleMs": 15000.0, "connectTimeoutMs": 400.0, "maxAttempts": 12, "maxOpen": 324,
            "maxRetryAfterMs": 2000.0, "mayCancel": True, "retryAfter": True, "secondCopies": True,
        },
        "balancers": relays, "discovery": "push", "kinds": ["shop"], "overShareWorth": 0.1,
        "grades": [{"name": n, "effect": e, "group": "all", **row} for n, e in GRADES.items()],
        "projects": [{"name": "acme", "quotaPerS": 500.0}], "quantumMs": 5.0, "weights": "nominal",
        "rules": {
            "askWithinMs": 10000.0, "coldMs": 3000.0, "coldShare": 0.3, "drainGraceMs": 2000.0,
            "fallMs": 1500.0, "graceToAnswerMs": 20.0, "overloadFactor": 2.0,
        },
        "specifics": {"callSlots": 32, "kindBatch": [1], "routesApart": [False], "late": "line"},
        "zones": ["a", "b"],
    }  # fmt: skip


class Process:
    """One process of the project in a folder of its own; `state` is the folder that lasts."""

    def __init__(self, record: Record, folder: Path, name: str):
        self.record, self.folder, self.name, self.process = record, folder / name, name, None
        self.environment: dict[str, str] = {}
        (self.folder / "state").mkdir(parents=True, exist_ok=True)

    def operator(self, text: str) -> None:
        """Write its operator file."""
        (self.folder / "operator.toml").write_text(text)
        self.environment["RYESTACK_OPERATOR"] = str(self.folder / "operator.toml")

    async def spawn(self) -> None:
        command = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        env = {n: v for n, v in os.environ.items() if not n.startswith(("RYESTACK_", "LB_"))}
        env |= {"LB_STATE": str(self.folder / "state"), **self.environment}
        with open(self.folder / "log", "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", command, cwd=ROOT, env=env, stdout=log, stderr=log, start_new_session=True
            )
        self.record.add("started", name=self.name, pid=self.process.pid)

    async def start(self) -> None:
        """Start it and wait until it is ready; raises CannotRun."""
        await self.spawn()
        until = time.monotonic() + READY_S
        while time.monotonic() < until and self.process.returncode is None:
            if await self.ready():
                self.record.add("ready", name=self.name)
                return
            await asyncio.sleep(0.03)
        raise CannotRun(f"{self.name} is not ready, status {self.process.returncode}: {self.tail()}")

    async def ready(self) -> bool:
        raise NotImplementedError

    def running(self) -> bool:
        return self.process is not None and self.process.returncode is None

    def signal(self, number: int) -> None:
        if self.running():
            self.record.add("signal", name=self.name, number=signal.Signals(number).name)
            with suppress(ProcessLookupError):
                os.kill(self.process.pid, number)

    async def kill(self) -> None:
        self.signal(signal.SIGKILL)
        await self.process.wait()

    async def close(self) -> None:
        if self.running():
            with suppress(ProcessLookupError):
                os.kill(self.process.pid, signal.SIGCONT)
                os.kill(self.process.pid, signal.SIGKILL)
            await self.process.wait()

    def log(self) -> str:
        return (self.folder / "log").read_text(errors="replace") if (self.folder / "log").exists() else ""

    def tail(self, lines: int = 6) -> str:
        return " / ".join(self.log().splitlines()[-lines:])[-600:]


class Relay(Process):
    """A relay; with `ops` it has a second address."""

    def __init__(self, record: Record, folder: Path, name: str, platform, options: dict, ops: bool = False):
        super().__init__(record, folder, name)
        self.address = f"127.0.0.1:{free_port()}"
        self.ops = f"127.0.0.1:{free_port()}" if ops else ""
        self.config = {
            "name": name, "listen": self.address, "discovery": platform.server.address, "seed": "8c1f30d2",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": 3},
            "known": platform.listing(), "settings": options,
        }  # fmt: skip
        self.write_config()

    def write_config(self) -> None:
        path = self.folder / "config.json"
        (self.folder / "config.new").write_text(json.dumps(self.config))
        os.replace(self.folder / "config.new", path)
        self.environment["LB_CONFIG"] = str(path)
        if self.ops:
            self.environment["LB_OPS"] = self.ops

    def successor(self) -> "Relay":
        """The process of an upgrade: the same folder and configuration, a new second address."""
        other = object.__new__(Relay)
        other.__dict__.update(self.__dict__)
        other.process, other.environment = None, dict(self.environment)
        other.ops = f"127.0.0.1:{free_port()}"
        other.environment["LB_OPS"] = other.ops
        return other

    async def ready(self) -> bool:
        address, path = (self.ops, "/-/ready") if self.ops else (self.address, "/_health")
        return (await call(address, "GET", path))[0] == 200


class Machine(Process):
    """A control machine, by `[control]` with role "machine"."""

    def __init__(self, record: Record, folder: Path, name: str, address: str):
        super().__init__(record, folder, name)
        self.address = address

    async def ready(self) -> bool:
        return (await call(self.address, "GET", "/control/status"))[0] == 200

    async def status(self) -> dict:
        code, body = await call(self.address, "GET", "/control/status")
        return json.loads(body) if code == 200 else {}

    async def change(self, changes: list[dict], timeout: float = 6.0) -> tuple[int, dict]:
        """Hand in changes as an operator."""
        body = json.dumps({"changes": changes}).encode()
        code, answer = await call(self.address, "POST", "/control/changes", body, timeout)
        self.record.add("change", machine=self.name, keys=",".join(c["key"] for c in changes), status=code)
        return code, json.loads(answer) if code in (200, 503) else {}


def control_file(cluster: str, machines: dict[str, str], **own: str) -> str:
    """An operator file with [control]. machines: addresses by name, all of them voters."""
    rows = ",\n".join(f'  {{ name = "{n}", address = "{a}", voter = true }}' for n, a in machines.items())
    keys = "".join(f'{key} = "{value}"\n' for key, value in own.items())
    head = f'format = 1\n[log]\nrepeat = 0.0\n[control]\ncluster = "{cluster}"\nhold = 2.0\n'
    return f"{head}{keys}machines = [\n{rows},\n]\n"


def peers_file(name: str, relays: dict[str, tuple[str, str]], lease: float, guards: int = 2) -> str:
    """An operator file with [peers]. relays: address and zone by name."""
    rows = ",\n".join(f'  {{ name = "{n}", address = "{a}", zone = "{z}" }}' for n, (a, z) in relays.items())
    head = f'cluster = "campus"\nname = "{name}"\nguards = {guards}\nlease = {lease}\nalone = "serve"\n'
    return f"format = 1\n[log]\nrepeat = 0.0\n[peers]\n{head}relays = [\n{rows},\n]\n"

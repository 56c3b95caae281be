"""Processes of a scale run: control machines, hosts of hollow relays, and the registry that ends them all.

Real relays are `lab.trial.RelayProcess`. Each child has its own session, so that a signal to the run reaches
none of them; the registry ends them by their ids.
"""

import asyncio
import json
import os
import signal
import sys
import time
from collections.abc import Iterable
from contextlib import suppress
from pathlib import Path

import aiohttp
import msgspec

from . import hollow_messages as hollow
from .child_process import send_signal
from .scale_usage import runs
from .trial import RelayProcess, TrialFailed

TERMINATION_TIMEOUT_S = 5.0  # for a child to exit after SIGTERM
CONCURRENT_STARTS = 4  # processes
READY_TIMEOUT_S = 40.0  # for a child to become healthy on a busy computer
COMMAND_TIMEOUT_S = 200.0  # for a host's answer to a command
POLL_INTERVAL_S = 0.05


class MachineProcess(RelayProcess):
    """A control machine; it is ready once it answers at its own address."""

    ready_within = READY_TIMEOUT_S

    def __init__(self, address: str, config: dict, folder: Path, operator: Path):
        super().__init__(config, folder, environment={"RYESTACK_OPERATOR": str(operator)})
        self.control = address

    async def healthy(self) -> bool:
        return await self.ask("GET", self.control, "/control/status") == 200

    async def status(self) -> dict | None:
        """Returns its status; None where it does not answer."""
        with suppress(aiohttp.ClientError, OSError, TimeoutError, ValueError):
            limit = aiohttp.ClientTimeout(total=2.0)
            async with aiohttp.request(
                "GET", f"http://{self.control}/control/status", timeout=limit
            ) as answer:
                return await answer.json(content_type=None)
        return None


class ScaleRelay(RelayProcess):
    """A real relay; its start-up timeout is longer, since it first fetches its scope from busy machines."""

    ready_within = READY_TIMEOUT_S


class HostProcess:
    """A host of hollow relays: lines of JSON, commands on standard input, answers on standard output."""

    def __init__(self, specification: hollow.Specification, folder: Path):
        self.specification, self.folder, self.process = specification, folder, None
        self.lock = asyncio.Lock()
        folder.mkdir(parents=True, exist_ok=True)

    async def start(self) -> None:
        path = self.folder / "host.json"
        path.write_bytes(msgspec.json.encode(self.specification))
        with open(self.folder / "host.log", "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "ryestack.lab.hollow", str(path), stdin=asyncio.subprocess.PIPE,
                stdout=asyncio.subprocess.PIPE, stderr=log, start_new_session=True,
            )  # fmt: skip

    async def ask(self, command: hollow.Command) -> hollow.Report:
        """Sends a command and returns the answer; raises TrialFailed where the host doesn't answer."""
        async with self.lock:
            try:
                async with asyncio.timeout(COMMAND_TIMEOUT_S):
                    self.process.stdin.write(msgspec.json.encode(command) + b"\n")
                    await self.process.stdin.drain()
                    line = await self.process.stdout.readline()
                return msgspec.json.decode(line, type=hollow.Report)
            except (OSError, TimeoutError, msgspec.MsgspecError) as problem:
                raise TrialFailed(
                    f"host {self.folder.name} does not answer: {problem!r}\n{self.tail()}"
                ) from None

    def tail(self) -> str:
        """The last lines of the host's log."""
        return "\n".join((self.folder / "host.log").read_text(errors="replace").splitlines()[-8:])


class ChildProcesses:
    """Registry of every process that the run started, by name and id, including restarted ones."""

    def __init__(self):
        self.started: dict[str, object] = {}
        self.process_ids: dict[str, int] = {}

    async def start(self, named: Iterable[tuple[str, object]]) -> None:
        """Starts processes that have `start()` and `.process`, a few at a time."""
        slots = asyncio.Semaphore(CONCURRENT_STARTS)

        async def one(name: str, child) -> None:
            async with slots:
                await self.start_one(name, child)

        async with asyncio.TaskGroup() as group:
            for name, child in named:
                group.create_task(one(name, child))

    async def start_one(self, name: str, child) -> None:
        self.started[name] = child
        try:
            await child.start()
        finally:
            if child.process is not None:
                self.process_ids[f"{name}#{child.process.pid}"] = child.process.pid

    def process_id(self, name: str) -> int:
        return self.started[name].process.pid

    def signal(self, name: str, number: int) -> None:
        process = self.started[name].process
        if process is not None:
            send_signal(process, number)

    async def kill(self, name: str) -> None:
        self.signal(name, signal.SIGKILL)
        await self.started[name].process.wait()

    async def end_all(self) -> None:
        """Sends SIGCONT and SIGTERM to all, SIGKILL to those still running later; waits for their exit."""
        for name in self.started:
            if self.started[name].process is not None:
                self.signal(name, signal.SIGCONT)
                self.signal(name, signal.SIGTERM)
        deadline = time.monotonic() + TERMINATION_TIMEOUT_S
        while time.monotonic() < deadline and any(runs(number) for number in self.process_ids.values()):
            await asyncio.sleep(POLL_INTERVAL_S)
        for name, child in self.started.items():
            if child.process is not None:
                self.signal(name, signal.SIGKILL)
                await child.process.wait()


def write_json(path: Path, value) -> None:
    """Writes a JSON file atomically: it is complete or absent."""
    partial = path.with_suffix(".part")
    partial.write_text(json.dumps(value, indent=1) + "\n")
    os.replace(partial, path)

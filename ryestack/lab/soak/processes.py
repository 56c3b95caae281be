"""The processes of a soak test: relays under the faults library, partners, proxies, clients, the platform."""

import asyncio
import json
import os
import signal
import sys
import time
from collections.abc import Callable
from pathlib import Path

import aiohttp
import msgspec
import tomli_w

from ...standins.books import Books
from ..load import books_of
from ..trial import RelayProcess, TrialFailed, free_port
from .fault_control import FaultControl
from .http_client import ClientPlan
from .model import Away

KILL_AFTER = 3.7  # seconds from SIGTERM to SIGKILL, as the platform has it
DOWN = 0.6  # seconds from SIGKILL to the next start
READY_WITHIN = 10.0  # seconds that a restart may take
LEFT_WITHIN = 5.0  # seconds that a helper process has to end


class Helper:
    """A process that is no relay. ready: a word of its output that says it serves."""

    def __init__(self, command: list[str], folder: Path, name: str):
        self.command, self.folder, self.name = command, folder, name
        self.process: asyncio.subprocess.Process | None = None

    async def start(self) -> str:
        """The first line that it prints."""
        with open(self.folder / f"{self.name}.log", "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable, "-m", *self.command, start_new_session=True,
                stdin=asyncio.subprocess.PIPE, stdout=asyncio.subprocess.PIPE, stderr=log,
            )  # fmt: skip
        return (await self.process.stdout.readline()).decode().strip()

    async def close(self) -> None:
        if self.process and self.process.returncode is None:
            self.process.terminate()
            try:
                await asyncio.wait_for(self.process.wait(), LEFT_WITHIN)
            except TimeoutError:
                self.process.kill()
                await self.process.wait()


class StandIn(Helper):
    """`ryestack standin partner` or `platform`, told live at its control address."""

    def __init__(self, kind: str, stage: dict, control: str, folder: Path, name: str):
        path = folder / f"{name}.toml"
        path.write_text(tomli_w.dumps(stage))
        super().__init__(["ryestack", "standin", kind, str(path)], folder, name)
        self.control = control

    async def start(self) -> str:
        with open(self.folder / f"{self.name}.log", "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable, "-m", *self.command, start_new_session=True, stdout=log, stderr=log
            )
        until = time.monotonic() + READY_WITHIN
        while time.monotonic() < until and self.process.returncode is None:
            if await self.tell({"listed": "up"}, check=False):
                return self.control
            await asyncio.sleep(0.02)
        raise TrialFailed(f"{self.name} did not serve")

    async def tell(self, change: dict, check: bool = True) -> bool:
        try:
            limit = aiohttp.ClientTimeout(total=2.0)
            address = f"http://{self.control}/behave"
            async with aiohttp.request("POST", address, json=change, timeout=limit) as answer:
                if answer.status != 200 and check:
                    raise TrialFailed(f"{self.name}: {change}: {await answer.text()}")
                return answer.status == 200
        except (aiohttp.ClientError, OSError, TimeoutError):
            return False

    async def books(self) -> Books:
        return await books_of(self.control)


class Proxy(Helper):
    """Links in front of a partner's endpoints; addresses: theirs, in the order of the targets."""

    def __init__(self, seed: int, targets: list[str], folder: Path, name: str):
        super().__init__(["ryestack.lab.soak.proxy", str(seed), *targets], folder, name)
        self.addresses: list[str] = []

    async def start(self) -> str:
        line = await super().start()
        self.addresses = line.split()
        return line

    async def turn(self, mode: str) -> None:
        self.process.stdin.write(f"{mode}\n".encode())
        await self.process.stdin.drain()


class ClientProcess(Helper):
    """A client of one relay; it ends by itself."""

    def __init__(self, plan: ClientPlan, folder: Path):
        path = folder / f"client-{plan.relay}.json"
        path.write_bytes(msgspec.json.encode(plan))
        super().__init__(["ryestack.lab.soak.http_client", str(path)], folder, f"client-{plan.relay}")

    async def start(self) -> str:
        with open(self.folder / f"{self.name}.log", "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable, "-m", *self.command, start_new_session=True, stdout=log, stderr=log
            )
        return ""


class SoakRelay:
    """One relay over its lives, each a process under the faults library."""

    def __init__(self, number: int, config: dict, folder: Path, library: Path):
        self.number, self.config, self.folder = number, config, folder
        folder.mkdir(parents=True)
        self.faults = FaultControl(folder / "faults")
        self.environment = self.faults.environment(library, folder / "state")
        operator = folder / "operator.toml"
        operator.write_text(tomli_w.dumps({"format": 1, "log": {"repeat": 0.0, "level": "DEBUG"}}))
        self.environment["RYESTACK_OPERATOR"] = str(operator)
        self.away: list[Away] = []
        self.problems: list[str] = []
        self.violations: dict[str, float] = {}
        self.clock_offset = 0.0
        self.current = self.make()

    def make(self) -> RelayProcess:
        made = RelayProcess(self.config, self.folder, environment=self.environment)
        made.ops = f"127.0.0.1:{free_port()}"
        made.ready_within = READY_WITHIN
        return made

    async def start(self) -> None:
        await self.current.start()

    def alive(self) -> bool:
        process = self.current.process
        return process is not None and process.returncode is None

    async def kill(self) -> None:
        await self.restart(signal.SIGKILL)

    async def stop(self) -> None:
        await self.restart(signal.SIGTERM)

    async def restart(self, number: int) -> None:
        """End it, wait as the platform does, start it again."""
        await self.count_violations()
        began = time.time()
        self.current.process.send_signal(number)
        try:
            status = await asyncio.wait_for(self.current.process.wait(), KILL_AFTER)
        except TimeoutError:
            status = await self.current.kill()
        if number == signal.SIGTERM and status not in (0, -signal.SIGKILL):
            self.problems.append(f"relay {self.number} ended with {status} after SIGTERM")
        killed = time.time()
        await asyncio.sleep(DOWN)
        await self.start_again(began, killed)

    async def start_again(self, began: float, killed: float) -> None:
        self.current = self.make()
        try:
            await self.current.start()
        except TrialFailed as failed:
            self.problems.append(f"relay {self.number} did not start again: {failed}")
            self.faults.clear()
            await self.current.close()
            self.current = self.make()
            await self.current.start()
        self.away.append(Away(self.number, began, killed, time.time()))

    async def upgrade(self) -> None:
        """A second process in the same folder takes over, then the first is ended."""
        await self.count_violations()
        elder, began = self.current, time.time()
        heir = self.make()
        try:
            await heir.start()
        except TrialFailed as failed:
            self.problems.append(f"relay {self.number}: its successor did not start: {failed}")
            await heir.close()
            return
        self.current = heir
        elder.process.send_signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(elder.process.wait(), KILL_AFTER)
        except TimeoutError:
            await elder.kill()
        self.away.append(Away(self.number, began, time.time(), time.time()))

    async def reload(self, times: int, change: Callable[[int], dict]) -> None:
        """New configurations in a row, each with a SIGHUP."""
        for turn in range(times):
            made = self.folder / "config.json.new"
            made.write_text(json.dumps(change(turn)))
            os.replace(made, self.folder / "config.json")
            if self.alive():
                self.current.process.send_signal(signal.SIGHUP)
            await asyncio.sleep(0.15)

    async def pause(self, seconds: float) -> None:
        """Hold it up between any two of its instructions."""
        process = self.current.process
        if process.returncode is None:
            process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(seconds)
            process.send_signal(signal.SIGCONT)

    async def count_violations(self) -> None:
        """Add what this life's own checks counted: the figures end with the process."""
        try:
            limit = aiohttp.ClientTimeout(total=1.0)
            async with aiohttp.request(
                "GET", f"http://{self.current.ops}/-/metrics", timeout=limit
            ) as answer:
                text = await answer.text()
        except (aiohttp.ClientError, OSError, TimeoutError):
            return
        for line in text.splitlines():
            if line.startswith("lb_invariant_violations_total{"):
                name, _, count = line.rpartition(" ")
                if float(count):
                    self.violations[name] = self.violations.get(name, 0.0) + float(count)

    async def close(self) -> None:
        self.faults.clear()
        if self.alive():
            self.current.process.send_signal(signal.SIGCONT)
            await self.current.close()
        self.faults.close()

    def log(self) -> str:
        return (self.folder / "relay.log").read_text(errors="replace")

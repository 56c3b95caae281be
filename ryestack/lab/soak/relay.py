"""A relay of a soak test over its lives: started, stopped, killed, upgraded, reloaded, held up."""

import asyncio
import json
import os
import signal
import time
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path

import aiohttp
import tomli_w

from ..trial import RelayProcess, TrialFailed
from .fault_control import FaultControl
from .model import Away
from .processes import READY_WITHIN, Ports

KILL_AFTER = 3.7  # seconds from SIGTERM to SIGKILL, as the platform has it
DOWN = 0.6  # seconds from SIGKILL to the next start


class SoakRelay:
    """One relay over its lives, each a process under the faults library."""

    def __init__(self, number: int, config: dict, folder: Path, library: Path, ports: Ports):
        self.number, self.config, self.folder, self.ports = number, config, folder, ports
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
        self.changing = asyncio.Lock()  # one start, stop or upgrade at a time, however slow the machine is
        self.current = self.make()

    def make(self) -> RelayProcess:
        made = RelayProcess(self.config, self.folder, environment=self.environment)
        made.ops = self.ports.address()
        made.ready_within = READY_WITHIN
        return made

    async def start(self) -> None:
        await self.current.start()

    def alive(self) -> bool:
        process = self.current.process
        return process is not None and process.returncode is None

    async def kill(self) -> None:
        async with self.changing:
            await self.restart(signal.SIGKILL)

    async def stop(self) -> None:
        async with self.changing:
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
        async with self.changing:
            await self.take_over()

    async def take_over(self) -> None:
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
                with suppress(ProcessLookupError):
                    self.current.process.send_signal(signal.SIGHUP)
            await asyncio.sleep(0.15)

    async def pause(self, seconds: float) -> None:
        """Hold it up between any two of its instructions."""
        process = self.current.process
        if process.returncode is None:
            process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(seconds)
            with suppress(ProcessLookupError):  # it was killed meanwhile
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

"""A relay of a soak test across restarts: started, stopped, killed, upgraded, reloaded and paused."""

import asyncio
import json
import os
import signal
import time
from collections.abc import Callable
from pathlib import Path
from random import Random

import aiohttp
import tomli_w

from ..child_process import send_signal
from ..ports import PortRange
from ..trial import RelayProcess, TrialFailed
from .fault_control import FaultControl
from .model import Restart
from .processes import READY_TIMEOUT_S

TERMINATION_GRACE_S = 3.7  # from SIGTERM to SIGKILL, as on the platform
RESTART_DELAY_S = 0.6  # from SIGKILL to the next start
ENDING_SIGNALS = (signal.SIGHUP, signal.SIGTERM, signal.SIGHUP, signal.SIGTERM)  # behind the first SIGTERM
SIGNAL_INTERVAL_S = (0.0, 0.8)  # between two of them


class SoakRelay:
    """One relay across restarts; each process runs under the faults library."""

    def __init__(self, number: int, config: dict, folder: Path, library: Path, ports: PortRange):
        self.number, self.config, self.folder, self.ports = number, config, folder, ports
        self.rng = Random(f"signals {number} {config['seed']}")
        folder.mkdir(parents=True)
        self.faults = FaultControl(folder / "faults")
        self.environment = self.faults.environment(library, folder / "state")
        operator = folder / "operator.toml"
        operator.write_text(tomli_w.dumps({"format": 1, "log": {"repeat": 0.0, "level": "DEBUG"}}))
        self.environment["RYESTACK_OPERATOR"] = str(operator)
        self.processes: list[RelayProcess] = []
        self.restarts: list[Restart] = []
        self.problems: list[str] = []
        self.violations: dict[str, float] = {}
        self.clock_offset = 0.0
        self.lifecycle_lock = asyncio.Lock()  # serializes restarts and upgrades, also on a slow machine
        self.current = self.new_process()

    def new_process(self) -> RelayProcess:
        process = RelayProcess(self.config, self.folder, environment=self.environment)
        process.ops = self.ports.address()
        process.ready_within = READY_TIMEOUT_S
        self.processes.append(process)
        return process

    def running(self) -> list[asyncio.subprocess.Process]:
        """Its processes that have not ended."""
        started = [each.process for each in self.processes if each.process]
        return [process for process in started if process.returncode is None]

    async def start(self) -> None:
        await self.current.start()

    def alive(self) -> bool:
        process = self.current.process
        return process is not None and process.returncode is None

    async def kill(self) -> None:
        async with self.lifecycle_lock:
            await self.restart(signal.SIGKILL)

    async def stop(self) -> None:
        async with self.lifecycle_lock:
            await self.restart(signal.SIGTERM)

    async def restart(self, signal_number: int) -> None:
        """Ends the process, kills it after the grace period, and starts a new one, as the platform does."""
        await self.count_violations()
        begin_time = time.time()
        send_signal(self.current.process, signal_number)
        series = asyncio.ensure_future(self.signal_again(self.current.process))
        try:
            status = await asyncio.wait_for(self.current.process.wait(), TERMINATION_GRACE_S)
        except TimeoutError:
            status = await self.current.kill()
        finally:
            series.cancel()
        if signal_number == signal.SIGTERM and status not in (0, -signal.SIGKILL):
            self.problems.append(f"relay {self.number} ended with {status} after SIGTERM")
        killed = time.time()
        await asyncio.sleep(RESTART_DELAY_S)
        await self.start_again(begin_time, killed)

    async def signal_again(self, process: asyncio.subprocess.Process) -> None:
        """Sends a process that is ending the same and other signals, one after the other."""
        for number in ENDING_SIGNALS:
            await asyncio.sleep(self.rng.uniform(*SIGNAL_INTERVAL_S))
            send_signal(process, number)

    async def start_again(self, begin_time: float, killed: float) -> None:
        self.current = self.new_process()
        try:
            await self.current.start()
        except TrialFailed as failed:
            self.problems.append(f"relay {self.number} did not restart: {failed}")
            self.faults.clear()
            await self.current.close()
            self.current = self.new_process()
            await self.current.start()
        self.restarts.append(Restart(self.number, begin_time, killed, time.time()))

    async def upgrade(self) -> None:
        async with self.lifecycle_lock:
            await self.take_over()

    async def take_over(self) -> None:
        """Starts a second process in the same folder, which takes over, then terminates the first."""
        await self.count_violations()
        predecessor, begin_time = self.current, time.time()
        successor = self.new_process()
        try:
            await successor.start()
        except TrialFailed as failed:
            self.problems.append(f"relay {self.number}: its successor did not start: {failed}")
            await successor.close()
            return
        self.current = successor
        send_signal(predecessor.process, signal.SIGTERM)
        try:
            await asyncio.wait_for(predecessor.process.wait(), TERMINATION_GRACE_S)
        except TimeoutError:
            await predecessor.kill()
        self.restarts.append(Restart(self.number, begin_time, time.time(), time.time()))

    async def reload(self, times: int, change: Callable[[int], dict]) -> None:
        """Writes several configurations in a row, each followed by a SIGHUP. change: makes the nth one."""
        for iteration in range(times):
            new_config = self.folder / "config.json.new"
            new_config.write_text(json.dumps(change(iteration)))
            os.replace(new_config, self.folder / "config.json")
            if self.alive():
                send_signal(self.current.process, signal.SIGHUP)
            await asyncio.sleep(0.15)

    async def pause(self, seconds: float) -> None:
        """Suspends the process with SIGSTOP for some seconds, at an arbitrary point of its execution."""
        process = self.current.process
        if self.alive():
            send_signal(process, signal.SIGSTOP)
            await asyncio.sleep(seconds)
            send_signal(process, signal.SIGCONT)

    async def count_violations(self) -> None:
        """Adds up the invariant violations in the process's metrics, which are lost when it ends."""
        try:
            timeout = aiohttp.ClientTimeout(total=1.0)
            async with aiohttp.request(
                "GET", f"http://{self.current.ops}/-/metrics", timeout=timeout
            ) as response:
                text = await response.text()
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
            send_signal(self.current.process, signal.SIGCONT)
            await self.current.close()
        self.faults.close()

    def log(self) -> str:
        return (self.folder / "relay.log").read_text(errors="replace")

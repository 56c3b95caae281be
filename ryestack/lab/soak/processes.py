"""The helper processes of a soak test: partners, the platform, proxies and clients; and the ports of all."""

import asyncio
import signal
import sys
import time
from pathlib import Path

import aiohttp
import msgspec
import tomli_w

from ...standins.books import Books
from ..child_process import send_signal
from ..load import books_of
from ..trial import TrialFailed
from .http_client import ClientPlan

READY_TIMEOUT_S = 10.0  # for a restart of a relay
HELPER_READY_TIMEOUT_S = 40.0  # for the first start of a stand-in, which is not under test
EXIT_TIMEOUT_S = 5.0  # for a helper process to end after SIGTERM


class Helper:
    """A process other than a relay: a Python module with arguments, whose stderr goes to NAME.log."""

    def __init__(self, command: list[str], folder: Path, name: str):
        self.command, self.folder, self.name = command, folder, name
        self.process: asyncio.subprocess.Process | None = None

    async def start(self) -> str:
        """Starts the process; returns the first line that it prints."""
        with open(self.folder / f"{self.name}.log", "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable, "-m", *self.command, start_new_session=True,
                stdin=asyncio.subprocess.PIPE, stdout=asyncio.subprocess.PIPE, stderr=log,
            )  # fmt: skip
        return (await self.process.stdout.readline()).decode().strip()

    async def close(self) -> None:
        if self.process and self.process.returncode is None:
            send_signal(self.process, signal.SIGTERM)
            try:
                await asyncio.wait_for(self.process.wait(), EXIT_TIMEOUT_S)
            except TimeoutError:
                send_signal(self.process, signal.SIGKILL)
                await self.process.wait()


class StandIn(Helper):
    """`ryestack standin partner` or `platform`, controlled at run time through its control address."""

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
        deadline = time.monotonic() + HELPER_READY_TIMEOUT_S
        while time.monotonic() < deadline and self.process.returncode is None:
            if await self.apply({"listed": "up"}, check=False):
                return self.control
            await asyncio.sleep(0.02)
        raise TrialFailed(f"{self.name} exited or was not ready within {HELPER_READY_TIMEOUT_S:g} s")

    async def apply(self, change: dict, check: bool = True) -> bool:
        """Sends a change; returns whether it was applied. check: raise TrialFailed if it is refused."""
        try:
            timeout = aiohttp.ClientTimeout(total=2.0)
            address = f"http://{self.control}/behave"
            async with aiohttp.request("POST", address, json=change, timeout=timeout) as response:
                if response.status != 200 and check:
                    raise TrialFailed(f"{self.name}: {change}: {await response.text()}")
                return response.status == 200
        except (aiohttp.ClientError, OSError, TimeoutError):
            return False

    async def books(self) -> Books:
        return await books_of(self.control)


class Proxy(Helper):
    """Links in front of a partner's endpoints. addresses: of the links, in the order of the targets."""

    def __init__(self, seed: int, targets: list[str], folder: Path, name: str):
        super().__init__(["ryestack.lab.soak.proxy", str(seed), *targets], folder, name)
        self.addresses: list[str] = []

    async def start(self) -> str:
        line = await super().start()
        self.addresses = line.split()
        return line

    async def set_mode(self, mode: str) -> None:
        """Sets the mode of all links."""
        self.process.stdin.write(f"{mode}\n".encode())
        await self.process.stdin.drain()


class ClientProcess(Helper):
    """A client of one relay; it exits at the end of its plan."""

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

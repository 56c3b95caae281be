"""The processes of a soak test: relays under the faults library, partners, proxies, clients, the platform."""

import asyncio
import os
import socket
import sys
import time
from contextlib import suppress
from pathlib import Path

import aiohttp
import msgspec
import tomli_w

from ...standins.books import Books
from ..load import books_of
from ..trial import TrialFailed
from .http_client import ClientPlan

READY_WITHIN = 10.0  # seconds that a restart of a relay may take
HELPER_READY_WITHIN = 40.0  # the same for a stand-in's first start, which is not judged
LEFT_WITHIN = 5.0  # seconds that a helper process has to end


class Ports:
    """Free ports for one run, none twice, from a range that other runs beside it hardly share."""

    FIRST, RANGE, SIZE = 20_000, 20, 600  # below those that the system gives to outgoing connections

    def __init__(self):
        begin = self.FIRST + os.getpid() % self.RANGE * self.SIZE
        self.left = iter(range(begin, begin + self.SIZE))

    def address(self) -> str:
        """Raises TrialFailed once there are no more."""
        for port in self.left:
            with suppress(OSError), socket.create_server(("127.0.0.1", port)):
                return f"127.0.0.1:{port}"
        raise TrialFailed("no free port is left")


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
        until = time.monotonic() + HELPER_READY_WITHIN
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

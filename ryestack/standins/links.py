"""Links between relays that misbehave on a script: a proxy on loopback for each way from one to another.

It forwards bytes and knows nothing of what they say. A link that is cut holds what is sent, as a network
does whose sender tries again: after it has healed the bytes arrive, late.
"""

import asyncio
import random
from contextlib import suppress

MODES = ("ok", "refuse", "hole", "out", "back", "reset", "late", "slow")
CHUNK = 16 * 1024
LOOK = 0.02  # seconds between looks at whether a held link has healed


class Link:
    """One way: whoever connects here is connected to target (host, port).

    mode: `refuse` ends each connection at once; `hole` holds both directions, `out` what goes to the
    target, `back` what comes from it; `reset` ends a connection within what it carries; `late` delays by
    delay, half to one and a half of it; `slow` lets rate bytes a second through.
    """

    def __init__(self, target: tuple[str, int], seed: int, forgets: bool = False):
        """forgets: what it holds is lost once its sender has closed, like what a system has not confirmed."""
        self.target, self.random, self.forgets = target, random.Random(seed), forgets
        self.mode, self.delay, self.rate = "ok", 0.5, 20_000.0
        self.server, self.address, self.writers, self.tasks = None, "", set(), set()
        self.carried, self.reads = 0, 0  # bytes let through, and in how many pieces

    async def start(self) -> str:
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        host, port = self.server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"
        return self.address

    def turn(self, mode: str, delay: float = 0.5) -> None:
        if mode not in MODES:
            raise ValueError(f"no mode {mode}: {', '.join(MODES)}")
        self.mode, self.delay = mode, delay
        if mode in ("refuse", "reset"):
            for writer in list(self.writers):
                writer.transport.abort()

    async def serve(self, reader, writer) -> None:
        self.tasks.add(asyncio.current_task())
        try:
            if self.mode == "refuse":
                return
            far_reader, far = await asyncio.open_connection(*self.target)
            self.writers |= {writer, far}
            try:
                await asyncio.gather(self.pump(reader, far, "out"), self.pump(far_reader, writer, "back"))
            finally:
                self.writers -= {writer, far}
                far.transport.abort()
        except OSError:
            pass
        finally:
            writer.transport.abort()
            self.tasks.discard(asyncio.current_task())

    async def pump(self, reader, writer, way: str) -> None:
        with suppress(OSError, ConnectionError):
            while data := await reader.read(CHUNK):
                if self.mode == "late":
                    await asyncio.sleep(self.delay * self.random.uniform(0.5, 1.5))
                held = self.mode in ("hole", "late", way)
                while self.mode in ("hole", way):
                    await asyncio.sleep(LOOK)
                if held and self.forgets and (reader.exception() or reader.at_eof()):
                    break
                if self.mode == "reset":
                    writer.write(data[: len(data) // 2])
                    break
                if self.mode == "slow":
                    await asyncio.sleep(len(data) / self.rate)
                self.carried += len(data)
                self.reads += 1
                writer.write(data)
                await writer.drain()
        writer.transport.abort()

    async def close(self) -> None:
        self.server.close()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)


class Net:
    """All links of a cluster: names to their own addresses."""

    def __init__(self, addresses: dict[str, str], seed: int):
        self.links: dict[tuple[str, str], Link] = {}
        for i, (one, other) in enumerate((a, b) for a in addresses for b in addresses if a != b):
            host, _, port = addresses[other].rpartition(":")
            self.links[one, other] = Link((host, int(port)), seed * 1000 + i)

    async def start(self) -> None:
        for link in self.links.values():
            await link.start()

    def turn(self, mode: str, ones=None, others=None, delay: float = 0.5) -> None:
        """The links from each of ones to each of others, both ways; all where none are named."""
        for (one, other), link in self.links.items():
            if ones is None or (one in ones and other in others) or (other in ones and one in others):
                link.turn(mode, delay)

    async def close(self) -> None:
        for link in self.links.values():
            await link.close()

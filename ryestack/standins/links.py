"""Faulty network links: a scripted loopback proxy for each directed pair of relays.

A link forwards bytes without parsing them. A partitioned link holds the bytes, like a network whose sender
retransmits: after the partition heals they arrive, late.
"""

import asyncio
import random
from contextlib import suppress

from .answer_faults import AnswerFaults

MODES = ("ok", "refuse", "hole", "out", "back", "reset", "late", "slow", "again", "holds")
FAULTY_ANSWERS = 0.25  # fraction of answers out of order in mode `again`
HELD_FRACTION, MAX_HOLD_S = 1 / 3, 3.0  # of callers' chunks that mode `holds` holds, and how long
CHUNK = 16 * 1024
POLL_INTERVAL_S = 0.02  # between checks whether a held link has healed


class CallerReader(asyncio.StreamReader):
    """What a caller sends. ended: whether it has ended its sending, even if bytes wait unread before that."""

    ended = False

    def feed_eof(self) -> None:
        self.ended = True
        super().feed_eof()


class Link:
    """A proxy on loopback that connects each client to target (host, port).

    mode: `refuse` closes each connection at once; `hole` holds both directions, `out` holds bytes to the
    target, `back` holds bytes from it; `reset` resets a connection in the middle of its data; `late` delays
    each chunk by 0.5 to 1.5 times delay (seconds); `slow` limits throughput to rate bytes a second; `again`
    repeats and cuts answers as AnswerFaults draws it, taking each read for one answer; `holds` holds some of
    what callers send, for up to MAX_HOLD_S.
    """

    def __init__(self, target: tuple[str, int], seed: int, drop_on_close: bool = False):
        """drop_on_close: drop held bytes once the sender has closed, like data that was not acknowledged."""
        self.target, self.rng, self.drop_on_close = target, random.Random(seed), drop_on_close
        self.mode, self.delay, self.rate = "ok", 0.5, 20_000.0
        self.server, self.address, self.writers, self.tasks = None, "", set(), set()
        self.carried, self.reads = 0, 0  # bytes forwarded, and the number of reads they came in

    async def start(self) -> str:
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(
            lambda: asyncio.StreamReaderProtocol(CallerReader(loop=loop), self.serve, loop), "127.0.0.1", 0
        )
        host, port = self.server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"
        return self.address

    def turn(self, mode: str, delay: float = 0.5) -> None:
        """Sets the mode; raises ValueError for an unknown one. delay: in seconds, for mode `late`."""
        if mode not in MODES:
            raise ValueError(f"unknown link mode {mode}; must be one of {', '.join(MODES)}")
        self.mode, self.delay = mode, delay
        if mode in ("refuse", "reset"):
            for writer in list(self.writers):
                writer.transport.abort()

    async def serve(self, reader, writer) -> None:
        self.tasks.add(asyncio.current_task())
        try:
            if self.mode == "refuse":
                return
            target_reader, target_writer = await asyncio.open_connection(*self.target)
            self.writers |= {writer, target_writer}
            try:
                await asyncio.gather(
                    self.pump(reader, target_writer, "out"), self.pump(target_reader, writer, "back")
                )
            finally:
                self.writers -= {writer, target_writer}
                target_writer.transport.abort()
        except OSError:
            pass
        finally:
            writer.transport.abort()
            self.tasks.discard(asyncio.current_task())

    async def pump(self, reader, writer, direction: str) -> None:
        faults = AnswerFaults(self.rng, FAULTY_ANSWERS)
        with suppress(OSError, ConnectionError):
            while data := await reader.read(CHUNK):
                held = self.mode in ("hole", "late", "slow", "holds", direction)
                if self.mode == "late":
                    await asyncio.sleep(self.delay * self.rng.uniform(0.5, 1.5))
                if self.mode == "slow":
                    await asyncio.sleep(len(data) / self.rate)
                if self.mode == "holds" and direction == "out" and self.rng.random() < HELD_FRACTION:
                    await asyncio.sleep(self.rng.uniform(0.0, MAX_HOLD_S))
                while self.mode in ("hole", direction):
                    await asyncio.sleep(POLL_INTERVAL_S)
                if held and self.drop_on_close and self.has_ended(reader):
                    break
                if self.mode == "reset":
                    writer.write(data[: len(data) // 2])
                    break
                self.carried += len(data)
                self.reads += 1
                if direction == "back" and self.mode == "again":
                    self.write_out_of_order(writer, faults.writes(data))
                else:
                    writer.write(data)
                await writer.drain()
        writer.transport.abort()

    @staticmethod
    def has_ended(reader: asyncio.StreamReader) -> bool:
        """Whether the side that is read from has closed its connection or ended its sending."""
        ended = reader.ended if isinstance(reader, CallerReader) else reader.at_eof()
        return ended or reader.exception() is not None

    @staticmethod
    def write_out_of_order(writer, writes) -> None:
        """Makes the writes at their times, unless the connection has ended by then."""

        def write(data: bytes) -> None:
            if not writer.transport.is_closing():
                writer.write(data)

        for after, data in writes:
            if after:
                asyncio.get_running_loop().call_later(after, write, data)
            else:
                write(data)

    async def close(self) -> None:
        self.server.close()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)


class Net:
    """All links of a cluster, one for each ordered pair. addresses: by relay name, where each one listens."""

    def __init__(self, addresses: dict[str, str], seed: int):
        self.links: dict[tuple[str, str], Link] = {}
        for i, (source, target) in enumerate((a, b) for a in addresses for b in addresses if a != b):
            host, _, port = addresses[target].rpartition(":")
            self.links[source, target] = Link((host, int(port)), seed * 1000 + i)

    async def start(self) -> None:
        for link in self.links.values():
            await link.start()

    def turn(self, mode: str, group=None, other_group=None, delay: float = 0.5) -> None:
        """Sets the mode of the links between two groups, in both directions; of all if group is None."""
        for (source, target), link in self.links.items():
            if (
                group is None
                or (source in group and target in other_group)
                or (target in group and source in other_group)
            ):
                link.turn(mode, delay)

    async def close(self) -> None:
        for link in self.links.values():
            await link.close()

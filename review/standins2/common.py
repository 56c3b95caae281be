"""The record of a case, free ports, HTTP pieces, and how a case is played. Standard library only."""

import asyncio
import os
import random
import signal
import socket
import sys
import tempfile
import time
from contextlib import suppress
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
LIMIT_S = 112.0  # of a whole case; what is left of 120 s is for ending its processes
MAX_HEAD = 1 << 20


class CannotRun(Exception):
    """The case could not be played: its script ends with status 2."""


class Record:
    """All that clients, endpoints, the platform and operators saw, with the seconds since the start."""

    def __init__(self, path: Path):
        self.path, self.began, self.rows = path, time.monotonic(), []
        path.write_text("")

    def now(self) -> float:
        return time.monotonic() - self.began

    def add(self, what: str, **facts) -> float:
        at = self.now()
        self.rows.append((at, what, facts))
        text = " ".join(f"{key}={value}" for key, value in facts.items())
        with open(self.path, "a", encoding="utf-8", errors="replace") as file:
            file.write(f"{at:8.3f} {what} {text}\n")
        return at

    def all(self, what: str, **wanted) -> list[tuple[float, dict]]:
        """The rows of that kind whose facts have these values."""
        return [
            (at, facts)
            for at, kind, facts in self.rows
            if kind == what and all(facts.get(key) == value for key, value in wanted.items())
        ]


def free_port() -> int:
    """A free port below the range from which the system takes those of outgoing connections."""
    while True:
        port = random.SystemRandom().randrange(12_000, 32_000)
        with suppress(OSError), socket.create_server(("127.0.0.1", port)):
            return port


def parse_head(data: bytes) -> tuple[list[str], dict[str, str]]:
    """The three words of a first line, and the headers by their names in lower case."""
    first, *lines = data.decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in lines if line)
    return first.split(" ", 2), {name.strip().lower(): value.strip() for name, _, value in pairs}


async def read_http(reader: asyncio.StreamReader) -> tuple[list[str], dict[str, str], bytes]:
    """One request or answer with a Content-Length."""
    first, headers = parse_head((await reader.readuntil(b"\r\n\r\n"))[:-4])
    return first, headers, await reader.readexactly(int(headers.get("content-length", "0")))


def response(status: int, body: bytes = b"", close: bool = False, headers: dict | None = None) -> bytes:
    lines = [f"HTTP/1.1 {status} Status", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    lines += ["Connection: close"] if close else []
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


async def ask(address: str, data: bytes, timeout: float) -> tuple[int, bytes]:
    """Status and body of the answer to one request on a new connection; (0, b"") if none came in time."""
    host, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(host, int(port), limit=MAX_HEAD)
            writer.write(data)
            first, _, body = await read_http(reader)
            return int(first[1]), body
    except (OSError, TimeoutError, ValueError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
        return 0, b""
    finally:
        if writer:
            writer.close()


async def call(
    address: str, method: str, path: str, body: bytes = b"", timeout: float = 1.0
) -> tuple[int, bytes]:
    """One HTTP call of an operator."""
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {address}",
        "Connection: close",
        f"Content-Length: {len(body)}",
    ]
    return await ask(address, ("\r\n".join(lines) + "\r\n\r\n").encode() + body, timeout)


class Server:
    """An HTTP server on loopback: `serve(first, headers, body, writer)` returns an answer or None."""

    def __init__(self, serve):
        self.serve, self.listener, self.address = serve, None, ""
        self.open_connections: dict[asyncio.StreamWriter, asyncio.Task] = {}

    async def open(self, port: int = 0) -> str:
        self.listener = await asyncio.start_server(self.handle, "127.0.0.1", port, limit=MAX_HEAD)
        self.address = f"127.0.0.1:{self.listener.sockets[0].getsockname()[1]}"
        return self.address

    async def shut(self) -> None:
        """As when a process dies: connections are reset, new ones are refused."""
        if self.listener:
            self.listener.close()
            self.listener = None
        for writer, task in list(self.open_connections.items()):
            writer.transport.abort()
            task.cancel()

    async def handle(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.open_connections[writer] = asyncio.current_task()
        try:
            while True:
                first, headers, body = await read_http(reader)
                reply = await self.serve(first, headers, body, writer)
                if reply is None or writer.transport.is_closing():
                    continue
                writer.write(reply)
                if b"\r\nConnection: close\r\n" in reply:
                    break
        except (OSError, ValueError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            pass
        except asyncio.CancelledError:  # this server is shut
            pass
        finally:
            self.open_connections.pop(writer, None)
            writer.close()


def judge_time(record: Record, ttl_s: float) -> float:
    """Seconds from now until every message that was sent has its end or has broken the rule."""
    last = max((at for at, _ in record.all("sent")), default=record.now())
    return max(0.0, last + ttl_s + 0.6 - record.now())


def play(case: str, story) -> None:
    """Run `story(record, folder, trouble)`, which returns what broke the rule; exit with 1, 0 or 2."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(Path(case).resolve().parent / "record.txt")
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        with tempfile.TemporaryDirectory(prefix="review2-") as folder:
            broken = asyncio.run(asyncio.wait_for(story(record, Path(folder), trouble), LIMIT_S))
    except Exception as problem:  # a fault of the case itself tells nothing of the rule
        record.add("could not run", why=repr(problem))
        print(f"could not run: {problem!r}")
        sys.exit(2)
    for line in broken:
        record.add("broken", why=line)
        print(f"broken: {line}")
    record.add("result", trouble=trouble, broken=len(broken))
    print(f"trouble={trouble}: {len(broken)} broken")
    sys.exit(1 if broken else 0)

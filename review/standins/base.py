"""The record of a case, and free ports."""

import random
import socket
import time
from contextlib import suppress
from pathlib import Path


class CannotRun(Exception):
    """The case could not be played; its script ends with status 2."""


class Record:
    """What was sent, answered and run: lines of seconds, event and facts, kept in memory and in a file."""

    def __init__(self, path: Path):
        self.path, self.began, self.rows = path, time.monotonic(), []
        path.write_text("")

    def now(self) -> float:
        return time.monotonic() - self.began

    def add(self, what: str, **facts) -> None:
        now = self.now()
        self.rows.append((now, what, facts))
        text = " ".join(f"{name}={value}" for name, value in facts.items())
        with open(self.path, "a") as file:
            file.write(f"{now:8.3f} {what} {text}\n")

    def of(self, what: str) -> list[tuple[float, dict]]:
        return [(at, facts) for at, kind, facts in self.rows if kind == what]


def free_port() -> int:
    """A free port below the range that the system takes outgoing connections from."""
    while True:
        port = random.randrange(20_000, 32_000)
        with suppress(OSError), socket.create_server(("127.0.0.1", port)):
            return port

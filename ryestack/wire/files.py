"""Final answers into a file, for installations without the platform: a line each, synced before it counts."""

import asyncio
import json
import os
from collections import deque

from ..observe.log import event

PAUSE = 1.0  # seconds before a file that cannot be written is tried again


class FileEnds:
    """Appends JSON lines to path; done(ids) tells the owner what is safely there.

    A kill between the sync and the owner's record repeats a line at the next start: readers go by id.
    """

    def __init__(self, path: str, done):
        self.path, self.done = path, done
        self.queue, self.more, self.well = deque(), asyncio.Event(), True

    def add(self, name: str, notice: dict) -> None:
        self.queue.append((name, json.dumps({"id": name, **notice}, separators=(",", ":"))))
        self.more.set()

    def waiting(self) -> int:
        return len(self.queue)

    async def run(self) -> None:
        while True:
            await self.more.wait()
            some = list(self.queue)
            try:
                self.append("".join(line + "\n" for _, line in some).encode())
            except OSError as problem:
                if self.well:
                    event("ends.blocked", why=str(problem))
                self.well = False
                await asyncio.sleep(PAUSE)
                continue
            if not self.well:
                event("ends.flowing")
            self.well = True
            for _ in some:
                self.queue.popleft()
            self.done([name for name, _ in some])
            if not self.queue:
                self.more.clear()

    def append(self, data: bytes) -> None:
        """All of it or an error that leaves the file as it was, so that no line is a part of one."""
        with open(self.path, "a+b", buffering=0) as file:
            size = os.fstat(file.fileno()).st_size
            file.seek(max(0, size - 1))
            if size and file.read(1) != b"\n":  # a kill cut a line short: it must not swallow the next
                data = b"\n" + data
            try:
                if file.write(data) != len(data):
                    raise OSError("only a part was written")
                os.fsync(file.fileno())
            except OSError:
                file.truncate(size)
                raise

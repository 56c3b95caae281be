"""Final answers into a file, for installations without the platform: a line each, synced before it counts."""

import asyncio
import os

from .notice_queue import NoticeQueue

PAUSE = 1.0  # seconds before a file that cannot be written is tried again


class FileNotices(NoticeQueue):
    """Appends JSON lines to path; done(ids) tells the owner what is safely there.

    A kill between the sync and the owner's record repeats a line at the next start: readers go by id.
    """

    def __init__(self, path: str, done):
        super().__init__(done)
        self.path = path

    async def run(self) -> None:
        while True:
            await self.more.wait()
            some = list(self.queue)
            try:
                self.append("".join(line + "\n" for _, line in some).encode())
            except OSError as problem:
                self.tell(False, str(problem))
                await asyncio.sleep(PAUSE)
                continue
            self.tell(True)
            self.arrived(some)
            self.rest()

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

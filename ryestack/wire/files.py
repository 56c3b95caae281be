"""Writes final answers to a file, for installations without the platform: one line each, synced before it
counts."""

import asyncio
import os

from .notice_queue import NoticeQueue

RETRY_DELAY_S = 1.0  # after the file could not be written


class FileNotices(NoticeQueue):
    """Appends JSON lines to path; done(ids) reports the notices that are safely stored.

    A kill between the sync and the owner's record repeats a line at the next start: readers use the id.
    """

    def __init__(self, path: str, done):
        super().__init__(done)
        self.path = path

    async def run(self) -> None:
        while True:
            await self.not_empty.wait()
            batch = list(self.queue)
            try:
                self.append("".join(line + "\n" for _, line in batch).encode())
            except OSError as error:
                self.log_flow(False, str(error))
                await asyncio.sleep(RETRY_DELAY_S)
                continue
            self.log_flow(True)
            self.delivered(batch)
            self.pause_if_empty()

    def append(self, data: bytes) -> None:
        """Append all of data, or raise OSError and leave the file as it was: no line is incomplete."""
        with open(self.path, "a+b", buffering=0) as file:
            size = os.fstat(file.fileno()).st_size
            file.seek(max(0, size - 1))
            if (
                size and file.read(1) != b"\n"
            ):  # a kill cut the last line short: keep the next one apart from it
                data = b"\n" + data
            try:
                if file.write(data) != len(data):
                    raise OSError("only a part was written")
                os.fsync(file.fileno())
            except OSError:
                file.truncate(size)
                raise

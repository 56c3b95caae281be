"""Signals to child processes that asyncio waits for."""

import asyncio
import os
from contextlib import suppress


def send_signal(process: asyncio.subprocess.Process, number: int) -> None:
    """Sends a signal to a child process; does nothing if it has ended.

    asyncio's own `send_signal`, `terminate` and `kill` poll the child first. If it has just ended, the poll
    takes its exit status before the child watcher does, and the watcher then reports 255.
    """
    if process.returncode is None:
        with suppress(ProcessLookupError):  # ended, which the event loop has not read yet
            os.kill(process.pid, number)

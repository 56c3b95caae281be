"""Cancels a running trial on Ctrl-C and SIGTERM, so that it cleans up and leaves no child process."""

import asyncio
import signal

RETRY_S = 0.25  # cancels again after this, as a library may mistake the cancellation for its own time-out


def end_from_within() -> None:
    """Makes SIGINT and SIGTERM cancel the current task, which cleans up as it ends."""
    task, loop = asyncio.current_task(), asyncio.get_running_loop()

    def cancel() -> None:
        if task.done():
            return
        if not task.cancelling():
            task.cancel()
        loop.call_later(RETRY_S, cancel)

    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, cancel)

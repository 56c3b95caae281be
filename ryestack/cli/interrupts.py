"""Ctrl-C and SIGTERM end a running trial from within, so that no child is left."""

import asyncio
import signal

AGAIN = 0.25  # seconds before it is asked for again, if a library took the cancellation for its own time-out


def end_from_within() -> None:
    """From now on either signal cancels the running task, which cleans up as it ends."""
    task, loop = asyncio.current_task(), asyncio.get_running_loop()

    def end() -> None:
        if task.done():
            return
        if not task.cancelling():
            task.cancel()
        loop.call_later(AGAIN, end)

    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, end)

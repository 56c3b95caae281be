"""Logs exceptions that reach the event loop because no task of ours awaits them."""

import asyncio

from ..observe.log import event, fault


def handle_loop_error(_: asyncio.AbstractEventLoop, context: dict) -> None:
    """The loop's exception handler. A broken connection is expected; anything else is a fault of ours."""
    problem, message = context.get("exception"), context["message"]
    if isinstance(problem, OSError):
        event("loop.broken", why=f"{message}: {problem}")
    elif problem is not None:
        fault("loop.error", problem, why=message)
    else:
        event("loop.error", why=message)

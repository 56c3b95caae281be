"""What the event loop meets where nothing of ours waits for it: told in the log, by what it means."""

import asyncio

from ..observe.log import event, fault


def tell(_: asyncio.AbstractEventLoop, context: dict) -> None:
    """The loop's exception handler. A broken connection is ordinary; any other fault is one of ours."""
    problem, what = context.get("exception"), context["message"]
    if isinstance(problem, OSError):
        event("loop.broken", why=f"{what}: {problem}")
    elif problem is not None:
        fault("loop.error", problem, why=what)
    else:
        event("loop.error", why=what)

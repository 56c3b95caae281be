"""One relay as a process: its log, its configuration, its exit status."""

import asyncio
import signal
import sys

from ..observe import log
from .config import BadConfig, Config, load
from .relay import Relay


async def _serve(config: Config) -> None:
    relay = Relay(config)
    try:
        await relay.run()
    finally:
        await relay.close()


def serve(**choices) -> int:
    """Run a relay until it is told to stop; returns the exit status. choices as lifecycle.config.load's."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # until there is something that could reread
    log.setup()
    try:
        config = load(**choices)
    except BadConfig as bad:
        for line in str(bad).splitlines():
            print(f"ryestack: {line}", file=sys.stderr)
        return 2
    chosen = config.operator.log
    log.setup(config.name, chosen.format, chosen.level, chosen.repeat)
    try:
        asyncio.run(_serve(config))
    except BadConfig as bad:  # what only a start shows: an address in use, a name that another relay has
        print(f"ryestack: {bad}", file=sys.stderr)
        return 2
    except OSError as problem:
        log.event("relay.ended", why=str(problem))
        return 1
    except Exception:
        log.fault("relay.fault")
        return 1
    return 0

"""The process of a relay or of a control machine: its log, its configuration and its exit status."""

import asyncio
import gc
import os
import signal
import sys

from ..observe import log
from . import loop_errors
from .config import BadConfig, Config, choose, load
from .relay import Relay

HANDLED_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)


async def _serve(config: Config) -> None:
    asyncio.get_running_loop().set_exception_handler(loop_errors.handle_loop_error)
    relay = Relay(config)
    try:
        await relay.run()
    finally:
        await relay.close()
        # The loop gives signals their default actions as it closes: one of them would kill the process.
        signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED_SIGNALS)


def serve(environ=os.environ, operator: str | None = None, flags: dict | None = None) -> int:
    """Run until a stop signal; returns the exit status. The arguments are those of lifecycle.config.load."""
    log.setup()
    try:
        chosen = choose(environ, operator, flags)
        if chosen.control.role == "machine" and chosen.control.cluster:
            from .control_machine import serve as serve_machine  # not imported in a relay's process

            return serve_machine(chosen, environ)
        config = load(environ, chosen=chosen)
    except BadConfig as error:
        return _refuse(error)
    return _serve_relay(config)


def _refuse(error: BadConfig) -> int:
    for line in str(error).splitlines():
        print(f"ryestack: {line}", file=sys.stderr)
    return 2


def _serve_relay(config: Config) -> int:
    chosen = config.operator.log
    log.setup(config.name, chosen.format, chosen.level, chosen.repeat)
    # What is loaded by now stays: the collector then runs for far fewer objects, and so more often.
    gc.collect()
    gc.freeze()
    try:
        asyncio.run(_serve(config))
    except BadConfig as error:  # found only at the start: an address in use, a name that another relay has
        return _refuse(error)
    except OSError as problem:
        log.event("relay.ended", why=str(problem))
        return 1
    except Exception:
        log.fault("relay.fault")
        return 1
    return 0

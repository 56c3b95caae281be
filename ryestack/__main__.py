"""python -m ryestack: one live relay, from LB_CONFIG and LB_STATE until SIGTERM."""

import asyncio
import signal
import sys

from loguru import logger

from .lifecycle.config import BadConfig, Config, load
from .lifecycle.relay import Relay


async def serve(config: Config) -> None:
    relay = Relay(config)
    try:
        await relay.run()
    finally:
        await relay.close()


def main() -> int:
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # until there is something that could reread
    logger.remove()
    logger.add(sys.stderr, format="{time:HH:mm:ss.SSS} {level} {message}", diagnose=False)
    try:
        config = load()
    except BadConfig as bad:
        print(f"ryestack: {bad}", file=sys.stderr)
        return 2
    try:
        asyncio.run(serve(config))
    except OSError as problem:
        logger.error("ended: {}", problem)
        return 1
    except Exception:
        logger.exception("ended by a fault of its own")
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())

"""A crowd of idle clients that fills a relay's connections, and comes again to each that the relay ends."""

import asyncio
import time
from contextlib import suppress

REOPEN_DELAY_S = 0.05  # before a client whose connection ended opens another


async def crowd(address: str, clients: int, seconds: float) -> None:
    """Keep that many idle connections to the address open for that time."""
    deadline = time.monotonic() + seconds
    await asyncio.gather(*(_stay(address, deadline) for _ in range(clients)))


async def _stay(address: str, deadline: float) -> None:
    host, _, port = address.rpartition(":")
    while (left := deadline - time.monotonic()) > 0.0:
        with suppress(OSError, TimeoutError):
            async with asyncio.timeout(left):
                reader, writer = await asyncio.open_connection(host, int(port))
                try:
                    await reader.read()
                finally:
                    writer.transport.abort()
        await asyncio.sleep(REOPEN_DELAY_S)

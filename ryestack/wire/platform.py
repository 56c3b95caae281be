"""A client for the registry and the platform: one address, which may change while the relay serves."""

import asyncio
from collections.abc import Callable

import aiohttp

from .sockets import is_local_fault

LOCAL_FAULT_RETRY_S = 0.01
MAX_ANSWER_BYTES = 4 * 1024 * 1024  # room for a list of thousands of endpoints


class PlatformClient:
    """Sends requests to the address in force, each on a connection of its own.

    Nothing in an answer names its request: only the first answer on a connection is known to be that of its
    first request.

    A move to another address aborts the requests in flight at the old one; their callers repeat them.
    refresh_requested: set when the list is wanted now, by a decision or because of a new address.
    """

    def __init__(self, address: str):
        connector = aiohttp.TCPConnector(force_close=True)
        self.session = aiohttp.ClientSession(connector=connector, cookie_jar=aiohttp.DummyCookieJar())
        self.address, self.timeouts = address, set()
        self.refresh_requested = asyncio.Event()

    def move(self, address: str) -> bool:
        """Use that address from now on; returns whether it differs from the one before."""
        if address == self.address:
            return False
        self.address = address
        self.refresh_requested.set()
        for timeout in self.timeouts:
            if not timeout.expired():
                timeout.reschedule(0.0)
        return True

    async def request(
        self,
        method: str,
        path: str,
        timeout_s: float,
        arriving: Callable[[], None] = lambda: None,
        **options,
    ) -> tuple[int, bytes]:
        """Status and body; raises aiohttp.ClientError, OSError or TimeoutError.

        While this machine lacks what a connection takes, it is tried again. arriving: called for each part of
        the answer.
        """
        async with asyncio.timeout(timeout_s) as timeout:
            self.timeouts.add(timeout)
            try:
                while True:
                    try:
                        return await self.exchange(method, path, arriving, options)
                    except aiohttp.ClientConnectorError as error:
                        if not is_local_fault(error):
                            raise
                        await asyncio.sleep(LOCAL_FAULT_RETRY_S)
            finally:
                self.timeouts.discard(timeout)

    async def exchange(
        self, method: str, path: str, arriving: Callable[[], None], options: dict
    ) -> tuple[int, bytes]:
        """Status and body of one request on a new connection."""
        async with self.session.request(method, f"http://{self.address}{path}", **options) as response:
            body = bytearray()
            arriving()
            async for chunk in response.content.iter_any():
                body += chunk
                arriving()
                if len(body) > MAX_ANSWER_BYTES:
                    raise aiohttp.ClientPayloadError(f"answer longer than {MAX_ANSWER_BYTES} bytes")
            return response.status, bytes(body)

    async def close(self) -> None:
        await self.session.close()

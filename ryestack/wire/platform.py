"""Where the registry and the platform are reached: one address, which may move while the relay serves."""

import asyncio

import aiohttp

MOST = 4 * 1024 * 1024  # bytes of an answer: a list of thousands of endpoints


class PlatformClient:
    """Asks at the address in force; a move breaks off what is open at the old one, and it is asked anew."""

    def __init__(self, address: str):
        self.session = aiohttp.ClientSession(cookie_jar=aiohttp.DummyCookieJar())
        self.address, self.limits = address, set()
        self.asked = asyncio.Event()  # the list is wanted now: as decided, or at a new address

    def move(self, address: str) -> bool:
        """Whether it is another address than before."""
        if address == self.address:
            return False
        self.address = address
        self.asked.set()
        for limit in self.limits:
            if not limit.expired():
                limit.reschedule(0.0)
        return True

    async def ask(self, method: str, path: str, seconds: float, **more) -> tuple[int, bytes]:
        """Status and body; raises aiohttp.ClientError, OSError or TimeoutError."""
        async with asyncio.timeout(seconds) as limit:
            self.limits.add(limit)
            try:
                async with self.session.request(method, f"http://{self.address}{path}", **more) as answer:
                    body = bytearray()
                    async for chunk in answer.content.iter_any():
                        body += chunk
                        if len(body) > MOST:
                            raise aiohttp.ClientPayloadError("an answer without bounds")
                    return answer.status, bytes(body)
            finally:
                self.limits.discard(limit)

    async def close(self) -> None:
        await self.session.close()

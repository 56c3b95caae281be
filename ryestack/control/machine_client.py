"""One request to another control machine, in bounded time and size."""

import asyncio

import aiohttp
import msgspec

from .messages import MAX_MESSAGE_BYTES

IDLE_TIMEOUT_SECONDS = 30.0  # that an unused connection may stand


class RequestFailed(Exception):
    """The machine answered with another status than 200; address: of the leader, where it named one."""

    def __init__(self, status: int, text: str, address: str = ""):
        super().__init__(f"status {status}: {text}")
        self.address = address


class Refusal(msgspec.Struct, frozen=True):
    """The body of a 503: why, and who takes changes where that is known."""

    reason: str
    leader: str = ""
    address: str = ""


CONNECTION_ERRORS = (aiohttp.ClientError, OSError, TimeoutError)


def new_session() -> aiohttp.ClientSession:
    connector = aiohttp.TCPConnector(limit=0, keepalive_timeout=IDLE_TIMEOUT_SECONDS)
    return aiohttp.ClientSession(connector=connector, cookie_jar=aiohttp.DummyCookieJar())


async def post(
    session: aiohttp.ClientSession, address: str, path: str, body: bytes, timeout_seconds: float
) -> bytes:
    """The body of the answer. Raises NoAnswer, or one of LOST."""
    async with (
        asyncio.timeout(timeout_seconds),
        session.post(f"http://{address}{path}", data=body) as response,
    ):
        answer = bytearray()
        async for chunk in response.content.iter_any():
            answer += chunk
            if len(answer) > MAX_MESSAGE_BYTES:
                raise RequestFailed(response.status, f"more than {MAX_MESSAGE_BYTES} bytes")
    if response.status != 200:
        raise _request_failed(response.status, bytes(answer))
    return bytes(answer)


def _request_failed(status: int, body: bytes) -> RequestFailed:
    try:
        refusal = msgspec.json.decode(body, type=Refusal)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
        return RequestFailed(status, body[:200].decode(errors="replace").strip())
    return RequestFailed(status, refusal.reason, refusal.address)

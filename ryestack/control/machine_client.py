"""Sends one request to another control machine, with limits on time and size."""

import asyncio

import aiohttp
import msgspec

from .messages import MAX_MESSAGE_BYTES

IDLE_TIMEOUT_SECONDS = 30.0  # until an unused connection is closed


class RequestFailed(Exception):
    """The machine answered with a status other than 200; address: of the leader if the answer named it."""

    def __init__(self, status: int, text: str, address: str = ""):
        super().__init__(f"status {status}: {text}")
        self.address = address


class Refusal(msgspec.Struct, frozen=True):
    """The body of a 503 response; leader, address: the machine that accepts changes, if known."""

    reason: str
    leader: str = ""
    address: str = ""


CONNECTION_ERRORS = (aiohttp.ClientError, OSError, TimeoutError)


def new_session() -> aiohttp.ClientSession:
    """A session without a connection limit and without cookies."""
    connector = aiohttp.TCPConnector(limit=0, keepalive_timeout=IDLE_TIMEOUT_SECONDS)
    return aiohttp.ClientSession(connector=connector, cookie_jar=aiohttp.DummyCookieJar())


async def post(
    session: aiohttp.ClientSession, address: str, path: str, body: bytes, timeout_seconds: float
) -> bytes:
    """POSTs a request and returns the response body. Raises RequestFailed or CONNECTION_ERRORS."""
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

"""What the answers of endpoints mean: statuses, words, waits and reports, read from their bytes."""

import aiohttp

from ..interface import Result
from . import forms

STATUS = {
    200: Result.DELIVERED,
    410: Result.NOT_SENT,
    413: Result.NOT_SENT,
    429: Result.FULL,
    500: Result.ERROR,
    503: Result.FULL,
    504: Result.NOT_SENT,
}
WORDS = {
    "done": Result.DELIVERED,
    "failed": Result.ERROR,
    "busy": Result.FULL,
    "void": Result.NOT_SENT,
    "used_up": Result.NOT_SENT,
}
OVER = {410, "void"}  # nothing is owed any more


async def bounded(answer: aiohttp.ClientResponse) -> bytes:
    body = bytearray()
    async for chunk in answer.content.iter_any():
        body += chunk
        if len(body) > forms.MOST_BODY:
            raise aiohttp.ClientPayloadError("an answer without bounds")
    return bytes(body)


def meaning(table: dict, said, wait: float, limit: tuple, headers=()) -> tuple:
    result = Result.NOT_SENT if "X-No-Slot" in headers else table.get(said, Result.ERROR)
    return result, said in OVER, wait, *limit


def milliseconds(text: str | None) -> float:
    told = forms.NUMBER.fullmatch((text or "").strip())
    return float(told[0]) / 1000.0 if told else 0.0

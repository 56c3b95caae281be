"""What the answers of endpoints mean: statuses, words, waits and reports, read from their bytes."""

from typing import NamedTuple

import aiohttp

from ..interface import Result
from ..settings import limit_left_of, limit_of
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


class Answer(NamedTuple):
    """What one message of a call met; the fields are those of `interface.Outcome`."""

    result: Result
    ended: bool = False
    wait: float = 0.0
    limit: float = 0.0
    left: float = 1.0


async def bounded(answer: aiohttp.ClientResponse) -> bytes:
    body = bytearray()
    async for chunk in answer.content.iter_any():
        body += chunk
        if len(body) > forms.MOST_BODY:
            raise aiohttp.ClientPayloadError("an answer without bounds")
    return bytes(body)


def of_one(status: int, headers, wait: float) -> Answer:
    """What the head of an answer says of the only message of a call."""
    result = Result.NOT_SENT if "X-No-Slot" in headers else STATUS.get(status, Result.ERROR)
    report = forms.report(headers.get("X-Load"))
    return Answer(result, status in OVER, wait, limit_of(report), limit_left_of(report))


def of_many(ids: list[str], body: bytes, headers, wait: float) -> dict[str, Answer]:
    """What a 200 to a call of several says of each; one that it leaves out has failed."""
    ends, report = forms.ends(body), forms.report(headers.get("X-Load"))
    limit, left = limit_of(report), limit_left_of(report)
    words = {name: ends.get(name, "failed") for name in ids}
    return {n: Answer(WORDS.get(w, Result.ERROR), w in OVER, wait, limit, left) for n, w in words.items()}


def milliseconds(text: str | None) -> float:
    told = forms.NUMBER.fullmatch((text or "").strip())
    return float(told[0]) / 1000.0 if told else 0.0

"""Reads the answers of endpoints: statuses, result words, waits and load reports."""

from typing import NamedTuple

import aiohttp

from ..interface import Result
from ..settings import limit_left_of, limit_of
from . import forms

RESULT_BY_STATUS = {
    200: Result.DELIVERED,
    410: Result.NOT_SENT,
    413: Result.NOT_SENT,
    429: Result.FULL,
    500: Result.ERROR,
    503: Result.FULL,
    504: Result.NOT_SENT,
}
RESULT_BY_WORD = {
    "done": Result.DELIVERED,
    "failed": Result.ERROR,
    "busy": Result.FULL,
    "void": Result.NOT_SENT,
    "used_up": Result.NOT_SENT,
}
FINAL = {410, "void"}  # statuses and words after which nothing is owed any more


class Answer(NamedTuple):
    """The result for one message of a call; the fields are those of `interface.Outcome`."""

    result: Result
    ended: bool = False
    wait: float = 0.0
    limit: float = 0.0
    left: float = 1.0


async def read_bounded(response: aiohttp.ClientResponse) -> bytes:
    """The body of a response; raises aiohttp.ClientPayloadError if it is longer than forms.MAX_BODY_BYTES."""
    body = bytearray()
    async for chunk in response.content.iter_any():
        body += chunk
        if len(body) > forms.MAX_BODY_BYTES:
            raise aiohttp.ClientPayloadError(f"answer longer than {forms.MAX_BODY_BYTES} bytes")
    return bytes(body)


def single_answer(status: int, headers, wait: float) -> Answer:
    """The answer to a call with one message, from its head. wait: seconds."""
    result = Result.NOT_SENT if "X-No-Slot" in headers else RESULT_BY_STATUS.get(status, Result.ERROR)
    report = forms.load_report(headers.get("X-Load"))
    return Answer(result, status in FINAL, wait, limit_of(report), limit_left_of(report))


def batch_answers(ids: list[str], body: bytes, headers, wait: float) -> dict[str, Answer]:
    """The answer for each id, from a 200 to a call with several messages; one left out has failed."""
    result_words, report = forms.result_words(body), forms.load_report(headers.get("X-Load"))
    limit, left = limit_of(report), limit_left_of(report)
    words = {name: result_words.get(name, "failed") for name in ids}
    return {
        n: Answer(RESULT_BY_WORD.get(w, Result.ERROR), w in FINAL, wait, limit, left)
        for n, w in words.items()
    }


def seconds_from_ms(text: str | None) -> float:
    """Seconds from the text of a number of milliseconds; 0.0 if there is none or it cannot be read."""
    number = forms.NUMBER.fullmatch((text or "").strip())
    return float(number[0]) / 1000.0 if number else 0.0

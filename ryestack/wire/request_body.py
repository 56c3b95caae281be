"""Receives the body of a client's request."""

import asyncio
from dataclasses import dataclass

import aiohttp
from aiohttp import web

from . import forms
from .bounded_requests import InputRefused
from .client_answers import BAD_REQUEST, REQUEST_TIMEOUT, TOO_LARGE, UNAVAILABLE

TOO_LARGE_TEXT = f"{forms.MAX_BODY_BYTES} bytes at most"
PART_BYTES = 2 * 1024  # smaller parts of a body are joined: each costs more than its bytes
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


@dataclass(frozen=True, slots=True)
class BodyFailure:
    """Why a body could not be received: status and text of the answer.

    The answer is the last on the connection, as more of the body may still come. It is no exception: one that
    a frame refers to which refers to the body would keep both until the garbage collector runs.
    """

    status: int
    text: str


async def receive_body(request: web.BaseRequest, deadline: float) -> bytes | BodyFailure:
    """The whole body, or why it could not be received. deadline: a time of the loop's clock."""
    if "Content-Length" in request.headers and "Transfer-Encoding" in request.headers:
        return BodyFailure(BAD_REQUEST, "a length and an encoding")  # request smuggling
    if (request.content_length or 0) > forms.MAX_BODY_BYTES:
        return BodyFailure(TOO_LARGE, TOO_LARGE_TEXT)
    if request.headers.get("Expect", "").lower() == "100-continue" and request.transport is not None:
        request.transport.write(CONTINUE)
    parts: list[bytes] = []
    failure = await _read(request, deadline, parts)
    return failure or b"".join(parts)


async def _read(request: web.BaseRequest, deadline: float, parts: list[bytes]) -> BodyFailure | None:
    """Read the body; returns why it could not be received, or None."""
    try:
        async with asyncio.timeout_at(deadline):
            async for part in request.content.iter_any():
                if parts and len(parts[-1]) + len(part) <= PART_BYTES:
                    part = parts.pop() + part
                parts.append(part)
                if request.content.total_bytes > forms.MAX_BODY_BYTES:
                    return BodyFailure(TOO_LARGE, TOO_LARGE_TEXT)
    except TimeoutError:
        return BodyFailure(REQUEST_TIMEOUT, "the body did not come")
    except InputRefused as refused:
        _release(refused)
        return BodyFailure(UNAVAILABLE, "too much at once")
    except (
        OSError,
        aiohttp.ClientError,
        web.RequestPayloadError,
    ) as error:  # the client went, or sent no body
        _release(error)
        return BodyFailure(BAD_REQUEST, "the body broke off")
    return None


def _release(error: Exception) -> None:
    """Drop the frames of an error that the request's stream keeps: they refer to the request, and only the
    garbage collector would free both."""
    error.__traceback__ = error.__context__ = None

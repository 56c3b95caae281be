"""What a call brings: the notifications in its body, read from the platform's specification."""

from typing import NamedTuple

from aiohttp import web

PATHS = ("/receive", "/receive-many")


class Part(NamedTuple):
    """One notification of a call; size: bytes of its body."""

    id: str
    key: str
    size: int


def read_parts(request: web.BaseRequest, body: bytes) -> list[Part] | None:
    """None where the call cannot be read, or names one twice."""
    if request.path == "/receive":
        name = request.headers.get("X-Request-Id", "")
        return [Part(name, request.headers.get("Idempotency-Key", ""), len(body))] if name else None
    parts, at = [], 0
    while at < len(body):
        head, found, _ = body[at:].partition(b"\r\n")
        words = head.split(b" ")
        if not found or len(words) != 3 or not words[2].isdigit():
            return None
        begin = at + len(head) + 2
        end = begin + int(words[2])
        if body[end : end + 2] != b"\r\n":
            return None
        name, key = words[0].decode("ascii", "replace"), words[1].decode("ascii", "replace")
        parts.append(Part(name, "" if key == "-" else key, int(words[2])))
        at = end + 2
    return parts if parts and len({part.id for part in parts}) == len(parts) else None

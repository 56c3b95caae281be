"""Parses the notifications in the body of a call, according to the platform's specification."""

from typing import NamedTuple

from aiohttp import web

PATHS = ("/receive", "/receive-many")


class ReceivedNotification(NamedTuple):
    """One notification of a call; size: bytes of its body."""

    id: str
    key: str
    size: int


def parse_notifications(request: web.BaseRequest, body: bytes) -> list[ReceivedNotification] | None:
    """Parses a call; returns None if it is malformed or contains an id twice."""
    if request.path == "/receive":
        name = request.headers.get("X-Request-Id", "")
        return (
            [ReceivedNotification(name, request.headers.get("Idempotency-Key", ""), len(body))]
            if name
            else None
        )
    notifications, position = [], 0
    while position < len(body):
        head, found, _ = body[position:].partition(b"\r\n")
        fields = head.split(b" ")
        if not found or len(fields) != 3 or not fields[2].isdigit():
            return None
        begin = position + len(head) + 2
        end = begin + int(fields[2])
        if body[end : end + 2] != b"\r\n":
            return None
        name, key = fields[0].decode("ascii", "replace"), fields[1].decode("ascii", "replace")
        notifications.append(ReceivedNotification(name, "" if key == "-" else key, int(fields[2])))
        position = end + 2
    return (
        notifications
        if notifications and len({each.id for each in notifications}) == len(notifications)
        else None
    )

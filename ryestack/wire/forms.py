"""The forms that both directions share: durations in headers, the envelope, many messages in a body."""

import json
import re

MOST_BODY = 64 * 1024
UNITS = {"m": 1e-3, "u": 1e-6}
NUMBER = re.compile(r"\d{1,15}(?:\.\d{1,9})?", re.ASCII)
DURATION = re.compile(r"(\d{1,15}(?:\.\d{1,9})?)([mu])", re.ASCII)
TOKEN = re.compile(r"[\x21-\x7e]{1,128}")  # an id or a key: it is passed on in a line of its own words


class BadForm(Exception):
    """A message or an answer that cannot be read; the text tells its sender why."""


def seconds(text: str) -> float:
    found = DURATION.fullmatch(text.strip())
    if not found:
        raise BadForm("X-Deadline must be a number and a unit, m or u")
    return float(found[1]) * UNITS[found[2]]


def duration(span: float) -> str:
    return f"{max(1, int(span * 1000.0))}m"


def token(text: str, what: str) -> str:
    if not TOKEN.fullmatch(text):
        raise BadForm(f"{what} is missing or malformed")
    return text


def destination(envelope: str) -> int:
    found = re.findall(r"(?:^|[;,&\s])dest=(\d{1,9})(?=$|[;,&\s])", envelope, re.ASCII)
    if len(found) != 1:
        raise BadForm("X-Envelope must hold dest, a whole number")
    return int(found[0])


def many(parts: list[tuple[str, str, bytes]]) -> bytes:
    """The body of one call with several messages: of each its id, key and bytes."""
    return b"".join(
        f"{name} {key or '-'} {len(body)}\r\n".encode() + body + b"\r\n" for name, key, body in parts
    )


def ends(body: bytes) -> dict[str, str]:
    """Id to word from the answer to such a call; lines that cannot be read are passed over."""
    words = (line.split() for line in body.decode("ascii", "replace").splitlines())
    return {row[0]: row[1] for row in words if len(row) == 2}


def report(text: str | None) -> dict:
    """An answer's load report; one that cannot be read counts as none."""
    try:
        told = json.loads(text) if text else {}
    except (ValueError, RecursionError):
        return {}
    return told if isinstance(told, dict) else {}

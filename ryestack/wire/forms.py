"""Formats shared by both directions: durations in headers, the envelope, and bodies with many messages."""

import json
import re

MAX_BODY_BYTES = 64 * 1024
SECONDS_PER_UNIT = {"m": 1e-3, "u": 1e-6}
NUMBER = re.compile(r"\d{1,15}(?:\.\d{1,9})?", re.ASCII)
DURATION = re.compile(r"(\d{1,15}(?:\.\d{1,9})?)([mu])", re.ASCII)
TOKEN = re.compile(r"[\x21-\x7e]{1,128}")  # an id or a key: it is sent on as one word of a line


class BadForm(Exception):
    """A message or an answer that cannot be read; the text, which its sender gets, says why."""


def parse_duration(text: str) -> float:
    """Seconds from a duration such as 500m; raises BadForm."""
    match = DURATION.fullmatch(text.strip())
    if not match:
        raise BadForm("X-Deadline must be a number and a unit, m or u")
    return float(match[1]) * SECONDS_PER_UNIT[match[2]]


def format_duration(seconds: float) -> str:
    """The duration in whole milliseconds, at least one."""
    return f"{max(1, int(seconds * 1000.0))}m"


def check_token(text: str, header: str) -> str:
    """Returns the text of that header; raises BadForm unless it is an id or a key."""
    if not TOKEN.fullmatch(text):
        raise BadForm(f"{header} is missing or malformed")
    return text


def check_text(text: str, header: str) -> str:
    """Returns the text of that header; raises BadForm if its bytes are not UTF-8."""
    try:
        text.encode()
    except UnicodeEncodeError:
        raise BadForm(f"{header} is not UTF-8") from None
    return text


def parse_destination(envelope: str) -> int:
    """The number of the destination in an X-Envelope header; raises BadForm."""
    matches = re.findall(r"(?:^|[;,&\s])dest=(\d{1,9})(?=$|[;,&\s])", envelope, re.ASCII)
    if len(matches) != 1:
        raise BadForm("X-Envelope must hold dest, a whole number")
    return int(matches[0])


def batch_body(parts: list[tuple[str, str, bytes]]) -> bytes:
    """The body of a call with several messages, from the id, key and body of each."""
    return b"".join(
        f"{name} {key or '-'} {len(body)}\r\n".encode() + body + b"\r\n" for name, key, body in parts
    )


def result_words(body: bytes) -> dict[str, str]:
    """The result word for each id, from the answer to such a call; lines that cannot be read are skipped."""
    words = (line.split() for line in body.decode("ascii", "replace").splitlines())
    return {row[0]: row[1] for row in words if len(row) == 2}


def load_report(text: str | None) -> dict:
    """The load report of an answer; empty if there is none or it cannot be read."""
    try:
        report = json.loads(text) if text else {}
    except (ValueError, RecursionError):
        return {}
    return report if isinstance(report, dict) else {}

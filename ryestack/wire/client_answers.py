"""The answers to clients: statuses, and the empty answer to a request that its client sent once only."""

from aiohttp import web

from ..ports import Verdict

ACCEPTED, UNAVAILABLE, SERVER_ERROR, BAD_REQUEST, REQUEST_TIMEOUT, TOO_LARGE = 202, 503, 500, 400, 408, 413

STATUS_BY_VERDICT = {
    Verdict.ACCEPTED: ACCEPTED,
    Verdict.THROTTLED: UNAVAILABLE,
    Verdict.EXPIRED: SERVER_ERROR,
    Verdict.REJECTED: BAD_REQUEST,
}


class NoAnswer(web.StreamResponse):
    """Writes nothing and keeps the connection: the client has its answer and waits for no other."""

    @property
    def keep_alive(self) -> bool:
        return True

    async def prepare(self, request: web.BaseRequest) -> None:
        """Write no head."""

    async def write_eof(self, data: bytes = b"") -> None:
        """Write no body."""


def text_answer(status: int, text: str, last: bool = False, **headers: str) -> web.Response:
    """An answer with one line of text. last: whether it ends the connection."""
    answer = web.Response(status=status, text=text and text + "\n", headers=headers)
    if last:
        answer.force_close()
    return answer

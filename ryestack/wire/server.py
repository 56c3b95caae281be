"""The clients' side: one handler on aiohttp's low-level server.

A request is read whole, checked, and handed in; the answer follows what the relay made of it.
"""

import asyncio
import socket
from collections import Counter

import aiohttp
from aiohttp import web

from .. import interface as it
from ..observe.log import event
from ..ports import CloseReason, Submission, Verdict
from . import forms
from .acceptor import Acceptor
from .binding import bound_socket
from .client_connection import IDLE, QUIET, ClientConnection, ConnectionServer, Full
from .hand_in import NotServed, SubmissionReader

EBB = 0.1  # seconds between looks at whom to let go
UNREAD = 2 * 1024 * 1024  # bytes of bodies not yet whole, over all connections
BUFFER = 16 * 1024  # bytes that the library reads ahead on a connection
ANSWERED = 0.35  # seconds in which a request has to be taken on: its client goes after 0.4
ACCEPTED, UNAVAILABLE, FAILED, BAD_REQUEST, TOO_SLOW, TOO_LARGE = 202, 503, 500, 400, 408, 413


STATUS = {
    Verdict.ACCEPTED: ACCEPTED,
    Verdict.THROTTLED: UNAVAILABLE,
    Verdict.EXPIRED: FAILED,
    Verdict.REJECTED: BAD_REQUEST,
}


class ClientListener:
    """Serves clients; hand_in and withdraw put into the queue of the task that owns the decisions."""

    protocol = "http"

    def __init__(
        self, settings: it.Settings, terms, members, clock, hand_in, withdraw, most: int, at=("", 0)
    ):
        self.reader = SubmissionReader(terms, members, clock)
        self.apply_settings(settings)
        self.members, self.clock, self.submit, self.withdraw = members, clock, hand_in, withdraw
        (
            self.whole,
            self.max_connections,
            self.ready,
            self.last_answers,
            self.requests_in_progress,
            self.unread,
        ) = (
            most,
            most,
            False,
            False,
            0,
            0,
        )
        self.listener, self.at, self.ebbing = None, at, None
        # Reading on after an error would take in what its client still has to send: up to 60 MB.
        self.server = ConnectionServer(
            self.handle,
            access_log=None,
            keepalive_timeout=IDLE,
            lingering_time=0.0,
            read_bufsize=BUFFER,
            auto_decompress=False,  # a body stays the bytes that came
            logger=QUIET,
        )

    async def open(self, listening_socket: socket.socket | None = None, beside: bool = False) -> str:
        await self.listen(*self.at, listening_socket, beside)
        self.ready = True
        host, port = self.listener.sockets[0].getsockname()[:2]
        return f"{host}:{port}"

    def apply_settings(self, settings: it.Settings) -> None:
        self.reader.customers = {c.name for c in settings.customers}

    def start_drain(self) -> None:
        self.ready, self.last_answers = False, True

    def close_idle_clients(self) -> None:
        self.last_answers = True
        if self.ebbing:
            self.ebbing.cancel()
        for connection in list(self.server.connections):
            connection.end_if_quiet()
        self.ebbing = asyncio.get_running_loop().call_later(EBB, self.close_idle_clients)

    def yield_to_successor(self) -> None:
        self.listener.close(serve_queue=False)
        self.ready = True  # of the relay, which the other process is now, drained or not
        self.close_idle_clients()

    def share(self, processes: int) -> None:
        self.max_connections = max(1, self.whole // processes)
        idle = sorted(filter(ClientConnection.idle, self.server.connections), key=ClientConnection.ends)
        for connection in idle[: max(0, len(self.server.connections) - self.max_connections)]:
            connection.end_if_quiet()

    def resume(self) -> None:
        self.ready, self.last_answers = True, False
        self.ebbing.cancel()

    def stop_accepting(self) -> None:
        self.stop_listening()

    @property
    def closed_connections(self) -> Counter[CloseReason]:
        return self.server.closed_connections

    def connection_count(self) -> int:
        return len(self.server.connections)

    def descriptor(self) -> int | None:
        return self.listener.sockets[0].fileno() if self.listener and self.listener.sockets else None

    async def listen(self, host: str, port: int, listening_socket=None, beside: bool = False) -> None:
        """listening_socket: of the process before us: one queue of connections, of which no close resets any.

        Without it, beside another process, the address is shared; else it must be free, as ever.
        """
        if listening_socket is None:
            listening_socket = await bound_socket(host, port, beside, reuse=True)
        self.listener = Acceptor(listening_socket, self.accept)

    def accept(self) -> asyncio.Protocol:
        """At the bound the oldest idle connection makes room: silent ones must not keep others out."""
        if self.server.full(self.max_connections):
            oldest = self.server.longest_idle()
            if oldest is None:
                event("front.full", bound=self.max_connections)
                return Full()
            oldest.end_with_reason(CloseReason.EVICTED)
        return self.server()

    def stop_listening(self) -> None:
        """Idle connections end once they are quiet, busy ones behind their answer.

        The library's own pre_shutdown leaves idle ones open and unread: a request on one gets no answer.
        """
        self.listener.close()
        self.close_idle_clients()

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        self.requests_in_progress += 1
        try:
            route = self.ROUTES.get(request.raw_path)
            if route is None:
                return self.answer(404, "no such path")
            method, serve = route
            if request.method != method:
                return self.answer(405, f"{method} only", Allow=method)
            answer = await serve(self, request)
            return answer if answer.prepared else self.finished(request, answer)
        finally:
            self.requests_in_progress -= 1

    async def health(self, _: web.BaseRequest) -> web.StreamResponse:
        return self.answer(200, "serving") if self.ready else self.answer(503, "not serving")

    async def api(self, request: web.BaseRequest) -> web.StreamResponse:
        if "Content-Length" in request.headers and "Transfer-Encoding" in request.headers:
            return self.answer(BAD_REQUEST, "a length and an encoding", last=True)  # one may hide a request
        if (request.content_length or 0) > forms.MOST_BODY:
            return self.answer(TOO_LARGE, f"{forms.MOST_BODY} bytes at most", last=True)
        body = bytearray()
        if request.headers.get("Expect", "").lower() == "100-continue" and request.transport is not None:
            request.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        try:
            async with asyncio.timeout_at(request.protocol.until(self.clock())):
                async for chunk in request.content.iter_any():
                    body += chunk
                    self.unread += len(chunk)
                    if len(body) > forms.MOST_BODY:
                        return self.answer(TOO_LARGE, f"{forms.MOST_BODY} bytes at most", last=True)
                    if self.unread > UNREAD:
                        return self.answer(UNAVAILABLE, "too much at once", last=True)
            ntf, key = self.reader.read(request.headers, request.protocol.came_at)
        except forms.BadForm as bad:
            return self.answer(BAD_REQUEST, str(bad))
        except NotServed as why:
            return self.answer(UNAVAILABLE, str(why))
        except TimeoutError:
            return self.answer(TOO_SLOW, "the body did not come", last=True)
        except (OSError, aiohttp.ClientError, web.RequestPayloadError):  # its client went, or sent no body
            return self.answer(BAD_REQUEST, "the body broke off", last=True)
        finally:
            self.unread -= len(body)
        loop = asyncio.get_running_loop()
        answer_by = request.protocol.came_at + ANSWERED
        message = Submission(ntf, key, bytes(body), loop.create_future(), loop.create_future(), answer_by)
        told = False
        verdict = Verdict.ACCEPTED  # unless the owner says otherwise
        self.submit(message)
        try:
            verdict, away = await message.verdict
            if verdict is not Verdict.ACCEPTED:
                more = {"Retry-After": f"{away:.3f}"} if away > 0.0 else {}
                return self.answer(STATUS[verdict], "", **more)
            answer = self.answer(ACCEPTED, "")
            told = await self.tell(request, answer)
            return answer
        finally:  # pushes wait for a client that was there to hear it
            message.acknowledged.set_result(told)
            if verdict is Verdict.ACCEPTED and not told:
                self.withdraw(ntf.id)

    async def tell(self, request: web.BaseRequest, answer: web.Response) -> bool:
        if request.transport is None or request.transport.is_closing():
            return False
        self.finished(request, answer)
        try:
            await answer.prepare(request)
            await answer.write_eof()
        except (OSError, RuntimeError):
            return False
        return True

    def answer(self, status: int, text: str, last: bool = False, **headers: str) -> web.Response:
        answer = web.Response(status=status, text=text and text + "\n", headers=headers)
        if last:
            answer.force_close()
        return answer

    def finished(self, request: web.BaseRequest, answer: web.Response) -> web.Response:
        """While we leave, an answer behind which no request that was read stands is the last one."""
        if self.last_answers and not request.protocol.has_read_more():
            answer.force_close()
        return answer

    ROUTES = {"/api": ("POST", api), "/_health": ("GET", health)}

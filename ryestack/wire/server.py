"""Serves clients: one handler on aiohttp's low-level server.

A request is read whole, checked, and submitted; the answer follows the relay's verdict.
"""

import asyncio
import socket

from aiohttp import web

from .. import interface
from ..observe.log import event
from ..ports import Submission, Verdict
from . import forms
from .acceptor import Acceptor
from .binding import bound_socket
from .client_answers import (
    ACCEPTED,
    BAD_REQUEST,
    STATUS_BY_VERDICT,
    UNAVAILABLE,
    NoAnswer,
    text_answer,
)
from .client_connection import IDLE_TIMEOUT_S, LOGGER
from .connection_server import ConnectionServer
from .hand_in import NotServed, SubmissionReader
from .input_budget import DEFAULT_BYTES
from .lingering import RefusedConnection
from .listener_figures import ListenerFigures
from .request_body import BodyFailure, receive_body

IDLE_CHECK_INTERVAL_S = 0.1  # at a drain
READ_BUFFER_BYTES = 16 * 1024  # that the library reads ahead on a connection
ANSWER_TIMEOUT_S = 0.35  # for a request to be accepted: its client gives up after 0.4


class ClientListener(ListenerFigures):
    """A Listener for HTTP clients; submit and withdraw put events into the owner's queue.

    connection_budget: connections of the relay, of which max_connections are this process's part. ready: that
    health checks get 200. last_answers: whether each answer ends its connection if no request waits behind
    it. input_bytes: that all connections may hold.
    """

    protocol = "http"

    def __init__(
        self,
        settings: interface.Settings,
        terms,
        members,
        clock,
        submit,
        withdraw,
        limit: int,
        bind=("", 0),
        input_bytes: int = DEFAULT_BYTES,
    ):
        self.reader = SubmissionReader(terms, members, clock)
        self.apply_settings(settings)
        self.members, self.clock, self.submit, self.withdraw = members, clock, submit, withdraw
        self.connection_budget = self.max_connections = limit
        self.ready = self.last_answers = False
        self.requests_in_progress = 0
        self.listener, self.address, self.idle_check = None, bind, None
        # lingering_time: reading on after an error would receive all that its client still has to send.
        self.server = ConnectionServer(
            self.handle,
            access_log=None,
            keepalive_timeout=IDLE_TIMEOUT_S,
            lingering_time=0.0,
            read_bufsize=READ_BUFFER_BYTES,
            auto_decompress=False,  # a body is passed on as it was received
            logger=LOGGER,
            input_bytes=input_bytes,
        )

    async def open(
        self, listening_socket: socket.socket | None = None, predecessor_alive: bool = False
    ) -> str:
        await self.listen(*self.address, listening_socket, predecessor_alive)
        self.ready = True
        host, port = self.listener.sockets[0].getsockname()[:2]
        return f"{host}:{port}"

    def apply_settings(self, settings: interface.Settings) -> None:
        self.reader.customers = {c.name for c in settings.customers}

    def start_drain(self) -> None:
        self.ready, self.last_answers = False, True

    def close_idle_clients(self) -> None:
        self.last_answers = True
        if self.idle_check:
            self.idle_check.cancel()
        for connection in list(self.server.connections):
            connection.close_if_quiet()
        self.idle_check = asyncio.get_running_loop().call_later(
            IDLE_CHECK_INTERVAL_S, self.close_idle_clients
        )

    def yield_to_successor(self) -> None:
        self.listener.close(serve_queue=False)
        self.ready = True  # health is that of the relay, which the other process serves now, drained or not
        self.close_idle_clients()

    def share(self, processes: int) -> None:
        self.max_connections = max(1, self.connection_budget // processes)
        self.server.shared_input.budget.share(processes)
        idle = self.server.idle_connections()
        for connection in idle[: max(0, len(self.server.connections) - self.max_connections)]:
            connection.close_if_quiet()

    def resume(self) -> None:
        self.ready, self.last_answers = True, False
        self.idle_check.cancel()

    def descriptor(self) -> int | None:
        return self.listener.sockets[0].fileno() if self.listener and self.listener.sockets else None

    async def listen(
        self, host: str, port: int, listening_socket=None, predecessor_alive: bool = False
    ) -> None:
        """Start to accept connections.

        listening_socket: of the preceding process: one queue of connections for both, so no close resets any.
        Without it the address is shared with that process if it is alive; else it must be free.
        """
        if listening_socket is None:
            listening_socket = await bound_socket(host, port, predecessor_alive, reuse=True)
        self.listener = Acceptor(listening_socket, self.accept, self.may_accept)

    def may_accept(self, opening: int) -> bool:
        """Whether one more connection can be served, or answered that it is not."""
        has_room = self.server.has_room
        return RefusedConnection.has_place(opening) or has_room(self.max_connections, self.clock())

    def accept(self) -> asyncio.Protocol:
        """The protocol for a new connection."""
        if not self.server.make_room(self.max_connections, self.clock()):
            event("front.full", bound=self.max_connections)
            return RefusedConnection()
        return self.server()

    def stop_listening(self) -> None:
        """Close the listening socket; idle connections end once quiet, busy ones after their answer."""
        self.listener.close()
        self.close_idle_clients()

    stop_accepting = stop_listening

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        self.requests_in_progress += 1
        try:
            answer = await self.serve(request)
            if answer.prepared or isinstance(answer, NoAnswer):
                return answer
            return self.finalized(request, answer)
        finally:
            self.requests_in_progress -= 1
            request.protocol.request_ended()

    async def serve(self, request: web.BaseRequest) -> web.StreamResponse:
        method, serve = self.ROUTES.get(request.raw_path, ("", None))
        if serve is None:
            return text_answer(404, "no such path")
        if request.method != method:
            return text_answer(405, f"{method} only", Allow=method)
        return await serve(self, request)

    async def health(self, _: web.BaseRequest) -> web.StreamResponse:
        return text_answer(200, "serving") if self.ready else text_answer(503, "not serving")

    async def api(self, request: web.BaseRequest) -> web.StreamResponse:
        """Receive a submission, and answer it once the verdict is known."""
        body = await receive_body(request, request.protocol.body_deadline(self.clock()))
        if isinstance(body, BodyFailure):
            return text_answer(body.status, body.text, last=True)
        try:
            notification, key = self.reader.read(request.headers, request.protocol.received_at)
            if request.protocol.is_copy(notification.id):
                return NoAnswer()
        except forms.BadForm as error:
            return text_answer(BAD_REQUEST, str(error))
        except NotServed as error:
            return text_answer(UNAVAILABLE, str(error))
        if request.protocol.client_has_left():  # while earlier requests of its connection were answered
            event("client.left", id=notification.id)
            return NoAnswer()
        loop = asyncio.get_running_loop()
        answer_by = request.protocol.received_at + ANSWER_TIMEOUT_S
        submission = Submission(
            notification, key, body, loop.create_future(), loop.create_future(), answer_by
        )
        acknowledged = False
        verdict = Verdict.ACCEPTED  # unless the owner decides otherwise
        self.submit(submission)
        try:
            verdict, retry_after = await submission.verdict
            if verdict is not Verdict.ACCEPTED:
                headers = {"Retry-After": f"{retry_after:.3f}"} if retry_after > 0.0 else {}
                return text_answer(STATUS_BY_VERDICT[verdict], "", **headers)
            answer = text_answer(ACCEPTED, "")
            acknowledged = await self.send(request, answer)
            return answer
        finally:  # pushes wait until it is known whether the client received the answer
            submission.acknowledged.set_result(acknowledged)
            if verdict is Verdict.ACCEPTED and not acknowledged:
                self.withdraw(notification.id)

    async def send(self, request: web.BaseRequest, answer: web.Response) -> bool:
        """Write the answer; returns whether the client was still connected."""
        if request.transport is None or request.transport.is_closing() or request.protocol.client_has_left():
            return False
        self.finalized(request, answer)
        try:
            await answer.prepare(request)
            await answer.write_eof()
        except (OSError, RuntimeError):
            return False
        return True

    def finalized(self, request: web.BaseRequest, answer: web.Response) -> web.Response:
        """The answer, marked as the connection's last at a drain unless another request was read."""
        request.protocol.read_no_further(self.last_answers)
        if self.last_answers and not request.protocol.has_read_more():
            answer.force_close()
        return answer

    ROUTES = {"/api": ("POST", api), "/_health": ("GET", health)}

"""Serves one endpoint of a partner on a socket and records its connections, calls and effects."""

import asyncio
import contextlib
import time
from random import Random

from aiohttp import web

from .behaviour import CallOutcome, EndpointBehaviour
from .books import Arrival, Books, ConnectionRecord, Run
from .control import serve
from .parts import PATHS, ReceivedNotification, parse_notifications
from .stage import Endpoint

HOLD_FOREVER_S = 86400.0  # for calls that get no answer: until the connection ends


class Connection(web.RequestHandler):
    """A connection that is recorded in the books; in mode `hang` nothing is read from it."""

    def __init__(self, manager, *, loop, **options):
        super().__init__(manager, loop=loop, **options)
        self.endpoint_server, self.record = manager.endpoint_server, None

    def connection_made(self, transport) -> None:
        server = self.endpoint_server
        self.record = server.books.add(
            server.books.lines, ConnectionRecord(server.endpoint.name, time.time())
        )
        server.connections[self] = None
        if server.behaviour.mode == "hang":  # accept the connection, read nothing
            transport.pause_reading()
        super().connection_made(transport)

    def connection_lost(self, exc) -> None:
        self.record.closed = time.time()
        self.endpoint_server.connections.pop(self, None)
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        if self.endpoint_server.behaviour.mode != "hang":
            super().data_received(data)

    def eof_received(self) -> None:
        self.transport and self.transport.close()


class ConnectionServer(web.Server):
    """Makes a Connection for each connection to an endpoint."""

    def __init__(self, endpoint_server, handler):
        super().__init__(
            handler,
            handler_cancellation=True,
            access_log=None,
            keepalive_timeout=3600.0,
            auto_decompress=False,
        )
        self.endpoint_server = endpoint_server

    def __call__(self) -> Connection:
        return Connection(self, loop=self._loop, **self._kwargs)


class EndpointServer:
    """One endpoint on a socket. Its behaviour decides whether it listens and what happens to each call."""

    def __init__(self, endpoint: Endpoint, books: Books, seed: int):
        self.endpoint, self.books = endpoint, books
        self.behaviour = EndpointBehaviour(endpoint, Random(f"{seed} {endpoint.name}"))
        self.address, self.server, self.connections, self.slot_waiters = endpoint.address, None, {}, []
        self.connection_server, self.running_calls = ConnectionServer(self, self.handle), set()

    async def update_listener(self) -> None:
        """Opens the listener, or closes it and all connections, according to the behaviour's state."""
        listens = self.behaviour.listens(time.time())
        if listens and self.server is None:
            with contextlib.suppress(OSError):  # the port may still be in use; the next update tries again
                self.server, self.address = await serve(
                    self.connection_server, self.address, asyncio.get_running_loop()
                )
        elif not listens and self.server is not None:
            self.close()

    def close(self) -> None:
        if self.server:
            self.server.close()
            self.server = None
        for connection in list(self.connections):
            if connection.transport is not None:
                connection.transport.abort()

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        if request.method != "POST" or request.path not in PATHS:
            return web.Response(status=404)
        body = await request.read()
        request.protocol.record.calls += 1
        notifications = parse_notifications(request, body)
        if notifications is None:
            self.books.count(self.endpoint.name, "malformed")
            return web.Response(status=400)
        if len(notifications) > self.endpoint.many:
            return web.Response(status=413)
        received_at = time.time()
        outcome = self.behaviour.arrive(received_at)
        arrival = Arrival(
            notifications[0].id, self.endpoint.name, received_at, outcome.kind, outcome.retry_after
        )
        self.books.add(self.books.arrivals, arrival)
        if outcome.kind == "queue":
            outcome = await self.wait_for_slot()
        self.books.count(self.endpoint.name, outcome.kind)
        return await self.respond(request, outcome, notifications, received_at)

    async def wait_for_slot(self) -> CallOutcome:
        slot_free = asyncio.get_running_loop().create_future()
        self.slot_waiters.append(slot_free)
        try:
            await slot_free
        except asyncio.CancelledError:
            if slot_free in self.slot_waiters:
                self.slot_waiters.remove(slot_free)
                self.behaviour.cancel_waiting()
            else:
                self.release_slot()
            raise
        return self.behaviour.start_call()

    def release_slot(self) -> None:
        if self.behaviour.finish_call():
            self.slot_waiters.pop(0).set_result(None)

    async def respond(
        self,
        request: web.BaseRequest,
        outcome: CallOutcome,
        notifications: list[ReceivedNotification],
        received_at: float,
    ):
        """Answers, resets or holds a call according to its outcome.

        The effect is recorded when it takes place, before any answer, so a call cut off in between has run.
        """
        if outcome.kind == "full":
            if outcome.retry_after:
                return web.Response(
                    status=429, headers={"X-Retry-In-Ms": str(round(outcome.retry_after * 1000.0))}
                )
            return web.Response(status=503)
        if outcome.kind == "reset-before":
            request.transport.abort()
            raise asyncio.CancelledError
        if outcome.kind in ("silent", "hang"):
            await asyncio.sleep(HOLD_FOREVER_S)
        running_call = asyncio.get_running_loop().create_task(
            self.run_call(outcome, notifications, received_at)
        )
        self.running_calls.add(running_call)
        running_call.add_done_callback(self.running_calls.discard)
        runs = await asyncio.shield(running_call)
        if outcome.kind == "reset-after":
            request.transport.abort()
            raise asyncio.CancelledError
        if outcome.kind == "lost":
            await asyncio.sleep(HOLD_FOREVER_S)
        return await self.send_answer(request, 500 if outcome.kind == "error" else 200, notifications, runs)

    async def run_call(
        self, outcome: CallOutcome, notifications: list[ReceivedNotification], received_at: float
    ) -> list[Run]:
        """Runs the call to its end even when the connection closes, as a real partner would."""
        try:
            if outcome.run_seconds:
                await asyncio.sleep(outcome.run_seconds)
            return self.record_runs(notifications, received_at) if outcome.has_effect else []
        finally:
            self.release_slot()

    def record_runs(self, notifications: list[ReceivedNotification], received_at: float) -> list[Run]:
        now, name = time.time(), self.endpoint.name
        return [
            self.books.add(
                self.books.runs,
                Run(notification.id, notification.key, name, received_at, now, size=notification.size),
            )
            for notification in notifications
        ]

    async def send_answer(
        self, request, status: int, notifications: list[ReceivedNotification], runs: list[Run]
    ) -> web.StreamResponse:
        text, headers = "", {}
        if len(notifications) > 1 and status == 200:
            text = "".join(f"{notification.id} done\r\n" for notification in notifications)
        if self.endpoint.report:
            busy = self.behaviour.running / self.endpoint.slots
            limit = self.endpoint.limit / self.endpoint.span if self.endpoint.limit else self.endpoint.weight
            headers["X-Load"] = f'{{"x0":{busy:.2f},"x1":{limit:.1f}}}'
        answer = web.Response(status=status, text=text, headers=headers)
        await answer.prepare(request)
        await answer.write_eof()
        if status == 200:
            for run in runs:
                run.answered = time.time()
        return answer

"""The clients' side: one handler on aiohttp's low-level server.

A request is read whole, checked, and handed in; the answer follows what the relay made of it.
"""

import asyncio
import logging
from dataclasses import dataclass

import aiohttp
from aiohttp import web
from loguru import logger

from .. import interface as it
from . import forms
from .members import Members

QUIET = logging.getLogger("ryestack.clients")  # bad requests are answered; a traceback of each helps nobody
QUIET.setLevel(logging.CRITICAL)
TAKEN, REFUSED, FAILED, MALFORMED, TOO_SLOW, TOO_LARGE = 202, 503, 500, 400, 408, 413
SLOW = 10.0  # seconds for a body: one that never comes must not keep its connection's place


@dataclass(slots=True)
class HandIn:
    """A message that a client hands in.

    verdict: what the relay made of it, (status, seconds to stay away). heard: whether its client
    was told that it is taken on; pushes wait for it.
    """

    ntf: it.Notification
    key: str
    body: bytes
    verdict: asyncio.Future
    heard: asyncio.Future


class Clients:
    """Serves clients; hand_in and withdraw put into the queue of the task that owns the decisions."""

    def __init__(self, settings: it.Settings, members: Members, clock, hand_in, withdraw, most: int):
        self.topics = {t.name: t for t in settings.topic_types}
        self.customers = {c.name for c in settings.customers}
        self.members, self.clock, self.hand_in, self.withdraw = members, clock, hand_in, withdraw
        self.most, self.ready, self.last_answers, self.busy = most, False, False, 0
        self.listener = None
        self.server = web.Server(self.handle, access_log=None, keepalive_timeout=3600.0, logger=QUIET)

    async def listen(self, host: str, port: int) -> None:
        loop = asyncio.get_running_loop()
        self.listener = await loop.create_server(self.accept, host, port, backlog=512, reuse_address=True)

    def accept(self) -> asyncio.Protocol:
        """At the bound the oldest idle connection makes room: silent ones must not keep others out."""
        connections = self.server.connections
        if len(connections) >= self.most:
            oldest = next(filter(_idle, connections), None)
            if oldest is None:
                return Full()
            oldest.force_close()
        return self.server()

    def stop_listening(self) -> None:
        """Idle connections end at once, busy ones after their answer.

        The library's own pre_shutdown leaves idle ones open and unread: a request on one gets no answer.
        """
        self.listener.close()
        for connection in self.server.connections:
            connection.force_close() if _idle(connection) else connection.close()

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        self.busy += 1
        try:
            route = self.ROUTES.get(request.path)
            if route is None:
                return self.answer(404, "no such path")
            method, serve = route
            if request.method != method:
                return self.answer(405, f"{method} only", Allow=method)
            return await serve(self, request)
        finally:
            self.busy -= 1

    async def health(self, _: web.BaseRequest) -> web.StreamResponse:
        return self.answer(200, "serving") if self.ready else self.answer(503, "not serving")

    async def api(self, request: web.BaseRequest) -> web.StreamResponse:
        body = bytearray()
        if request.headers.get("Expect", "").lower() == "100-continue" and request.transport is not None:
            request.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        try:
            async with asyncio.timeout(SLOW):
                async for chunk in request.content.iter_any():
                    body += chunk
                    if len(body) > forms.MOST_BODY:
                        return self.answer(TOO_LARGE, f"{forms.MOST_BODY} bytes at most", last=True)
            ntf, key = self.read(request.headers, self.clock())
        except forms.BadForm as bad:
            return self.answer(MALFORMED, str(bad))
        except TimeoutError:
            return self.answer(TOO_SLOW, "the body did not come", last=True)
        except (OSError, aiohttp.ClientError, web.RequestPayloadError):  # its client went, or sent no body
            return self.answer(MALFORMED, "the body broke off", last=True)
        loop = asyncio.get_running_loop()
        message, told = HandIn(ntf, key, bytes(body), loop.create_future(), loop.create_future()), False
        status = TAKEN  # unless the owner says otherwise
        self.hand_in(message)
        try:
            status, away = await message.verdict
            if status != TAKEN:
                return self.answer(status, "", **({"Retry-After": f"{away:.3f}"} if away > 0.0 else {}))
            answer = self.answer(TAKEN, "")
            told = await self.tell(request, answer)
            return answer
        finally:  # pushes wait for a client that was there to hear it
            message.heard.set_result(told)
            if status == TAKEN and not told:
                self.withdraw(ntf.id)

    async def tell(self, request: web.BaseRequest, answer: web.Response) -> bool:
        if request.transport is None or request.transport.is_closing():
            return False
        try:
            await answer.prepare(request)
            await answer.write_eof()
        except (OSError, RuntimeError):
            return False
        return True

    def read(self, headers, now: float) -> tuple[it.Notification, str]:
        name = forms.token(headers.get("X-Request-Id", ""), "X-Request-Id")
        topic = self.topics.get(headers.get("X-Class", ""))
        if topic is None:
            raise forms.BadForm("X-Class names no topic type")
        customer = headers.get("X-Tenant", "")
        if self.customers and customer not in self.customers:
            raise forms.BadForm("X-Tenant names no customer")
        due = now + forms.seconds(headers.get("X-Deadline", ""))
        dest = forms.destination(headers.get("X-Envelope", ""))
        if not self.members.has(dest):
            raise forms.BadForm(f"no destination {dest}")
        key = headers.get("Idempotency-Key", "")
        if key or topic.effect is it.Effect.COLLAPSIBLE:
            forms.token(key, "Idempotency-Key")
        order_key = headers.get("X-Key", "")
        if order_key:
            forms.token(order_key, "X-Key")
        return it.Notification(name, due, dest, topic.name, customer, order_key), key

    def answer(self, status: int, text: str, last: bool = False, **headers: str) -> web.Response:
        answer = web.Response(status=status, text=text and text + "\n", headers=headers)
        if last or self.last_answers:
            answer.force_close()
        return answer

    ROUTES = {"/api": ("POST", api), "/_health": ("GET", health)}


def _idle(connection: web.RequestHandler) -> bool:
    """Whether it waits for a request of which nothing whole has come."""
    waiter = connection._waiter
    return waiter is not None and not waiter.done()  # done: a request has come and is not begun


class Full(asyncio.Protocol):
    """Meets a connection past the bound: it ends at once, before anything is read."""

    def connection_made(self, transport: asyncio.Transport) -> None:
        logger.debug("a connection past the bound was closed")
        transport.close()

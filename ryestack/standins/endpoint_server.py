"""One endpoint of a partner on a socket: its connections, its calls, its entries in the books."""

import asyncio
import contextlib
import time
from random import Random

from aiohttp import web

from .behaviour import Desk, Reception
from .books import Arrival, Books, Line, Run
from .control import serve
from .parts import PATHS, Part, read_parts
from .stage import Endpoint


class Connection(web.RequestHandler):
    """A connection that is entered in the books, and may be left unread."""

    def __init__(self, manager, *, loop, **more):
        super().__init__(manager, loop=loop, **more)
        self.place, self.line = manager.place, None

    def connection_made(self, transport) -> None:
        place = self.place
        self.line = place.books.add(place.books.lines, Line(place.endpoint.name, time.time()))
        place.open[self] = None
        if place.desk.mode == "hang":  # accepted, and nothing more
            transport.pause_reading()
        super().connection_made(transport)

    def connection_lost(self, exc) -> None:
        self.line.closed = time.time()
        self.place.open.pop(self, None)
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        if self.place.desk.mode != "hang":
            super().data_received(data)

    def eof_received(self) -> None:
        self.transport and self.transport.close()


class ConnectionServer(web.Server):
    def __init__(self, place, handler):
        super().__init__(
            handler,
            handler_cancellation=True,
            access_log=None,
            keepalive_timeout=3600.0,
            auto_decompress=False,
        )
        self.place = place

    def __call__(self) -> Connection:
        return Connection(self, loop=self._loop, **self._kwargs)


class EndpointServer:
    """One endpoint on a socket."""

    def __init__(self, endpoint: Endpoint, books: Books, seed: int):
        self.endpoint, self.books = endpoint, books
        self.desk = Desk(endpoint, Random(f"{seed} {endpoint.name}"))
        self.address, self.server, self.open, self.queue = endpoint.address, None, {}, []
        self.lines, self.working = ConnectionServer(self, self.handle), set()

    async def follow(self) -> None:
        """Listen, or let go of all, as the desk says."""
        listens = self.desk.listens(time.time())
        if listens and self.server is None:
            with contextlib.suppress(OSError):  # the port may take a moment to come free
                self.server, self.address = await serve(self.lines, self.address, asyncio.get_running_loop())
        elif not listens and self.server is not None:
            self.close()

    def close(self) -> None:
        if self.server:
            self.server.close()
            self.server = None
        for line in list(self.open):
            if line.transport is not None:
                line.transport.abort()

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        if request.method != "POST" or request.path not in PATHS:
            return web.Response(status=404)
        body = await request.read()
        request.protocol.line.calls += 1
        parts = read_parts(request, body)
        if parts is None:
            self.books.count(self.endpoint.name, "malformed")
            return web.Response(status=400)
        if len(parts) > self.endpoint.many:
            return web.Response(status=413)
        came = time.time()
        met = self.desk.arrive(came)
        arrival = Arrival(parts[0].id, self.endpoint.name, came, met.how, met.wait)
        self.books.add(self.books.arrivals, arrival)
        if met.how == "queue":
            met = await self.wait_for_slot()
        self.books.count(self.endpoint.name, met.how)
        return await self.meet(request, met, parts, came)

    async def wait_for_slot(self) -> Reception:
        turn = asyncio.get_running_loop().create_future()
        self.queue.append(turn)
        try:
            await turn
        except asyncio.CancelledError:
            if turn in self.queue:
                self.queue.remove(turn)
                self.desk.gone_waiting()
            else:
                self.leave()
            raise
        return self.desk.begin()

    def leave(self) -> None:
        if self.desk.leave():
            self.queue.pop(0).set_result(None)

    async def meet(self, request: web.BaseRequest, met: Reception, parts: list[Part], came: float):
        """The book is written at the effect, before any answer; if the call ends in between, it has run."""
        if met.how == "full":
            if met.wait:
                return web.Response(status=429, headers={"X-Retry-In-Ms": str(round(met.wait * 1000.0))})
            return web.Response(status=503)
        if met.how == "reset-before":
            request.transport.abort()
            raise asyncio.CancelledError
        if met.how in ("silent", "hang"):
            await asyncio.sleep(86400.0)
        work = asyncio.get_running_loop().create_task(self.work(met, parts, came))
        self.working.add(work)
        work.add_done_callback(self.working.discard)
        runs = await asyncio.shield(work)
        if met.how == "reset-after":
            request.transport.abort()
            raise asyncio.CancelledError
        if met.how == "lost":
            await asyncio.sleep(86400.0)
        return await self.answer(request, 500 if met.how == "error" else 200, parts, runs)

    async def work(self, met: Reception, parts: list[Part], came: float) -> list[Run]:
        """It goes on though the connection ends: a partner that was asked does what it was asked."""
        try:
            if met.seconds:
                await asyncio.sleep(met.seconds)
            return self.effect(parts, came) if met.runs else []
        finally:
            self.leave()

    def effect(self, parts: list[Part], came: float) -> list[Run]:
        now, name = time.time(), self.endpoint.name
        return [
            self.books.add(self.books.runs, Run(p.id, p.key, name, came, now, size=p.size)) for p in parts
        ]

    async def answer(self, request, status: int, parts: list[Part], runs: list[Run]) -> web.StreamResponse:
        text, headers = "", {}
        if len(parts) > 1 and status == 200:
            text = "".join(f"{part.id} done\r\n" for part in parts)
        if self.endpoint.report:
            busy = self.desk.running / self.endpoint.slots
            limit = self.endpoint.limit / self.endpoint.span if self.endpoint.limit else self.endpoint.weight
            headers["X-Load"] = f'{{"x0":{busy:.2f},"x1":{limit:.1f}}}'
        answer = web.Response(status=status, text=text, headers=headers)
        await answer.prepare(request)
        await answer.write_eof()
        if status == 200:
            for run in runs:
                run.answered = time.time()
        return answer

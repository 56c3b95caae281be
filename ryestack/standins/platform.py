"""The platform: the list, its watch, the notices, and silence; with its own books."""

import asyncio
import time

import msgspec
from aiohttp import web

from .books import Books, Notice
from .control import control, serve
from .stage import Change, Stage
from .timeline import Timeline

LONGEST = 60.0  # seconds that a watch is held at most
KEPT = 1000  # changes that a watch can be told; from further back it gets the whole list
LOOK = 0.02


class Platform:
    """Serves the list of a stage's endpoints; addresses: by name, where they listen now."""

    def __init__(self, stage: Stage, addresses: dict[str, str] | None = None):
        self.stage, self.books = stage, Books()
        self.rows = {e.name: self.row(e, (addresses or {}).get(e.name, e.address)) for e in stage.endpoint}
        self.index, self.changes, self.changed = 1, [], asyncio.Event()
        self.silence, self.timeline, self.began = "none", Timeline(stage.at), 0.0
        self.address, self.control = stage.platform.address, stage.platform.control
        self.servers, self.task = [], None

    @staticmethod
    def row(endpoint, address: str) -> dict:
        return {
            "name": endpoint.name,
            "address": address,
            "zone": endpoint.zone,
            "type": endpoint.kind,
            "group": endpoint.destination,
            "status": "up",
            "weight": endpoint.weight,
            "since_ms": 0,
        }

    def listing(self) -> dict:
        here = [row for row in self.rows.values() if row["status"] != "removed"]
        return {"index": self.index, "snapshot": True, "endpoints": here}

    async def start(self) -> None:
        loop = asyncio.get_running_loop()
        server, self.address = await serve(web.Server(self.handle, access_log=None), self.address, loop)
        handler = control(self.books, self.state, self.tell, lambda: self.rows)
        other, self.control = await serve(handler, self.control, loop)
        self.servers = [server, other]
        self.began = time.monotonic()
        self.task = loop.create_task(self.run())

    async def run(self) -> None:
        while True:
            for change in self.timeline.due(time.monotonic() - self.began):
                await self.tell(change)
            await asyncio.sleep(LOOK)

    async def tell(self, change: Change) -> None:
        self.silence = change.silence or self.silence
        for name, row in self.rows.items():
            if change.listed and change.endpoint in ("*", name) and row["status"] != change.listed:
                self.index += 1
                self.rows[name] = {**row, "status": change.listed}
                self.changes.append((self.index, name))
        del self.changes[:-KEPT]
        self.changed.set()
        self.changed = asyncio.Event()

    def state(self) -> dict:
        return {"index": self.index, "silence": self.silence, "endpoints": list(self.rows.values())}

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        if request.path == "/catalog/members" and request.method == "GET":
            return await self.members(request)
        if request.path == "/status" and request.method == "POST":
            return await self.status(request)
        return web.Response(status=404)

    async def members(self, request: web.BaseRequest) -> web.StreamResponse:
        try:
            since = int(request.query.get("from", 0))
            hold = min(LONGEST, int(request.query.get("hold_ms", 0)) / 1000.0)
        except ValueError:
            return web.Response(status=400)
        until = time.monotonic() + hold
        while since >= self.index and time.monotonic() < until:
            changed = self.changed
            try:
                await asyncio.wait_for(changed.wait(), until - time.monotonic())
            except TimeoutError:
                break
        while self.silence in ("list", "all"):
            await asyncio.sleep(LOOK)
        oldest = self.changes[0][0] if self.changes else self.index
        if "from" not in request.query or (since < self.index and since + 1 < oldest) or since > self.index:
            return web.json_response(self.listing())
        names = dict.fromkeys(name for index, name in self.changes if index > since)
        rows = [self.rows[name] for name in names]
        return web.json_response({"index": self.index, "snapshot": False, "endpoints": rows})

    async def status(self, request: web.BaseRequest) -> web.StreamResponse:
        while self.silence in ("notices", "all"):
            await asyncio.sleep(LOOK)
        now, rows = time.time(), []
        for line in (await request.read()).splitlines():
            try:
                told = msgspec.json.decode(line, type=dict)
                state, after = told["state"], float(told.get("after_ms", 0)) / 1000.0
                rows.append(Notice(str(told["id"]), state, now, after))
            except (msgspec.MsgspecError, KeyError, TypeError, ValueError):
                return web.Response(status=400)
            if state not in ("failed", "returned"):
                return web.Response(status=400)
        for row in rows:
            self.books.add(self.books.notices, row)
        return web.Response(status=204)

    async def close(self) -> None:
        if self.task:
            self.task.cancel()
        for server in self.servers:
            server.close()

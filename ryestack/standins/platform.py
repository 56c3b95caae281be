"""Platform stand-in: endpoint catalogue with long polling, final notices, scripted silence, and records."""

import asyncio
import time

import msgspec
from aiohttp import web

from .books import Books, Notice
from .control import control_handler, serve
from .stage import Change, Stage
from .timeline import Timeline

MAX_HOLD_S = 60.0  # longest time that a catalogue poll is held open
MAX_CHANGES = 1000  # changes kept for polls; a poll from an older version gets the whole list
POLL_INTERVAL_S = 0.02  # between checks of the timeline and of silence


class Platform:
    """Serves the list of a stage's endpoints. addresses: by endpoint name, where each one listens."""

    def __init__(self, stage: Stage, addresses: dict[str, str] | None = None):
        self.stage, self.books = stage, Books()
        self.entries = {
            endpoint.name: self.catalog_entry(
                endpoint, (addresses or {}).get(endpoint.name, endpoint.address)
            )
            for endpoint in stage.endpoint
        }
        self.index, self.changes, self.changed = 1, [], asyncio.Event()
        self.silence, self.timeline, self.began = "none", Timeline(stage.at), 0.0
        self.address, self.control = stage.platform.address, stage.platform.control
        self.servers, self.task = [], None

    @staticmethod
    def catalog_entry(endpoint, address: str) -> dict:
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
        """The whole endpoint list as the platform returns it."""
        listed = [entry for entry in self.entries.values() if entry["status"] != "removed"]
        return {"index": self.index, "snapshot": True, "endpoints": listed}

    async def start(self) -> None:
        loop = asyncio.get_running_loop()
        server, self.address = await serve(web.Server(self.handle, access_log=None), self.address, loop)
        handler = control_handler(self.books, self.state, self.apply, lambda: self.entries)
        control_server, self.control = await serve(handler, self.control, loop)
        self.servers = [server, control_server]
        self.began = time.monotonic()
        self.task = loop.create_task(self.run())

    async def run(self) -> None:
        while True:
            for change in self.timeline.due(time.monotonic() - self.began):
                await self.apply(change)
            await asyncio.sleep(POLL_INTERVAL_S)

    async def apply(self, change: Change) -> None:
        """Applies a change and wakes the polls that wait for a new version."""
        self.silence = change.silence or self.silence
        for name, entry in self.entries.items():
            if change.listed and change.endpoint in ("*", name) and entry["status"] != change.listed:
                self.index += 1
                self.entries[name] = {**entry, "status": change.listed}
                self.changes.append((self.index, name))
        del self.changes[:-MAX_CHANGES]
        self.changed.set()
        self.changed = asyncio.Event()

    def state(self) -> dict:
        return {"index": self.index, "silence": self.silence, "endpoints": list(self.entries.values())}

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        if request.path == "/catalog/members" and request.method == "GET":
            return await self.members(request)
        if request.path == "/status" and request.method == "POST":
            return await self.status(request)
        return web.Response(status=404)

    async def members(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answers a catalogue poll: the changes after version `from`, or the whole list if unknown."""
        try:
            since = int(request.query.get("from", 0))
            hold_s = min(MAX_HOLD_S, int(request.query.get("hold_ms", 0)) / 1000.0)
        except ValueError:
            return web.Response(status=400)
        deadline = time.monotonic() + hold_s
        while since >= self.index and time.monotonic() < deadline:
            changed = self.changed
            try:
                await asyncio.wait_for(changed.wait(), deadline - time.monotonic())
            except TimeoutError:
                break
        while self.silence in ("list", "all"):
            await asyncio.sleep(POLL_INTERVAL_S)
        oldest = self.changes[0][0] if self.changes else self.index
        if "from" not in request.query or (since < self.index and since + 1 < oldest) or since > self.index:
            return web.json_response(self.listing())
        names = dict.fromkeys(name for index, name in self.changes if index > since)
        changed_entries = [self.entries[name] for name in names]
        return web.json_response({"index": self.index, "snapshot": False, "endpoints": changed_entries})

    async def status(self, request: web.BaseRequest) -> web.StreamResponse:
        """Records final notices, one JSON object a line; answers 400 if any of them is malformed."""
        while self.silence in ("notices", "all"):
            await asyncio.sleep(POLL_INTERVAL_S)
        now, notices = time.time(), []
        for line in (await request.read()).splitlines():
            try:
                fields = msgspec.json.decode(line, type=dict)
                state, after = fields["state"], float(fields.get("after_ms", 0)) / 1000.0
                notices.append(Notice(str(fields["id"]), state, now, after))
            except (msgspec.MsgspecError, KeyError, TypeError, ValueError):
                return web.Response(status=400)
            if state not in ("failed", "returned"):
                return web.Response(status=400)
        for notice in notices:
            self.books.add(self.books.notices, notice)
        return web.Response(status=204)

    async def close(self) -> None:
        if self.task:
            self.task.cancel()
        for server in self.servers:
            server.close()

"""Partners: any number of endpoints in one process, each on an address of its own.

An endpoint reads the platform's protocol with aiohttp's server; what it decides is in behaviour.py.
"""

import asyncio
import time

from .books import Books
from .control import control, serve
from .endpoint_server import EndpointServer
from .stage import Change, Stage
from .timeline import Timeline

LOOK = 0.02  # seconds between looks at the timeline and at what time alone brings


class Partner:
    """All endpoints of a stage, its timeline, and the control address."""

    def __init__(self, stage: Stage):
        self.stage, self.books = stage, Books()
        self.places = {e.name: EndpointServer(e, self.books, stage.seed) for e in stage.endpoint}
        self.timeline, self.began = Timeline(stage.at), 0.0
        self.address, self.server, self.task = stage.control, None, None

    async def start(self) -> None:
        for place in self.places.values():
            await place.follow()
            if place.server is None:
                raise OSError(f"{place.endpoint.name}: {place.address} cannot be listened on")
        handler = control(self.books, self.state, self.tell, lambda: self.places)
        loop = asyncio.get_running_loop()
        self.server, self.address = await serve(handler, self.address, loop)
        self.began = time.monotonic()
        self.task = loop.create_task(self.run())

    async def run(self) -> None:
        while True:
            for change in self.timeline.due(time.monotonic() - self.began):
                await self.tell(change)
            for place in self.places.values():
                await place.follow()
            await asyncio.sleep(LOOK)

    async def tell(self, change: Change) -> None:
        for name, place in self.places.items():
            if change.endpoint in ("*", name):
                place.desk.tell(change, time.time())
                await place.follow()

    def state(self) -> dict:
        return {
            name: {
                "address": place.address,
                "mode": place.desk.mode,
                "state": place.desk.state,
                "running": place.desk.running,
                "waiting": place.desk.waiting,
                "connections": len(place.open),
            }
            for name, place in self.places.items()
        }

    async def close(self) -> None:
        if self.task:
            self.task.cancel()
        for place in self.places.values():
            place.close()
        if self.server:
            self.server.close()

"""Partner stand-in: any number of endpoints in one process, each on an address of its own.

Endpoints serve the platform's protocol with aiohttp; the decision on each call is in behaviour.py.
"""

import asyncio
import time

from .books import Books
from .control import control_handler, serve
from .endpoint_server import EndpointServer
from .stage import Change, Stage
from .timeline import Timeline

POLL_INTERVAL_S = 0.02  # between checks of the timeline and of timed transitions


class Partner:
    """All endpoints of a stage, its timeline, and the control address."""

    def __init__(self, stage: Stage):
        self.stage, self.books = stage, Books()
        self.places = {e.name: EndpointServer(e, self.books, stage.seed) for e in stage.endpoint}
        self.timeline, self.began = Timeline(stage.at), 0.0
        self.address, self.server, self.task = stage.control, None, None

    async def start(self) -> None:
        for endpoint_server in self.places.values():
            await endpoint_server.update_listener()
            if endpoint_server.server is None:
                raise OSError(
                    f"endpoint {endpoint_server.endpoint.name}: cannot listen on {endpoint_server.address}"
                )
        handler = control_handler(self.books, self.state, self.apply, lambda: self.places)
        loop = asyncio.get_running_loop()
        self.server, self.address = await serve(handler, self.address, loop)
        self.began = time.monotonic()
        self.task = loop.create_task(self.run())

    async def run(self) -> None:
        while True:
            for change in self.timeline.due(time.monotonic() - self.began):
                await self.apply(change)
            for endpoint_server in self.places.values():
                await endpoint_server.update_listener()
            await asyncio.sleep(POLL_INTERVAL_S)

    async def apply(self, change: Change) -> None:
        for name, endpoint_server in self.places.items():
            if change.endpoint in ("*", name):
                endpoint_server.behaviour.apply(change, time.time())
                await endpoint_server.update_listener()

    def state(self) -> dict:
        return {
            name: {
                "address": endpoint_server.address,
                "mode": endpoint_server.behaviour.mode,
                "state": endpoint_server.behaviour.state,
                "running": endpoint_server.behaviour.running,
                "waiting": endpoint_server.behaviour.waiting,
                "connections": len(endpoint_server.connections),
            }
            for name, endpoint_server in self.places.items()
        }

    async def close(self) -> None:
        if self.task:
            self.task.cancel()
        for endpoint_server in self.places.values():
            endpoint_server.close()
        if self.server:
            self.server.close()

"""A control machine for tests: a publisher behind an HTTP server on loopback, without a change log."""

import asyncio
import random

from aiohttp import web

from ryestack.control import messages
from ryestack.control.catalogue import Catalogue
from ryestack.control.messages import Entry
from ryestack.control.order import Machine
from ryestack.control.publisher import Publisher, Refused


class ControlServer:
    def __init__(self, name="m0", region="eu", port=0):
        self.name, self.region, self.port = name, region, port
        self.clock = asyncio.get_running_loop().time
        self.publisher = Publisher("c", Catalogue(), 2, random.Random(1), 4)
        self.pending, self.token, self.sent = {}, 0, asyncio.Event()

    async def open(self):
        self.server = web.Server(self.handle, access_log=None)
        loop = asyncio.get_running_loop()
        self.listener = await loop.create_server(self.server, "127.0.0.1", self.port)
        self.port = self.listener.sockets[0].getsockname()[1]
        self.ticking = asyncio.ensure_future(self.ticks())
        return self

    @property
    def machine(self):
        return Machine(self.name, f"127.0.0.1:{self.port}", self.region)

    def change(self, *changes):
        """changes: (key, shard, value)."""
        version = self.publisher.catalogue.version + 1
        entries = [Entry(key, version, shard, value) for key, shard, value in changes]
        self.publisher.apply(version, entries, self.clock())
        return version

    async def handle(self, request):
        self.token += 1
        token = self.token
        try:
            asked = messages.decode_request(await request.read())
            answer = self.publisher.handle(asked, self.clock(), token)
        except messages.BadMessage:
            return web.Response(status=400)
        except Refused as why:
            return web.Response(status=409, text=str(why))
        if answer is None:
            self.pending[token] = asyncio.get_running_loop().create_future()
            try:
                answer = await self.pending[token]
            finally:
                del self.pending[token]
                self.publisher.release(token)
        return web.Response(body=messages.encode(answer))

    async def ticks(self):
        while True:
            for token, answer in self.publisher.due(self.clock()):
                if token in self.pending and not self.pending[token].done():
                    self.pending[token].set_result(answer)
            await asyncio.sleep(0.02)

    async def close(self):
        self.ticking.cancel()
        self.listener.close()
        for connection in list(self.server.connections):
            connection.force_close()
        await self.server.shutdown(0.1)


async def until(condition, seconds=10.0):
    """Waits until condition() is true."""
    async with asyncio.timeout(seconds):
        while not condition():
            await asyncio.sleep(0.02)

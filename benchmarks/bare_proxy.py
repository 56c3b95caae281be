"""A proxy that only forwards, on the library that the relay uses: what a message costs at least.

    python benchmarks/bare_proxy.py LISTEN TARGET [TARGET ...]

It reads a request whole, posts the body to the next target, and answers 202 once that has answered 200. It
keeps, decides and logs nothing.
"""

import asyncio
import sys
from itertools import cycle

import aiohttp
from aiohttp import web


async def run(listen: str, targets: list[str]) -> None:
    session = aiohttp.ClientSession(cookie_jar=aiohttp.DummyCookieJar())
    turn = cycle(targets)

    async def handle(request: web.BaseRequest) -> web.Response:
        if request.path == "/_health":
            return web.Response()
        body, headers = await request.read(), {"X-Request-Id": request.headers.get("X-Request-Id", "")}
        async with session.post(f"http://{next(turn)}/receive", data=body, headers=headers) as answer:
            return web.Response(status=202 if answer.status == 200 else 503)

    host, _, port = listen.rpartition(":")
    server = web.Server(handle, access_log=None)
    await asyncio.get_running_loop().create_server(server, host, int(port))
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(run(sys.argv[1], sys.argv[2:]))

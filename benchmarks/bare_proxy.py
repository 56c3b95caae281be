"""A forwarding-only proxy on the relay's HTTP library: the lower bound of the cost of a message.

    python benchmarks/bare_proxy.py LISTEN TARGET [TARGET ...]

It reads the whole request, posts its body to the next target (round-robin), and answers 202 once the target
has answered 200, else 503. It stores, decides and logs nothing.
"""

import asyncio
import sys
from itertools import cycle

import aiohttp
from aiohttp import web


async def run(listen: str, targets: list[str]) -> None:
    session = aiohttp.ClientSession(cookie_jar=aiohttp.DummyCookieJar())
    next_targets = cycle(targets)

    async def handle(request: web.BaseRequest) -> web.Response:
        if request.path == "/_health":
            return web.Response()
        body, headers = await request.read(), {"X-Request-Id": request.headers.get("X-Request-Id", "")}
        async with session.post(f"http://{next(next_targets)}/receive", data=body, headers=headers) as answer:
            return web.Response(status=202 if answer.status == 200 else 503)

    host, _, port = listen.rpartition(":")
    server = web.Server(handle, access_log=None)
    await asyncio.get_running_loop().create_server(server, host, int(port))
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(run(sys.argv[1], sys.argv[2:]))

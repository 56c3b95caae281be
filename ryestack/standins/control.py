"""The control address that stand-ins share: what they are told live, and their books."""

import socket

import msgspec
from aiohttp import web

from ..operator.checks import check
from .books import Books, dump
from .stage import Change, split


async def serve(handler, address: str, loop) -> tuple:
    """A server on loopback and the address that it has."""
    server = await loop.create_server(handler, sock=socket.create_server(split(address), backlog=512))
    host, port = server.sockets[0].getsockname()[:2]
    return server, f"{host}:{port}"


def control(books: Books, state, tell, names):
    """A handler: GET /books, GET /state, POST /behave with the keys of a change but `after`."""

    async def handle(request: web.BaseRequest) -> web.StreamResponse:
        if request.method == "GET" and request.path == "/books":
            return web.Response(body=dump(books), content_type="application/json")
        if request.method == "GET" and request.path == "/state":
            return web.Response(body=msgspec.json.encode(state()), content_type="application/json")
        if request.method == "POST" and request.path == "/behave":
            try:
                table = msgspec.json.decode(await request.read(), type=dict)
            except msgspec.MsgspecError as bad:
                return web.Response(status=400, text=f"{bad}\n")
            table = {"after": 0.0, **table}
            faults = check(Change, table, list(Change.__struct_fields__))
            if not faults and table.get("endpoint", "*") not in ("*", *names()):
                faults = [("endpoint", f"there is no {table['endpoint']}")]
            if faults:
                return web.Response(status=400, text="".join(f"{k}: {why}\n" for k, why in faults))
            await tell(msgspec.convert(table, Change))
            return web.Response(text="done\n")
        return web.Response(status=404, text="GET /books, GET /state or POST /behave\n")

    return web.Server(handle, access_log=None)

"""HTTP control interface of the stand-ins: changes behaviour at run time, returns state and records."""

import socket

import msgspec
from aiohttp import web

from ..operator.checks import check
from .books import Books, dump
from .stage import Change, split


async def serve(handler, address: str, loop) -> tuple:
    """Starts a server on a loopback address; returns it with the address it listens on."""
    server = await loop.create_server(handler, sock=socket.create_server(split(address), backlog=512))
    bound_host, port = server.sockets[0].getsockname()[:2]
    return server, f"{bound_host}:{port}"


def control_handler(books: Books, state, apply, endpoint_names):
    """Returns a server for GET /books, GET /state and POST /behave with the
    keys of a Change; `after` is optional.
    """

    async def handle(request: web.BaseRequest) -> web.StreamResponse:
        if request.method == "GET" and request.path == "/books":
            return web.Response(body=dump(books), content_type="application/json")
        if request.method == "GET" and request.path == "/state":
            return web.Response(body=msgspec.json.encode(state()), content_type="application/json")
        if request.method == "POST" and request.path == "/behave":
            try:
                fields = msgspec.json.decode(await request.read(), type=dict)
            except msgspec.MsgspecError as error:
                return web.Response(status=400, text=f"{error}\n")
            fields = {"after": 0.0, **fields}
            faults = check(Change, fields, list(Change.__struct_fields__))
            if not faults and fields.get("endpoint", "*") not in ("*", *endpoint_names()):
                faults = [("endpoint", f"no endpoint named {fields['endpoint']}")]
            if faults:
                return web.Response(
                    status=400, text="".join(f"{key}: {message}\n" for key, message in faults)
                )
            await apply(msgspec.convert(fields, Change))
            return web.Response(text="done\n")
        return web.Response(status=404, text="GET /books, GET /state or POST /behave\n")

    return web.Server(handle, access_log=None)

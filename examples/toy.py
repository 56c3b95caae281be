"""A toy partner and a toy platform on loopback, to try a relay by hand.

The partner answers at 127.0.0.1:8081 and 8082 (two routes of destination 7) and prints what it gets. The
platform at 127.0.0.1:8500 serves the list and prints the notices. Change the partner's behaviour with
`curl 127.0.0.1:8500/behave/full` (or ok, error, silent, wait) and the list with `/listed/draining` or `/up`.
"""

import asyncio
import contextlib

from aiohttp import web

ROUTES = {"s-one": 8081, "s-two": 8082}
ANSWERS = {"ok": (200, {}), "error": (500, {}), "full": (503, {}), "wait": (429, {"X-Retry-In-Ms": "2000"})}
state = {"behave": "ok", "listed": "up", "index": 1, "changed": asyncio.Event()}


def listing() -> dict:
    base = {"zone": "here", "type": "shop", "group": 7, "weight": 20.0, "since_ms": 0}
    rows = [
        {"name": name, "address": f"127.0.0.1:{port}", "status": state["listed"], **base}
        for name, port in ROUTES.items()
    ]
    return {"index": state["index"], "snapshot": True, "endpoints": rows}


async def receive(request: web.BaseRequest) -> web.StreamResponse:
    body = await request.read()
    print(f"partner: {request.headers.get('X-Request-Id')} {body!r}: {state['behave']}", flush=True)
    if state["behave"] == "silent":
        await asyncio.sleep(3600)
    status, headers = ANSWERS[state["behave"]]
    return web.Response(status=status, headers=headers)


async def platform(request: web.BaseRequest) -> web.StreamResponse:
    first, _, word = request.path.strip("/").partition("/")
    if request.path == "/status":
        print("platform: notice", (await request.read()).decode().strip(), flush=True)
        return web.Response(status=204)
    if request.path == "/catalog/members":
        if int(request.query.get("from", -1)) == state["index"]:
            try:
                await asyncio.wait_for(state["changed"].wait(), int(request.query["hold_ms"]) / 1000)
            except TimeoutError:
                return web.json_response({"index": state["index"], "snapshot": False, "endpoints": []})
        return web.json_response(listing())
    if first == "behave" and word in (*ANSWERS, "silent"):
        state["behave"] = word
    elif first == "listed" and word in ("up", "draining"):
        state.update(listed=word, index=state["index"] + 1)
        state["changed"].set()
        state["changed"] = asyncio.Event()
    else:
        return web.Response(status=404, text="try /behave/ok or /listed/draining\n")
    return web.Response(text=f"{first}: {word}\n")


async def main() -> None:
    loop = asyncio.get_running_loop()
    for port in ROUTES.values():
        await loop.create_server(web.Server(receive), "127.0.0.1", port)
    await loop.create_server(web.Server(platform), "127.0.0.1", 8500)
    print("partner on 8081 and 8082, platform on 8500; stop with Ctrl-C", flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    with contextlib.suppress(KeyboardInterrupt):
        asyncio.run(main())

"""Builders for tests: settings, a decision module with one destination, events, and servers on loopback."""

import asyncio
import json
import tempfile
from math import inf

from ryestack import interface
from ryestack.brain import Brain
from ryestack.ports import PushMessage
from ryestack.wire.calls import CallDispatcher
from ryestack.wire.members import Members

RULES = interface.Rules(cold_share=0.2, cold_time=10.0, overload_factor=2.0, fall_time=2.0, key_rest=1.0)
TOPICS = (
    interface.TopicType("again", interface.Effect.REPEATABLE, 2.0, 20.0),
    interface.TopicType("merge", interface.Effect.COLLAPSIBLE, 2.0, 20.0, window=6.0),
    interface.TopicType("once", interface.Effect.ONCE_ONLY, 4.0, 20.0, benefit=2.0),
    interface.TopicType("turns", interface.Effect.REPEATABLE, 2.0, 20.0, keep_order=True),
)
KINDS = (interface.Kind("shared"), interface.Kind("apart", per_route=True), interface.Kind("bulk", batch=20))


def settings(**more):
    """Settings with the topic types of TOPICS."""
    base = {"slots": 12, "max_open": 100, "max_pushes": 6, "max_retry_after": 2.0}
    return interface.Settings(TOPICS, KINDS, RULES, **{**base, **more})


def brain(kind="shared", routes=("a", "b"), rate=50.0, made=Brain, **more):
    """A decision module of class `made` that knows destination 7 with these routes."""
    module = made(settings(**more), 1)
    endpoints = tuple(interface.Endpoint(route, "z", kind, 7, rate=rate) for route in routes)
    module.round(0.0, [interface.ListUpdate(endpoints, whole=True)])
    return module


def take(name, topic="again", due=20.0, key="", **history):
    """The event of a notification to destination 7."""
    return interface.Notification(name, due, 7, topic, key=key, **history)


def end(name, endpoint, result, push=0, **more):
    """The event of a push's outcome, after 0.1 s."""
    return interface.Outcome(name, push, endpoint, result, 0.1, **more)


def pushes(actions):
    """(id, endpoint) of each push among the actions."""
    return [(action.id, action.endpoint) for action in actions if isinstance(action, interface.Push)]


def kinds(actions, kind):
    """The ids of the actions of a class."""
    return [action.id for action in actions if isinstance(action, kind)]


def listed(address="127.0.0.1:9", kind="shared", index=1):
    """An endpoint list with one endpoint of destination 7, as the registry sends it."""
    row = {"name": "a", "address": address, "zone": "z", "type": kind, "group": 7, "status": "up"}
    return {"index": index, "snapshot": True, "endpoints": [{**row, "weight": 50.0}]}


def members(**row):
    """Members with the list that `listed` gives."""
    known = Members()
    known.apply_list(listed(**row))
    return known


async def stand_in(answer):
    """A server on loopback that answers each request with answer(head, body) -> bytes, and closes the
    connection on None.

    Returns the server and its address.
    """

    async def serve(reader, writer):
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                length = [line for line in head.lower().split(b"\r\n") if line.startswith(b"content-length:")]
                body = await reader.readexactly(int(length[0].split(b":")[1]) if length else 0)
                response = answer(head, body)
                if response is None:
                    break
                writer.write(response)
        except (asyncio.IncompleteReadError, OSError):
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    return server, f"{host}:{port}"


def keep_connections(calls, *endpoints):
    """Lets connections to these endpoints carry a second call: they mark the last answer of a connection."""
    for endpoint in endpoints:
        calls.reuse.record_last_answer(endpoint, marked=True)


def http(status, body=b"", **headers):
    """The bytes of an HTTP response."""
    lines = "".join(f"{name.replace('_', '-')}: {value}\r\n" for name, value in headers.items())
    return f"HTTP/1.1 {status} x\r\nContent-Length: {len(body)}\r\n{lines}\r\n".encode() + body


def push_message(name, push, timeout, key, body, acknowledged, begin_within=inf):
    """timeout, begin_within: seconds from now."""
    now = asyncio.get_running_loop().time()
    return PushMessage(name, push, now + timeout, key, body, acknowledged, now + begin_within)


async def push_to(answer, names=("n",), kind="shared", timeout=1.0, address=None):
    """Push notifications in one round to a server that answers so; returns the outcomes and the requests."""
    requests, events = [], asyncio.Queue()

    def record(head, body):
        requests.append((head, body))
        return answer(head, body)

    server, here = await stand_in(record)
    known = members(address=address or here, kind=kind)
    clock = asyncio.get_running_loop().time
    calls = CallDispatcher(
        settings(connection_idle=5.0), known, clock, events.put_nowait, 50
    )
    calls.start("a", [push_message(name, 0, timeout, f"k{name}", b"body\r\n", None) for name in names])
    outcomes = []
    while len(outcomes) < len(names):
        outcomes += [
            each for each in await asyncio.wait_for(events.get(), 5.0) if isinstance(each, interface.Outcome)
        ]
    await calls.close()
    server.close()
    return outcomes, requests


def config(state, discovery, change=None, **more):
    """Write a configuration as the platform writes it to the folder `state`; returns its path.

    change: replaces settings; more: replaces top-level keys.
    """
    document = {
        "name": "n0", "listen": "127.0.0.1:0", "discovery": discovery, "seed": "1f",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": 3},
        "known": listed(),
        "settings": {
            "allowed": {"maxAttempts": 6, "maxOpen": 100, "mayCancel": True, "connectTimeoutMs": 500.0,
                        "connIdleMs": 5000.0, "retryAfter": True, "maxRetryAfterMs": 2000.0},
            "grades": [{"name": t.name, "targetMs": 2000.0, "deadlineMs": 20000.0, "windowMs": 6000.0,
                        "effect": {"merge": "keyed", "once": "unsafe"}.get(t.name, "safe")} for t in TOPICS],
            "kinds": ["shared", "bulk"], "projects": [{"name": "c", "quotaPerS": 50.0}], "quantumMs": 5.0,
            "rules": {"coldShare": 0.2, "coldMs": 10000.0, "overloadFactor": 2.0, "fallMs": 2000.0},
            "specifics": {"callSlots": 12, "kindBatch": [1, 20], "routesApart": [False, False]},
            "weights": "nominal",
        },
        **more,
    }
    document["settings"] = {**document["settings"], **(change or {})}
    path = f"{state}/config.json"
    with open(path, "w") as file:
        json.dump(document, file)
    return path


class Folder:
    """A test case with a temporary folder."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = folder.name

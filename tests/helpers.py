"""What the tests build: settings, a brain with one destination, events; stand-ins on loopback."""

import asyncio
import json
import tempfile

from ryestack import interface
from ryestack.brain import Brain
from ryestack.ports import Item
from ryestack.wire.calls import Calls
from ryestack.wire.members import Members

RULES = interface.Rules(cold_share=0.2, cold_time=10.0, overload_factor=2.0, fall_time=2.0, key_rest=1.0)
TOPICS = (
    interface.TopicType("again", interface.Effect.REPEATABLE, 2.0, 20.0),
    interface.TopicType("merge", interface.Effect.COLLAPSIBLE, 2.0, 20.0, window=6.0),
    interface.TopicType("once", interface.Effect.ONCE_ONLY, 4.0, 20.0, benefit=2.0),
    interface.TopicType("turns", interface.Effect.REPEATABLE, 2.0, 20.0, keep_order=True),
)
KINDS = (interface.Kind("shared"), interface.Kind("apart", apart=True), interface.Kind("bulk", batch=20))


def settings(**more):
    base = {"slots": 12, "max_open": 100, "max_pushes": 6, "max_come_back": 2.0}
    return interface.Settings(TOPICS, KINDS, RULES, **{**base, **more})


def brain(kind="shared", routes=("a", "b"), rate=50.0, made=Brain, **more):
    made = made(settings(**more), 1)
    listed = tuple(interface.Endpoint(r, "z", kind, 7, rate=rate) for r in routes)
    made.round(0.0, [interface.ListUpdate(listed, whole=True)])
    return made


def take(name, topic="again", due=20.0, key="", **history):
    return interface.Notification(name, due, 7, topic, key=key, **history)


def end(name, endpoint, result, push=0, **more):
    return interface.Outcome(name, push, endpoint, result, 0.1, **more)


def pushes(actions):
    return [(a.id, a.endpoint) for a in actions if isinstance(a, interface.Push)]


def kinds(actions, kind):
    return [a.id for a in actions if isinstance(a, kind)]


def listed(address="127.0.0.1:9", kind="shared", index=1):
    row = {"name": "a", "address": address, "zone": "z", "type": kind, "group": 7, "status": "up"}
    return {"index": index, "snapshot": True, "endpoints": [{**row, "weight": 50.0}]}


def members(**row):
    made = Members()
    made.learn(listed(**row))
    return made


async def stand_in(answer):
    """A server on loopback that meets each request with answer(head, body) -> bytes, or breaks off on None.

    Returns the server and its address.
    """

    async def serve(reader, writer):
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                length = [h for h in head.lower().split(b"\r\n") if h.startswith(b"content-length:")]
                body = await reader.readexactly(int(length[0].split(b":")[1]) if length else 0)
                said = answer(head, body)
                if said is None:
                    break
                writer.write(said)
        except (asyncio.IncompleteReadError, OSError):
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    return server, f"{host}:{port}"


def http(status, body=b"", **headers):
    lines = "".join(f"{k.replace('_', '-')}: {v}\r\n" for k, v in headers.items())
    return f"HTTP/1.1 {status} x\r\nContent-Length: {len(body)}\r\n{lines}\r\n".encode() + body


async def called(answer, names=("n",), kind="shared", timeout=1.0, address=None):
    """The outcomes of one turn's messages at a stand-in, and what it was sent."""
    seen, told = [], asyncio.Queue()

    def note(head, body):
        seen.append((head, body))
        return answer(head, body)

    server, here = await stand_in(note)
    at = members(address=address or here, kind=kind)
    calls = Calls(settings(connection_idle=5.0), at, asyncio.get_running_loop().time, told.put_nowait, 50)
    calls.start("a", [Item(name, 0, timeout, f"k{name}", b"body\r\n", None) for name in names])
    outcomes = []
    while len(outcomes) < len(names):
        outcomes += [o for o in await asyncio.wait_for(told.get(), 5.0) if isinstance(o, interface.Outcome)]
    await calls.close()
    server.close()
    return outcomes, seen


def config(state, discovery, change=None, **more):
    """A configuration as the platform writes it, in the folder state; change: of its settings."""
    told = {
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
    told["settings"] = {**told["settings"], **(change or {})}
    path = f"{state}/config.json"
    with open(path, "w") as file:
        json.dump(told, file)
    return path


class Folder:
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = folder.name

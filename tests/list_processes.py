"""Directories of processes that follow each other in one folder, and a stand-in for their registry."""

import asyncio
import functools
import json
import string

from ryestack.interface import EndpointStatus
from ryestack.lifecycle.list_saver import ListSaver
from ryestack.store.list_file import MAX_FILE_BYTES
from ryestack.wire.platform import PlatformClient
from ryestack.wire.registry_directory import RegistryDirectory

from .helpers import http, stand_in

A, B = "127.0.0.1:1", "127.0.0.1:2"
MEGABYTE = 1_000_000
LETTERS = string.ascii_letters + string.digits + "-_"


def in_loop(test):
    """The test function of a coroutine function."""

    @functools.wraps(test)
    def run(**arguments):
        asyncio.run(test(**arguments))

    return run


def row(name, port=1, group=7, status="up"):
    return {
        "name": name, "address": f"127.0.0.1:{port}", "zone": "z", "type": "shared", "group": group,
        "status": status, "weight": 50.0,
    }


def real_rows(count, name_length, chance):
    """Rows as a registry has them: nothing in them repeats but zones and kinds."""
    return [
        {
            "name": "".join(chance.choices(LETTERS, k=name_length)),
            "address": f"127.{chance.randrange(256)}.{n // 250}.{n % 250}:{chance.randrange(1024, 65536)}",
            "zone": f"hall-{chance.choice('abcdef')}",
            "type": chance.choice(["bank", "retailer", "warung"]),
            "group": 10 + n // 2,
            "status": "up",
            "weight": chance.uniform(0.0, 1000.0),
            "since_ms": 1_764_990_000_000 + chance.randrange(86_400_000),
        }
        for n in range(count)
    ]


def whole(index, *rows):
    return {"index": index, "snapshot": True, "endpoints": list(rows)}


def changed(index, *rows):
    return {"index": index, "snapshot": False, "endpoints": list(rows)}


class Registry:
    """A stand-in that answers the list as it is, or nothing while it is silent."""

    def __init__(self):
        self.message, self.silent, self.queries = whole(1), False, []

    async def start(self):
        self.server, self.address = await stand_in(self.answer)
        return self

    def answer(self, head, _):
        self.queries.append(head.split(b" ")[1].decode())
        return b"" if self.silent else http(200, json.dumps(self.message).encode())


class FolderFixture:
    """Directories of processes that follow each other in one folder."""

    def __init__(self, folder, max_bytes=MAX_FILE_BYTES):
        self.folder, self.registry, self.boot = str(folder), Registry(), "boot"
        self.max_bytes = max_bytes

    async def __aenter__(self):
        await self.registry.start()
        return self

    async def __aexit__(self, *_):
        self.registry.server.close()

    def process(self, known, address=None):
        """A directory at its start, with its saver."""
        saver = ListSaver(self.folder, self.boot, self.max_bytes)
        platform = PlatformClient(address or self.registry.address)
        saved = saver.load()
        directory = RegistryDirectory(
            platform, known, saved, lambda c: saver.save(c.as_fields()), saver.stale
        )
        saver.follow(directory)
        return directory, saver

    async def started(self, known, handed=None, route_states=None, address=None):
        """The directory of a new process, and the updates that its start goes by."""
        directory, saver = self.process(known, address)
        updates = [directory.initial_list(handed, route_states)]
        saver.save_initial(beside=handed is not None)
        updates += await directory.fetch_initial()
        await directory.platform.close()
        return directory, updates


def ready(directory, updates):
    """The endpoints that get something new after these updates: name to address and destination."""
    states = {}
    for update in updates:
        states = {} if update.whole else states
        states |= {each.id: each.status for each in update.endpoints}
    up = [name for name, status in states.items() if status is EndpointStatus.READY]
    rows = directory.members.rows
    return {name: (rows[name]["address"], rows[name]["group"]) for name in up}


async def followed(fixture, known, *messages):
    """A process that is told these answers."""
    fixture.registry.silent = False
    directory, _ = await fixture.started(known)
    for message in messages:
        directory.take_answer(message, directory.clock(), directory.platform.address)
    return directory


KNOWN = whole(1, row("a1", 1, 7), row("b1", 2, 8))
REPLACED = (  # a1 drains, goes, and its address is given to an endpoint of another destination
    changed(2, row("a1", 1, 7, "draining"), row("a2", 3, 7)),
    changed(3, row("a1", 1, 7, "removed")),
    changed(4, row("b2", 1, 8)),
)
IN_FORCE = {"a2": ("127.0.0.1:3", 7), "b1": ("127.0.0.1:2", 8), "b2": ("127.0.0.1:1", 8)}

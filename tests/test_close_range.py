"""Stops during a start, a start with a full folder, and a start with all descriptors in use."""

import asyncio
import contextlib
import json
import resource
import signal
import socket
import sys
import time
import unittest
import unittest.mock

from ryestack.lifecycle.config import load
from ryestack.lifecycle.relay import Relay
from ryestack.store.journal import Journal
from ryestack.store.ledger import Ledger
from ryestack.store.owed import Owed
from ryestack.wire.server import ACCEPTED

from .helpers import Folder, config, http, listed, stand_in
from .test_lifecycle import Program

SOCKETS = 256


class Starting(Folder, unittest.IsolatedAsyncioTestCase):
    async def test_a_stop_during_the_start_or_twice_exits_cleanly_and_loses_nothing(self):
        server, agent = await stand_in(lambda *_: http(200, json.dumps(listed()).encode()))
        for at in ("begun", "recovered"):
            path = config(self.folder, agent)
            relay = Relay(load({"LB_CONFIG": path, "LB_STATE": self.folder}))
            relay.ledger.recover()
            relay.ledger.take(Owed(at, time.time() + 9.0, 7, "again", "c", "", "k", b"x"))
            relay.ledger.journal.close()
            relay.ledger.owed.clear()
            transition = relay.transition

            async def with_signals(trigger, transition=transition, relay=relay, at=at):
                if trigger == at:
                    relay.stop_requested.set()
                    relay.reload_requested.release()  # SIGHUP with it
                await transition(trigger)
                relay.stop_requested.set()

            relay.transition = with_signals
            async with asyncio.timeout(6.0):
                await relay.run()
            self.assertEqual(relay.phase, "ended")
            await relay.close()
        kept = Ledger(Journal(self.folder, 3_000_000))
        kept.recover()
        kept.journal.close()
        self.assertEqual(sorted(kept.owed), ["begun", "recovered"])
        server.close()


class Limits(Program, unittest.IsolatedAsyncioTestCase):
    async def test_ready_in_time_with_a_full_folder_and_no_discovery(self):
        """Nine in ten restarts must be ready within 10 s; an idle machine takes less than 1 s."""
        kept = Ledger(Journal(self.folder, 1_500_000))
        kept.recover()
        n, due = 0, time.time() + 60.0
        while kept.take(Owed(f"n{n}", due, 7, "again", "c", "", "k", b"x" * (20_000 if n < 25 else 1))):
            n += 1
        kept.journal.close()
        self.assertGreater(kept.live_bytes, 0.35 * 1_500_000)
        other, agent = await stand_in(lambda *_: b"")
        began = time.monotonic()
        process = await self.start("127.0.0.1:9", agent)
        took = time.monotonic() - began
        self.assertLess(took, 10.0)
        process.kill()
        await process.wait()
        other.close()

    async def test_idle_clients_that_use_all_descriptors_block_neither_registry_nor_endpoint_nor_client(self):
        calls, down, asked = [], True, asyncio.Event()

        def platform(head, _):
            if down:
                return None
            asked.set()
            unchanged = {"index": 7, "snapshot": False, "endpoints": []}
            return http(200, json.dumps(unchanged).encode())

        server, address = await stand_in(lambda head, _: calls.append(head) or http(200))
        other, agent = await stand_in(platform)
        await self.start(address, agent, ops=None)
        process = await self.limited()
        idle = []
        for _ in range(2 * SOCKETS):  # twice as many as there are descriptors: the oldest get closed
            sock = socket.socket()
            sock.setblocking(False)
            sock.connect_ex(("127.0.0.1", int(self.listen.rpartition(":")[2])))
            idle.append(sock)
            if not len(idle) % 32:
                await asyncio.sleep(0.02)
        down = False
        self.assertEqual(await self.ask("POST", "/api", **{"X-Request-Id": "full"}), ACCEPTED)
        async with asyncio.timeout(8.0):
            while not calls:
                await asyncio.sleep(0.02)
            await asked.wait()
        self.assertIsNone(process.returncode)
        process.send_signal(signal.SIGTERM)
        self.assertEqual(await asyncio.wait_for(process.wait(), 6.0), 0)
        for each in (server, other, *idle):
            each.close()

    async def limited(self):
        """Start the program again, limited to the number of descriptors in its configuration."""
        path = f"{self.folder}/config.json"
        with open(path) as file:
            document = json.load(file)
        document["limits"]["sockets"] = SOCKETS
        with open(path, "w") as file:
            json.dump(document, file)
        self.first.kill()
        await self.first.wait()
        before = resource.getrlimit(resource.RLIMIT_NOFILE)
        code = (
            f"import resource as r, runpy, sys; r.setrlimit(r.RLIMIT_NOFILE, ({SOCKETS}, {SOCKETS}));"
            "sys.argv = ['ryestack']; runpy.run_module('ryestack', run_name='__main__')"
        )
        self.program = [sys.executable, "-c", code]
        self.assertEqual(before, resource.getrlimit(resource.RLIMIT_NOFILE))
        return await self.run_it(path)

    async def run_it(self, path, **more):
        real, program = asyncio.create_subprocess_exec, getattr(self, "program", None)

        async def instead(*args, **kw):
            return await real(*(program or args), **kw)

        with contextlib.ExitStack() as stack:
            stack.enter_context(unittest.mock.patch.object(asyncio, "create_subprocess_exec", instead))
            self.first = await super().run_it(path, **more)
        return self.first


if __name__ == "__main__":
    unittest.main()

"""The relay as a process, and its configuration."""

import asyncio
import json
import os
import signal
import sys
import time
import unittest
from contextlib import suppress
from math import inf

import aiohttp

from ryestack.lab.ports import free_port
from ryestack.lifecycle.config import BadConfig, MixedDeployment, load
from ryestack.lifecycle.relay import PHASES, Relay
from ryestack.store.journal import Journal
from ryestack.store.ledger import Ledger
from ryestack.wire.server import ACCEPTED

from .helpers import Folder, config, http, listed, stand_in
from .test_wire import HEAD


class Program(Folder):
    """The program itself on loopback, with stand-ins for an endpoint and the platform."""

    async def start(self, endpoint, platform, ops=None, **change):
        return await self.run_it(await self.configured(endpoint, platform, ops, **change))

    async def configured(self, endpoint, platform, ops=None, **change):
        """Write a configuration; returns its path."""
        path = config(self.folder, platform, change=change, **({"ops": ops} if ops else {}))
        with open(path) as file:
            document = json.load(file)
        self.listen = document["listen"] = f"127.0.0.1:{free_port()}"
        document["known"]["endpoints"][0]["address"] = endpoint
        with open(path, "w") as file:
            json.dump(document, file)
        return path

    async def run_it(self, path, **more):
        """Start the program and wait until it serves; more: environment variables."""
        env = {**os.environ, "LB_CONFIG": path, "LB_STATE": self.folder, **more}
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "ryestack", env=env, stderr=asyncio.subprocess.DEVNULL
        )
        self.addCleanup(lambda: process.returncode is None and process.kill())
        for _ in range(600):
            await asyncio.sleep(0.05)
            if await self.ask("GET", "/_health") == 200:
                return process
        self.fail("the relay was not ready within 30 s")

    async def ask(self, method, path, **more):
        """The status of a request with these headers; None if there is no answer."""
        head = {**HEAD, "X-Tenant": "c", "X-Deadline": "9000m", **more}
        try:
            async with aiohttp.request(method, f"http://{self.listen}{path}", headers=head) as answer:
                return answer.status
        except aiohttp.ClientError:
            return None


class Process(Program, unittest.IsolatedAsyncioTestCase):
    async def test_one_build_serves_both_shapes_by_settings_alone(self):
        """With few connections and no customers, a rarely used connection is closed after its call. With
        connections to spare it is kept, once the endpoint has shown how it marks a last answer."""
        zones = {"zones": ["x", "y"], "grades": [{"name": "again", "effect": "keyed", "group": "zone",
                 "windowMs": 9e3, "targetMs": 2e3, "deadlineMs": 2e4}]}
        asked = {"report": {"source": "piggyback", "names": ["x0", "x1"]}, "discovery": "ask"}
        for change, opened in (({}, 2), ({**zones, **asked, "projects": None, "balancers": 2000}, 3)):
            connections = []

            async def endpoint(reader, writer, connections=connections):
                connections.append(writer)
                with suppress(asyncio.IncompleteReadError, OSError):
                    while head := await reader.readuntil(b"\r\n\r\n"):
                        size = int(head.lower().split(b"content-length: ")[1].split(b"\r\n")[0])
                        await reader.readexactly(size)
                        last = {"Connection": "close"} if b"connection: close" in head.lower() else {}
                        writer.write(http(200, **last))

            server = await asyncio.start_server(endpoint, "127.0.0.1", 0)
            other, agent = await stand_in(lambda *_: b"")
            address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
            process = await self.start(address, agent, **change)
            for name in ("n", "m", "o"):
                head = {"X-Request-Id": f"{name}{opened}", "Idempotency-Key": name, "X-Tenant": "c"}
                self.assertEqual(await self.ask("POST", "/api", **head), ACCEPTED)
                await asyncio.sleep(1.2)
            self.assertEqual(len(connections), opened)
            process.kill()
            await process.wait()
            for each in (server, other):
                each.close()

    async def test_a_kill_loses_nothing_and_a_stop_is_clean(self):
        calls, notices, silent = [], [], True

        def endpoint(head, _):
            calls.append(head.lower().split(b"x-request-id: ")[1].split(b"\r\n")[0])
            return b"" if silent else http(200)

        def platform(head, body):
            if head.startswith(b"POST /status"):
                notices.append(json.loads(body))
                return http(204)
            return b""  # the registry is silent from the start

        server, address = await stand_in(endpoint)
        other, agent = await stand_in(platform)
        process = await self.start(address, agent)
        self.assertEqual(await self.ask("POST", "/api"), ACCEPTED)
        self.assertEqual(await self.ask("POST", "/api", **{"X-Request-Id": "m", "X-Class": "once"}), ACCEPTED)
        while len(calls) < 2:
            await asyncio.sleep(0.02)
        process.kill()
        await process.wait()
        silent = False
        process = await self.run_it(f"{self.folder}/config.json")
        for _ in range(250):
            if len(calls) > 2 and notices:
                break
            await asyncio.sleep(0.02)
        self.assertEqual(calls, [b"n", b"m", b"n"])
        self.assertEqual(notices, [{"id": "m", "state": "failed"}])
        moved = asyncio.Event()
        third, new = await stand_in(lambda *_: moved.set() or http(200, json.dumps(listed()).encode()))
        for discovery in ("nowhere", new):  # an invalid file changes nothing
            config(self.folder, discovery, listen=self.listen)
            process.send_signal(signal.SIGHUP)
            await asyncio.sleep(0.1)
        await asyncio.wait_for(moved.wait(), 2.0)
        silent, began = True, time.monotonic()
        self.assertEqual(await self.ask("POST", "/api", **{"X-Request-Id": "o"}), ACCEPTED)
        process.send_signal(signal.SIGTERM)
        while await self.ask("GET", "/_health") == 200:
            await asyncio.sleep(0.01)
        self.assertEqual(await self.ask("POST", "/api", **{"X-Request-Id": "p"}), ACCEPTED)
        while await self.ask("GET", "/_health"):
            await asyncio.sleep(0.05)
        self.assertIsNone(process.returncode)
        self.assertEqual(await process.wait(), 0)
        self.assertLess(time.monotonic() - began, 3.7)
        kept = Ledger(Journal(self.folder, 3_000_000))
        kept.recover()
        kept.journal.close()
        self.assertEqual(list(kept.owed), ["o", "p"])
        for each in (server, other, third):
            each.close()


class ConnectionLimits(Folder, unittest.IsolatedAsyncioTestCase):
    async def test_connection_limits_fit_the_descriptors_with_idle_clients(self):
        for sockets in (256, 1024):
            limits = {"cores": 1.0, "memory_mb": 64, "sockets": sockets, "disk_mb": 3}
            path = config(self.folder, "127.0.0.1:1", limits=limits)
            relay = Relay(load({"LB_CONFIG": path, "LB_STATE": self.folder}))
            [listener], dispatcher = relay.parts.listeners, relay.parts.dispatcher
            self.assertLess(listener.max_connections, 0.9 * sockets / 3)
            self.assertLess(listener.max_connections + dispatcher.pool.max_connections, sockets - 20)
            await relay.close()


class Configuration(Folder, unittest.TestCase):
    def test_the_phase_table_leads_from_start_to_exit(self):
        phase, inputs = "starting", ["begun", "recovered", "asked to stop", "accepted long enough", "settled"]
        for trigger in [*inputs, "wound up"]:
            phase, _ = PHASES[phase, trigger]
        self.assertEqual(phase, "ended")

    def test_each_configuration_error_is_named_in_one_line(self):
        wrong = (
            ("listen", "x", "listen"), ("discovery", "x:y", "discovery"),
            ("ops", "x", "ops"), ("ops", 7, "ops"),
            ("settings", {}, "allowed"), ("known", {}, "index"), ("known", {"index": inf}, "infinity"),
            ("limits", {"sockets": 9, "disk_mb": inf}, "wrong kind"),
        )
        for key, bad, word in wrong:
            path = config(self.folder, **{"discovery": "127.0.0.1:1", key: bad})
            with self.assertRaisesRegex(BadConfig, word) as caught:
                load({"LB_CONFIG": path, "LB_STATE": self.folder})
            self.assertNotIn("\n", str(caught.exception))
        with self.assertRaises(BadConfig):
            load({})

    def test_a_mix_of_two_deployment_shapes_is_refused_by_its_key(self):
        zone = [{"name": "m", "effect": "keyed", "group": "zone", "targetMs": 1.0, "deadlineMs": 2.0}]
        mixed = (
            ({"report": {"names": ["x0", "x1"], "source": "silent"}}, "report.names"),
            ({"projects": [], "blend": {"worstTenant": 0.1}}, "worstTenant"),
            ({"discovery": "gossip"}, "discovery"),
            ({"grades": [{**zone[0], "group": "planet"}]}, "group"),
            ({"grades": zone, "zones": ["x", "y"]}, "windowMs"),
            ({"grades": [{**zone[0], "windowMs": 9.0}]}, "zones"),
            ({"zones": ["x"], "specifics": {"callSlots": 1, "feeByZone": [0.1, 0.0]}}, "feeByZone"),
            ({"specifics": {"callSlots": 1, "kindBatch": [1]}}, "kindBatch"),
        )
        for change, key in mixed:
            path = config(self.folder, "127.0.0.1:1", change=change)
            with self.assertRaisesRegex(MixedDeployment, key) as caught:
                load({"LB_CONFIG": path, "LB_STATE": self.folder})
            self.assertNotIn("\n", str(caught.exception))
        path = config(self.folder, "127.0.0.1:1", change={"discovery": "ask"})
        self.assertTrue(load({"LB_CONFIG": path, "LB_STATE": self.folder}).settings.asks_for_list)
        with self.assertRaisesRegex(MixedDeployment, "directory.source"):
            load({"LB_CONFIG": path, "LB_STATE": self.folder}, flags={"directory.source": "fixed"})

    def test_an_invalid_number_is_reported_by_its_key(self):
        for change, key in (({"balancers": -3}, "balancers"), ({"overShareWorth": inf}, "overShareWorth"),
                            ({"specifics": {"callSlots": True}}, "callSlots")):
            path = config(self.folder, "127.0.0.1:1", change=change)
            with self.assertRaisesRegex(BadConfig, key):
                load({"LB_CONFIG": path, "LB_STATE": self.folder})


if __name__ == "__main__":
    unittest.main()

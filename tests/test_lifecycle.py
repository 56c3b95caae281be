import asyncio
import json
import os
import signal
import sys
import tempfile
import time
import unittest
from contextlib import suppress
from math import inf
from types import SimpleNamespace
from unittest.mock import patch

import aiohttp

from ryestack import interface as it
from ryestack.interface import Result
from ryestack.lifecycle.config import BadConfig, Mixed, load
from ryestack.lifecycle.owner import Owner
from ryestack.lifecycle.relay import PHASES, Relay
from ryestack.ports import HandIn, Verdict
from ryestack.store.journal import Journal
from ryestack.store.ledger import Ledger
from ryestack.wire.server import TAKEN

from .helpers import config, http, listed, settings, stand_in, take
from .test_wire import HEAD


class Folder:
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = folder.name


class OwnerTask(Folder, unittest.IsolatedAsyncioTestCase):
    def owner(self, folder=None, allowance=100_000, **more):
        ledger = Ledger(Journal(folder or self.folder, allowance))
        ledger.recover()
        self.addCleanup(ledger.journal.close)
        made = Owner(settings(**more), 1, ledger, lambda: self.now, 1000.0)
        made.brain.round(0.0, [self.listed] if not ledger.owed else [])
        self.sent, self.told, self.last = [], [], made
        made.courier = SimpleNamespace(forget=lambda: None, hang_up=lambda _: None)
        made.courier.start = lambda _, items: self.sent.extend((i.id, i.push) for i in items)
        made.ends = SimpleNamespace(add=lambda name, notice: self.told.append((name, notice)))
        return made

    def setUp(self):
        super().setUp()
        self.now = 10.0
        self.listed = it.ListUpdate((it.Endpoint("a", "z", "shared", 7, rate=50.0),), whole=True)

    def hand_in(self, name, topic="again", due=30.0, body=b"x"):
        loop = asyncio.get_running_loop()
        return HandIn(take(name, topic, due), "", body, loop.create_future(), loop.create_future())

    def again(self, after):
        """The same relay after a kill, so many seconds later."""
        self.now += after
        self.last.ledger.journal.close()
        made = self.owner()
        made.recover(self.listed)
        self.now += 0.1  # a new route's first call comes a moment later
        made.round([it.Woken()])
        return made

    async def test_a_failed_asking_is_followed_by_another_later_each_time_until_one_goes_well(self):
        o, asked, loop = self.owner(), [], asyncio.get_running_loop()
        o.directory = SimpleNamespace(ask=lambda: asked.append(self.now))
        with patch.object(loop, "call_later"):
            for least, most in ((1.0, 2.0), (2.0, 4.0), (4.0, 8.0), (4.0, 8.0)):
                failed, told = self.now, len(asked)
                o.round([it.ListUpdate(failed=True)])
                while len(asked) == told:
                    self.now += 0.01
                    o.round([it.Woken()])
                self.assertTrue(least <= asked[-1] - failed <= most + 0.02, (least, asked[-1] - failed))
            o.round([it.ListUpdate()])
            o.round([it.ListUpdate(failed=True)])
            self.now += 2.01
            o.round([it.Woken()])
        self.assertEqual(len(asked), 5)

    async def test_journalled_then_answered_then_pushed(self):
        o, message = self.owner(), self.hand_in("n")
        o.round([message])
        self.assertEqual((message.verdict.result(), self.sent), ((Verdict.TAKEN, 0.0), [("n", 0)]))
        o.ledger.journal.close()
        read = Ledger(Journal(self.folder, 100_000))
        read.recover()
        read.journal.close()
        self.assertEqual((read.owed["n"].due, read.owed["n"].open), (1030.0, {0: 1010.0}))

    async def test_an_end_at_once_answers_and_leaves_nothing_owed(self):
        o, message = self.owner(), self.hand_in("n", due=10.0)
        o.round([message])
        self.assertEqual((message.verdict.result()[0], o.ledger.owed, self.told), (Verdict.THROTTLED, {}, []))

    async def test_a_later_end_is_a_notice_and_is_owed_until_taken(self):
        o = self.owner()
        o.round([self.hand_in("n", "once")])
        o.round([it.Outcome("n", 0, "a", Result.BROKEN)])
        self.assertEqual(self.told, [("n", {"state": "failed"})])
        again = self.again(1.0)
        self.assertEqual((self.told, self.sent), ([("n", {"state": "failed"})], []))
        again.told_platform(["n"])
        self.again(1.0)
        self.assertEqual(self.told, [])

    async def test_after_a_kill_each_is_decided_by_its_history(self):
        o = self.owner()
        o.round([self.hand_in("n", "once"), self.hand_in("m"), self.hand_in("o", "merge")])
        o.round([self.hand_in("p", "once", due=11.0), it.Outcome("m", 0, "a", Result.DELIVERED)])
        o = self.again(2.0)
        self.assertEqual(sorted(self.told), [("n", {"state": "failed"}), ("p", {"state": "failed"})])
        self.assertEqual(self.sent, [("o", 1)])
        o.told_platform(["n", "p"])
        self.again(6.0)
        self.assertEqual(self.told, [("o", {"state": "returned"})])

    async def test_a_withdrawn_one_is_forgotten(self):
        o = self.owner()
        o.round([self.hand_in("n")])
        o.round([it.Withdrawn("n")])
        self.again(1.0)
        self.assertEqual((self.sent, self.told), ([], []))

    async def test_an_id_in_use_is_malformed_and_the_first_stays(self):
        o, twice = self.owner(), self.hand_in("n")
        o.round([self.hand_in("n"), twice])
        self.assertEqual((twice.verdict.result()[0], list(o.ledger.owed)), (Verdict.UNREADABLE, ["n"]))

    async def test_many_in_one_round_do_not_overfill_the_journal(self):
        o, many = self.owner(), [self.hand_in(f"n{i}", body=b"x" * 3_000) for i in range(90)]
        o.round(many)
        statuses = [m.verdict.result()[0] for m in many]
        self.assertEqual(statuses.count(Verdict.TAKEN), 10)
        self.assertLess(o.ledger.journal.size, 50_000)

    async def test_nearly_full_refuses_and_a_full_disk_does_not_crash(self):
        o, large = self.owner(), self.hand_in("n", body=b"x" * 50_000)
        o.round([large])
        self.assertEqual(large.verdict.result()[0], Verdict.THROTTLED)
        first = self.hand_in("m")
        o.round([first])
        o.ledger.journal.append = self.no_room
        o.round([self.hand_in("p"), it.Outcome("m", 0, "a", Result.ERROR)])
        self.assertEqual(list(o.ledger.owed), ["m"])
        o.round(o.take_queue())
        self.assertNotIn("p", o.brain.held)
        o.round([it.Outcome("m", 1, "a", Result.DELIVERED)])
        self.assertEqual(o.ledger.owed, {})

    def no_room(self, _):
        raise OSError("no space left")


class Program(Folder):
    """The program itself on loopback, with stand-ins for an endpoint and the platform."""

    async def start(self, endpoint, platform, ops=None, **change):
        path = config(self.folder, platform, change=change, **({"ops": ops} if ops else {}))
        with open(path) as file:
            told = json.load(file)
        probe = await asyncio.start_server(lambda *_: None, "127.0.0.1", 0)
        self.listen = told["listen"] = f"127.0.0.1:{probe.sockets[0].getsockname()[1]}"
        probe.close()
        told["known"]["endpoints"][0]["address"] = endpoint
        with open(path, "w") as file:
            json.dump(told, file)
        return await self.run_it(path)

    async def run_it(self, path, **more):
        env = {**os.environ, "LB_CONFIG": path, "LB_STATE": self.folder, **more}
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "ryestack", env=env, stderr=asyncio.subprocess.DEVNULL
        )
        self.addCleanup(lambda: process.returncode is None and process.kill())
        for _ in range(600):
            await asyncio.sleep(0.05)
            if await self.ask("GET", "/_health") == 200:
                return process
        self.fail("it did not get ready")

    async def ask(self, method, path, **more):
        head = {**HEAD, "X-Tenant": "c", "X-Deadline": "9000m", **more}
        try:
            async with aiohttp.request(method, f"http://{self.listen}{path}", headers=head) as answer:
                return answer.status
        except aiohttp.ClientError:
            return None


class Process(Program, unittest.IsolatedAsyncioTestCase):
    async def test_one_build_serves_both_shapes_by_settings_alone(self):
        """Few connections and no customers: rare calls hang up. With connections to spare they are kept."""
        zones = {"zones": ["x", "y"], "grades": [{"name": "again", "effect": "keyed", "group": "zone",
                 "windowMs": 9e3, "targetMs": 2e3, "deadlineMs": 2e4}]}
        asked = {"report": {"source": "piggyback", "names": ["x0", "x1"]}, "discovery": "ask"}
        for change, opened in (({}, 1), ({**zones, **asked, "projects": None, "balancers": 2000}, 2)):
            connections = []

            async def endpoint(reader, writer, connections=connections):
                connections.append(writer)
                with suppress(asyncio.IncompleteReadError, OSError):
                    while head := await reader.readuntil(b"\r\n\r\n"):
                        size = int(head.lower().split(b"content-length: ")[1].split(b"\r\n")[0])
                        await reader.readexactly(size)
                        writer.write(http(200))

            server = await asyncio.start_server(endpoint, "127.0.0.1", 0)
            other, agent = await stand_in(lambda *_: b"")
            address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
            process = await self.start(address, agent, **change)
            for name in ("n", "m"):
                head = {"X-Request-Id": f"{name}{opened}", "Idempotency-Key": name, "X-Tenant": "c"}
                self.assertEqual(await self.ask("POST", "/api", **head), TAKEN)
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
        self.assertEqual(await self.ask("POST", "/api"), TAKEN)
        self.assertEqual(await self.ask("POST", "/api", **{"X-Request-Id": "m", "X-Class": "once"}), TAKEN)
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
        for discovery in ("nowhere", new):  # a bad file changes nothing
            config(self.folder, discovery, listen=self.listen)
            process.send_signal(signal.SIGHUP)
            await asyncio.sleep(0.1)
        await asyncio.wait_for(moved.wait(), 2.0)
        silent, began = True, time.monotonic()
        self.assertEqual(await self.ask("POST", "/api", **{"X-Request-Id": "o"}), TAKEN)
        process.send_signal(signal.SIGTERM)
        while await self.ask("GET", "/_health") == 200:
            await asyncio.sleep(0.01)
        self.assertEqual(await self.ask("POST", "/api", **{"X-Request-Id": "p"}), TAKEN)
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


class Bounds(Folder, unittest.IsolatedAsyncioTestCase):
    async def test_idle_clients_leave_the_front_room_and_all_fit_the_descriptors(self):
        for sockets in (256, 1024):
            limits = {"cores": 1.0, "memory_mb": 64, "sockets": sockets, "disk_mb": 3}
            path = config(self.folder, "127.0.0.1:1", limits=limits)
            relay = Relay(load({"LB_CONFIG": path, "LB_STATE": self.folder}))
            [front], courier = relay.parts.fronts, relay.parts.courier
            self.assertLess(front.most, 0.9 * sockets / 3)
            self.assertLess(front.most + courier.most, sockets - 20)
            await relay.close()


class Configuration(Folder, unittest.TestCase):
    def test_phases_lead_from_start_to_exit(self):
        phase, inputs = "starting", ["begun", "recovered", "asked to stop", "accepted long enough", "settled"]
        for heard in [*inputs, "wound up"]:
            phase, _ = PHASES[phase, heard]
        self.assertEqual(phase, "ended")

    def test_what_is_wrong_is_named_in_one_line(self):
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

    def test_a_mix_of_two_shapes_is_refused_by_its_key(self):
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
            with self.assertRaisesRegex(Mixed, key) as caught:
                load({"LB_CONFIG": path, "LB_STATE": self.folder})
            self.assertNotIn("\n", str(caught.exception))
        path = config(self.folder, "127.0.0.1:1", change={"discovery": "ask"})
        self.assertTrue(load({"LB_CONFIG": path, "LB_STATE": self.folder}).settings.asks_for_list)
        with self.assertRaisesRegex(Mixed, "directory.source"):
            load({"LB_CONFIG": path, "LB_STATE": self.folder}, flags={"directory.source": "fixed"})

    def test_a_number_that_cannot_be_one_is_named(self):
        for change, key in (({"balancers": -3}, "balancers"), ({"overShareWorth": inf}, "overShareWorth"),
                            ({"specifics": {"callSlots": True}}, "callSlots")):
            path = config(self.folder, "127.0.0.1:1", change=change)
            with self.assertRaisesRegex(BadConfig, key):
                load({"LB_CONFIG": path, "LB_STATE": self.folder})


if __name__ == "__main__":
    unittest.main()

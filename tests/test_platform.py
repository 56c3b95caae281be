"""The platform: the list and its watch, notices, and final answers without a platform."""

import asyncio
import json
import tempfile
import unittest
from math import inf
from unittest.mock import patch

import aiohttp

from ryestack.interface import EndpointStatus
from ryestack.wire.calls import CallDispatcher
from ryestack.wire.files import FileNotices
from ryestack.wire.fixed_directory import FixedDirectory
from ryestack.wire.members import BadList, Members
from ryestack.wire.notices import PlatformNotices
from ryestack.wire.platform import MAX_ANSWER_BYTES, PlatformClient
from ryestack.wire.registry_watch import watch

from .helpers import http, keep_connections, listed, members, push_message, settings, stand_in


class PlatformTest(unittest.IsolatedAsyncioTestCase):
    def test_a_removed_row_may_leave_out_known_fields(self):
        endpoints = members()
        row = {"name": "a", "status": "removed"}
        update = endpoints.apply_list({"index": 2, "snapshot": False, "endpoints": [row]})
        endpoint = update.endpoints[0]
        self.assertEqual((endpoint.status, endpoint.destination), (EndpointStatus.GONE, 7))

    def test_a_destination_outlives_its_endpoints_for_a_while(self):
        now = 5.0
        endpoints = Members(lambda: now)
        endpoints.apply_list(listed())
        removed = {"name": "a", "status": "removed"}
        endpoints.apply_list({"index": 2, "snapshot": False, "endpoints": [removed]})
        endpoints.drop_removed()
        self.assertEqual((endpoints.rows, endpoints.has(7)), ({}, True))
        now = 66.0
        self.assertEqual((endpoints.has(7), endpoints.emptied_at), (False, {}))

    async def test_at_the_limit_the_longest_idle_connection_is_evicted(self):
        events = asyncio.Queue()
        server, address = await stand_in(lambda *_: http(200))
        clock = asyncio.get_running_loop().time
        calls = CallDispatcher(
            settings(connection_idle=5.0), members(address=address), clock, events.put_nowait, 2
        )
        keep_connections(calls, "a")
        for names in ("no", "p"):
            for name in names:
                calls.start("a", [push_message(name, 0, 1.0, "", b"", None)])
            await events.get()
        oldest, *_ = sorted(calls.pool.connections, key=lambda c: c.idle_since)
        await asyncio.sleep(0.01)
        calls.pool.make_room(len(set(calls.running.values())))
        await asyncio.sleep(0.01)
        self.assertNotIn(oldest, calls.pool.connections)
        await calls.close()
        server.close()

    def test_an_endpoint_listed_again_before_it_was_dropped_stays(self):
        endpoints, row = members(), listed()["endpoints"][0]
        endpoints.apply_list({**listed(index=2), "endpoints": []})
        endpoints.apply_list({"index": 3, "snapshot": False, "endpoints": [{**row, "name": "b"}, row]})
        self.assertEqual((endpoints.drop_removed(), sorted(endpoints.rows)), (set(), ["a", "b"]))

    def test_infinite_numbers_make_a_bad_row_or_a_bad_list(self):
        endpoints, row = members(), listed()["endpoints"][0]
        rows = [{**row, "weight": inf}, {**row, "group": inf}, {"name": "a", "weight": 2}]
        update = endpoints.apply_list({"index": 2, "snapshot": False, "endpoints": rows})
        self.assertEqual([(e.id, e.rate) for e in update.endpoints], [("a", 2.0)])
        with self.assertRaises(BadList):
            endpoints.apply_list({"index": inf, "snapshot": False, "endpoints": []})

    async def test_an_answer_of_the_platform_over_the_size_limit_is_abandoned(self):
        server, address = await stand_in(lambda *_: http(200, b"x" * (MAX_ANSWER_BYTES + 1)))
        platform = PlatformClient(address)
        with self.assertRaises(aiohttp.ClientError):
            await platform.request("GET", "/", 3.0)
        await platform.close()
        server.close()

    def test_a_row_that_cannot_be_read_does_not_affect_the_others(self):
        endpoints = members()
        rows = [{"status": "up"}, 5, {"name": "b", "status": "up"}, {"name": "a", "status": "odd"}]
        update = endpoints.apply_list({"index": 3, "snapshot": False, "endpoints": rows})
        self.assertEqual([(e.id, e.status) for e in update.endpoints], [("a", EndpointStatus.DRAINING)])
        with self.assertRaises(BadList):
            endpoints.apply_list({"index": "x"})

    async def test_the_watch_continues_after_a_bad_answer(self):
        answers, updates = [http(500), http(200, b"{"), None], asyncio.Queue()
        good = b'{"index":5,"snapshot":false,"endpoints":[{"name":"a","status":"draining"}]}'
        server, address = await stand_in(lambda *_: answers.pop(0) if answers else http(200, good))
        endpoints, platform = members(), PlatformClient(address)
        task = asyncio.ensure_future(watch(platform, endpoints, updates.put_nowait))
        for left in (2, 1):  # after a failure there is no request before a refresh is requested
            self.assertTrue((await asyncio.wait_for(updates.get(), 3.0)).failed)
            await asyncio.sleep(0.25)
            self.assertEqual(len(answers), left)
            platform.refresh_requested.set()
        update = await asyncio.wait_for(updates.get(), 3.0)
        task.cancel()
        await platform.close()
        server.close()
        self.assertEqual((update.endpoints[0].status, endpoints.index), (EndpointStatus.DRAINING, 5))

    async def test_a_silent_or_malformed_registry_leaves_the_old_list_and_a_failure_is_published(self):
        malformed = (b"[]", b'{"index":"x"}', b"[" * 9000, b'{"index":1,"endpoints":5}')
        for answer in (b"", None, http(503), *(http(200, body) for body in malformed)):
            server, address = await stand_in(lambda *_, answer=answer: answer)
            endpoints, updates, platform = members(), asyncio.Queue(), PlatformClient(address)
            with patch("ryestack.membership.following.GRACE_S", 0.1):
                task = asyncio.ensure_future(watch(platform, endpoints, updates.put_nowait))
                update = await asyncio.wait_for(updates.get(), 3.0)
            task.cancel()
            await platform.close()
            server.close()
            found = update.failed, update.endpoints, endpoints.listed_names()
            self.assertEqual(found, (True, (), ["a"]), answer)

    async def test_notices_are_sent_until_accepted_and_a_bad_one_does_not_block_the_others(self):
        done, bodies = asyncio.Queue(), []

        def answer(_, body):
            bodies.append(body)
            return http(400 if b'"m"' in body else 204)

        server, address = await stand_in(answer)
        platform = PlatformClient(address)
        notices = PlatformNotices(platform, done.put_nowait)
        for name in "nmo":
            notices.add(name, {"state": "returned", "after_ms": 5})
        task = asyncio.ensure_future(notices.run())
        names = [await asyncio.wait_for(done.get(), 3.0) for _ in range(2)]
        task.cancel()
        await platform.close()
        server.close()
        self.assertEqual(names, [["n"], ["o"]])
        self.assertEqual(bodies[1], b'{"id":"n","state":"returned","after_ms":5}\n')

    async def test_a_move_aborts_the_watch_and_requests_the_whole_list_at_the_new_address(self):
        heads, updates = asyncio.Queue(), asyncio.Queue()
        new = json.dumps(listed(index=2)).encode()  # a lower version than the old registry's
        old_server, old = await stand_in(lambda head, _: heads.put_nowait(head) or b"")
        server, address = await stand_in(lambda head, _: heads.put_nowait(head) or http(200, new))
        endpoints, platform = members(index=9), PlatformClient(old)
        task = asyncio.ensure_future(watch(platform, endpoints, updates.put_nowait))
        self.assertIn(b"from=9", await heads.get())
        self.assertTrue(platform.move(address))
        update = await asyncio.wait_for(updates.get(), 1.0)
        task.cancel()
        await platform.close()
        old_server.close()
        server.close()
        self.assertEqual((update.whole, endpoints.index), (True, 2))
        self.assertIn(b"/catalog/members HTTP", await heads.get())

    async def test_a_notice_in_flight_at_a_move_is_sent_again(self):
        done, requests = asyncio.Queue(), asyncio.Queue()
        old_server, old = await stand_in(lambda *_: requests.put_nowait(1) or b"")
        server, address = await stand_in(lambda *_: http(204))
        platform = PlatformClient(old)
        notices = PlatformNotices(platform, done.put_nowait)
        notices.add("n", {"state": "failed"})
        task = asyncio.ensure_future(notices.run())
        await requests.get()
        platform.move(address)
        self.assertEqual(await asyncio.wait_for(done.get(), 1.0), ["n"])
        task.cancel()
        await platform.close()
        old_server.close()
        server.close()


class WithoutPlatformTest(unittest.IsolatedAsyncioTestCase):
    async def test_notices_in_a_file_are_reported_once_stored_and_retried_after_errors(self):
        with tempfile.TemporaryDirectory() as folder:
            stored, path = [], f"{folder}/none/ends"
            notices = FileNotices(path, stored.extend)
            notices.add("n", {"state": "failed"})
            task = asyncio.ensure_future(notices.run())
            await asyncio.sleep(0.05)
            self.assertEqual((stored, notices.pending_count()), ([], 1))
            notices.path = f"{folder}/ends"
            with open(notices.path, "w") as file:
                file.write('{"id": "torn by a k')
            notices.add("m", {"state": "returned", "after_ms": 5})
            async with asyncio.timeout(5.0):
                while len(stored) < 2:
                    await asyncio.sleep(0.02)
            task.cancel()
            with open(notices.path) as file:
                self.assertEqual([json.loads(line)["id"] for line in list(file)[1:]], ["n", "m"])

    async def test_a_fixed_list_requests_nothing(self):
        platform = PlatformClient("127.0.0.1:9")
        fixed, updates = FixedDirectory(platform, listed()), []
        self.assertEqual([e.id for e in fixed.initial_list().endpoints], ["a"])
        with self.assertRaises(TimeoutError):
            await asyncio.wait_for(fixed.run(updates.append), 0.05)
        await platform.close()
        self.assertEqual(updates, [])


if __name__ == "__main__":
    unittest.main()

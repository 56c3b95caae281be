"""The platform's side: the list and its watch, notices, ends without a platform."""

import asyncio
import json
import tempfile
import unittest
from math import inf
from unittest.mock import patch

import aiohttp

from ryestack.interface import Listed
from ryestack.ports import PushMessage
from ryestack.wire.calls import CallDispatcher
from ryestack.wire.files import FileNotices
from ryestack.wire.members import BadList, FixedDirectory, Members, watch
from ryestack.wire.notices import PlatformNotices
from ryestack.wire.platform import MAX_ANSWER_BYTES, PlatformClient

from .helpers import http, listed, members, settings, stand_in


class FromThePlatform(unittest.IsolatedAsyncioTestCase):
    def test_a_removed_entry_may_leave_out_what_is_known(self):
        at = members()
        row = {"name": "a", "status": "removed"}
        update = at.apply_list({"index": 2, "snapshot": False, "endpoints": [row]})
        self.assertEqual((update.endpoints[0].listed, update.endpoints[0].destination), (Listed.GONE, 7))

    def test_a_destination_outlives_its_endpoints_for_a_while(self):
        now = 5.0
        at = Members(lambda: now)
        at.apply_list(listed())
        at.apply_list({"index": 2, "snapshot": False, "endpoints": [{"name": "a", "status": "removed"}]})
        at.drop_removed()
        self.assertEqual((at.rows, at.has(7)), ({}, True))
        now = 66.0
        self.assertEqual((at.has(7), at.emptied_at), (False, {}))

    async def test_at_the_bound_the_longest_idle_connection_makes_room(self):
        told = asyncio.Queue()
        server, address = await stand_in(lambda *_: http(200))
        clock = asyncio.get_running_loop().time
        calls = CallDispatcher(
            settings(connection_idle=5.0), members(address=address), clock, told.put_nowait, 2
        )
        for names in ("no", "p"):
            for name in names:
                calls.start("a", [PushMessage(name, 0, 1.0, "", b"", None)])
            await told.get()
        oldest, *_ = sorted(calls.open_connections, key=lambda r: r.idle_since)
        await asyncio.sleep(0.01)
        calls.evict_at_limit()
        await asyncio.sleep(0.01)
        self.assertNotIn(oldest, calls.open_connections)
        await calls.close()
        server.close()

    def test_one_that_is_listed_again_before_it_was_dropped_stays(self):
        at, row = members(), listed()["endpoints"][0]
        at.apply_list({**listed(index=2), "endpoints": []})
        at.apply_list({"index": 3, "snapshot": False, "endpoints": [{**row, "name": "b"}, row]})
        self.assertEqual((at.drop_removed(), sorted(at.rows)), (set(), ["a", "b"]))

    def test_odd_numbers_in_a_list_are_bad_rows_or_a_bad_list(self):
        at, row = members(), listed()["endpoints"][0]
        rows = [{**row, "weight": inf}, {**row, "group": inf}, {"name": "a", "weight": 2}]
        update = at.apply_list({"index": 2, "snapshot": False, "endpoints": rows})
        self.assertEqual([(e.id, e.rate) for e in update.endpoints], [("a", 2.0)])
        with self.assertRaises(BadList):
            at.apply_list({"index": inf, "snapshot": False, "endpoints": []})

    async def test_an_answer_of_the_platform_without_bounds_is_given_up(self):
        server, address = await stand_in(lambda *_: http(200, b"x" * (MAX_ANSWER_BYTES + 1)))
        platform = PlatformClient(address)
        with self.assertRaises(aiohttp.ClientError):
            await platform.request("GET", "/", 3.0)
        await platform.close()
        server.close()

    def test_an_entry_that_cannot_be_read_hides_no_other(self):
        at = members()
        rows = [{"status": "up"}, 5, {"name": "b", "status": "up"}, {"name": "a", "status": "odd"}]
        update = at.apply_list({"index": 3, "snapshot": False, "endpoints": rows})
        self.assertEqual([(e.id, e.listed) for e in update.endpoints], [("a", Listed.DRAINING)])
        with self.assertRaises(BadList):
            at.apply_list({"index": "x"})

    async def test_the_watch_goes_on_after_a_bad_answer(self):
        answers, told = [http(500), http(200, b"{"), None], asyncio.Queue()
        good = b'{"index":5,"snapshot":false,"endpoints":[{"name":"a","status":"draining"}]}'
        server, address = await stand_in(lambda *_: answers.pop(0) if answers else http(200, good))
        at, platform = members(), PlatformClient(address)
        task = asyncio.ensure_future(watch(platform, at, told.put_nowait))
        for left in (2, 1):  # a registry that fails is not asked again before it is decided
            self.assertTrue((await asyncio.wait_for(told.get(), 3.0)).failed)
            await asyncio.sleep(0.25)
            self.assertEqual(len(answers), left)
            platform.refresh_requested.set()
        update = await asyncio.wait_for(told.get(), 3.0)
        task.cancel()
        await platform.close()
        server.close()
        self.assertEqual((update.endpoints[0].listed, at.index), (Listed.DRAINING, 5))

    async def test_a_registry_that_hangs_or_talks_nonsense_leaves_the_old_list_and_is_told_as_failed(self):
        odd = (b"[]", b'{"index":"x"}', b"[" * 9000, b'{"index":1,"endpoints":5}')
        for said in (b"", None, http(503), *(http(200, body) for body in odd)):
            server, address = await stand_in(lambda *_, said=said: said)
            at, told, platform = members(), asyncio.Queue(), PlatformClient(address)
            with patch("ryestack.membership.following.GRACE_S", 0.1):
                task = asyncio.ensure_future(watch(platform, at, told.put_nowait))
                update = await asyncio.wait_for(told.get(), 3.0)
            task.cancel()
            await platform.close()
            server.close()
            self.assertEqual((update.failed, update.endpoints, at.listed_names()), (True, (), ["a"]), said)

    async def test_notices_are_sent_until_taken_and_a_bad_one_holds_up_none(self):
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

    async def test_a_move_breaks_off_the_watch_and_asks_for_the_whole_list_at_the_new_address(self):
        heads, told = asyncio.Queue(), asyncio.Queue()
        new = json.dumps(listed(index=2)).encode()  # a version below the old one's
        old_server, old = await stand_in(lambda head, _: heads.put_nowait(head) or b"")
        server, address = await stand_in(lambda head, _: heads.put_nowait(head) or http(200, new))
        at, platform = members(index=9), PlatformClient(old)
        task = asyncio.ensure_future(watch(platform, at, told.put_nowait))
        self.assertIn(b"from=9", await heads.get())
        self.assertTrue(platform.move(address))
        update = await asyncio.wait_for(told.get(), 1.0)
        task.cancel()
        await platform.close()
        old_server.close()
        server.close()
        self.assertEqual((update.whole, at.index), (True, 2))
        self.assertIn(b"/catalog/members HTTP", await heads.get())

    async def test_a_notice_on_its_way_at_a_move_is_sent_anew(self):
        done, seen = asyncio.Queue(), asyncio.Queue()
        old_server, old = await stand_in(lambda *_: seen.put_nowait(1) or b"")
        server, address = await stand_in(lambda *_: http(204))
        platform = PlatformClient(old)
        notices = PlatformNotices(platform, done.put_nowait)
        notices.add("n", {"state": "failed"})
        task = asyncio.ensure_future(notices.run())
        await seen.get()
        platform.move(address)
        self.assertEqual(await asyncio.wait_for(done.get(), 1.0), ["n"])
        task.cancel()
        await platform.close()
        old_server.close()
        server.close()


class WithoutThePlatform(unittest.IsolatedAsyncioTestCase):
    async def test_ends_into_a_file_are_told_once_they_are_there_and_wait_for_room(self):
        with tempfile.TemporaryDirectory() as folder:
            told, path = [], f"{folder}/none/ends"
            ends = FileNotices(path, told.extend)
            ends.add("n", {"state": "failed"})
            task = asyncio.ensure_future(ends.run())
            await asyncio.sleep(0.05)
            self.assertEqual((told, ends.pending_count()), ([], 1))
            ends.path = f"{folder}/ends"
            with open(ends.path, "w") as file:
                file.write('{"id": "torn by a k')
            ends.add("m", {"state": "returned", "after_ms": 5})
            async with asyncio.timeout(5.0):
                while len(told) < 2:
                    await asyncio.sleep(0.02)
            task.cancel()
            with open(ends.path) as file:
                self.assertEqual([json.loads(line)["id"] for line in list(file)[1:]], ["n", "m"])

    async def test_a_fixed_list_asks_nobody(self):
        platform = PlatformClient("127.0.0.1:9")
        fixed, told = FixedDirectory(platform, listed()), []
        self.assertEqual([e.id for e in fixed.initial_list().endpoints], ["a"])
        with self.assertRaises(TimeoutError):
            await asyncio.wait_for(fixed.run(told.append), 0.05)
        await platform.close()
        self.assertEqual(told, [])


if __name__ == "__main__":
    unittest.main()

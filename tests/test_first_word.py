"""The list at a start, and after failures that the decisions make nothing of: real sockets."""

import asyncio
import json
import unittest
from unittest import mock

from ryestack import interface as it
from ryestack.lifecycle.config import load
from ryestack.lifecycle.relay import Relay
from ryestack.membership import following
from ryestack.store.owed import Owed
from ryestack.wire import members as directory
from ryestack.wire.members import watch
from ryestack.wire.platform import PlatformClient

from .helpers import Folder, config, http, listed, members, stand_in

DRAINED = {"index": 2, "snapshot": False, "endpoints": [{"name": "a", "status": "draining"}]}


class FirstWord(Folder, unittest.IsolatedAsyncioTestCase):
    async def recovered(self, answer):
        """What a start pushes of a notification that an earlier life took on, and how long it took."""
        server, agent = await stand_in(answer)
        path = config(self.folder, agent)
        relay = Relay(load({"LB_CONFIG": path, "LB_STATE": self.folder}))
        relay.ledger.recover()
        relay.ledger.take(Owed("n", relay.clock() + relay.owner.wall + 9.0, 7, "again", "c", "", "k", b"x"))
        relay.ledger.journal.close()
        relay.ledger.owed.clear()
        began, started = relay.clock(), []
        relay.owner.dispatcher = mock.Mock(start=lambda at, items: started.extend(i.id for i in items))
        await relay.recover()
        took = relay.clock() - began
        await relay.close()
        server.close()
        return started, took

    async def test_what_the_agent_has_counts_before_the_first_push_of_a_new_process(self):
        said = http(200, json.dumps(DRAINED).encode())
        self.assertEqual((await self.recovered(lambda *_: said))[0], [])

    async def test_an_agent_that_is_down_holds_no_start_up(self):
        for answer in (lambda *_: b"", lambda *_: http(500), lambda *_: http(200, b"[[")):
            started, took = await self.recovered(answer)
            self.assertEqual(started, ["n"])
            self.assertLess(took, directory.INITIAL_FETCH_TIMEOUT_S + 0.3)
            self.tearDown()
            self.setUp()

    async def test_a_watch_goes_on_within_its_rest_though_nobody_asks(self):
        heads, told = [], asyncio.Queue()

        def agent(head, _):
            heads.append(head)
            return http(503) if len(heads) < 4 else http(200, json.dumps(listed(index=9)).encode())

        server, address = await stand_in(agent)
        platform, at = PlatformClient(address), members()
        delays = dict.fromkeys(following.MAX_RETRY_DELAY_BY_STATE_S, 0.2)
        with mock.patch.object(following, "MAX_RETRY_DELAY_BY_STATE_S", delays):
            task = asyncio.ensure_future(watch(platform, at, told.put_nowait))
            for _ in range(3):
                self.assertTrue((await asyncio.wait_for(told.get(), 2.0)).failed)
            self.assertEqual((await asyncio.wait_for(told.get(), 2.0)).whole, True)
        self.assertFalse(platform.refresh_requested.is_set())
        task.cancel()
        await platform.close()
        server.close()

    async def test_a_move_by_sighup_at_once_with_a_failed_call_and_with_half_an_answer(self):
        """The old address fails, or stops within an answer, in the very turn in which the new one is told."""
        for half in (http(503), b"HTTP/1.1 200 x\r\nContent-Length: 900\r\n\r\n{\"index\":"):
            told, seen = asyncio.Queue(), asyncio.Event()

            def old(*_, half=half, seen=seen):
                asyncio.get_running_loop().call_soon(seen.set)
                return half

            server, address = await stand_in(old)
            other, new = await stand_in(lambda *_: http(200, json.dumps(listed(index=5)).encode()))
            platform, at = PlatformClient(address), members()
            task = asyncio.ensure_future(watch(platform, at, told.put_nowait))
            await asyncio.wait_for(seen.wait(), 2.0)
            platform.move(new)
            while (update := await asyncio.wait_for(told.get(), 2.0)).failed:
                pass
            self.assertIsInstance(update, it.ListUpdate)
            self.assertEqual(at.index, 5)
            self.assertFalse(task.done())
            task.cancel()
            await platform.close()
            for each in (server, other):
                each.close()


if __name__ == "__main__":
    unittest.main()

"""The list at a start, and after failures for which no refresh is requested, on real sockets."""

import asyncio
import json
import unittest
from unittest import mock

from ryestack import interface
from ryestack.lifecycle.config import load
from ryestack.lifecycle.relay import Relay
from ryestack.membership import following
from ryestack.store.owed import Owed
from ryestack.wire import registry_directory
from ryestack.wire.platform import PlatformClient
from ryestack.wire.registry_watch import watch

from .helpers import Folder, config, http, listed, members, stand_in

DRAINED = {"index": 2, "snapshot": False, "endpoints": [{"name": "a", "status": "draining"}]}


class InitialListTest(Folder, unittest.IsolatedAsyncioTestCase):
    async def recovered(self, answer):
        """The ids that a start pushes of what an earlier process accepted, and how long it takes."""
        server, agent = await stand_in(answer)
        path = config(self.folder, agent)
        relay = Relay(load({"LB_CONFIG": path, "LB_STATE": self.folder}))
        relay.ledger.recover()
        relay.ledger.take(Owed("n", relay.clock() + relay.owner.wall + 9.0, 7, "again", "c", "", "k", b"x"))
        relay.ledger.journal.close()
        relay.ledger.owed.clear()
        began, started = relay.clock(), []
        relay.owner.dispatcher = mock.Mock(start=lambda _, messages: started.extend(m.id for m in messages))
        await relay.recover()
        elapsed = relay.clock() - began
        await relay.close()
        server.close()
        return started, elapsed

    async def test_the_agents_list_is_in_force_before_the_first_push_of_a_new_process(self):
        answer = http(200, json.dumps(DRAINED).encode())
        self.assertEqual((await self.recovered(lambda *_: answer))[0], [])

    async def test_an_agent_that_is_down_does_not_delay_a_start(self):
        for answer in (lambda *_: b"", lambda *_: http(500), lambda *_: http(200, b"[[")):
            started, elapsed = await self.recovered(answer)
            self.assertEqual(started, ["n"])
            self.assertLess(elapsed, registry_directory.INITIAL_FETCH_TIMEOUT_S + 0.3)
            self.tearDown()
            self.setUp()

    async def test_a_watch_retries_within_the_maximum_delay_without_a_refresh(self):
        heads, updates = [], asyncio.Queue()

        def agent(head, _):
            heads.append(head)
            return http(503) if len(heads) < 4 else http(200, json.dumps(listed(index=9)).encode())

        server, address = await stand_in(agent)
        platform, endpoints = PlatformClient(address), members()
        with mock.patch.object(following, "REQUEST_INTERVAL_S", 0.2):
            task = asyncio.ensure_future(watch(platform, endpoints, updates.put_nowait))
            for _ in range(3):
                self.assertTrue((await asyncio.wait_for(updates.get(), 2.0)).failed)
            self.assertEqual((await asyncio.wait_for(updates.get(), 2.0)).whole, True)
        self.assertFalse(platform.refresh_requested.is_set())
        task.cancel()
        await platform.close()
        server.close()

    async def test_a_move_by_sighup_at_the_moment_of_a_failed_request_or_an_incomplete_answer(self):
        """The old address fails, or stops within an answer, in the loop iteration that sets the new one."""
        for answer in (http(503), b"HTTP/1.1 200 x\r\nContent-Length: 900\r\n\r\n{\"index\":"):
            updates, requested = asyncio.Queue(), asyncio.Event()

            def old(*_, answer=answer, requested=requested):
                asyncio.get_running_loop().call_soon(requested.set)
                return answer

            server, address = await stand_in(old)
            new_server, new = await stand_in(lambda *_: http(200, json.dumps(listed(index=5)).encode()))
            platform, endpoints = PlatformClient(address), members()
            task = asyncio.ensure_future(watch(platform, endpoints, updates.put_nowait))
            await asyncio.wait_for(requested.wait(), 2.0)
            platform.move(new)
            while (update := await asyncio.wait_for(updates.get(), 2.0)).failed:
                pass
            self.assertIsInstance(update, interface.ListUpdate)
            self.assertEqual(endpoints.index, 5)
            self.assertFalse(task.done())
            task.cancel()
            await platform.close()
            for each in (server, new_server):
                each.close()


if __name__ == "__main__":
    unittest.main()

"""Real processes that are upgraded or killed while the registry is silent."""

import asyncio
import random
import signal
import unittest

import aiohttp

from ryestack.lab.ports import free_port
from ryestack.store.list_file import MAX_ENDPOINTS
from ryestack.wire.client_answers import ACCEPTED

from .helpers import http, listed, stand_in
from .list_processes import Registry, real_rows, row, whole
from .test_lifecycle import Program


class Processes(Program, unittest.IsolatedAsyncioTestCase):
    """Real processes: an upgrade or a kill while the registry is silent."""

    async def successor(self):
        """Start a process in the same folder and wait until it serves itself."""
        ops = f"127.0.0.1:{free_port()}"
        process = await self.run_it(f"{self.folder}/config.json", LB_OPS=ops)
        async with asyncio.timeout(10.0), aiohttp.ClientSession() as session:
            while True:
                try:
                    async with session.get(f"http://{ops}/-/ready") as answer:
                        if answer.status == 200:
                            return process
                except aiohttp.ClientError:
                    await asyncio.sleep(0.02)

    async def play(self, kill: bool, more_rows=()) -> list[str]:
        """Where a message for destination 7 goes after a start in an outage.

        more_rows: that the registry's list has from its second version on.
        """
        calls = []

        def endpoint(name):
            return lambda *_: calls.append(name) or http(200)

        reused, reused_address = await stand_in(endpoint("reused"))
        second, second_address = await stand_in(endpoint("a2"))
        registry = await Registry().start()
        registry.message = listed(reused_address)
        process = await self.start(reused_address, registry.address)
        rows = [{**row("a2"), "address": second_address}, {**row("b", group=8), "address": reused_address}]
        registry.message = whole(2, *rows, *more_rows)
        await asyncio.sleep(2.0)
        registry.silent = True
        if kill:
            process.kill()
            await process.wait()
        successor = await self.successor()
        if not kill:
            process.send_signal(signal.SIGTERM)
            await process.wait()
        self.assertEqual(await self.ask("POST", "/api", **{"X-Request-Id": "after"}), ACCEPTED)
        await asyncio.sleep(0.5)
        successor.kill()
        await successor.wait()
        for each in (reused, second, registry.server):
            each.close()
        return calls

    async def test_after_an_upgrade_in_an_outage_no_message_goes_to_another_destinations_endpoint(self):
        # The review's first case: the successor went by the configuration's old list.
        self.assertEqual(await self.play(kill=False), ["a2"])

    async def test_after_a_kill_in_an_outage_no_message_goes_to_another_destinations_endpoint(self):
        # The same with SIGKILL and a start with the same configuration.
        self.assertEqual(await self.play(kill=True), ["a2"])

    async def test_after_a_kill_in_an_outage_a_list_that_grew_to_3200_endpoints_is_forgotten(self):
        # Review case 7: it took more than its part of the folder, so the start went by the smaller one.
        rows = real_rows(MAX_ENDPOINTS - 2, 34, random.Random(7))
        self.assertEqual(await self.play(kill=True, more_rows=rows), ["a2"])

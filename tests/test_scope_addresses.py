"""Destinations that leave a relay's scope while they are owed messages, and addresses that pass on."""

import asyncio
import time
import unittest

from ryestack.control.holdings import HoldingsSnapshot
from ryestack.interface import EndpointStatus
from ryestack.lifecycle.scope.destinations import ScopedMembers
from ryestack.store import scope_file
from ryestack.store.scope_file import SavedScope
from ryestack.wire.client_answers import ACCEPTED

from .control_server import until
from .helpers import http, stand_in
from .test_control_relay import Scoped, change, destination

PAST_FIRST_TRY_S = 0.4


def members(*entries):
    """Destination 7 at address a:1, and these entries."""
    scope = ScopedMembers(lambda: 0.0)
    scope.change([destination(7, "a:1"), *entries], [], 1)
    return scope


class PassedOn(unittest.TestCase):
    def test_endpoint_of_a_destination_that_left_is_used_once_another_one_has_its_address(self):
        # What was owed to it was sent to the other destination's process.
        scope = members()
        scope.change([], ["destination/7"], 2)
        self.assertIsNotNone(scope.target("0@7"))
        update = scope.change([destination(8, "b:1", "a:1")], [], 3)
        drained = [row.id for row in update.endpoints if row.status is EndpointStatus.DRAINING]
        self.assertEqual((drained, scope.target("0@7")), (["0@7"], None))

    def test_address_that_passes_on_in_the_very_change_by_which_its_destination_leaves_is_used(self):
        scope = members()
        scope.change([destination(8, "a:1")], ["destination/7"], 2)
        self.assertIsNone(scope.target("0@7"))

    def test_destination_that_shares_an_address_loses_what_it_is_owed_as_it_leaves(self):
        # Destinations may share an address: it stays right as long as no other endpoint takes it.
        scope = members(destination(8, "a:1"))
        scope.change([], ["destination/7"], 2)
        scope.change([destination(8, "a:1", weight=3.0)], [], 3)
        self.assertIsNotNone(scope.target("0@7"))
        scope.change([destination(9, "a:1")], [], 4)
        self.assertIsNone(scope.target("0@7"))
        self.assertIsNotNone(scope.target("0@8"))

    def test_endpoint_stays_displaced_after_its_destination_has_come_back(self):
        scope = members()
        scope.change([destination(8, "a:1")], ["destination/7"], 2)
        scope.change([destination(7, "c:1")], [], 3)
        self.assertEqual(scope.target("0@7").address, "c:1")

    def test_next_process_uses_an_endpoint_that_was_displaced(self):
        scope = members()
        scope.change([destination(8, "a:1")], ["destination/7"], 2)
        [left] = scope.leaving_entries()
        self.assertNotIn(b"a:1", left.value)


class Processes(Scoped, unittest.IsolatedAsyncioTestCase):
    async def setup_partners(self, first_status):
        """A partner that answers this status; the paths of its calls."""
        calls = []

        def answer(head, body):
            calls.append(head)
            return http(first_status)

        server, address = await stand_in(answer)
        self.addCleanup(server.close)
        return server, address, calls

    async def play(self, restart):
        """Destination 7 owes a message, leaves, and destination 8 gets its address.

        restart: whether the relay is killed and started again in between. Returns the calls at 8's partner.
        """
        server, address, _ = await self.setup_partners(503)
        process = await self.begin(change(destination(7, address)))
        await self.applied(1)
        self.assertEqual(await self.hand_in("owed"), ACCEPTED)
        await asyncio.sleep(PAST_FIRST_TRY_S)
        await self.applied(self.server.change(("destination/7", "eu/3", None)))
        if restart:
            process.kill()
            await process.wait()
            await self.go()
        server.close()
        calls = []

        def refuse(reader, writer):
            calls.append(time.monotonic())
            writer.close()

        newcomer = await asyncio.start_server(refuse, "127.0.0.1", int(address.rpartition(":")[2]))
        self.addCleanup(newcomer.close)
        await self.applied(self.server.change(change(destination(8, address))))
        calls.clear()  # of the moment before the relay was told
        await asyncio.sleep(3.0)
        return calls

    async def test_message_owed_to_a_deleted_destination_is_sent_to_the_one_that_has_its_address(self):
        # Review case 6: all that was owed went there within a second.
        self.assertEqual(await self.play(restart=False), [])

    async def test_message_owed_to_a_deleted_destination_is_sent_there_by_the_next_process(self):
        self.assertEqual(await self.play(restart=True), [])

    async def test_start_takes_shared_addresses_for_taken_ones(self):
        # The scope that it reads has a destination that left and one in scope at the same address.
        _, address, calls = await self.setup_partners(503)
        process = await self.begin(change(destination(7, address)), change(destination(8, address)))
        await self.applied(1)
        self.assertEqual(await self.hand_in("owed"), ACCEPTED)
        await asyncio.sleep(PAST_FIRST_TRY_S)
        await self.applied(self.server.change(("destination/7", "eu/3", None)))
        process.kill()
        await process.wait()
        saved = scope_file.load(self.folder, "c", "n0")
        self.assertEqual([entry.key for entry in saved.leaving], ["destination/7"])
        await self.server.close()
        calls.clear()
        await self.go()
        await until(lambda: calls)


def test_saved_scope_of_a_displaced_endpoint_is_read_again(tmp_path):
    scope = members()
    scope.change([destination(8, "a:1")], ["destination/7"], 2)
    kept = HoldingsSnapshot(2, ["*"], [destination(8, "a:1")])
    saved = SavedScope(scope_file.FORMAT, "c", "n0", 1, 1.0, kept, scope.leaving_entries())
    scope_file.save(str(tmp_path), saved, 100_000)
    assert scope_file.load(str(tmp_path), "c", "n0") == saved

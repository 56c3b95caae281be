"""A scope from the control machines that could not be saved: what a start goes by while none is in reach."""

import asyncio
import random
import unittest
from contextlib import ExitStack
from pathlib import Path
from unittest import mock

import pytest

from ryestack.control.holdings import HoldingsSnapshot
from ryestack.lifecycle.scope.saver import ScopeSaver
from ryestack.store import folder_shares, scope_file, stale_file
from ryestack.wire.client_answers import ACCEPTED

from .control_server import until
from .helpers import http, stand_in
from .list_processes import MEGABYTE
from .test_control_relay import Scoped, change, destination

MANY = 1_500  # destinations whose names do not compress: more than the part of a folder of 3 MB
DESTINATIONS_OF_A_RELAY = 903  # of the size that docs/CAPACITY.md designs for
ROOM = 100_000  # bytes, for some destinations
NAMES = "first", "second", "third", "kept"


def other_destinations(first, count, name_bits=512):
    """Destinations in whose names and weights little repeats, so that compression saves little."""
    chance = random.Random(first)
    for number in range(first, first + count):
        host = ".".join(str(chance.randrange(256)) for _ in range(3))
        addresses = [f"10.{host}:{chance.randrange(1024, 65536)}" for _ in range(2)]
        more = {"weight": chance.random(), "instance": f"{chance.getrandbits(name_bits):x}"}
        yield destination(number, *addresses, **more)


class OutgrownScope(Scoped, unittest.IsolatedAsyncioTestCase):
    async def play(self, *changes, unmarked=False):
        """Destinations 7, 8 and 9; a changed scope, SIGKILL, a start while no machine is in reach.

        changes: to the scope; unmarked: the file of stale rows is removed. Returns the numbers of calls to
        each partner before and after a machine is back.
        """
        calls = dict.fromkeys(NAMES, 0)

        def partner(name):
            def answer(head, body):
                calls[name] += 1
                return http(200)

            return stand_in(answer)

        parts = {name: await partner(name) for name in NAMES}
        for server, _ in parts.values():
            self.addCleanup(server.close)
        addresses = {name: address for name, (_, address) in parts.items()}
        known = (7, "first"), (8, "second"), (9, "kept")
        process = await self.begin(*(change(destination(at, addresses[name])) for at, name in known))
        await self.applied(1)
        moved = [change(destination(at, addresses[name])) for at, name in changes]
        if moved:
            self.server.change(*map(change, other_destinations(100, MANY)))
            await self.applied(self.server.change(*moved))
        process.kill()
        await process.wait()
        if unmarked:
            Path(self.folder, stale_file.SCOPE_NAME).unlink()
        await self.server.close()
        await self.go()
        self.assertEqual([await self.hand_in(f"{n}", n) for n in (7, 8, 9)], [ACCEPTED] * 3)
        await asyncio.sleep(1.0)
        before = tuple(calls.values())
        await self.server.open()
        await until(lambda: sum(calls.values()) == 3)
        return before, tuple(calls.values())

    async def test_messages_go_to_another_destination_by_the_scope_before_one_that_could_not_be_saved(self):
        # A scope over its part of the folder was not saved; a start went by the one before.
        self.assertEqual(await self.play((7, "third"), (8, "first")), ((0, 0, 0, 1), (1, 0, 1, 1)))

    async def test_endpoints_stay_withheld_after_a_machine_has_confirmed_the_saved_scope(self):
        # No entry has changed then, so that none is told anew.
        self.assertEqual(await self.play(unmarked=True), ((0, 0, 0, 0), (1, 1, 0, 1)))


BEFORE = [destination(5, "a:5"), destination(7, "a:1"), destination(8, "b:1", "b:2"), destination(9, "c:1")]
AFTER = [destination(7, "d:1"), destination(8, "a:1", "b:2", weight=3.0), destination(9, "c:1", weight=3.0)]
GONE_OR_MOVED = {"0@5", "0@7", "0@8"}
ALL = {*GONE_OR_MOVED, "1@8", "0@9"}


def failing(*names):
    """Makes writes of these files fail as on a full disk."""
    stack, error = ExitStack(), OSError(28, "No space left on device")
    if scope_file.NAME in names:
        stack.enter_context(mock.patch.object(scope_file.os, "replace", side_effect=error))
    if stale_file.SCOPE_NAME in names:
        stack.enter_context(mock.patch.object(stale_file.os, "pwrite", side_effect=error))
    return stack


def saver(folder, max_bytes=ROOM):
    process = ScopeSaver(str(folder), "c", "n0", max_bytes)
    process.load()
    process.reserve()
    return process


def save(process, session, version, entries):
    process.save(session, 1.0, HoldingsSnapshot(version, ["*"], list(entries)), [])


def withheld(folder):
    return set(saver(folder).stale_endpoints())


@pytest.mark.parametrize(
    "fails, max_bytes, expected",
    [((), ROOM, set()), ((scope_file.NAME,), ROOM, GONE_OR_MOVED), ((), 200, GONE_OR_MOVED),
     ((scope_file.NAME, stale_file.SCOPE_NAME), ROOM, ALL)],
)  # fmt: skip
def test_start_uses_endpoints_that_a_scope_which_could_not_be_saved_has_moved(
    tmp_path, fails, max_bytes, expected
):
    # Too large, a full disk, and one on which not even the mark can be written: the scope before was used.
    save(saver(tmp_path), 1, 1, BEFORE)
    process = saver(tmp_path, max_bytes)
    with failing(*fails):
        save(process, 2, 2, AFTER)
    assert withheld(tmp_path) == expected
    assert process.needs_retry == bool(fails)
    save(saver(tmp_path), 2, 2, AFTER)
    assert withheld(tmp_path) == set()


def test_predecessor_that_saves_its_scope_unmarks_the_newer_one_that_its_successor_could_not_save(tmp_path):
    # Each process follows the machines; the one before goes on with the version that it has.
    predecessor = saver(tmp_path)
    save(predecessor, 1, 1, BEFORE)
    successor = saver(tmp_path, 200)
    save(successor, 2, 3, AFTER)
    save(predecessor, 1, 2, BEFORE)
    assert withheld(tmp_path) == ALL


def test_scope_of_the_size_to_design_for_does_not_fit_a_folder_of_three_megabytes(tmp_path):
    # It had an eighth of the folder without compression: 187 KB for 272 bytes and more a destination.
    most = folder_shares.divide(3 * MEGABYTE, scoped=True).scope
    process = saver(tmp_path, most)
    entries = list(other_destinations(0, DESTINATIONS_OF_A_RELAY, name_bits=64))
    save(process, 1, 1, entries)
    assert process.load().kept.entries == entries

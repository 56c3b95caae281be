"""Two processes of one relay: the state tables of an upgrade, the channel, and kills during an adoption."""

import asyncio
import os
import socket
import unittest
from contextlib import ExitStack, suppress
from math import inf
from pathlib import Path
from unittest.mock import Mock, patch

from ryestack.lifecycle.relay import PHASES, Relay
from ryestack.lifecycle.upgrade.channel import MAX_PATH_BYTES, Channel, ChannelListener, connect, hand_over
from ryestack.lifecycle.upgrade.succession import PREDECESSOR, SUCCESSOR, Succession
from ryestack.store import files
from ryestack.store.journal import Journal
from ryestack.store.ledger import Ledger
from ryestack.store.list_file import MAX_ENDPOINTS

from .helpers import Folder
from .test_store import owed


class SuccessionTables(unittest.TestCase):
    def test_a_successor_that_never_serves_or_dies_changes_nothing(self):
        succession = Succession()
        succession.on_successor("connected")
        self.assertEqual((succession.processes(), succession.relieved()), (2, False))
        succession.on_successor("gone")
        succession.on_successor("serves")  # a late message of the dead process
        self.assertEqual((succession.processes(), succession.relieved()), (1, False))

    def test_every_event_leads_to_a_listed_state_and_a_dead_process_is_not_counted(self):
        for table, events in ((PREDECESSOR, ("found", "gone")), (SUCCESSOR, ("connected", "serves", "gone"))):
            states = {"none", *table.values(), *(state for state, _ in table)}
            for state in states - {"none"}:
                self.assertEqual(table[state, "gone"], "none")
            for state in states:
                for event in events:
                    succession = Succession()
                    relation, apply = "successor", succession.on_successor
                    if table is PREDECESSOR:
                        relation, apply = "predecessor", succession.on_predecessor
                    setattr(succession, relation, state)
                    apply(event)
                    self.assertIn(getattr(succession, relation), states)
                    self.assertEqual(succession.relieved(), succession.successor == "serving")

    def test_three_processes_in_a_row(self):
        succession = Succession()
        succession.on_predecessor("found")
        succession.on_successor("connected")
        succession.on_successor("serves")
        self.assertEqual((succession.processes(), succession.relieved()), (3, True))
        succession.on_predecessor("gone")
        self.assertEqual((succession.processes(), succession.relieved()), (2, True))

    def test_once_relieved_it_drains_from_every_serving_phase(self):
        for phase in ("serving", "emptying", "empty"):
            self.assertEqual(PHASES[phase, "relieved"], ("draining", "hand_over_listeners"))


class ChannelBetweenProcesses(Folder, unittest.IsolatedAsyncioTestCase):
    async def test_any_error_while_listening_marks_the_other_process_as_gone(self):
        """If it went unnoticed, half of the folder would stay reserved for the dead process."""

        async def fault(*_):
            raise RuntimeError("a fault of this process")

        relay, successor, channel = Mock(), Succession(), Mock()
        successor.on_successor("connected")
        relay.configure_mock(exchange_messages=fault, channels={channel}, phase="leaving")
        relay.adoption_requested = asyncio.Event()
        await Relay.listen(relay, channel, successor.on_successor)
        self.assertEqual((successor.successor, relay.channels), ("none", set()))
        self.assertTrue(relay.adoption_requested.is_set())
        relay.share.assert_called_once_with()
        relay.owner.sibling_gone.assert_called_once_with(channel)

    async def test_without_unix_sockets_there_is_no_channel_and_everything_else_works(self):
        real = socket.socket

        def refused(family=socket.AF_INET, *more, **names):
            if family == socket.AF_UNIX:
                raise OSError("not here")
            return real(family, *more, **names)

        with patch.object(socket, "socket", refused), patch.object(files.fcntl, "flock", side_effect=OSError):
            listener = ChannelListener(self.folder, None)
            listener.open()
            self.assertIsNone(listener.sock)
            Path(self.folder, "line").touch()
            self.assertIsNone(connect(self.folder))
            kept = Ledger(Journal(self.folder, 100_000))
            kept.recover()
            self.assertTrue(kept.take(owed("n")))
            kept.journal.close()

    async def test_state_of_3200_endpoints_breaks_the_channel_before_it_can_be_read(self):
        # The state was longer than what may wait unread, so the next message ended the channel.
        ours, theirs = socket.socketpair()
        predecessor, successor = Channel(ours), Channel(theirs)
        await predecessor.open()
        await successor.open()
        row = {"name": "x" * 64, "state": "y" * 800}
        state = {str(n): row for n in range(MAX_ENDPOINTS)}
        predecessor.send_state("learnt", state, [])
        predecessor.send_state("known", [])
        predecessor.send("list", {})
        self.assertEqual(await successor.receive(), ["learnt", state, []])
        self.assertEqual([await successor.receive() for _ in range(2)], [["known", []], ["list", {}]])
        for each in (predecessor, successor):
            each.close()

    async def test_a_long_folder_path_a_disconnect_and_invalid_messages(self):
        folder = f"{self.folder}/{'x' * MAX_PATH_BYTES}"
        os.mkdir(folder)
        self.assertIsNone(connect(folder))
        got = asyncio.Queue()
        listener = ChannelListener(folder, got.put_nowait)
        listener.open()
        predecessor_side = asyncio.ensure_future(got.get())
        calling = asyncio.ensure_future(asyncio.to_thread(connect, folder))
        channel = hand_over(await predecessor_side, None)
        successor = await calling
        await channel.open()
        await successor.open()
        successor.send("serves")
        self.assertEqual(await channel.receive(), ["serves"])
        successor.writer.write(b'["half')
        successor.close()
        self.assertIsNone(await channel.receive())
        channel.close()
        for nonsense in (b"{}\n", b"[]\n", b"\xff\n", b"[" * 100_000 + b"\n"):
            ours, theirs = socket.socketpair()
            odd = Channel(ours)
            await odd.open()
            theirs.sendall(nonsense)
            self.assertIsNone(await odd.receive(), nonsense[:9])
            odd.close()
            theirs.close()
        ours, stands_still = socket.socketpair()
        full = Channel(ours)
        await full.open()
        for _ in range(400):
            full.send("x" * 10_000)
        self.assertTrue(full.writer.is_closing())
        stands_still.close()
        listener.close()
        self.assertIsNone(connect(folder))  # nobody listens at the socket of a dead process


class Killed(BaseException):
    """A simulated kill: a BaseException, so that no `except Exception` or `except OSError` catches it."""


class Crash(Folder, unittest.TestCase):
    """A kill at each change of the folder during a start, a rewrite and an adoption."""

    def story(self, dies_at):
        """Two processes; the first exits, the second adopts. Killed at change number dies_at.

        Returns the ids of which the take was begun and completed, and the end was begun and completed; and
        whether the kill happened.
        """
        changes, alive, begun, promised, ending, over = 0, [], set(), set(), set(), set()

        def change(real):
            def call(*args, **more):
                nonlocal changes
                changes += 1
                if changes == dies_at:
                    raise Killed
                return real(*args, **more)

            return call

        def end(ledger, name):
            ending.add(name)
            ledger.finish(name)
            over.add(name)

        def live():
            for name in ("n", "m"):
                alive.append(made := Ledger(Journal(self.folder, 100_000)))
                made.recover()
                for one in (f"{name}1", f"{name}2"):
                    begun.add(one)
                    self.assertTrue(made.take(owed(one)))
                    promised.add(one)
                made.push(f"{name}1", 0, 40.0)
                end(made, f"{name}2")
            alive[0].rewrite()
            alive[0].journal.close()
            alive[1].adopt()
            end(alive[1], "n1")

        places = ((os, "open"), (os, "replace"), (Path, "unlink"), (Journal, "append"))
        with ExitStack() as stack:
            for place, name in places:
                stack.enter_context(patch.object(place, name, change(getattr(place, name))))
            stack.enter_context(suppress(Killed))
            live()
        for made in alive:
            made.journal.close()
        return begun, promised, ending, over, changes >= dies_at

    def test_a_kill_at_any_change_loses_nothing_and_revives_nothing(self):
        at, died = 0, True
        while died:
            at += 1
            for name in os.listdir(self.folder):
                os.unlink(f"{self.folder}/{name}")
            begun, promised, ending, over, died = self.story(at)
            last = Ledger(Journal(self.folder, 100_000))
            last.recover()
            last.journal.close()
            found = set(last.owed)
            self.assertLessEqual(promised - ending, found, f"killed at change {at}")
            self.assertLessEqual(found, begun - over, f"killed at change {at}")
            for one in found:
                self.assertIn(
                    (last.owed[one].pushes, last.owed[one].first_may_have_run_at()), ((0, inf), (1, 40.0))
                )
            self.assertEqual(len(os.listdir(self.folder)), 1)
            self.assertEqual(last.live_bytes, sum(o.size for o in last.owed.values()))
        self.assertGreater(at, 15)


if __name__ == "__main__":
    unittest.main()

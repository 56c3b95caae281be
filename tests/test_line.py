"""Two processes of one relay: the table of succession, the line between them, crashes."""

import asyncio
import os
import socket
import unittest
from contextlib import ExitStack, suppress
from math import inf
from pathlib import Path
from unittest.mock import Mock, patch

from ryestack.lifecycle.line import LONGEST, Line, Post, answer, hail
from ryestack.lifecycle.relay import PHASES, Relay
from ryestack.lifecycle.succession import ELDER, HEIR, Succession
from ryestack.store import files
from ryestack.store.journal import Journal
from ryestack.store.ledger import Ledger

from .helpers import Folder
from .test_store import owed


class Table(unittest.TestCase):
    def test_an_heir_that_never_serves_or_dies_leaves_us_as_before(self):
        s = Succession()
        s.heir_is("hailed")
        self.assertEqual((s.processes(), s.relieved()), (2, False))
        s.heir_is("gone")
        s.heir_is("serves")  # a word of the one that is gone
        self.assertEqual((s.processes(), s.relieved()), (1, False))

    def test_all_pairs_lead_to_a_state_that_is_told_and_one_that_is_gone_counts_no_more(self):
        for table, whats in ((ELDER, ("found", "gone")), (HEIR, ("hailed", "serves", "gone"))):
            states = {"none", *table.values(), *(state for state, _ in table)}
            for state in states - {"none"}:
                self.assertEqual(table[state, "gone"], "none")
            for state in states:
                for what in whats:
                    s = Succession()
                    (relation, tell) = ("elder", s.elder_is) if table is ELDER else ("heir", s.heir_is)
                    setattr(s, relation, state)
                    tell(what)
                    self.assertIn(getattr(s, relation), states)
                    self.assertEqual(s.relieved(), s.heir == "serving")

    def test_three_in_a_row(self):
        s = Succession()
        for relation, what in ((s.elder_is, "found"), (s.heir_is, "hailed"), (s.heir_is, "serves")):
            relation(what)
        self.assertEqual((s.processes(), s.relieved()), (3, True))
        s.elder_is("gone")
        self.assertEqual((s.processes(), s.relieved()), (2, True))

    def test_relieved_it_ends_what_it_owes_from_any_state_of_serving(self):
        for phase in ("serving", "emptying", "empty"):
            self.assertEqual(PHASES[phase, "relieved"], ("draining", "hand_door"))


class Lines(Folder, unittest.IsolatedAsyncioTestCase):
    async def test_whatever_ends_what_is_heard_the_other_counts_as_gone(self):
        """Unseen, its half of the folder would be kept for it for good."""

        async def fault(*_):
            raise RuntimeError("of our own")

        relay, heir, line = Mock(), Succession(), Mock()
        heir.heir_is("hailed")
        relay.configure_mock(converse=fault, lines={line}, phase="leaving", kin_asked=asyncio.Event())
        await Relay.listen(relay, line, heir.heir_is)
        self.assertEqual((heir.heir, relay.lines, relay.kin_asked.is_set()), ("none", set(), True))
        relay.share.assert_called_once_with()
        relay.owner.gone.assert_called_once_with(line)

    async def test_where_such_sockets_are_refused_there_is_no_line_and_nothing_else(self):
        real = socket.socket

        def refused(family=socket.AF_INET, *more, **names):
            if family == socket.AF_UNIX:
                raise OSError("not here")
            return real(family, *more, **names)

        with patch.object(socket, "socket", refused), patch.object(files.fcntl, "flock", side_effect=OSError):
            post = Post(self.folder, None)
            post.open()
            self.assertIsNone(post.sock)
            Path(self.folder, "line").touch()
            self.assertIsNone(hail(self.folder))
            kept = Ledger(Journal(self.folder, 100_000))
            kept.recover()
            self.assertTrue(kept.take(owed("n")))
            kept.journal.close()

    async def test_a_folder_with_a_long_name_and_a_caller_that_goes(self):
        folder = f"{self.folder}/{'x' * LONGEST}"
        os.mkdir(folder)
        self.assertIsNone(hail(folder))
        got = asyncio.Queue()
        post = Post(folder, got.put_nowait)
        post.open()
        elder_side = asyncio.ensure_future(got.get())
        calling = asyncio.ensure_future(asyncio.to_thread(hail, folder))
        line = answer(await elder_side, None)
        heir = await calling
        await line.open()
        await heir.open()
        heir.say("serves")
        self.assertEqual(await line.word(), ["serves"])
        heir.writer.write(b'["half')
        heir.close()
        self.assertIsNone(await line.word())
        line.close()
        for nonsense in (b"{}\n", b"[]\n", b"\xff\n", b"[" * 100_000 + b"\n"):
            ours, theirs = socket.socketpair()
            odd = Line(ours)
            await odd.open()
            theirs.sendall(nonsense)
            self.assertIsNone(await odd.word(), nonsense[:9])
            odd.close()
            theirs.close()
        ours, stands_still = socket.socketpair()
        full = Line(ours)
        await full.open()
        for _ in range(400):
            full.say("x" * 10_000)
        self.assertTrue(full.writer.is_closing())
        stands_still.close()
        post.close()
        self.assertIsNone(hail(folder))  # what a dead process left is no process


class Killed(BaseException):
    """As a kill does: no handler of errors hears of it."""


class Crash(Folder, unittest.TestCase):
    """A kill at each change of the folder, of a start, a rewrite and an adoption."""

    def story(self, dies_at):
        """Two processes; the first ends, the second adopts. What was begun, promised, ending, and over."""
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
            ledger.over(name)
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

    def test_nothing_is_lost_and_what_is_over_does_not_come_back(self):
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
                self.assertIn((last.owed[one].pushes, last.owed[one].first_maybe()), ((0, inf), (1, 40.0)))
            self.assertEqual(len(os.listdir(self.folder)), 1)
            self.assertEqual(last.live, sum(o.size for o in last.owed.values()))
        self.assertGreater(at, 15)


if __name__ == "__main__":
    unittest.main()

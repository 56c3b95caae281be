"""Two processes of one relay: whose journal is whose, what one tells the other, no client turned away."""

import asyncio
import json
import os
import signal
import socket
import sys
import time
import unittest
from contextlib import ExitStack, suppress
from math import inf
from pathlib import Path
from unittest.mock import Mock, patch

from ryestack import interface as it
from ryestack.interface import Result
from ryestack.lifecycle import learnt
from ryestack.lifecycle.line import LONGEST, Line, Post, answer, hail
from ryestack.lifecycle.relay import PHASES, Relay
from ryestack.lifecycle.succession import ELDER, HEIR, Succession
from ryestack.lifecycle.watched import Watched
from ryestack.store import files
from ryestack.store.inspect import inspect
from ryestack.store.journal import Journal
from ryestack.store.ledger import Ledger
from ryestack.wire.server import REFUSED, TAKEN

from .helpers import brain, end, http, kinds, pushes, settings, take
from .test_lifecycle import Folder
from .test_staff import Staffed, handled
from .test_store import owed


class Files(Folder, unittest.TestCase):
    def process(self, allowance=100_000):
        made = Ledger(Journal(self.folder, allowance))
        self.addCleanup(made.journal.close)
        made.recover()
        return made

    def test_each_process_writes_its_own_and_adopts_only_of_the_dead(self):
        old = self.process()
        old.take(owed("n"))
        old.push("n", 0, 41.0)
        new = self.process()
        new.take(owed("m"))
        self.assertEqual((new.adopt(), list(new.owed), list(old.owed)), ([], ["m"], ["n"]))
        old.take(owed("o"))
        old.journal.close()
        self.assertEqual([o.id for o in new.adopt()], ["n", "o"])
        self.assertEqual((new.owed["n"].pushes, new.owed["n"].first_maybe()), (1, 41.0))
        self.assertEqual(new.journal.beside(), [])
        new.journal.close()
        self.assertEqual(sorted(self.process().owed), ["m", "n", "o"])

    def test_killed_between_the_copy_and_the_removal_it_owes_once(self):
        old = self.process()
        old.take(owed("n"))
        new = self.process()
        kept = Path(self.folder, "owed").read_bytes()
        old.journal.close()
        new.adopt()
        Path(self.folder, "owed").write_bytes(kept)
        new.journal.close()
        third = self.process()
        self.assertEqual((list(third.owed), third.journal.beside()), (["n"], []))
        self.assertEqual(third.live, third.owed["n"].size)

    def test_a_rewrite_keeps_the_lock_and_a_plain_start_adopts_all(self):
        old, new = self.process(), self.process()
        old.take(owed("n"))
        old.rewrite()
        new.rewrite()
        self.assertIsNone(files.lock(Path(self.folder, "owed")))
        new.take(owed("m"))
        self.assertEqual([sorted(f.owed) for f in inspect(self.folder)], [["n"], ["m"]])
        old.journal.close()
        new.journal.close()
        last = self.process()
        self.assertEqual((sorted(last.owed), os.listdir(self.folder)), (["m", "n"], ["owed"]))

    def test_without_room_it_stays_whole_until_there_is_some(self):
        old = self.process()
        for i in range(5):
            old.take(owed(f"n{i}", b"x" * 5000))
        new = self.process(60_000)
        new.journal.share(2)
        new.take(owed("m", b"x" * 9000))
        old.journal.close()
        self.assertEqual((new.adopt(), list(new.owed), new.stuck), ([], ["m"], True))
        new.journal.share(1)
        self.assertEqual((len(new.adopt()), len(new.owed), new.journal.beside()), (5, 6, []))

    def test_damage_puts_what_came_before_in_doubt(self):
        old = self.process()
        old.take(owed("n"))
        at = old.journal.size
        old.push("n", 0, 40.0)
        old.push("n", 1, 41.0)
        old.journal.close()
        path = Path(self.folder, "owed")
        data = bytearray(path.read_bytes())
        data[at + 20] ^= 1
        path.rename(Path(self.folder, "owed.3"))
        Path(self.folder, "owed.3").write_bytes(data)
        self.assertEqual(self.process().owed["n"].first_maybe(), 0.0)


class Told(unittest.TestCase):
    def heir(self, elder, **more):
        made = brain(**more)
        learnt.take(made, json.loads(json.dumps(learnt.told(elder))))
        return made

    def test_waits_circuits_and_outages_go_on(self):
        elder = brain(routes=("a", "b", "c"))
        elder.round(1.0, [take(f"n{i}") for i in range(4)])
        elder.round(1.1, [end(f"n{i}", "a", Result.ERROR) for i in range(3)])
        elder.round(1.2, [end("n3", "a", Result.FULL, wait=9.0)])
        heir = self.heir(elder, routes=("a", "b", "c", "d"))
        for name in "abc":
            mine, theirs = heir.routes[name], elder.routes[name]
            self.assertEqual((mine.state, mine.until), (theirs.state, theirs.until))
            for name in ("wait_until", "cold", "tokens"):
                self.assertEqual(getattr(mine.pacer, name), getattr(theirs.pacer, name))
        self.assertEqual(pushes(heir.round(2.0, [take("m")])), [("m", "d")])
        heir.round(10.3, [it.Woken()])
        self.assertNotEqual(heir.routes["a"].state, "open")

    def test_what_was_never_heard_of_is_passed_over(self):
        heir = brain()
        learnt.take(heir, {"routes": {"z": [{}, {}, {}, {}]}, "dests": {"9": [{}, {}, {}]}, "new": 1})
        learnt.take(heir, {"routes": {"a": [{"odd": 1}, {"row": 2}, {}, {}]}})
        self.assertEqual(heir.routes["a"].tally.row, 2)

    def test_told_nothing_every_partner_may_be_cold(self):
        heir, other = brain(), brain()
        heir.round(1.0, [])
        learnt.careful(heir)
        self.assertLess(heir.routes["a"].pacer.rate(1.0), other.routes["a"].pacer.rate(1.0))


class Overheard(unittest.TestCase):
    def call(self, *names, endpoint="a"):
        return it.Overheard(endpoint, tuple((name, 0, it.TopicType("again", it.Effect.REPEATABLE, 2.0, 20.0))
                                            for name in names))

    def test_their_calls_take_our_slots_and_give_them_back(self):
        b = brain(routes=("a",), slots=4, rate=1000.0)
        b.round(1.0, [self.call("x"), self.call("y"), self.call("z")])
        self.assertEqual(b.slots, 1)
        self.assertEqual(pushes(b.round(1.1, [take("n"), take("m")])), [])  # three are its share
        b.round(1.2, [end(name, "a", Result.DELIVERED) for name in "xyz"])
        self.assertEqual((len(b.held), b.slots, len(b.out)), (2, 2, 2))

    def test_a_call_of_many_is_one_and_nothing_of_ours_joins_it(self):
        b = brain(kind="bulk")
        acts = b.round(1.0, [self.call(*"xyz"), take("n")])
        self.assertEqual((pushes(acts), b.slots), ([("n", "a")], 10))

    def test_their_failures_open_our_circuit_and_their_calls_are_not_ours_to_cancel(self):
        b = brain(routes=("a",), slots=4, may_cancel=True)
        b.round(1.0, [self.call(name) for name in "xyz"])
        for now in (3.0, 6.0, 9.0):
            acts = b.round(now, [it.Woken(), take(f"n{now}")])
            theirs = [call for call in b.late if call.items[0][0].state == "afar"]
            self.assertEqual((kinds(acts, it.Cancel), theirs), ([], []))
            self.assertNotEqual(b.routes["a"].state, "closed")

    def test_an_endpoint_that_we_do_not_know_is_passed_over(self):
        b = brain()
        b.round(1.0, [self.call("x", endpoint="unknown"), end("x", "unknown", Result.ERROR)])
        self.assertEqual(b.slots, 12)


class Turns(unittest.TestCase):
    """Order by key over two processes."""

    def test_a_younger_one_waits_for_the_elders_and_an_adopted_one_keeps_its_place(self):
        b = brain()
        b.round(1.0, [it.Turn("k", "old", False), it.Turn("k", "older", False)])
        self.assertEqual(pushes(b.round(1.1, [take("n", "turns", key="k")])), [])
        self.assertEqual(pushes(b.round(1.2, [it.Turn("k", "old", True, rest=1.5)])), [])
        acts = b.round(1.3, [take("older", "turns", key="k")])  # adopted
        self.assertEqual(pushes(acts + b.round(1.5, [it.Woken()])), [("older", "a")])
        self.assertEqual(pushes(b.round(1.6, [end("older", "a", Result.DELIVERED)])), [("n", "a")])
        b.round(1.7, [end("n", "a", Result.DELIVERED)])
        b.round(9.0, [it.Woken()])
        self.assertEqual(b.keys, {})

    def test_words_of_turns_go_out_once_and_are_not_told_back(self):
        said, b = [], Watched(settings(), 1)
        b.told_turn = lambda *word: said.append(word[:3])
        b.round(0.0, [it.ListUpdate((it.Endpoint("a", "z", "shared", 7, rate=50.0),), whole=True)])
        b.round(1.0, [take("n", "turns", key="k"), it.Turn("k", "x", False)])
        self.assertEqual([turn[:3] for turn in b.turns()], [("k", "n", False), ("k", "x", False)])
        b.round(1.1, [end("n", "a", Result.DELIVERED), it.Turn("k", "x", True)])
        self.assertEqual(said, [("k", "n", False), ("k", "n", True)])


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


class Running(Staffed, unittest.IsolatedAsyncioTestCase):
    """The program, twice."""

    async def second(self):
        probe = await asyncio.start_server(lambda *_: None, "127.0.0.1", 0)
        self.ops = f"127.0.0.1:{probe.sockets[0].getsockname()[1]}"
        probe.close()
        began = time.monotonic()
        first, self.process = self.process, await self.run_it(f"{self.folder}/config.json", LB_OPS=self.ops)
        while True:
            try:
                if (await self.staff("GET", "/-/ready"))[0] == 200:
                    break
            except OSError:
                await asyncio.sleep(0.02)
        self.assertLess(time.monotonic() - began, 6.0)
        return first

    async def steadily(self, seen):
        n = 0
        while not self.stop:
            n += 1
            name = f"s{n}"
            seen.append(await self.ask("POST", "/api", **{"X-Request-Id": name}))
            self.says.add(await self.ask("GET", "/_health"))
            await asyncio.sleep(0.01)

    async def test_nobody_is_turned_away_and_a_third_takes_over_from_the_second(self):
        seen, self.says = [], set()
        self.stop = False
        task = asyncio.ensure_future(self.steadily(seen))
        for _ in range(2):
            first = await self.second()
            first.send_signal(signal.SIGTERM)
            self.assertEqual(await asyncio.wait_for(first.wait(), 3.7), 0)
            self.assertEqual(await self.ask("GET", "/_health"), 200)
        await asyncio.sleep(0.3)
        self.stop = True
        await task
        self.assertGreater(len(seen), 30)
        self.assertEqual((set(seen), self.says), ({TAKEN}, {200}))
        while (await self.figures())["lb_in_progress", ()]:
            await asyncio.sleep(0.02)
        self.assertEqual(self.seen, len(seen))  # each once
        self.assertEqual([f for f in os.listdir(self.folder) if f.startswith("owed")], ["owed"])

    async def test_the_old_one_killed_the_new_one_owes_what_it_owed(self):
        self.failing = http(429, X_Retry_In_Ms="2500")
        self.assertEqual(await self.ask("POST", "/api", **{"X-Request-Id": "n"}), TAKEN)
        first = await self.second()
        first.kill()
        await first.wait()
        await asyncio.sleep(0.5)
        self.failing = b""
        await self.until(handled("again", "passed"), 1)
        gaps = [later - before for before, later in zip(self.times, self.times[1:], strict=False)]
        self.assertGreater(min(gaps), 2.4)  # the wait holds for both of them

    async def test_the_new_one_killed_the_old_one_serves_on_as_before(self):
        first = await self.second()
        for n in range(4):
            self.assertEqual(await self.ask("POST", "/api", **{"X-Request-Id": f"n{n}"}), TAKEN)
        self.process.kill()
        await self.process.wait()
        await asyncio.sleep(0.3)
        self.assertEqual(await self.ask("POST", "/api", **{"X-Request-Id": "m"}), TAKEN)
        self.process = first
        again = await self.second()
        again.send_signal(signal.SIGTERM)
        self.assertEqual(await asyncio.wait_for(again.wait(), 3.7), 0)
        self.assertEqual(await self.ask("POST", "/api", **{"X-Request-Id": "o"}), TAKEN)

    async def test_a_caller_that_speaks_nonsense_is_let_go_and_nothing_else_happens(self):
        for word in (b'["began"]\n', b'["ended",1,2]\n', b'["began","a",[["n",0]]]\n', b"\0\n"):
            with socket.socket(socket.AF_UNIX) as caller:
                caller.connect(f"{self.folder}/line")
                caller.sendall(word)
                await asyncio.sleep(0.05)
        self.assertEqual(await self.ask("POST", "/api"), TAKEN)
        self.process.send_signal(signal.SIGTERM)
        await asyncio.sleep(0.1)
        self.assertEqual(await self.ask("GET", "/_health"), REFUSED)  # none of them is waited for

    async def test_an_elder_that_tells_nonsense_is_no_reason_not_to_start(self):
        self.process.kill()
        await self.process.wait()
        for word in (b'["learnt"]\n', b'["learnt",7,7]\n', b'["learnt",{"routes":7},[["a",[[1]]],4]]\n'):
            def hailed(conn, word=word):
                line = answer(conn, None)
                line.conn.sendall(word)
                self.addCleanup(line.conn.close)

            post = Post(self.folder, hailed)
            post.open()
            self.process = await self.run_it(f"{self.folder}/config.json")
            self.assertEqual(await self.ask("POST", "/api"), TAKEN)
            self.process.kill()
            await self.process.wait()
            post.close()

    async def test_one_that_cannot_start_changes_nothing(self):
        path = f"{self.folder}/config.json"
        with open(path) as file:
            good = file.read()
        with open(path, "w") as file:
            file.write(good[:50])
        env = {**os.environ, "LB_CONFIG": path, "LB_STATE": self.folder}
        bad = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "ryestack", env=env, stderr=asyncio.subprocess.DEVNULL)
        self.assertEqual(await bad.wait(), 2)
        self.assertEqual(await self.ask("POST", "/api"), TAKEN)
        self.process.send_signal(signal.SIGTERM)  # a stop as ever: it says so at the door
        await asyncio.sleep(0.1)
        self.assertEqual(await self.ask("GET", "/_health"), REFUSED)


if __name__ == "__main__":
    unittest.main()

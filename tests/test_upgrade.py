"""Two processes of one relay: whose journal is whose, what one tells the other, no client turned away."""

import asyncio
import json
import os
import signal
import sys
import time
import unittest
from pathlib import Path

from ryestack import interface as it
from ryestack.interface import Result
from ryestack.lifecycle import learnt
from ryestack.lifecycle.line import LONGEST, Post, answer, hail
from ryestack.lifecycle.relay import PHASES
from ryestack.lifecycle.succession import Succession
from ryestack.store import files
from ryestack.store.inspect import inspect
from ryestack.store.journal import Journal
from ryestack.store.ledger import Ledger
from ryestack.wire.server import REFUSED, TAKEN

from .helpers import brain, end, kinds, pushes, take
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
        self.assertEqual((new.adopt(), list(new.owed)), ([], ["m"]))
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


class Table(unittest.TestCase):
    def test_an_heir_that_never_serves_or_dies_leaves_us_as_before(self):
        s = Succession()
        s.heir_is("hailed")
        self.assertEqual((s.processes(), s.relieved()), (2, False))
        s.heir_is("gone")
        s.heir_is("serves")  # a word of the one that is gone
        self.assertEqual((s.processes(), s.relieved()), (1, False))

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
        post.close()
        self.assertIsNone(hail(folder))  # what a dead process left is no process


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
        for n in range(10_000):
            name = f"s{n}"
            seen.append(await self.ask("POST", "/api", **{"X-Request-Id": name}))
            await asyncio.sleep(0.01)

    async def test_nobody_is_turned_away_and_a_third_takes_over_from_the_second(self):
        seen = []
        task = asyncio.ensure_future(self.steadily(seen))
        for _ in range(2):
            first = await self.second()
            first.send_signal(signal.SIGTERM)
            self.assertEqual(await asyncio.wait_for(first.wait(), 3.7), 0)
            self.assertEqual(await self.ask("GET", "/_health"), 200)
        await asyncio.sleep(0.3)
        task.cancel()
        self.assertGreater(len(seen), 50)
        self.assertEqual(set(seen), {TAKEN})
        while (await self.figures())["lb_in_progress", ()]:
            await asyncio.sleep(0.02)
        self.assertEqual(self.seen, len(seen))  # each once
        self.assertEqual([f for f in os.listdir(self.folder) if f.startswith("owed")], ["owed"])

    async def test_the_old_one_killed_the_new_one_owes_what_it_owed(self):
        self.failing = True
        self.assertEqual(await self.ask("POST", "/api", **{"X-Request-Id": "n"}), TAKEN)
        first = await self.second()
        first.kill()
        await first.wait()
        self.failing = False
        await self.until(handled("again", "passed"), 1)

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

"""Two processes of one relay: adoption of journals, learnt state, the other's calls, order by key."""

import json
import os
import unittest
from pathlib import Path

from ryestack import interface
from ryestack.interface import Result
from ryestack.lifecycle import learned_state
from ryestack.lifecycle.watched import Watched
from ryestack.store import files
from ryestack.store.inspect import inspect
from ryestack.store.journal import Journal
from ryestack.store.ledger import Ledger

from .helpers import Folder, brain, end, kinds, pushes, settings, take
from .test_store import owed


class Files(Folder, unittest.TestCase):
    def process(self, allowance=100_000):
        made = Ledger(Journal(self.folder, allowance))
        self.addCleanup(made.journal.close)
        made.recover()
        return made

    def test_each_process_writes_its_own_file_and_adopts_only_files_of_dead_ones(self):
        old = self.process()
        old.take(owed("n"))
        old.push("n", 0, 41.0)
        new = self.process()
        new.take(owed("m"))
        self.assertEqual((new.adopt(), list(new.owed), list(old.owed)), ([], ["m"], ["n"]))
        old.take(owed("o"))
        old.journal.close()
        self.assertEqual([o.id for o in new.adopt()], ["n", "o"])
        self.assertEqual((new.owed["n"].pushes, new.owed["n"].first_may_have_run_at()), (1, 41.0))
        self.assertEqual(new.journal.sibling_files(), [])
        new.journal.close()
        self.assertEqual(sorted(self.process().owed), ["m", "n", "o"])

    def test_a_kill_between_the_copy_and_the_removal_duplicates_nothing(self):
        old = self.process()
        old.take(owed("n"))
        new = self.process()
        kept = Path(self.folder, "owed").read_bytes()
        old.journal.close()
        new.adopt()
        Path(self.folder, "owed").write_bytes(kept)
        new.journal.close()
        third = self.process()
        self.assertEqual((list(third.owed), third.journal.sibling_files()), (["n"], []))
        self.assertEqual(third.live_bytes, third.owed["n"].size)

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

    def test_a_file_that_does_not_fit_stays_complete_until_it_does(self):
        old = self.process()
        for i in range(5):
            old.take(owed(f"n{i}", b"x" * 5000))
        new = self.process(60_000)
        new.journal.share(2)
        new.take(owed("m", b"x" * 9000))
        old.journal.close()
        self.assertEqual((new.adopt(), list(new.owed), new.retry_needed), ([], ["m"], True))
        new.journal.share(1)
        self.assertEqual((len(new.adopt()), len(new.owed), new.journal.sibling_files()), (5, 6, []))

    def test_damage_marks_earlier_notifications_as_possibly_run(self):
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
        self.assertEqual(self.process().owed["n"].first_may_have_run_at(), 0.0)


class LearntState(unittest.TestCase):
    """The learnt state that a process sends to its successor."""

    def successor(self, predecessor, **more):
        successor = brain(**more)
        learned_state.restore(successor, json.loads(json.dumps(learned_state.export(predecessor))))
        return successor

    def test_retry_delays_circuits_and_outages_are_restored(self):
        predecessor = brain(routes=("a", "b", "c"))
        predecessor.round(1.0, [take(f"n{i}") for i in range(4)])
        predecessor.round(1.1, [end(f"n{i}", "a", Result.ERROR) for i in range(3)])
        predecessor.round(1.2, [end("n3", "a", Result.FULL, wait=9.0)])
        successor = self.successor(predecessor, routes=("a", "b", "c", "d"))
        for name in "abc":
            mine, theirs = successor.routes[name], predecessor.routes[name]
            self.assertEqual((mine.state, mine.open_until), (theirs.state, theirs.open_until))
            for name in ("wait_until", "cold_since", "tokens"):
                self.assertEqual(getattr(mine.limiter, name), getattr(theirs.limiter, name))
        self.assertEqual(pushes(successor.round(2.0, [take("m")])), [("m", "d")])
        successor.round(10.3, [interface.TimerFired()])
        self.assertNotEqual(successor.routes["a"].state, "open")

    def test_unknown_names_in_the_learnt_state_are_ignored(self):
        successor = brain()
        unknown = {"routes": {"z": [{}, {}, {}, {}]}, "dests": {"9": [{}, {}, {}]}, "new": 1}
        learned_state.restore(successor, unknown)
        learned_state.restore(successor, {"routes": {"a": [{"odd": 1}, {"row": 2}, {}, {}]}})
        self.assertEqual(successor.routes["a"].failures.consecutive, 2)

    def test_without_learnt_state_every_partner_is_treated_as_cold(self):
        successor, other = brain(), brain()
        successor.round(1.0, [])
        learned_state.assume_cold(successor)
        self.assertLess(successor.routes["a"].limiter.rate(1.0), other.routes["a"].limiter.rate(1.0))


class SiblingCalls(unittest.TestCase):
    """The calls of another process, as the decision module counts them."""

    def call(self, *names, endpoint="a"):
        topic = interface.TopicType("again", interface.Effect.REPEATABLE, 2.0, 20.0)
        return interface.SiblingCall(endpoint, tuple((name, 0, topic) for name in names))

    def test_a_siblings_calls_use_our_slots_and_release_them(self):
        module = brain(routes=("a",), slots=4, rate=1000.0)
        module.round(1.0, [self.call("x"), self.call("y"), self.call("z")])
        self.assertEqual(module.slots, 1)
        self.assertEqual(pushes(module.round(1.1, [take("n"), take("m")])), [])  # its share is three slots
        module.round(1.2, [end(name, "a", Result.DELIVERED) for name in "xyz"])
        self.assertEqual((len(module.notifications), module.slots, len(module.in_flight)), (2, 2, 2))

    def test_a_siblings_batch_is_one_call_and_no_push_of_ours_joins_it(self):
        module = brain(kind="bulk")
        actions = module.round(1.0, [self.call(*"xyz"), take("n")])
        self.assertEqual((pushes(actions), module.slots), ([("n", "a")], 10))

    def test_a_siblings_failures_open_our_circuit_and_its_calls_are_not_cancelled(self):
        module = brain(routes=("a",), slots=4, may_cancel=True)
        module.round(1.0, [self.call(name) for name in "xyz"])
        for now in (3.0, 6.0, 9.0):
            actions = module.round(now, [interface.TimerFired(), take(f"n{now}")])
            theirs = [call for call in module.late_calls if call.items[0][0].state == "remote"]
            self.assertEqual((kinds(actions, interface.Cancel), theirs), ([], []))
            self.assertNotEqual(module.routes["a"].state, "closed")

    def test_a_call_to_an_unknown_endpoint_is_ignored(self):
        module = brain()
        module.round(1.0, [self.call("x", endpoint="unknown"), end("x", "unknown", Result.ERROR)])
        self.assertEqual(module.slots, 12)


class KeyOrder(unittest.TestCase):
    """Order by key across two processes."""

    def test_a_notification_waits_for_earlier_ones_of_its_key_and_an_adopted_one_keeps_its_place(self):
        module = brain()
        claims = [interface.SiblingKeyClaim("k", name, False) for name in ("old", "older")]
        module.round(1.0, claims)
        self.assertEqual(pushes(module.round(1.1, [take("n", "turns", key="k")])), [])
        released = interface.SiblingKeyClaim("k", "old", True, rests_until=1.5)
        self.assertEqual(pushes(module.round(1.2, [released])), [])
        actions = module.round(1.3, [take("older", "turns", key="k")])  # adopted
        self.assertEqual(pushes(actions + module.round(1.5, [interface.TimerFired()])), [("older", "a")])
        self.assertEqual(pushes(module.round(1.6, [end("older", "a", Result.DELIVERED)])), [("n", "a")])
        module.round(1.7, [end("n", "a", Result.DELIVERED)])
        module.round(9.0, [interface.TimerFired()])
        self.assertEqual(module.keys, {})

    def test_key_order_messages_are_sent_once_and_not_echoed(self):
        sent, module = [], Watched(settings(), 1)
        module.on_key_claim = lambda *message: sent.append(message[:3])
        module.round(0.0, [
            interface.ListUpdate((interface.Endpoint("a", "z", "shared", 7, rate=50.0),), whole=True)
        ])
        module.round(1.0, [take("n", "turns", key="k"), interface.SiblingKeyClaim("k", "x", False)])
        self.assertEqual([turn[:3] for turn in module.key_claims()], [("k", "n", False), ("k", "x", False)])
        module.round(1.1, [end("n", "a", Result.DELIVERED), interface.SiblingKeyClaim("k", "x", True)])
        self.assertEqual(sent, [("k", "n", False), ("k", "n", True)])


if __name__ == "__main__":
    unittest.main()

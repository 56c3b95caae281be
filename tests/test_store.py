"""The ledger and its journal: records, rewrites, disk limits, damage."""

import tempfile
import unittest
from pathlib import Path
from types import SimpleNamespace

from ryestack.store.journal import Journal
from ryestack.store.ledger import Ledger
from ryestack.store.owed import Owed


def owed(name, body=b"\x00\r\n body", **more):
    """An open once-only notification to destination 7, due at 50.0."""
    return Owed(name, 50.0, 7, "once", "c", "", "k", body, **more)


class Store(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder, self.last = folder.name, None

    def test_a_notification_is_restored_unchanged(self):
        self.ledger().take(owed("n"))
        self.assertEqual(self.ledger().owed, {"n": owed("n", size=self.size(owed("n")))})

    def ledger(self, allowance=100_000):
        """The ledger as a start reads it, after the previous process, if any, has died."""
        if self.last:
            self.last.journal.close()
        self.last = ledger = Ledger(Journal(self.folder, allowance))
        ledger.recover()
        self.addCleanup(ledger.journal.close)
        return ledger

    def size(self, one):
        return len(one.body) + 512

    def test_a_push_without_an_outcome_may_have_run(self):
        first = self.ledger()
        first.take(owed("n"))
        first.push("n", 0, 41.0)
        back = self.ledger().owed["n"]
        self.assertEqual((back.pushes, back.first_may_have_run_at()), (1, 41.0))

    def test_a_push_that_never_ran_counts_but_cannot_have_run(self):
        first = self.ledger()
        first.take(owed("n"))
        first.push("n", 0, 41.0)
        first.outcome("n", 0, True)
        back = self.ledger().owed["n"]
        self.assertEqual((back.pushes, back.first_may_have_run_at()), (1, float("inf")))

    def test_a_torn_tail_is_dropped_and_appending_continues(self):
        first = self.ledger()
        first.take(owed("n"))
        whole = first.journal.size
        first.take(owed("m"))
        path = Path(self.folder, "owed")
        for cut in range(whole, first.journal.size):
            path.write_bytes(path.read_bytes()[:cut])
            second = self.ledger()
            self.assertEqual(list(second.owed), ["n"])
            second.take(owed("m"))
            self.assertEqual(list(self.ledger().owed), ["n", "m"])

    def test_old_and_new_file_stay_within_the_allowance(self):
        kept, max_bytes = self.ledger(40_000), 0
        write = kept.journal.rewrite

        def rewrite(payloads):
            nonlocal max_bytes
            before = kept.journal.size
            write(payloads)
            max_bytes = max(max_bytes, before + kept.journal.size)

        kept.journal.rewrite = rewrite
        for i in range(500):
            kept.take(owed(f"n{i}", b"x" * 300))
            kept.push(f"n{i}", 0, 41.0)
            if i > 5:
                kept.finish(f"n{i - 5}")
            self.assertLess(kept.journal.size, 40_000)
        self.assertTrue(0 < max_bytes < 40_000)
        self.assertEqual(len(self.ledger(40_000).owed), 6)

    def test_a_file_of_dead_records_is_rewritten_long_before_it_is_full(self):
        kept = self.ledger(3_000_000)
        for i in range(2000):
            kept.take(owed(f"n{i}", b"x" * 200))
            kept.finish(f"n{i}")
        self.assertLess(kept.journal.size, 110_000)

    def test_few_dead_bytes_do_not_cause_a_rewrite_per_record(self):
        """During an upgrade the allowance is halved. A process whose live records fill most of that half
        rewrote its file at each record and blocked: 807 notifications were lost."""
        ledger, written = self.ledger(1_000_000), []
        taken = sum(ledger.take(owed(f"n{n}", b"x" * 212)) for n in range(600))
        ledger.journal.share(2)
        rewrite = ledger.rewrite
        ledger.rewrite = lambda: written.append(1) or rewrite()
        for n in range(600):
            ledger.owe_notice(f"n{n}", {"state": "failed"})
        self.assertLess(len(written), 12)
        self.assertLess(ledger.journal.size, 500_000)
        self.assertEqual((len(self.ledger(1_000_000).owed), taken > 500), (taken, True))

    def test_a_rewrite_keeps_push_history_order_and_notices(self):
        first = self.ledger()
        for name in "nmo":
            first.take(owed(name))
            first.push(name, 0, 41.0)
        first.outcome("m", 0, True)
        first.owe_notice("o", {"state": "failed"})
        first.journal.rewrite([p for one in first.owed.values() for p in first.records_of(one)])
        back = self.ledger()
        self.assertEqual(list(back.owed), ["n", "m", "o"])
        self.assertEqual([o.first_may_have_run_at() for o in back.owed.values()][:2], [41.0, float("inf")])
        self.assertEqual((back.owed["o"].notice, back.owed["o"].body), ({"state": "failed"}, b""))
        back.outcome("n", 0, True)  # the push that was in flight at the rewrite never ran
        self.assertEqual(self.ledger().owed["n"].first_may_have_run_at(), float("inf"))

    def test_nearly_full_has_no_room(self):
        kept, taken = self.ledger(60_000), 0
        while kept.has_room(b"x" * 2000):
            kept.take(owed(f"n{taken}", b"x" * 2000))
            taken += 1
        self.assertTrue(5 < taken < 20)

    def test_a_short_write_leaves_no_trace(self):
        kept = self.ledger()
        kept.take(owed("n"))
        file = kept.journal.file
        kept.journal.file = SimpleNamespace(write=lambda data: file.write(data[:9]), truncate=file.truncate)
        self.assertFalse(kept.take(owed("m")))
        kept.journal.file = file
        kept.take(owed("o"))
        self.assertEqual(list(self.ledger().owed), ["n", "o"])

    def test_unwritten_facts_are_in_the_file_after_the_next_write(self):
        kept = self.ledger()
        kept.take(owed("n"))
        append, kept.journal.append = kept.journal.append, self.no_room
        kept.owe_notice("n", {"state": "failed"})
        kept.journal.append = append
        kept.take(owed("m"))
        self.assertEqual([o.notice for o in self.ledger().owed.values()], [{"state": "failed"}, None])

    def no_room(self, _):
        raise OSError("no space left")

    def test_appending_continues_after_a_rewrite_without_reopening(self):
        kept = self.ledger()
        kept.take(owed("n"))
        kept.journal.rewrite([p for o in kept.owed.values() for p in kept.records_of(o)])
        kept.journal.file.write(b"part")
        kept.journal.file.truncate(kept.journal.size)
        kept.take(owed("m"))
        self.assertEqual(list(self.ledger().owed), ["n", "m"])

    def test_an_unfinished_rewrite_is_removed_at_the_start(self):
        self.ledger().take(owed("n"))
        Path(self.folder, "owed.new").write_bytes(b"half")
        self.assertEqual(list(self.ledger().owed), ["n"])
        self.assertFalse(Path(self.folder, "owed.new").exists())


class Damage(unittest.TestCase):
    setUp, ledger = Store.setUp, Store.ledger

    def damaged(self):
        """A file with records of n, m and a push of n, and a flipped bit in m's record."""
        first = self.ledger()
        first.take(owed("n"))
        at = first.journal.size
        first.take(owed("m"))
        first.push("n", 0, 40.0)
        path = Path(self.folder, "owed")
        data = bytearray(path.read_bytes())
        data[at + 20] ^= 1
        path.write_bytes(data)
        first.journal.close()

    def test_damage_within_the_file_marks_earlier_notifications_as_possibly_run_at_every_start(self):
        self.damaged()
        for _ in range(2):
            self.assertEqual(
                {name: one.first_may_have_run_at() for name, one in self.ledger().owed.items()}, {"n": 0.0}
            )

    def test_damage_is_found_again_after_a_kill_or_a_full_disk_before_the_rewrite(self):
        self.damaged()
        read = Journal(self.folder, 100_000)
        read.read()
        read.close()  # killed here
        blocked = Ledger(Journal(self.folder, 100_000))
        blocked.journal.rewrite = self.no_room
        blocked.recover()
        self.assertEqual((blocked.in_sync, blocked.take(owed("o"))), (False, False))
        blocked.journal.close()
        self.assertEqual(self.ledger().owed["n"].first_may_have_run_at(), 0.0)

    def no_room(self, _):
        raise OSError("no space left")


if __name__ == "__main__":
    unittest.main()

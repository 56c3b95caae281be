"""A journal whose writes fail at random: what the file holds, and what the failures cost."""

import errno
import random
import unittest

from ryestack.store.journal import Journal, decode_frames
from ryestack.store.ledger import Ledger

from .helpers import Folder
from .test_store import owed

OPERATIONS, SEEDS = 300, 20
ALLOWANCE_BYTES = 200_000
FAILING_SHARE = 0.3


class FailingFile:
    """A journal's file, of whose writes a share fails; partial: half of those after a part of the bytes, and
    then a share of the truncations too."""

    def __init__(self, file, rng, partial):
        self.file, self.rng, self.partial = file, rng, partial

    def write(self, data):
        if self.rng.random() >= FAILING_SHARE:
            return self.file.write(data)
        if self.partial and self.rng.random() < 0.5:
            return self.file.write(data[: len(data) // 2])
        raise OSError(errno.ENOSPC, "no space left on device")

    def truncate(self, size):
        if self.partial and self.rng.random() < FAILING_SHARE:
            raise OSError(errno.EIO, "input/output error")
        self.file.truncate(size)

    def close(self):
        self.file.close()


class FailingJournal(Journal):
    """Its appends fail, also in each new file of a rewrite."""

    def __init__(self, folder, rng, partial):
        super().__init__(folder, ALLOWANCE_BYTES)
        self.rng, self.partial, self.rewrites = rng, partial, 0

    def read(self):
        records = super().read()
        self.file = FailingFile(self.file, self.rng, self.partial)
        return records

    def rewrite(self, payloads):
        self.rewrites += 1
        super().rewrite(payloads)
        self.file = FailingFile(self.file, self.rng, self.partial)


def change(ledger, rng, number):
    """One change of the ledger, as a relay makes it."""
    names = sorted(ledger.owed)
    kind = rng.choice(("take", "push", "outcome", "notice", "finish")) if names else "take"
    if kind == "take":
        ledger.take(owed(f"n{number}"))
        return
    name = rng.choice(names)
    one = ledger.owed[name]
    if kind == "push" and not one.notice:
        ledger.push(name, one.pushes, float(number))
    elif kind == "outcome" and one.open_pushes:
        ledger.outcome(name, rng.choice(sorted(one.open_pushes)), rng.random() < 0.5)
    elif kind == "notice" and not one.notice:
        ledger.owe_notice(name, {"state": "failed"})
    elif kind == "finish":
        ledger.finish(name)


class FailingWrites(Folder, unittest.TestCase):
    def ledger(self, seed, partial):
        ledger = Ledger(FailingJournal(self.folder, random.Random(seed), partial))
        ledger.recover()
        return ledger

    def histories(self, ledger):
        """What is owed, by id, with its pushes and whether it may have run."""
        rows = ledger.owed.values()
        return {one.id: (one.pushes, one.first_may_have_run_at(), one.notice) for one in rows}

    def reread(self, ledger):
        """The same, as the next process would read it from the bytes of the file."""
        other = Ledger(ledger.journal)
        other.read(decode_frames(ledger.journal.path.read_bytes())[0])
        return self.histories(other)

    def test_after_failed_writes_the_file_holds_all_facts_or_the_ledger_knows_that_it_lacks_some(self):
        checked = 0
        for seed in range(SEEDS):
            rng, ledger = random.Random(seed), self.ledger(seed, partial=True)
            for number in range(OPERATIONS):
                change(ledger, rng, number)
                if ledger.in_sync:
                    checked += 1
                    self.assertEqual(self.reread(ledger), self.histories(ledger), (seed, number))
            while not ledger.write_all():
                pass
            self.assertEqual(self.reread(ledger), self.histories(ledger), seed)
            ledger.journal.close()
            ledger.journal.path.unlink()
        self.assertGreater(checked, SEEDS * OPERATIONS // 4)

    def test_a_failed_write_is_not_followed_by_a_rewrite_of_the_whole_file(self):
        rng, ledger = random.Random(1), self.ledger(1, partial=False)
        for number in range(OPERATIONS):
            change(ledger, rng, number)
        self.assertEqual(ledger.journal.rewrites, 0)
        ledger.journal.close()


if __name__ == "__main__":
    unittest.main()

"""Ids of notifications that may have run and have ended, known long enough to refuse them. No I/O."""

import hashlib
from collections.abc import Iterable

KEPT_AFTER_DUE_S = 30.0  # beyond its time, in which an id of a repeated or late request is still known
DIGEST_BYTES = 8  # of an id: two of the ids kept at a time share one by a chance of one in a trillion
ROW_BYTES = 48  # of the journal, for an id
MAX_IDS = 8192
ROWS_PER_RECORD = 512


def digest(name: str) -> int:
    """What is kept of an id."""
    return int.from_bytes(hashlib.blake2b(name.encode(), digest_size=DIGEST_BYTES).digest())


class EndedIds:
    """Remembers ids until KEPT_AFTER_DUE_S past their time, and where there are too many until their time.

    Times are in seconds on one timeline. max_ids: that may be remembered with their time not over yet.
    """

    def __init__(self, max_ids: int = MAX_IDS):
        self.max_ids = max_ids
        self._due: dict[int, float] = {}

    def __len__(self) -> int:
        return len(self._due)

    def __contains__(self, name: str) -> bool:
        return digest(name) in self._due

    def add(self, name: str, due: float) -> None:
        """Remember an id. due: when the time of its notification is over."""
        self._due[digest(name)] = due

    def discard(self, name: str) -> None:
        """Forget an id: its notification never ran."""
        self._due.pop(digest(name), None)

    def expire(self, now: float) -> None:
        """Forget what need not be known any more."""
        kept = KEPT_AFTER_DUE_S
        if len(self._due) > self.max_ids:
            kept = 0.0
        self._due = {key: due for key, due in self._due.items() if due + kept > now}

    def is_full(self, now: float) -> bool:
        """Whether no id may be added; what is past its time makes room first."""
        if len(self._due) < self.max_ids:
            return False
        self._due = {key: due for key, due in self._due.items() if due > now}
        return len(self._due) >= self.max_ids

    def rows(self, shift: float = 0.0) -> list[list]:
        """All ids as rows for `merge`. shift: seconds added to their times."""
        return [[key, round(due + shift, 3)] for key, due in self._due.items()]

    def merge(self, rows: Iterable[list]) -> None:
        """Add the rows of another process or of a file; raises TypeError or ValueError if one is invalid."""
        for key, due in rows:
            key, due = int(key), float(due)
            self._due[key] = max(due, self._due.get(key, due))


def batches(rows: list[list]) -> list[list[list]]:
    """The rows in groups that each fit a journal record."""
    return [rows[first : first + ROWS_PER_RECORD] for first in range(0, len(rows), ROWS_PER_RECORD)]

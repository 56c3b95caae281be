"""How a control machine without a vote replicates the catalogue from one with a vote. Pure.

Versions are applied as a whole. `need` is the highest version of which any part may have been received;
nothing below it is applied, regardless of which machines sent the parts.
"""

import msgspec

from .catalogue import Catalogue, Snapshot
from .messages import (
    ALL_SHARDS,
    Answer,
    Delta,
    Entry,
    Fetch,
    Follow,
    Piece,
    TooOld,
    Unavailable,
    position,
)


class BadAnswer(Exception):
    """An answer that does not match its request."""


class NotAhead(Exception):
    """The machine that was asked is behind, or does not know whether it is."""


class Gathered(msgspec.Struct, frozen=True):
    """A complete version. entries: the changes in version order; catalogue: set if it replaces everything."""

    version: int
    entries: list[Entry]
    catalogue: Catalogue | None = None


class Gathering:
    """Collects the answers that make up the next version.

    version: the last one applied. The caller applies each `Gathered` and then calls `applied`.
    """

    def __init__(self, cluster: str, machine: str, hold: float):
        self._cluster, self._machine, self._hold = cluster, machine, hold
        self.version = 0
        self._begin_deltas()

    def request(self) -> Follow | Fetch:
        """The next request to send."""
        if self._fetched is not None and self._position is None:
            return Fetch(self._cluster, self._machine, [ALL_SHARDS], self._after)
        gathered = self._position != self.version
        return Follow(self._cluster, self._machine, self._position, 0.0 if gathered else self._hold)

    def receive(self, answer: Answer) -> Gathered | None:
        """Handles an answer; returns a version once it is complete.

        Raises BadAnswer or NotAhead if the caller has to ask another machine.
        """
        fetching = self._fetched is not None and self._position is None
        match answer:
            case Unavailable():
                raise NotAhead(answer.reason)
            case Piece() if fetching:
                self._add_piece(answer)
                return None
            case TooOld() if not fetching:
                self._begin_fetch()
                return None
            case Delta() if not fetching and answer.since == self._position:
                return self._add_delta(answer)
        raise BadAnswer(f"{type(answer).__name__} does not go with what was asked")

    def applied(self, gathered: Gathered) -> None:
        """The version is in force."""
        self.version = gathered.version
        self._begin_deltas()

    def _begin_deltas(self) -> None:
        self._position: int | None = self.version  # all changes up to it were received
        self._need = self.version
        self._changes: list[Entry] = []
        self._fetched: dict[str, Entry] | None = None  # all entries by key, during a full fetch
        self._after, self._lowest = "", 0

    def _begin_fetch(self) -> None:
        self._begin_deltas()
        self._position, self._fetched = None, {}

    def _add_piece(self, piece: Piece) -> None:
        for entry in piece.entries:
            self._insert(entry)
        self._lowest = min(self._lowest, piece.version) if self._after else piece.version
        self._need = max(self._need, piece.version)
        if piece.done:
            self._position = self._lowest
        elif not piece.entries:
            raise BadAnswer("a piece without entries, and there are more")
        else:
            self._after = position(piece.entries[-1])

    def _add_delta(self, delta: Delta) -> Gathered | None:
        if delta.version < self._position or (delta.more and delta.version == self._position):
            raise BadAnswer(f"a delta from {delta.since} to {delta.version}")
        if self._fetched is None:
            self._changes += delta.entries
        else:
            for entry in delta.entries:
                self._insert(entry)
        self._position = delta.version
        self._need = max(self._need, delta.target if delta.more else delta.version)
        if self._position < self._need and not delta.more:
            raise NotAhead(f"it has {delta.version}, and parts of {self._need} have come")
        if delta.more or self._position == self.version:
            return None
        return self._complete_version()

    def _insert(self, entry: Entry) -> None:
        previous = self._fetched.get(entry.key)
        if previous is None or previous.version <= entry.version:
            self._fetched[entry.key] = entry

    def _complete_version(self) -> Gathered:
        version = self._position
        if self._fetched is None:
            return Gathered(version, self._changes)
        live = [entry for entry in self._fetched.values() if entry.value is not None]
        return Gathered(version, [], Catalogue.restore(Snapshot(version, version, live)))

"""How a control machine without a vote gathers what changed from one that has it. Pure.

Versions are applied whole: `need` is the highest version of which anything may have come, and nothing below
it is applied, whichever machines the parts came from.
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
    """An answer that does not go with its request."""


class NotAhead(Exception):
    """The machine asked is behind, or doesn't know whether it is."""


class Gathered(msgspec.Struct, frozen=True):
    """A whole version. entries: the changes in order of version; catalogue: set where it replaces all."""

    version: int
    entries: list[Entry]
    catalogue: Catalogue | None = None


class Gathering:
    """version: that has been applied. `applied` is to be called once a Gathered has been."""

    def __init__(self, cluster: str, machine: str, hold: float):
        self._cluster, self._machine, self._hold = cluster, machine, hold
        self.version = 0
        self._begin_deltas()

    def request(self) -> Follow | Fetch:
        """What to ask next."""
        if self._fetched is not None and self._position is None:
            return Fetch(self._cluster, self._machine, [ALL_SHARDS], self._after)
        gathered = self._position != self.version
        return Follow(self._cluster, self._machine, self._position, 0.0 if gathered else self._hold)

    def receive(self, answer: Answer) -> Gathered | None:
        """A version that is whole now. Raises BadAnswer or NotAhead: another machine is to be asked."""
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
        self.version = gathered.version
        self._begin_deltas()

    def _begin_deltas(self) -> None:
        self._position: int | None = self.version  # all changes up to it are in
        self._need = self.version
        self._changes: list[Entry] = []
        self._fetched: dict[str, Entry] | None = None  # all entries by key, where they are gathered anew
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

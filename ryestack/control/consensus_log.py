"""A replica's log in memory: the entries behind a base, which a snapshot covers."""

from .consensus_messages import MAX_APPEND_BYTES, LogEntry


class Log:
    """Entries base + 1, base + 2, ...; `base_term`: of the entry at `base`. Both are 0 at the start."""

    append_bytes = MAX_APPEND_BYTES

    def __init__(self, base: int = 0, base_term: int = 0, entries: list[LogEntry] | None = None):
        self.base = base
        self.base_term = base_term
        self.entries = entries or []

    @property
    def last_position(self) -> int:
        return self.base + len(self.entries)

    @property
    def last_term(self) -> int:
        return self.entries[-1].term if self.entries else self.base_term

    def term_at(self, position: int) -> int | None:
        """The term of the entry there; None before the base and behind the end."""
        if position == self.base:
            return self.base_term
        if not self.base < position <= self.last_position:
            return None
        return self.entries[position - self.base - 1].term

    def append(self, entries: list[LogEntry]) -> None:
        """Add entries behind the end, or in place of all from the first one's position on."""
        start = entries[0].position
        if not self.base < start <= self.last_position + 1:
            raise ValueError(
                f"entry {start} leaves a gap: the log holds {self.base + 1} to {self.last_position}"
            )
        del self.entries[start - self.base - 1 :]
        self.entries += entries

    def between(self, after: int, until: int) -> list[LogEntry]:
        """The entries behind `after` up to `until`; both have to be within the log."""
        return self.entries[after - self.base : until - self.base]

    def batch(self, after: int) -> list[LogEntry]:
        """As many entries behind `after` as go into one Append."""
        size, chosen = 0, []
        for index in range(after - self.base, len(self.entries)):
            entry = self.entries[index]
            size += len(entry.payload)
            if chosen and size > self.append_bytes:
                break
            chosen.append(entry)
        return chosen

    def first_of_term(self, position: int) -> int:
        """The first position that this log holds of the term at `position`."""
        term = self.term_at(position)
        while position - 1 > self.base and self.term_at(position - 1) == term:
            position -= 1
        return position

    def compact(self, base: int) -> None:
        """Forget the entries up to `base`, which must be within the log."""
        self.base_term, self.entries, self.base = self.term_at(base), self.entries[base - self.base :], base

    def restart(self, position: int, term: int) -> None:
        """Begin behind a snapshot; entries behind it stay only where the log held that very entry."""
        if self.term_at(position) == term:
            self.compact(position)
        else:
            self.base, self.base_term, self.entries = position, term, []

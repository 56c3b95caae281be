"""A replica's log in memory: the entries after a base position; a snapshot covers the rest."""

from .consensus_messages import MAX_APPEND_BYTES, LogEntry


class Log:
    """The entries base + 1, base + 2, ...; base_term: the term of the entry at base. Both start at 0."""

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
        """The term of the entry at a position; None before the base and after the end."""
        if position == self.base:
            return self.base_term
        if not self.base < position <= self.last_position:
            return None
        return self.entries[position - self.base - 1].term

    def append(self, entries: list[LogEntry]) -> None:
        """Appends entries, replacing any that the log has from the first one's position on."""
        start = entries[0].position
        if not self.base < start <= self.last_position + 1:
            raise ValueError(
                f"entry {start} leaves a gap: the log holds {self.base + 1} to {self.last_position}"
            )
        del self.entries[start - self.base - 1 :]
        self.entries += entries

    def between(self, after: int, until: int) -> list[LogEntry]:
        """The entries after `after` up to and including `until`; both must be within the log."""
        return self.entries[after - self.base : until - self.base]

    def batch(self, after: int) -> list[LogEntry]:
        """As many entries after `after` as fit into one Append; at least one if there are any."""
        size, chosen = 0, []
        for index in range(after - self.base, len(self.entries)):
            entry = self.entries[index]
            size += len(entry.payload)
            if chosen and size > self.append_bytes:
                break
            chosen.append(entry)
        return chosen

    def first_of_term(self, position: int) -> int:
        """The first position in this log with the same term as the entry at `position`."""
        term = self.term_at(position)
        while position - 1 > self.base and self.term_at(position - 1) == term:
            position -= 1
        return position

    def compact(self, base: int) -> None:
        """Drops the entries up to `base`, which must be within the log."""
        self.base_term, self.entries, self.base = self.term_at(base), self.entries[base - self.base :], base

    def restart(self, position: int, term: int) -> None:
        """Restarts the log after a snapshot.

        Entries after the snapshot stay only if the log has the snapshot's last entry, at the same term.
        """
        if self.term_at(position) == term:
            self.compact(position)
        else:
            self.base, self.base_term, self.entries = position, term, []

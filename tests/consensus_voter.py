"""A voter of a test's cluster: its replica, its disk, its clock and the state that it applies."""

import json

from ryestack.control.consensus import Replica
from ryestack.control.consensus_messages import LogEntry, encode
from ryestack.control.consensus_state import HardState, NewEntries, Persisted

CLUSTER, TIMEOUT, PIECE = "test", 1.0, 30


class Broken(AssertionError):
    """A rule of Raft does not hold."""


class Disk:
    """What a voter has stored: it outlives crashes. Entries are kept as they are, a snapshot as bytes."""

    def __init__(self):
        self.term, self.vote = 0, ""
        self.base = self.base_term = 0
        self.entries: list[LogEntry] = []
        self.snapshot = (0, 0, b"[]")  # position, term, bytes
        self.incoming = b""

    def store(self, record) -> None:
        if isinstance(record, HardState):
            self.term, self.vote = record.term, record.vote
        elif isinstance(record, NewEntries):
            del self.entries[record.entries[0].position - self.base - 1 :]
            self.entries += record.entries
        else:
            self.incoming = (self.incoming if record.offset else b"") + record.data
            if record.done:
                self.install(record.position, record.term, self.incoming)

    def install(self, position: int, term: int, data: bytes) -> None:
        self.snapshot = (position, term, data)
        self.cut(position, term)

    def cut(self, position: int, term: int) -> None:
        if position == self.base:
            return
        index = position - self.base - 1
        kept = 0 <= index < len(self.entries) and self.entries[index].term == term
        self.entries = self.entries[index + 1 :] if kept else []
        self.base, self.base_term = position, term

    def persisted(self) -> Persisted:
        position, term, _ = self.snapshot
        return Persisted(self.term, self.vote, position, term, self.base, self.base_term, list(self.entries))

    def read_piece(self, position: int, offset: int) -> tuple[bytes, bool]:
        assert position == self.snapshot[0]
        data = self.snapshot[2]
        return data[offset : offset + PIECE], offset + PIECE >= len(data)

    def has(self, position: int, term: int) -> bool:
        if position <= self.snapshot[0]:
            return True
        index = position - self.base - 1
        return 0 <= index < len(self.entries) and self.entries[index].term == term


class Voter:
    """A replica, its disk, its clock, and the state it applied: a list of [position, term, payload]."""

    def __init__(self, net, name: str):
        self.net, self.name, self.disk, self.offset = net, name, Disk(), 0.0
        self.start()

    def start(self) -> None:
        self.disk.incoming = b""
        self.state = json.loads(self.disk.snapshot[2])
        self.pending, self.proposed = None, {}
        self.replica = Replica(
            CLUSTER,
            self.name,
            self.net.names,
            self.disk.persisted(),
            self.net.random,
            self.disk.read_piece,
            self.now,
            TIMEOUT,
        )
        self.replica.state.log.append_bytes = self.net.append_bytes

    @property
    def now(self) -> float:
        return self.net.now + self.offset

    def work(self) -> None:
        """One of two steps: take what is ready, or finish it. A crash may come between."""
        if self.pending is None:
            self.pending = self.replica.take() or None
            return
        ready, self.pending = self.pending, None
        for record in ready.records:
            self.disk.store(record)
        self.net.flying += [(m.sender, m.recipient, encode([m])) for m in ready.messages]
        if ready.restored:
            self.net.counts["restored"] += 1
            self.state = json.loads(self.disk.snapshot[2])
        for entry in ready.committed:
            self.apply(entry)
        self.replica.persisted(ready, self.now)

    def apply(self, entry: LogEntry) -> None:
        if entry.position != len(self.state) + 1:
            raise Broken(f"{self.name} applies {entry.position} behind {len(self.state)}")
        row = [entry.position, entry.term, entry.payload.decode()]
        if self.net.applied.setdefault(entry.position, row) != row:
            raise Broken(f"{self.name} applies {row}, another {self.net.applied[entry.position]}")
        self.state.append(row)
        if self.proposed.pop(entry.position, None) == entry.payload:
            self.net.acknowledge(entry)

    def crash(self) -> None:
        """Some of what was to be stored is, in order; nothing of it was said."""
        if self.pending:
            records = self.pending.records
            for record in records[: self.net.random.randint(0, len(records))]:
                self.disk.store(record)
        self.replica = self.pending = None

    def compact(self, keep: int) -> None:
        position = self.replica.state.applied
        settled = self.pending is None and len(self.state) == position  # nothing between core and disk
        if settled and position > self.disk.snapshot[0] and self.replica.can_compact():
            term = self.state[-1][1]
            self.disk.snapshot = (position, term, json.dumps(self.state).encode())
            self.replica.compact(position, keep)
            log = self.replica.state.log
            self.disk.cut(log.base, log.base_term)

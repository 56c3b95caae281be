"""A voter of the simulated cluster: its replica, disk, clock and applied state."""

import json

from ryestack.control.consensus import Replica
from ryestack.control.consensus_messages import LogEntry, encode
from ryestack.control.consensus_state import HardState, NewEntries, Persisted

CLUSTER, TIMEOUT, PIECE = "test", 1.0, 30


class Violation(AssertionError):
    """An invariant of Raft is violated."""


class Disk:
    """A voter's simulated disk, which survives crashes. It stores entries as objects, a snapshot as bytes."""

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
        self.truncate(position, term)

    def truncate(self, position: int, term: int) -> None:
        if position == self.base:
            return
        index = position - self.base - 1
        matches = 0 <= index < len(self.entries) and self.entries[index].term == term
        self.entries = self.entries[index + 1 :] if matches else []
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
        """Takes the ready output, or processes it in the next call; a crash may happen in between."""
        if self.pending is None:
            self.pending = self.replica.take() or None
            return
        ready, self.pending = self.pending, None
        for record in ready.records:
            self.disk.store(record)
        self.net.in_flight += [(m.sender, m.recipient, encode([m])) for m in ready.messages]
        if ready.restored:
            self.net.counts["restored"] += 1
            self.state = json.loads(self.disk.snapshot[2])
        for entry in ready.committed:
            self.apply(entry)
        self.replica.persisted(ready, self.now)

    def apply(self, entry: LogEntry) -> None:
        if entry.position != len(self.state) + 1:
            raise Violation(f"{self.name} applies {entry.position} after {len(self.state)}")
        row = [entry.position, entry.term, entry.payload.decode()]
        if self.net.applied.setdefault(entry.position, row) != row:
            raise Violation(f"{self.name} applies {row}, another {self.net.applied[entry.position]}")
        self.state.append(row)
        if self.proposed.pop(entry.position, None) == entry.payload:
            self.net.acknowledge(entry)

    def crash(self) -> None:
        """Crashes after storing a random prefix of the pending records; no message is sent."""
        if self.pending:
            records = self.pending.records
            for record in records[: self.net.random.randint(0, len(records))]:
                self.disk.store(record)
        self.replica = self.pending = None

    def compact(self, keep: int) -> None:
        position = self.replica.state.applied
        settled = self.pending is None and len(self.state) == position  # no output is pending
        if settled and position > self.disk.snapshot[0] and self.replica.can_compact():
            term = self.state[-1][1]
            self.disk.snapshot = (position, term, json.dumps(self.state).encode())
            self.replica.compact(position, keep)
            log = self.replica.state.log
            self.disk.truncate(log.base, log.base_term)

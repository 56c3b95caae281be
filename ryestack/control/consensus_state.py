"""The state and pending output of a replica of the change log, shared by the modules of the consensus."""

from enum import Enum

import msgspec

from .consensus_log import Log
from .consensus_messages import LogEntry, Message


class Role(Enum):
    """The Raft role of a replica."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


class HardState(msgspec.Struct, frozen=True, tag="hard_state"):
    """Has to be on disk before any message of the term is sent. vote: the candidate voted for, "" if none."""

    term: int
    vote: str


class NewEntries(msgspec.Struct, frozen=True, tag="entries"):
    """Entries to append to the log, replacing any from the first one's position on."""

    entries: list[LogEntry]


class NewPiece(msgspec.Struct, frozen=True, tag="piece"):
    """Part of a snapshot received from a leader.

    offset: 0 starts a new snapshot; done: the last part, after which it replaces the log and state.
    """

    position: int
    term: int
    offset: int
    data: bytes
    done: bool


Record = HardState | NewEntries | NewPiece


class Persisted(msgspec.Struct):
    """The state that a replica reads from its disk at startup."""

    term: int = 0
    vote: str = ""
    snapshot_position: int = 0
    snapshot_term: int = 0
    base: int = 0
    base_term: int = 0
    entries: list[LogEntry] = []


class Ready(msgspec.Struct, frozen=True):
    """Output to process in this order: store records (one fsync), send messages, restore, apply.

    restored: the position of a snapshot that replaces the whole state, 0 if none; committed: entries to
    apply; last_position, last_term: the end of the log once the records are on disk, for `Replica.persisted`.
    """

    records: list[Record]
    messages: list[Message]
    restored: int
    committed: list[LogEntry]
    last_position: int
    last_term: int

    def __bool__(self) -> bool:
        return bool(self.records or self.messages or self.restored or self.committed)


class ReplicaState:
    """Term, vote, log and commit position of one replica, and its output since the last `take`."""

    def __init__(self, cluster: str, name: str, voters: tuple[str, ...], persisted: Persisted):
        self.cluster, self.name, self.voters = cluster, name, voters
        self.others = tuple(voter for voter in voters if voter != name)
        self.term, self.vote = persisted.term, persisted.vote
        self.log = Log(persisted.base, persisted.base_term, list(persisted.entries))
        self.snapshot_position, self.snapshot_term = persisted.snapshot_position, persisted.snapshot_term
        self.commit = self.applied = persisted.snapshot_position
        self.role, self.leader = Role.FOLLOWER, ""
        self.records: list[Record] = []
        self.messages: list[Message] = []
        self.restored = 0

    @property
    def majority(self) -> int:
        return len(self.voters) // 2 + 1

    def set_term(self, term: int, vote: str) -> None:
        """Sets term and vote and records them for the disk. Nothing else changes them."""
        self.term, self.vote = term, vote
        self.records.append(HardState(term, vote))

    def append(self, entries: list[LogEntry]) -> None:
        """Appends entries to the log and records them for the disk."""
        self.log.append(entries)
        self.records.append(NewEntries(entries))

    def send(self, recipient: str, kind: type, term: int | None = None, **fields) -> None:
        """Queues a message of type `kind`, by default in the current term."""
        term = self.term if term is None else term
        self.messages.append(
            kind(cluster=self.cluster, sender=self.name, recipient=recipient, term=term, **fields)
        )

    def take(self) -> Ready:
        """The output since the last call."""
        committed = self.log.between(self.applied, self.commit)
        self.applied = self.commit
        ready = Ready(
            records=self.records,
            messages=self.messages,
            restored=self.restored,
            committed=committed,
            last_position=self.log.last_position,
            last_term=self.log.last_term,
        )
        self.records, self.messages, self.restored = [], [], 0
        return ready

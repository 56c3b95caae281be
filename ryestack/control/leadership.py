"""The leader's part: heartbeats, log replication and the commit position.

One batch of entries or one piece of the snapshot is in flight to each voter at a time; new entries go into
the next batch. A batch without an answer is resent after an election timeout; heartbeats continue meanwhile.
"""

from collections.abc import Callable

from .consensus_messages import Append, AppendReply, LogEntry, SnapshotPiece, SnapshotReply
from .consensus_state import ReplicaState

HEARTBEATS_PER_TIMEOUT = 5
TRANSFER_ELECTION_TIMEOUTS = 40  # without a reply, until a snapshot transfer is aborted

ReadPiece = Callable[[int, int], tuple[bytes, bool]]
"""(snapshot position, offset) -> bytes of the snapshot from the offset, and whether they are the last."""


class Progress:
    """The replication progress of one other voter, as known to the leader."""

    def __init__(self, next_position: int, now: float):
        self.match = 0  # position up to which its log on disk is known to match
        self.next = next_position
        self.last_reply_at = now
        self.in_flight = 0  # the last position of the batch in flight, 0 if none is
        self.sent_at = now
        self.sent_commit = 0
        self.transfer: Transfer | None = None


class Transfer:
    """A snapshot transfer to one voter."""

    def __init__(self, position: int, term: int):
        self.position, self.term, self.offset = position, term, 0


class Leadership:
    """One leader's term. timeout: the election timeout in seconds."""

    def __init__(self, state: ReplicaState, timeout: float, read_piece: ReadPiece, now: float):
        self.state, self.timeout, self.read_piece = state, timeout, read_piece
        self.interval = timeout / HEARTBEATS_PER_TIMEOUT
        self.progress = {voter: Progress(state.log.last_position + 1, now) for voter in state.others}
        self.persisted_position = 0  # the last position on the leader's own disk
        self.next_heartbeat = now + self.interval
        # Committing an entry of this term also commits the entries of earlier terms.
        self.first_position = self.propose(b"", now)

    def propose(self, payload: bytes, now: float) -> int:
        """Appends a payload to the log and returns its position."""
        position = self.state.log.last_position + 1
        self.state.append([LogEntry(position, self.state.term, payload)])
        self._send_to_idle(now)
        return position

    def tick(self, now: float) -> None:
        """Sends heartbeats that are due, and resends batches without an answer."""
        if self.next_heartbeat - now > self.interval:  # the clock was set back
            self.next_heartbeat = now
        if now < self.next_heartbeat:
            return
        self.next_heartbeat = now + self.interval
        for voter, progress in self.progress.items():
            if abs(now - progress.last_reply_at) >= TRANSFER_ELECTION_TIMEOUTS * self.timeout:
                progress.transfer = None  # a pending transfer prevents log compaction
            if not progress.in_flight or abs(now - progress.sent_at) >= self.timeout:
                self._send(voter, now)
            else:
                self._send_heartbeat(voter)

    def has_quorum(self, now: float) -> bool:
        """Whether a majority, including this replica, has replied within an election timeout."""
        replied = sum(abs(now - progress.last_reply_at) < self.timeout for progress in self.progress.values())
        return replied + 1 >= self.state.majority

    def postpone(self, seconds: float) -> None:
        """Extends the timers by the time for which the process was suspended."""
        for progress in self.progress.values():
            progress.last_reply_at += seconds

    def is_transferring(self) -> bool:
        """Whether a snapshot is being sent to any voter."""
        return any(progress.transfer for progress in self.progress.values())

    def persisted(self, position: int, now: float) -> None:
        """The log up to `position` is on the leader's own disk."""
        self.persisted_position = max(self.persisted_position, position)
        self._advance_commit(now)

    def handle_append_reply(self, reply: AppendReply, now: float) -> None:
        """Records progress, or backs up to the position that the voter suggests."""
        progress = self.progress[reply.sender]
        progress.last_reply_at = now
        if reply.accepted:
            self._advance_match(progress, reply.position, now)
        elif not progress.transfer and reply.previous_position == progress.next - 1:
            progress.next = max(progress.match, min(reply.position, progress.next - 2)) + 1
            progress.in_flight = 0
        self._send_pending(reply.sender, now)

    def handle_snapshot_reply(self, reply: SnapshotReply, now: float) -> None:
        """Continues or completes a snapshot transfer."""
        progress = self.progress[reply.sender]
        progress.last_reply_at = now
        if reply.done:
            self._advance_match(progress, reply.position, now)
        elif progress.transfer and progress.transfer.position == reply.position:
            if reply.offset == progress.transfer.offset:
                return  # a duplicate reply: the piece is already in flight
            progress.transfer.offset = reply.offset
            progress.in_flight = 0
        self._send_pending(reply.sender, now)

    def _advance_match(self, progress: Progress, position: int, now: float) -> None:
        if position > progress.match:
            progress.match = position
            progress.next = position + 1
        if progress.in_flight and position >= progress.in_flight:
            progress.in_flight = 0
        if progress.transfer and position >= progress.transfer.position:
            progress.transfer = None
        self._advance_commit(now)

    def _advance_commit(self, now: float) -> None:
        """Commits what a majority has on disk if its last entry is of the current term (Raft, 5.4.2)."""
        state = self.state
        matches = sorted(
            [self.persisted_position, *(progress.match for progress in self.progress.values())], reverse=True
        )
        position = matches[state.majority - 1]
        if position > state.commit and state.log.term_at(position) == state.term:
            state.commit = position
            self._send_to_idle(now)  # tells the others the new commit position at once

    def _send_to_idle(self, now: float) -> None:
        for voter, progress in self.progress.items():
            if not progress.in_flight:
                self._send(voter, now)

    def _send_pending(self, voter: str, now: float) -> None:
        """Sends the next message to a voter that is behind and has nothing in flight."""
        progress = self.progress[voter]
        behind = progress.next <= self.state.log.last_position or progress.sent_commit < self.state.commit
        if not progress.in_flight and (progress.transfer or behind):
            self._send(voter, now)

    def _send(self, voter: str, now: float) -> None:
        progress = self.progress[voter]
        progress.sent_at = now
        if progress.transfer or progress.next <= self.state.log.base:
            self._send_piece(voter, progress)
            return
        entries = self.state.log.batch(progress.next - 1)
        progress.in_flight = entries[-1].position if entries else 0
        self._send_append(voter, progress.next - 1, entries)

    def _send_heartbeat(self, voter: str) -> None:
        progress = self.progress[voter]
        self._send_append(voter, max(progress.next - 1, self.state.log.base), [])

    def _send_append(self, voter: str, previous: int, entries: list[LogEntry]) -> None:
        self.progress[voter].sent_commit = self.state.commit
        self.state.send(
            voter,
            Append,
            previous_position=previous,
            previous_term=self.state.log.term_at(previous),
            entries=entries,
            commit=self.state.commit,
        )

    def _send_piece(self, voter: str, progress: Progress) -> None:
        state = self.state
        if not progress.transfer:
            progress.transfer = Transfer(state.snapshot_position, state.snapshot_term)
        transfer = progress.transfer
        progress.in_flight = transfer.position
        data, done = self.read_piece(transfer.position, transfer.offset)
        state.send(
            voter,
            SnapshotPiece,
            position=transfer.position,
            position_term=transfer.term,
            offset=transfer.offset,
            data=data,
            done=done,
        )

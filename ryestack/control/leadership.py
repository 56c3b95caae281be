"""A leader's part: heartbeats, copying its log to the others, and the commit position.

To each voter one batch of entries, or one piece of the snapshot, is out at a time; what comes meanwhile goes
into the next one. A batch without an answer is sent again after an election timeout; heartbeats go on.
"""

from collections.abc import Callable

from .consensus_messages import Append, AppendReply, LogEntry, SnapshotPiece, SnapshotReply
from .consensus_state import ReplicaState

HEARTBEATS_PER_TIMEOUT = 5
TRANSFER_ELECTION_TIMEOUTS = 40  # election timeouts without a word until a snapshot's transfer is given up

ReadPiece = Callable[[int, int], tuple[bytes, bool]]
"""(snapshot position, offset) -> bytes of the snapshot from there, and whether they are the last."""


class Progress:
    """What the leader knows of one other voter."""

    def __init__(self, next_position: int, now: float):
        self.match = 0  # up to here its log is known to agree, on its disk
        self.next = next_position
        self.last_reply_at = now
        self.in_flight = 0  # the last position of the batch that is out, 0 if none is
        self.sent_at = now
        self.sent_commit = 0
        self.transfer: Transfer | None = None


class Transfer:
    """A snapshot on its way to one voter."""

    def __init__(self, position: int, term: int):
        self.position, self.term, self.offset = position, term, 0


class Leadership:
    """One term of one leader. timeout: the election timeout in seconds."""

    def __init__(self, state: ReplicaState, timeout: float, read_piece: ReadPiece, now: float):
        self.state, self.timeout, self.read_piece = state, timeout, read_piece
        self.interval = timeout / HEARTBEATS_PER_TIMEOUT
        self.progress = {voter: Progress(state.log.last_position + 1, now) for voter in state.others}
        self.persisted_position = 0  # the last position that is on the leader's own disk
        self.next_heartbeat = now + self.interval
        self.first_position = self.propose(b"", now)  # commits what earlier terms left

    def propose(self, payload: bytes, now: float) -> int:
        position = self.state.log.last_position + 1
        self.state.append([LogEntry(position, self.state.term, payload)])
        self._send_to_idle(now)
        return position

    def tick(self, now: float) -> None:
        if self.next_heartbeat - now > self.interval:  # the clock was set back
            self.next_heartbeat = now
        if now < self.next_heartbeat:
            return
        self.next_heartbeat = now + self.interval
        for voter, progress in self.progress.items():
            if abs(now - progress.last_reply_at) >= TRANSFER_ELECTION_TIMEOUTS * self.timeout:
                progress.transfer = None  # it would keep the log from being compacted
            if not progress.in_flight or abs(now - progress.sent_at) >= self.timeout:
                self._send(voter, now)
            else:
                self._send_heartbeat(voter)

    def has_quorum(self, now: float) -> bool:
        """Whether a majority, this one included, was heard within an election timeout."""
        last_reply_at = sum(
            abs(now - progress.last_reply_at) < self.timeout for progress in self.progress.values()
        )
        return last_reply_at + 1 >= self.state.majority

    def postpone(self, seconds: float) -> None:
        """Count for nothing the time that the process stood still."""
        for progress in self.progress.values():
            progress.last_reply_at += seconds

    def is_transferring(self) -> bool:
        return any(progress.transfer for progress in self.progress.values())

    def persisted(self, position: int, now: float) -> None:
        """The leader's own disk has the log up to `position`."""
        self.persisted_position = max(self.persisted_position, position)
        self._advance_commit(now)

    def handle_append_reply(self, reply: AppendReply, now: float) -> None:
        progress = self.progress[reply.sender]
        progress.last_reply_at = now
        if reply.accepted:
            self._advance_match(progress, reply.position, now)
        elif not progress.transfer and reply.previous_position == progress.next - 1:
            progress.next = max(progress.match, min(reply.position, progress.next - 2)) + 1
            progress.in_flight = 0
        self._send_pending(reply.sender, now)

    def handle_snapshot_reply(self, reply: SnapshotReply, now: float) -> None:
        progress = self.progress[reply.sender]
        progress.last_reply_at = now
        if reply.done:
            self._advance_match(progress, reply.position, now)
        elif progress.transfer and progress.transfer.position == reply.position:
            if reply.offset == progress.transfer.offset:
                return  # a reply that came twice: the piece is on its way
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
        """What a majority has on disk is committed, if its last entry is of this term (Raft, 5.4.2)."""
        state = self.state
        matches = sorted(
            [self.persisted_position, *(progress.match for progress in self.progress.values())], reverse=True
        )
        position = matches[state.majority - 1]
        if position > state.commit and state.log.term_at(position) == state.term:
            state.commit = position
            self._send_to_idle(now)  # the others learn of it at once

    def _send_to_idle(self, now: float) -> None:
        for voter, progress in self.progress.items():
            if not progress.in_flight:
                self._send(voter, now)

    def _send_pending(self, voter: str, now: float) -> None:
        """Go on with a voter that lies behind and has nothing on its way."""
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

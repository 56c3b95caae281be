"""A Raft follower's part: accepting the leader's entries and snapshots into its log."""

from .consensus_messages import Append, AppendReply, SnapshotPiece, SnapshotReply
from .consensus_state import NewPiece, ReplicaState


class LogAcceptor:
    """Accepts entries and snapshots.

    incoming: identifies the snapshot being received; offset: how many bytes of it have been received.
    """

    def __init__(self, state: ReplicaState):
        self.state = state
        self.incoming: tuple[str, int, int] | None = None  # (sender, position, term of that position)
        self.offset = 0

    def accept_append(self, message: Append) -> None:
        """Appends the entries if the log matches before them, and replies."""
        log = self.state.log
        previous, previous_term = message.previous_position, message.previous_term
        entries = message.entries
        if previous < log.base:  # entries covered by a snapshot are committed, so they match
            entries = [entry for entry in entries if entry.position > log.base]
            previous, previous_term = log.base, log.base_term
        if log.term_at(previous) != previous_term:
            self._reply(message, False, self._next_position_to_try(previous))
            return
        self._store(entries)
        agreed = entries[-1].position if entries else previous
        self.state.commit = max(self.state.commit, min(message.commit, agreed))
        self._reply(message, True, agreed)

    def accept_piece(self, message: SnapshotPiece) -> None:
        """Stores a piece of a snapshot, installs the snapshot after its last piece, and replies."""
        state = self.state
        if message.position <= state.commit:
            self._reply_piece(message, done=True)
            return
        source = (message.sender, message.position, message.position_term)
        if self.incoming != source:
            self.incoming, self.offset = source, 0
        if message.offset != self.offset:
            self._reply_piece(message, done=False)
            return
        state.records.append(
            NewPiece(message.position, message.position_term, message.offset, message.data, message.done)
        )
        self.offset += len(message.data)
        if message.done:
            self._install(message)
        self._reply_piece(message, done=message.done)

    def _store(self, entries: list) -> None:
        """Appends the entries that the log lacks; the leader's entries replace conflicting ones."""
        for index, entry in enumerate(entries):
            if self.state.log.term_at(entry.position) != entry.term:
                if entry.position <= self.state.commit:
                    raise AssertionError(f"entry {entry.position} is committed and would be replaced")
                self.state.append(entries[index:])
                return

    def _next_position_to_try(self, previous: int) -> int:
        """The last position that may match; skips all entries of the conflicting term at once."""
        log = self.state.log
        if previous > log.last_position:
            return log.last_position
        return max(self.state.commit, log.first_of_term(previous) - 1)

    def _install(self, message: SnapshotPiece) -> None:
        state = self.state
        state.log.restart(message.position, message.position_term)
        state.snapshot_position, state.snapshot_term = message.position, message.position_term
        state.commit = state.applied = state.restored = message.position
        self.incoming, self.offset = None, 0

    def _reply(self, message: Append, accepted: bool, position: int) -> None:
        self.state.send(
            message.sender,
            AppendReply,
            accepted=accepted,
            previous_position=message.previous_position,
            position=position,
        )

    def _reply_piece(self, message: SnapshotPiece, done: bool) -> None:
        self.state.send(
            message.sender, SnapshotReply, position=message.position, offset=self.offset, done=done
        )

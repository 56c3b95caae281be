"""Log compaction: when a voter writes a snapshot and drops the log entries it covers.

A thread writes the snapshot in the background. Only installing it and rewriting the short rest of the log
happens between two steps of the change log.
"""

import asyncio
from concurrent.futures import Future, ThreadPoolExecutor

from ..observe.log import event
from .catalogue_codec import parts_of
from .consensus import Replica
from .consensus_state import Persisted
from .publisher import Publisher
from .storage import Storage
from .storage_errors import StorageFull

MIN_LOG_BYTES = 16 * 1024 * 1024  # a smaller log is never compacted
LOG_TO_SNAPSHOT_RATIO = 0.5  # a log is compacted once it exceeds this fraction of its snapshot's size
# Entries kept before the snapshot, so that voters slightly behind need no snapshot:
RETAINED_BYTES = 4 * 1024 * 1024
RETAINED_ENTRIES = 10_000


class Compaction:
    """Compacts the log; `step` is called between two steps of the change log."""

    def __init__(self, replica: Replica, storage: Storage, publisher: Publisher):
        self._replica, self._storage, self._publisher = replica, storage, publisher
        self._writer = ThreadPoolExecutor(1, "snapshot")
        self._writing: Future | None = None
        self._position = self._term = 0
        self._min_log_bytes = MIN_LOG_BYTES

    async def step(self) -> None:
        """Starts a snapshot if it is due, or installs a finished one. Raises OSError if the disk fails."""
        if self._writing is None:
            if self._storage.log_bytes > max(
                self._min_log_bytes, self._storage.snapshot_bytes * LOG_TO_SNAPSHOT_RATIO
            ):
                self._begin()
        elif self._writing.done() and self._replica.can_compact():
            writing, self._writing = self._writing, None
            try:
                writing.result()
                await self._finish()
                self._min_log_bytes = MIN_LOG_BYTES
            except StorageFull as full:
                self._min_log_bytes = 2 * self._storage.log_bytes  # space may be available by then
                event("machine.not_compacted", why=str(full))

    def close(self) -> None:
        """Waits until the snapshot in progress is written."""
        self._writer.shutdown()

    def _begin(self) -> None:
        snapshot = self._publisher.catalogue.snapshot()
        term = self._replica.state.log.term_at(snapshot.version)
        if term is None:
            return  # a leader's snapshot is on disk but not applied yet
        self._position, self._term = snapshot.version, term
        self._writing = self._writer.submit(
            self._storage.prepare_snapshot, self._position, self._term, parts_of(snapshot)
        )

    async def _finish(self) -> None:
        if self._replica.state.snapshot_position >= self._position:
            self._storage.drop_prepared()  # a newer one from a leader was installed meanwhile
            return
        self._storage.install_snapshot()
        self._replica.compact(self._position, self._entries_to_retain())
        content = self._content()
        await asyncio.get_running_loop().run_in_executor(self._writer, self._storage.rewrite_log, content)

    def _entries_to_retain(self) -> int:
        log, size, count = self._replica.state.log, 0, 0
        for entry in reversed(log.between(log.base, self._position)):
            size += len(entry.payload)
            if size > RETAINED_BYTES or count == RETAINED_ENTRIES:
                break
            count += 1
        return count

    def _content(self) -> Persisted:
        """The log's new content. Records in it that are still to be stored will be stored again."""
        state = self._replica.state
        return Persisted(
            term=state.term,
            vote=state.vote,
            snapshot_position=state.snapshot_position,
            snapshot_term=state.snapshot_term,
            base=state.log.base,
            base_term=state.log.base_term,
            entries=list(state.log.entries),
        )

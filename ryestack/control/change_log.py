"""Runs a voter: connects its replica of the change log with disk, transport and publisher.

One task processes the replica's output: it writes records to disk, then sends messages, then acknowledges
changes. Input that arrives during a write shares the next fsync. A second task applies committed changes to
the publisher, which may be slow.
"""

import asyncio
from collections import deque
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

from ..observe.log import event
from .catalogue_codec import read_catalogue
from .changes import entries_of
from .compaction import Compaction
from .consensus import Overloaded, Replica
from .consensus_messages import LogEntry, Message
from .consensus_state import Ready, Record, Role
from .polls import Polls
from .publisher import Publisher
from .storage import Storage
from .storage_errors import StorageFull
from .transport import Transport

TICK_SECONDS = 0.1
FULL_DISK_RETRY_SECONDS = 0.5  # until a write to a full disk is retried
CHANGE_TIMEOUT_SECONDS = 4.0  # until a change without a majority is reported as unconfirmed
APPLY_INTERVAL_SECONDS = 0.05  # between two batches for the publisher; changes within it are batched
MAX_BATCH_ENTRIES = 10_000
MAX_PENDING_CHANGES = 1000


class DiskBlocked(Exception):
    """The disk has no space left; changes and messages are refused meanwhile."""


class Unconfirmed(Exception):
    """No majority has confirmed the change; it may still be committed."""


class ChangeLog:
    """A voter's change log.

    blocked: why nothing can be written to disk, or ""; polls, publisher: committed changes are applied there.
    """

    def __init__(
        self,
        replica: Replica,
        storage: Storage,
        transport: Transport,
        publisher: Publisher,
        polls: Polls,
        clock: Callable[[], float],
    ):
        self.replica, self.blocked = replica, ""
        self._publisher, self._polls = publisher, polls
        self._storage, self._transport, self._clock = storage, transport, clock
        self._disk = ThreadPoolExecutor(1, "disk")
        self._compaction = Compaction(replica, storage, publisher)
        self._wake, self._committed = asyncio.Event(), asyncio.Event()
        self._to_apply: deque[LogEntry | None] = deque()  # None: the stored snapshot
        self._pending: dict[int, tuple[LogEntry, asyncio.Future]] = {}
        self._logged_role = (Role.FOLLOWER, "")

    async def run(self) -> None:
        """Runs until cancelled. Raises OSError or BadStorage if the disk cannot be used."""
        applying = asyncio.ensure_future(self._apply_committed())
        try:
            await self._process_until_failure(applying)
        finally:
            applying.cancel()
            self._fail_pending("the machine ends")

    async def _process_until_failure(self, applying: asyncio.Task) -> None:
        while True:
            if applying.done():
                applying.result()
            self.replica.tick(self._clock())
            while ready := self.replica.take():
                await self._process(ready)
            await self._compaction.step()
            self._log_role()
            try:
                await asyncio.wait_for(self._wake.wait(), TICK_SECONDS)
            except TimeoutError:
                continue
            self._wake.clear()

    def receive(self, messages: list[Message]) -> None:
        """Handles messages of another voter. Raises Misdirected or DiskBlocked."""
        self._check_disk()
        for message in messages:
            self.replica.receive(message, self._clock())
        self._wake.set()

    async def propose(self, payload: bytes) -> int:
        """Proposes a change; returns its version once a majority has it on disk.

        Raises NotLeader, NoQuorum, Overloaded or DiskBlocked if it was not accepted, and Unconfirmed if it
        was accepted but its outcome is unknown.
        """
        self._check_disk()
        if len(self._pending) >= MAX_PENDING_CHANGES:
            raise Overloaded(f"{MAX_PENDING_CHANGES} changes wait")
        position = self.replica.propose(payload, self._clock())
        entry = LogEntry(position, self.replica.state.term, payload)
        future = asyncio.get_running_loop().create_future()
        self._pending[position] = (entry, future)
        self._wake.set()
        try:
            async with asyncio.timeout(CHANGE_TIMEOUT_SECONDS):
                await future
        except TimeoutError:
            raise Unconfirmed("no majority answers; the change may still come to hold") from None
        finally:
            if self._pending.get(position, (None, None))[1] is future:
                del self._pending[position]
        return position

    def close(self) -> None:
        """Stops the threads. To be called once `run` has ended."""
        self._compaction.close()
        self._disk.shutdown()

    def _check_disk(self) -> None:
        if self.blocked:
            raise DiskBlocked(self.blocked)

    async def _process(self, ready: Ready) -> None:
        if ready.records:
            await self._store(ready.records)
        self._transport.send(ready.messages)
        if ready.restored:
            self._to_apply.append(None)
            self._fail_pending("another leader's snapshot came")
        for entry in ready.committed:
            self._acknowledge(entry)
        self._to_apply.extend(ready.committed)
        if self._to_apply:
            self._committed.set()
        self.replica.persisted(ready, self._clock())

    async def _store(self, records: list[Record]) -> None:
        """Returns once all records are on disk; retries while the disk is full."""
        while True:
            try:
                await self._run_on_disk_thread(self._storage.store, records)
                break
            except StorageFull as full:
                self.blocked = str(full)
                event("machine.blocked", why=self.blocked)
                self._fail_pending("the disk is full")
                await asyncio.sleep(FULL_DISK_RETRY_SECONDS)
        if self.blocked:
            self.blocked = ""
            event("machine.unblocked")

    async def _apply_committed(self) -> None:
        """Applies snapshots and committed entries to the publisher, in order."""
        while True:
            if not self._to_apply:
                self._committed.clear()
                await self._committed.wait()
            if self._to_apply[0] is None:
                self._to_apply.popleft()
                parts = self._storage.read_snapshot()
                await self._polls.load(await asyncio.to_thread(read_catalogue, parts))
            else:
                await self._apply_batch()

    async def _apply_batch(self) -> None:
        """Applies all pending entries at once, because each call costs work for every relay."""
        version, entries = self._publisher.catalogue.version, []
        while self._to_apply and self._to_apply[0] is not None and len(entries) < MAX_BATCH_ENTRIES:
            entry = self._to_apply.popleft()
            if entry.position > version:  # else a newer snapshot contains it
                version = entry.position
                entries += entries_of(entry.payload, version)
        if version > self._publisher.catalogue.version:
            await self._polls.apply(version, entries)
            await asyncio.sleep(APPLY_INTERVAL_SECONDS)

    def _acknowledge(self, entry: LogEntry) -> None:
        proposed, future = self._pending.pop(entry.position, (None, None))
        if future is None or future.done():
            return
        if proposed.term == entry.term:
            future.set_result(None)
        else:
            future.set_exception(Unconfirmed("another leader's change stands in its place"))

    def _fail_pending(self, reason: str) -> None:
        """Fails all pending changes as unconfirmed, since their outcome is unknown here."""
        for _, future in self._pending.values():
            if not future.done():
                future.set_exception(Unconfirmed(f"{reason}; the change may still come to hold"))
        self._pending.clear()

    def _run_on_disk_thread(self, call: Callable, *arguments) -> asyncio.Future:
        return asyncio.get_running_loop().run_in_executor(self._disk, call, *arguments)

    def _log_role(self) -> None:
        state = self.replica.state
        if self._logged_role != (state.role, state.leader):
            self._logged_role = (state.role, state.leader)
            event("machine.role", role=state.role.value, leader=state.leader or "none", term=state.term)

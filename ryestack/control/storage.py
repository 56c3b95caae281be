"""A voter's persistent state: the log with term and vote, and the newest snapshot, in the machine's folder.

`store` returns only after an fsync; records stored together share one. Snapshots and rewritten logs are
complete new files that replace the old ones atomically.
"""

import fcntl
import os
from collections.abc import Iterable, Iterator
from pathlib import Path

from .consensus_log import Log
from .consensus_messages import MAX_PIECE_BYTES
from .consensus_state import NewPiece, Persisted, Record
from .log_file import LogRecord, Restart, encode_records, read_log, write_log
from .snapshot_file import FORMAT, SnapshotHead, read_head, read_parts, replace, sync_folder, write_snapshot
from .storage_errors import BadStorage, StorageFull, is_full


class Storage:
    """One machine's folder, locked against other processes until `close`.

    log_bytes, snapshot_bytes: file sizes.
    """

    def __init__(self, folder: Path, cluster: str, machine: str):
        self.folder, self.cluster, self.machine = folder, cluster, machine
        self.log_path = folder / "control.log"
        self.snapshot_path = folder / "control.snapshot"
        self._incoming = folder / "control.snapshot.incoming"
        self._prepared = folder / "control.snapshot.new"
        self._lock = _lock(folder / "control.lock")
        self._log, self.log_bytes, self.snapshot_bytes = -1, 0, 0

    def load(self) -> Persisted:
        """Reads the stored state and opens the log for appending. Raises BadStorage, OSError."""
        self._incoming.unlink(missing_ok=True)
        self._prepared.unlink(missing_ok=True)
        if not self.log_path.exists():
            if self.snapshot_path.exists():
                raise BadStorage(f"{self.log_path}: is missing, but {self.snapshot_path.name} exists")
            write_log(self.log_path, self.cluster, self.machine, Persisted())
        persisted, end = read_log(self.log_path, self.cluster, self.machine)
        os.truncate(self.log_path, end)
        self._add_snapshot(persisted)
        self._open_log()
        return persisted

    def store(self, records: list[Record]) -> None:
        """Returns once all records are on disk.

        Raises StorageFull if there is no space: the same records can be stored again later. Raises OSError if
        the state on disk is unknown: the machine has to stop.
        """
        log_records: list[LogRecord] = []
        for record in records:
            if isinstance(record, NewPiece):
                self._append(log_records)
                log_records = self._store_piece(record)
            else:
                log_records.append(record)
        self._append(log_records)

    def prepare_snapshot(self, position: int, term: int, parts: Iterable[bytes]) -> None:
        """Writes a snapshot next to the current one. Raises StorageFull, OSError."""
        try:
            write_snapshot(self._prepared, SnapshotHead(FORMAT, self.cluster, position, term), parts)
        except OSError as error:
            self._prepared.unlink(missing_ok=True)
            raise _storage_error(error) from None

    def install_snapshot(self) -> None:
        """Replaces the current snapshot with the prepared one."""
        replace(self._prepared, self.snapshot_path)
        self._measure_snapshot()

    def rewrite_log(self, content: Persisted) -> None:
        """Replaces the log with one that has only this content. Raises StorageFull, OSError."""
        try:
            write_log(self.log_path, self.cluster, self.machine, content)
        except OSError as error:
            raise _storage_error(error) from None
        os.close(self._log)
        self._open_log()

    def drop_prepared(self) -> None:
        """Deletes the prepared snapshot."""
        self._prepared.unlink(missing_ok=True)

    def read_snapshot(self) -> Iterator[bytes]:
        """The parts of the current snapshot, none if there is no snapshot. Raises BadStorage."""
        return read_parts(self.snapshot_path, self.cluster) if self.snapshot_path.exists() else iter(())

    def read_piece(self, position: int, offset: int) -> tuple[bytes, bool]:
        """Bytes of the snapshot file from the offset on, and whether they are the last."""
        with open(self.snapshot_path, "rb") as file:
            file.seek(offset)
            data = file.read(MAX_PIECE_BYTES)
            return data, file.tell() >= os.fstat(file.fileno()).st_size

    def close(self) -> None:
        """Closes the log and unlocks the folder."""
        if self._log >= 0:
            os.close(self._log)
            self._log = -1
        os.close(self._lock)

    def _add_snapshot(self, persisted: Persisted) -> None:
        if self.snapshot_path.exists():
            head = read_head(self.snapshot_path, self.cluster)
            persisted.snapshot_position, persisted.snapshot_term = head.position, head.term
            self._measure_snapshot()
        if persisted.snapshot_position < persisted.base:
            end = f"ends at {persisted.snapshot_position}"
            raise BadStorage(f"{self.snapshot_path}: {end}, but the log starts after {persisted.base}")
        log = Log(persisted.base, persisted.base_term, persisted.entries)
        if (
            persisted.snapshot_position > 0
            and log.term_at(persisted.snapshot_position) != persisted.snapshot_term
        ):
            # The process ended after the snapshot was installed and before the log recorded it.
            log.restart(persisted.snapshot_position, persisted.snapshot_term)
        persisted.base, persisted.base_term, persisted.entries = log.base, log.base_term, log.entries

    def _store_piece(self, piece: NewPiece) -> list[LogRecord]:
        """Writes a piece of a snapshot; returns the log records to store after its last piece."""
        restart = Restart(piece.position, piece.term)
        if piece.done and piece.offset and not self._incoming.exists():
            return [restart]  # only the log record is missing: the disk was full
        try:
            with open(self._incoming, "r+b" if piece.offset else "wb") as file:
                file.seek(piece.offset)
                file.write(piece.data)
                file.flush()
                if piece.done:
                    os.fsync(file.fileno())
        except OSError as error:
            raise _storage_error(error) from None
        if not piece.done:
            return []
        self._check_incoming(piece)
        replace(self._incoming, self.snapshot_path)
        self._measure_snapshot()
        return [restart]

    def _measure_snapshot(self) -> None:
        self.snapshot_bytes = self.snapshot_path.stat().st_size

    def _check_incoming(self, piece: NewPiece) -> None:
        """Raises BadStorage unless the whole incoming snapshot can be read."""
        head = read_head(self._incoming, self.cluster)
        if (head.position, head.term) != (piece.position, piece.term):
            raise BadStorage(
                f"{self._incoming}: is a snapshot at {head.position}, announced at {piece.position}"
            )
        for _ in read_parts(self._incoming, self.cluster):
            pass

    def _append(self, records: list[LogRecord]) -> None:
        if not records:
            return
        data = encode_records(records)
        try:
            written = 0
            while written < len(data):
                written += os.pwrite(self._log, data[written:], self.log_bytes + written)
        except OSError as error:
            os.ftruncate(self._log, self.log_bytes)
            raise _storage_error(error) from None
        os.fsync(self._log)
        self.log_bytes += len(data)

    def _open_log(self) -> None:
        self._log = os.open(self.log_path, os.O_RDWR | os.O_CLOEXEC)
        self.log_bytes = os.fstat(self._log).st_size
        sync_folder(self.folder)


def _storage_error(error: OSError) -> Exception:
    """StorageFull if the error means that there is no space, else the error itself."""
    if is_full(error):
        return StorageFull(f"{error.filename or 'the log'}: {error.strerror}")
    return error


def _lock(path: Path) -> int:
    """Locks a folder. Raises BadStorage if another process holds the lock."""
    descriptor = os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
    try:
        fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except OSError:
        os.close(descriptor)
        raise BadStorage(f"{path.parent}: another process uses it") from None
    return descriptor

"""A voter's disk: the log with term and vote, and the newest snapshot, in the folder of one control machine.

Nothing is said of records before an fsync has them on disk; what waits together shares one. Snapshots and
rewritten logs are whole files that take the place of the old ones in one step.
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
    """One machine's folder, which no other process may use meanwhile. `close` lets go of it.

    log_bytes, snapshot_bytes: sizes of the files.
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
        """What is stored, ready for more. Raises BadStorage, OSError."""
        self._incoming.unlink(missing_ok=True)
        self._prepared.unlink(missing_ok=True)
        if not self.log_path.exists():
            if self.snapshot_path.exists():
                raise BadStorage(f"{self.log_path}: is missing, but {self.snapshot_path.name} is there")
            write_log(self.log_path, self.cluster, self.machine, Persisted())
        found, end = read_log(self.log_path, self.cluster, self.machine)
        os.truncate(self.log_path, end)
        self._add_snapshot(found)
        self._open_log()
        return found

    def store(self, records: list[Record]) -> None:
        """Returns once all are on disk. Raises StorageFull: they can be stored again once there is room.

        OSError: nobody knows what is on disk, and the machine has to end.
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
        """Write a snapshot beside the one that stands. Raises StorageFull, OSError."""
        try:
            write_snapshot(self._prepared, SnapshotHead(FORMAT, self.cluster, position, term), parts)
        except OSError as error:
            self._prepared.unlink(missing_ok=True)
            raise _storage_error(error) from None

    def install_snapshot(self) -> None:
        """Put the prepared snapshot in the place of the one that stands."""
        replace(self._prepared, self.snapshot_path)
        self._measure_snapshot()

    def rewrite_log(self, content: Persisted) -> None:
        """Put a log with just this content in the place of the old one. Raises StorageFull, OSError."""
        try:
            write_log(self.log_path, self.cluster, self.machine, content)
        except OSError as error:
            raise _storage_error(error) from None
        os.close(self._log)
        self._open_log()

    def drop_prepared(self) -> None:
        """The prepared snapshot is not wanted after all."""
        self._prepared.unlink(missing_ok=True)

    def read_snapshot(self) -> Iterator[bytes]:
        """The parts of the snapshot that stands, none if there is none. Raises BadStorage."""
        return read_parts(self.snapshot_path, self.cluster) if self.snapshot_path.exists() else iter(())

    def read_piece(self, position: int, offset: int) -> tuple[bytes, bool]:
        """Bytes of the snapshot file from there on, and whether they are its last."""
        with open(self.snapshot_path, "rb") as file:
            file.seek(offset)
            data = file.read(MAX_PIECE_BYTES)
            return data, file.tell() >= os.fstat(file.fileno()).st_size

    def close(self) -> None:
        if self._log >= 0:
            os.close(self._log)
            self._log = -1
        os.close(self._lock)

    def _add_snapshot(self, found: Persisted) -> None:
        if self.snapshot_path.exists():
            head = read_head(self.snapshot_path, self.cluster)
            found.snapshot_position, found.snapshot_term = head.position, head.term
            self._measure_snapshot()
        if found.snapshot_position < found.base:
            end = f"ends at {found.snapshot_position}"
            raise BadStorage(f"{self.snapshot_path}: {end}, but the log begins behind {found.base}")
        log = Log(found.base, found.base_term, found.entries)
        if found.snapshot_position > 0 and log.term_at(found.snapshot_position) != found.snapshot_term:
            log.restart(found.snapshot_position, found.snapshot_term)  # the log had no time to say so
        found.base, found.base_term, found.entries = log.base, log.base_term, log.entries

    def _store_piece(self, piece: NewPiece) -> list[LogRecord]:
        """Returns the records that its end leaves for the log."""
        restart = Restart(piece.position, piece.term)
        if piece.done and piece.offset and not self._incoming.exists():
            return [restart]  # all but the log's record was stored before the disk was full
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
        """All of it can be read."""
        head = read_head(self._incoming, self.cluster)
        if (head.position, head.term) != (piece.position, piece.term):
            raise BadStorage(f"{self._incoming}: is as of {head.position}, announced as of {piece.position}")
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
    if is_full(error):
        return StorageFull(f"{error.filename or 'the log'}: {error.strerror}")
    return error


def _lock(path: Path) -> int:
    """Raises BadStorage where another process has the folder."""
    descriptor = os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
    try:
        fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except OSError:
        os.close(descriptor)
        raise BadStorage(f"{path.parent}: another process uses it") from None
    return descriptor

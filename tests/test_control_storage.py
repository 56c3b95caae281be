"""A voter's storage: records are read back, torn ends are dropped, damaged and wrong files are refused."""

import errno
import os
import shutil

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from ryestack.control.consensus_messages import LogEntry
from ryestack.control.consensus_state import HardState, NewEntries, NewPiece, Persisted
from ryestack.control.frames import HEAD, frame
from ryestack.control.storage import Storage
from ryestack.control.storage_errors import BadStorage, StorageFull


def entries(first: int, last: int, term: int = 1) -> list[LogEntry]:
    return [LogEntry(position, term, b"payload %d" % position) for position in range(first, last + 1)]


def opened(folder, cluster="c", machine="m") -> tuple[Storage, Persisted]:
    storage = Storage(folder, cluster, machine)
    try:
        return storage, storage.load()
    except BadStorage:
        storage.close()
        raise


def filled(folder) -> None:
    storage, _ = opened(folder)
    storage.store([HardState(1, "a")])
    storage.store([NewEntries(entries(1, 3))])
    storage.store([HardState(2, ""), NewEntries(entries(3, 6, term=2))])
    storage.close()


def test_stored_records_are_read_back(tmp_path):
    filled(tmp_path)
    storage, found = opened(tmp_path)
    storage.close()
    assert (found.term, found.vote, found.base) == (2, "", 0)
    assert found.entries == entries(1, 2) + entries(3, 6, term=2)


def test_a_torn_last_frame_is_dropped_wherever_it_is_torn(tmp_path):
    filled(tmp_path)
    whole = (tmp_path / "control.log").read_bytes()
    last = whole.rindex(b"\xf1RYE")
    for end in range(last, len(whole)):
        (tmp_path / "control.log").write_bytes(whole[:end])
        storage, found = opened(tmp_path)
        assert found.entries == entries(1, 3) and found.term == 1
        storage.store([HardState(5, "b")])
        storage.close()
        storage, found = opened(tmp_path)
        storage.close()
        assert found.term == 5 and found.entries == entries(1, 3)


@pytest.mark.parametrize("place", ["head", "middle"])
def test_damage_before_the_end_is_refused_with_file_and_offset(tmp_path, place):
    filled(tmp_path)
    path = tmp_path / "control.log"
    data = bytearray(path.read_bytes())
    offset = 0 if place == "head" else data.index(b"\xf1RYE", 1)
    data[offset + HEAD.size + 1] ^= 1
    path.write_bytes(data)
    with pytest.raises(BadStorage, match=rf"control.log: the checksum does not match at byte {offset}$"):
        opened(tmp_path)
    assert path.read_bytes() == data


def test_a_newer_format_is_refused(tmp_path):
    filled(tmp_path)
    (tmp_path / "control.log").write_bytes(frame(msgspec.msgpack.encode({"format": 2, "other": [1]})))
    with pytest.raises(BadStorage, match="is of format 2, this program reads 1"):
        opened(tmp_path)


def test_a_folder_of_another_machine_or_cluster_or_in_use_is_refused(tmp_path):
    filled(tmp_path)
    with pytest.raises(BadStorage, match="is of machine 'm', this is 'other'"):
        opened(tmp_path, machine="other")
    with pytest.raises(BadStorage, match="is of cluster 'c'"):
        opened(tmp_path, cluster="other")
    storage, _ = opened(tmp_path)
    with pytest.raises(BadStorage, match="another process uses it"):
        opened(tmp_path)
    storage.close()


def compacted(folder) -> Storage:
    """Entries 1 to 6, with a snapshot at 4 and the log after 4."""
    filled(folder)
    storage, found = opened(folder)
    storage.prepare_snapshot(4, 2, iter([b"one", b"two"]))
    storage.install_snapshot()
    storage.rewrite_log(Persisted(found.term, found.vote, 4, 2, 4, 2, found.entries[4:]))
    return storage


def test_a_compacted_log_continues_after_its_snapshot(tmp_path):
    storage = compacted(tmp_path)
    storage.store([NewEntries(entries(7, 7, term=2))])
    storage.close()
    storage, found = opened(tmp_path)
    assert list(storage.read_snapshot()) == [b"one", b"two"]
    assert (found.snapshot_position, found.base, found.base_term) == (4, 4, 2)
    assert found.entries == entries(5, 7, term=2)
    storage.close()


def test_a_damaged_or_lost_snapshot_is_refused(tmp_path):
    compacted(tmp_path).close()
    path = tmp_path / "control.snapshot"
    whole = path.read_bytes()
    path.write_bytes(whole[:-4])
    storage, _ = opened(tmp_path)
    with pytest.raises(BadStorage, match="control.snapshot: the file ends within a frame"):
        list(storage.read_snapshot())
    storage.close()
    path.unlink()
    with pytest.raises(BadStorage, match="ends at 0, but the log starts after 4"):
        opened(tmp_path)


def sent(source: Storage, size: int) -> list[NewPiece]:
    data = source.snapshot_path.read_bytes()
    starts = range(0, len(data), size)
    return [NewPiece(4, 2, at, data[at : at + size], at + size >= len(data)) for at in starts]


def test_a_snapshot_received_in_pieces_replaces_the_log(tmp_path):
    (tmp_path / "a").mkdir()
    (tmp_path / "b").mkdir()
    source = compacted(tmp_path / "a")
    storage, _ = opened(tmp_path / "b")
    storage.store([HardState(1, ""), NewEntries(entries(1, 2))])
    for piece in sent(source, 20):
        storage.store([piece])
    storage.store([NewEntries(entries(5, 5, term=2))])
    storage.close()
    storage, found = opened(tmp_path / "b")
    assert list(storage.read_snapshot()) == [b"one", b"two"]
    assert (found.snapshot_position, found.base, found.entries) == (4, 4, entries(5, 5, term=2))
    storage.close()
    source.close()


def test_a_snapshot_installed_before_a_crash_restarts_the_log(tmp_path):
    compacted(tmp_path).close()
    (tmp_path / "b").mkdir()
    storage, _ = opened(tmp_path / "b")
    storage.store([HardState(1, ""), NewEntries(entries(1, 6))])  # 4 has another term in the snapshot
    storage.close()
    shutil.copy(tmp_path / "control.snapshot", tmp_path / "b")
    storage, found = opened(tmp_path / "b")
    assert (found.base, found.base_term, found.entries) == (4, 2, [])
    storage.close()


def test_a_full_disk_loses_nothing_and_recovers_once_there_is_space(tmp_path, monkeypatch):
    filled(tmp_path)
    storage, _ = opened(tmp_path)
    write = os.pwrite

    def pwrite(descriptor, data, offset):
        if len(data) <= 10:
            raise OSError(errno.ENOSPC, "No space left on device")
        return write(descriptor, data[:-10], offset)

    monkeypatch.setattr(os, "pwrite", pwrite)
    for _ in range(2):
        with pytest.raises(StorageFull, match="No space left"):
            storage.store([NewEntries(entries(7, 7, term=2))])
        assert (tmp_path / "control.log").stat().st_size == storage.log_bytes
    monkeypatch.undo()
    storage.store([NewEntries(entries(7, 8, term=2))])
    storage.close()
    storage, found = opened(tmp_path)
    assert found.entries == entries(1, 2) + entries(3, 8, term=2)
    storage.close()


def test_a_failed_fsync_is_an_error(tmp_path, monkeypatch):
    storage, _ = opened(tmp_path)

    def fsync(descriptor):
        raise OSError(errno.EIO, "Input/output error")

    monkeypatch.setattr(os, "fsync", fsync)
    with pytest.raises(OSError, match="Input/output"):
        storage.store([HardState(1, "")])
    monkeypatch.undo()
    storage.close()


@given(st.integers(0, 10_000), st.integers(0, 255))
def test_a_corrupted_byte_gives_an_earlier_state_or_is_refused(tmp_path_factory, index, value):
    folder = tmp_path_factory.mktemp("log")
    filled(folder)
    path = folder / "control.log"
    data = bytearray(path.read_bytes())
    data[index % len(data)] = value
    path.write_bytes(data)
    try:
        storage, found = opened(folder)
    except BadStorage as refused:
        assert str(path) in str(refused) and "\n" not in str(refused)
    else:
        storage.close()
        assert found.entries in (entries(1, 3), entries(1, 2) + entries(3, 6, term=2))

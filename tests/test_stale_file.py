"""The files of the endpoint list: their room, and the one that tells which rows are out of date."""

import random

import pytest

from ryestack.membership.stale_rows import ListId, StaleRows, checksums
from ryestack.store import folder_shares, stale_file
from ryestack.store.list_file import MAX_ENDPOINTS, ListFile
from ryestack.store.stale_file import FILE_BYTES, StaleFile

from .list_processes import MEGABYTE, real_rows


@pytest.mark.parametrize("data, stale", [(b"", False), (bytes(FILE_BYTES), False), (b"\1" * 40, True)])
def test_marker_that_cannot_be_read_counts_as_nothing_to_hold_back(tmp_path, data, stale):
    # An empty one is a start that was killed as it reserved the file; a damaged one is a write cut short.
    (tmp_path / stale_file.NAME).write_bytes(data)
    assert (StaleFile(str(tmp_path)).load() is not None) == stale


def test_marker_of_every_row_of_the_largest_list_does_not_fit_its_reserved_room(tmp_path):
    # It is written in place, so that a full disk does not matter.
    file, names = StaleFile(str(tmp_path)), checksums(f"endpoint-{n}" for n in range(MAX_ENDPOINTS))
    file.reserve()
    address = "a-registry." * 20 + "example:65535"
    stale = StaleRows(ListId(address, 3, 2**53), ListId(address, 4, 2**53), names)
    file.mark(stale)
    assert (tmp_path / stale_file.NAME).stat().st_size == FILE_BYTES and file.load() == stale
    file.clear()
    assert file.load() is None


@pytest.mark.parametrize("folder_mb", [0.2, 0.5, 1, 3, 10])
@pytest.mark.parametrize("scoped", [False, True])
def test_files_of_a_small_folder_together_take_more_than_it_may_hold(folder_mb, scoped):
    # At 1 MB the list's and the learnt state's parts were 24 KB more than the journal's half had left.
    size = int(folder_mb * MEGABYTE)
    shares = folder_shares.divide(size, scoped)
    others = folder_shares.COPIES * (shares.list_file + shares.learnt + shares.failing) + shares.scope
    assert shares.journal >= size // 2 and shares.journal + others + FILE_BYTES <= size


def test_list_file_that_is_too_small_leaves_a_replacement_behind(tmp_path):
    # It would count against the folder's bytes.
    file = ListFile(str(tmp_path), max_bytes=2048)
    with pytest.raises(OSError, match="at most"):
        file.rewrite({"rows": real_rows(100, 64, random.Random(3))})
    assert not list(tmp_path.iterdir())

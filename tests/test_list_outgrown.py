"""A list that does not fit its part of the folder, or cannot be written there, and the start after it."""

import asyncio
import random
import tempfile
from contextlib import ExitStack
from unittest import mock

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ryestack.store import folder_shares, list_file, stale_file
from ryestack.store.list_file import MAX_ENDPOINTS

from .list_processes import MEGABYTE, A, FolderFixture, changed, in_loop, ready, real_rows, row, whole


def replacements(rows):
    """The first endpoint goes, and another destination's new endpoint comes up at its address."""
    gone, taker = {**rows[0], "status": "removed"}, {**rows[1], "name": "taker", "group": 5}
    return gone, {**taker, "address": rows[0]["address"]}


@pytest.mark.parametrize("folder_mb, name_length", [(3, 10), (3, 34), (3, 64), (1, 10), (1, 34)])
@in_loop
async def test_list_of_3200_real_rows_does_not_outlive_a_kill(tmp_path, folder_mb, name_length):
    # Review case 7: it took more than its part of the folder, and the next start went by an older list.
    rows = real_rows(MAX_ENDPOINTS, name_length, random.Random(name_length))
    room = folder_shares.divide(folder_mb * MEGABYTE).list_file
    async with FolderFixture(tmp_path, room) as fixture:
        directory, saver = fixture.process(whole(1, *rows))
        directory.initial_list()
        saver.save_initial(beside=False)
        directory.take_answer(changed(2, *replacements(rows)), directory.clock(), directory.platform.address)
        assert not saver.unsaved and (tmp_path / list_file.NAME).stat().st_size <= room
        await directory.platform.close()
        fixture.registry.silent = True
        started, updates = await fixture.started(whole(1, *rows))
        in_force = ready(started, updates)
        assert rows[0]["name"] not in in_force and "taker" in in_force
        assert len(in_force) == len(rows) and not started.withheld


@pytest.mark.parametrize("stops", [1, 2])
@in_loop
async def test_list_that_outgrew_its_room_leaves_the_one_before_it_to_the_next_start(tmp_path, stops):
    # The smaller list stayed in the folder, and the start took it for the newest.
    rows, room = real_rows(300, 34, random.Random(1)), 12_000
    small = whole(1, *rows[:20])
    async with FolderFixture(tmp_path, room) as fixture:
        directory, saver = fixture.process(small)
        directory.initial_list()
        saver.save_initial(beside=False)
        for message in (changed(2, *rows[20:]), changed(3, *replacements(rows))):
            directory.take_answer(message, directory.clock(), directory.platform.address)
        assert saver.unsaved
        await directory.platform.close()
        fixture.registry.silent = True
        for _ in range(stops):
            started, updates = await fixture.started(small)
        # The others of the smaller list are served on.
        assert set(ready(started, updates)) == {each["name"] for each in rows[1:20]}


@in_loop
async def test_list_that_never_fitted_leaves_the_configured_one_to_the_next_start(tmp_path):
    # There was no list in the folder at all, and nothing told that the configuration's was out of date.
    rows = real_rows(300, 34, random.Random(2))
    async with FolderFixture(tmp_path, 5_000) as fixture:
        directory, saver = fixture.process(whole(1, *rows))
        directory.initial_list()
        saver.save_initial(beside=False)
        directory.take_answer(changed(2, *replacements(rows)), directory.clock(), directory.platform.address)
        await directory.platform.close()
        fixture.registry.silent = True
        started, updates = await fixture.started(whole(1, *rows))
        assert set(ready(started, updates)) == {each["name"] for each in rows[1:]}
        # A configuration with another list says nothing of what came after it; one as new as ours does.
        for version, count in ((0, 0), (2, len(rows))):
            started, updates = await fixture.started(whole(version, *rows))
            assert len(ready(started, updates)) == count


def failing(*names):
    """The folder's files of these names cannot be written."""
    stack = ExitStack()
    real_open, real_write = open, list_file.Path.write_bytes

    def open_or_fail(path, mode="r", *more, **options):
        if "r" not in mode and any(path.name.startswith(name) for name in names):
            raise OSError(28, "No space left on device")
        return real_open(path, mode, *more, **options)

    def write_or_fail(path, data):
        if any(path.name.startswith(name) for name in names):
            raise OSError(28, "No space left on device")
        return real_write(path, data)

    stack.enter_context(mock.patch.object(list_file, "open", open_or_fail, create=True))
    stack.enter_context(mock.patch.object(stale_file, "open", open_or_fail, create=True))
    stack.enter_context(mock.patch.object(list_file.Path, "write_bytes", write_or_fail))
    if stale_file.NAME in names:
        error = mock.Mock(side_effect=OSError(5, "Input/output error"))
        stack.enter_context(mock.patch.object(stale_file.os, "pwrite", error))
    return stack


@pytest.mark.parametrize("marker_fails", [False, True])
@in_loop
async def test_list_that_changes_while_the_disk_is_full_goes_back_to_the_one_before(tmp_path, marker_fails):
    # The older list stayed and was taken for the newest; now only its rows that are out of date wait.
    known = whole(1, row("a1", 1, 7), row("b1", 2, 8))
    async with FolderFixture(tmp_path) as fixture:
        directory, saver = fixture.process(known)
        directory.initial_list()
        saver.save_initial(beside=False)
        with failing(list_file.NAME, *([stale_file.NAME] if marker_fails else [])):
            message = changed(2, row("a1", 1, 7, "removed"), row("b2", 1, 8), row("a2", 3, 7))
            directory.take_answer(message, directory.clock(), directory.platform.address)
            assert saver.unsaved
            saver.close()
            await directory.platform.close()
            fixture.registry.silent = True
            started, updates = await fixture.started(known)
            # Where not even the marker could be written, nothing of the list can be relied on.
            assert set(ready(started, updates)) == (set() if marker_fails else {"b1"})
        # Once the registry has told the whole list and it is saved, nothing is held back any more.
        fixture.registry.silent = False
        fixture.registry.message = whole(2, row("a2", 3, 7), row("b1", 2, 8), row("b2", 1, 8))
        started, _ = await fixture.started(known)
        assert not started.withheld
        fixture.registry.silent = True
        started, updates = await fixture.started(known)
        assert set(ready(started, updates)) == {"a2", "b1", "b2"}


@in_loop
async def test_change_behind_a_version_that_the_other_process_could_not_save_is_not_read(tmp_path):
    # During an upgrade: it was appended without its base, and the file of stale rows did not name its rows.
    known = whole(1, row("a1", 1, 7), row("b1", 2, 8))
    async with FolderFixture(tmp_path) as fixture:
        predecessor, saver = fixture.process(known)
        predecessor.initial_list()
        saver.save_initial(beside=False)
        saver.alone = lambda: False
        successor, successor_saver = fixture.process(known)
        successor.initial_list()
        told = changed(2, row("a1", 1, 7, "draining"))
        with failing(list_file.NAME):
            successor.take_answer(told, successor.clock(), successor.platform.address)
        predecessor.take_change(successor.current().as_fields())
        told = changed(3, row("b1", 3, 8))
        predecessor.take_answer(told, predecessor.clock(), predecessor.platform.address)
        for each in (saver, successor_saver):
            each.close()
        for each in (predecessor, successor):
            await each.platform.close()
        fixture.registry.silent = True
        started, updates = await fixture.started(known)
        assert ready(started, updates) == {"b1": ("127.0.0.1:3", 8)}


NAMES, STATUSES = ("a", "b", "c"), ("up", "draining", "removed")
ROWS = st.dictionaries(
    st.sampled_from(NAMES), st.tuples(st.sampled_from(STATUSES), st.integers(1, 3), st.integers(7, 8))
)
DISKS = st.sampled_from(["", "list", "all"])  # which files cannot be written
STEPS = st.lists(st.tuples(st.booleans(), ROWS, DISKS, st.booleans()), max_size=8)


@given(STEPS)
def test_any_sequence_of_answers_kills_and_full_disks_sends_to_a_former_address(steps):
    """A start in an outage gives something new only to endpoints that had the same row at the kill."""

    async def play(folder):
        fixture, known = FolderFixture(folder), whole(1, row("a", 1, 7), row("b", 2, 8))
        fixture.registry.address = A
        directory, saver = fixture.process(known)
        directory.initial_list()
        saver.save_initial(beside=False)
        for version, (is_whole, states, disk, killed) in enumerate(steps, start=2):
            rows = [row(name, port, group, status) for name, (status, port, group) in states.items()]
            rows = [each for each in rows if not is_whole or each["status"] != "removed"]
            message = {"index": version, "snapshot": is_whole, "endpoints": rows}
            names = {"": [], "list": [list_file.NAME], "all": [list_file.NAME, stale_file.NAME]}[disk]
            with failing(*names):
                directory.take_answer(message, directory.clock(), A)
            directory.members.drop_removed()
            if not killed:
                continue
            before, withheld = dict(directory.members.rows), directory.withheld
            saver.close()
            await directory.platform.close()
            directory, saver = fixture.process(known)
            update = directory.initial_list()
            saver.save_initial(beside=False)
            for name, target in ready(directory, [update]).items():
                assert name in before and name not in withheld
                assert (before[name]["address"], before[name]["group"]) == target
                assert before[name]["status"] == "up"
        saver.close()
        await directory.platform.close()

    with tempfile.TemporaryDirectory() as folder:
        asyncio.run(play(folder))

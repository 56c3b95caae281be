"""The file that keeps the endpoint list: damage, a failing folder, its size, and any order of versions."""

import asyncio
import os
import tempfile

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ryestack.lifecycle.list_saver import ListSaver
from ryestack.membership.list_versions import ListChange
from ryestack.store.list_file import MAX_FILE_BYTES, ListFile

from .list_processes import KNOWN, REPLACED, A, FolderFixture, changed, followed, in_loop, ready, row, whole


@pytest.mark.parametrize("damage", ["torn", "flipped", "empty", "nonsense"])
@in_loop
async def test_damaged_file_gives_the_versions_before_the_damage_and_is_written_anew(tmp_path, damage):
    async with FolderFixture(tmp_path) as fixture:
        fixture.registry.message = KNOWN
        await followed(fixture, KNOWN, *REPLACED[:2])
        fixture.registry.silent = True
        path = tmp_path / "list"
        data = path.read_bytes()
        damaged = {
            "torn": data[:-3],
            "flipped": data[:-3] + bytes([data[-3] ^ 1]) + data[-2:],
            "empty": b"",
            "nonsense": os.urandom(50),
        }
        path.write_bytes(damaged[damage])
        directory, updates = await fixture.started(KNOWN)
        expected = {"a2", "b1"} if damage in ("torn", "flipped") else {"a1", "b1"}
        assert set(ready(directory, updates)) == expected
        saver = ListSaver(fixture.folder, fixture.boot)
        assert saver.load() is not None and not saver.needs_rewrite
        # A change that comes before the file is written anew is not appended behind the damage.
        path.write_bytes(damaged[damage])
        directory, saver = fixture.process(KNOWN)
        directory.initial_list()
        directory.take_answer(changed(9, row("c", 9)), directory.clock(), directory.platform.address)
        assert "c" in saver.load().rows
        await directory.platform.close()


@in_loop
async def test_version_that_could_not_be_saved_is_saved_once_the_folder_can_be_written(tmp_path):
    folder = tmp_path / "state"
    async with FolderFixture(folder) as fixture:
        fixture.registry.message = KNOWN
        directory, saver = fixture.process(KNOWN)
        directory.initial_list()
        directory.take_answer(REPLACED[0], directory.clock(), directory.platform.address)
        assert saver.unsaved
        folder.mkdir()
        async with asyncio.timeout(3.0):
            while saver.unsaved:
                await asyncio.sleep(0.02)
        await directory.platform.close()
        assert saver.load().rows["a1"]["status"] == "draining"


@in_loop
async def test_file_of_3200_endpoints_fits_its_part_and_a_change_costs_its_own_bytes(tmp_path):
    # Sixteen times the endpoints of a usual site; unlike names and addresses compress badly.
    rows = [row(f"s-{n * 2654435761 % 2**32:08x}", n * 7919 % 60_000, n // 4) for n in range(3200)]
    async with FolderFixture(tmp_path) as fixture:
        directory, saver = fixture.process(whole(1, *rows))
        directory.initial_list()
        saver.save_initial(beside=False)
        path, sizes = tmp_path / "list", []
        for version in range(2, 400):
            message = changed(version, {**rows[version], "status": "draining"})
            directory.take_answer(message, directory.clock(), directory.platform.address)
            sizes.append(path.stat().st_size)
        growth = [after - before for before, after in zip(sizes, sizes[1:], strict=False) if after > before]
        assert max(sizes) <= MAX_FILE_BYTES and not saver.unsaved
        assert max(growth) < 400 and len(growth) > 380
        loaded = ListSaver(fixture.folder, fixture.boot).load()
        assert loaded.rows == {r["name"]: r for r in directory.current().rows} and loaded.version == 399
        await directory.platform.close()


@in_loop
async def test_file_that_another_process_has_replaced_is_written_anew(tmp_path):
    # A predecessor that stood still writes its older list over ours: our changes would find no base there.
    async with FolderFixture(tmp_path) as fixture:
        stopped, stopped_saver = fixture.process(KNOWN)
        stopped.initial_list()
        stopped_saver.save_initial(beside=False)
        directory, saver = fixture.process(KNOWN)
        directory.initial_list()
        saver.save_initial(beside=False)
        directory.take_answer(REPLACED[0], directory.clock(), directory.platform.address)
        stopped_saver.save_whole()
        directory.take_answer(REPLACED[1], directory.clock(), directory.platform.address)
        assert set(saver.load().rows) == {"a2", "b1"}
        for each in (stopped, directory):
            await each.platform.close()


@in_loop
async def test_versions_without_a_change_leave_no_gap_before_the_next_change(tmp_path):
    # They were not saved: the change behind them had no base in the file; a start went by the list before.
    async with FolderFixture(tmp_path) as fixture:
        directory, saver = fixture.process(KNOWN)
        directory.initial_list()
        saver.save_initial(beside=False)
        for message in (changed(2), changed(3), changed(4, row("a1", 1, 7, "draining"))):
            directory.take_answer(message, directory.clock(), directory.platform.address)
        assert saver.load().rows["a1"]["status"] == "draining"
        # A version that the other process of an upgrade was told, and could not save.
        told = ListChange(directory.registry, 6, (row("b1", 2, 8, "draining"),), directory.clock(), 4)
        directory.take_change(told.as_fields())
        directory.take_answer(changed(7, row("c", 9)), directory.clock(), directory.platform.address)
        assert saver.load().rows == {each["name"]: each for each in directory.current().rows}
        await directory.platform.close()


@in_loop
async def test_registry_that_answers_the_whole_list_each_time_costs_what_has_changed(tmp_path):
    rows = [row(f"e{n}", n, n // 4) for n in range(200)]
    async with FolderFixture(tmp_path) as fixture:
        directory, saver = fixture.process(whole(1, *rows))
        directory.initial_list()
        saver.save_initial(beside=False)
        sizes = [(tmp_path / "list").stat().st_size]
        for version in range(2, 12):
            message = whole(version, *rows[version:])
            directory.take_answer(message, directory.clock(), directory.platform.address)
            directory.members.drop_removed()
            sizes.append((tmp_path / "list").stat().st_size)
        assert sizes == sorted(sizes) and sizes[-1] < sizes[0] + 10 * 400
        assert set(saver.load().rows) == {each["name"] for each in rows[11:]}
        await directory.platform.close()


def test_list_that_does_not_fit_leaves_the_file_as_it_was(tmp_path):
    file = ListFile(str(tmp_path), max_bytes=2048)
    file.rewrite({"rows": ["short"]})
    with pytest.raises(OSError, match="at most"):
        file.rewrite({"rows": [os.urandom(8).hex() for _ in range(1000)]})
    assert [record["rows"] for record in file.load().records] == [["short"]]
    assert os.listdir(tmp_path) == ["list"]


NAMES, STATUSES = ("a", "b", "c"), ("up", "draining", "removed")
MESSAGES = st.lists(
    st.tuples(st.booleans(), st.dictionaries(st.sampled_from(NAMES), st.sampled_from(STATUSES))),
    max_size=8,
)


@given(MESSAGES, st.lists(st.integers(0, 7)))
def test_any_sequence_of_answers_and_kills_leaves_the_list_in_force(messages, kills):
    async def play(folder):
        fixture, known = FolderFixture(folder), whole(1, row("a"), row("b"))
        fixture.registry.address = A
        directory, saver = fixture.process(known)
        directory.initial_list()
        saver.save_initial(beside=False)
        for version, (is_whole, states) in enumerate(messages, start=2):
            rows = [row(name, status=status) for name, status in states.items()]
            rows = [each for each in rows if not is_whole or each["status"] != "removed"]
            message = {"index": version, "snapshot": is_whole, "endpoints": rows}
            directory.take_answer(message, directory.clock(), A)
            in_force = {each["name"]: each for each in directory.current().rows}
            if version - 2 in kills:  # SIGKILL, and a start while the registry is silent
                await directory.platform.close()
                directory, saver = fixture.process(known)
                directory.initial_list()
                saver.save_initial(beside=False)
            assert {each["name"]: each for each in directory.current().rows} == in_force
            directory.members.drop_removed()
        await directory.platform.close()

    with tempfile.TemporaryDirectory() as folder:
        asyncio.run(play(folder))

"""The endpoint list outlives its process: a start while the registry is silent goes by the newest list."""

import json
from math import inf

from ryestack.interface import EndpointStatus
from ryestack.lifecycle import learned_state
from ryestack.membership.list_versions import KnownList, ListChange, Source, choose, identity

from .list_processes import (
    IN_FORCE,
    KNOWN,
    REPLACED,
    A,
    B,
    FolderFixture,
    Registry,
    changed,
    followed,
    in_loop,
    ready,
    row,
    whole,
)


@in_loop
async def test_start_in_an_outage_goes_by_the_list_that_the_killed_process_was_told(tmp_path):
    # A start went by the configuration's list: a message went to another destination's endpoint.
    async with FolderFixture(tmp_path) as fixture:
        fixture.registry.message = KNOWN
        await followed(fixture, KNOWN, *REPLACED)
        fixture.registry.silent = True
        for _ in range(2):  # two starts within one outage
            directory, updates = await fixture.started(KNOWN)
            assert ready(directory, updates) == IN_FORCE
            assert (directory.source, directory.members.index) == (Source.FOLDER, 4)


@in_loop
async def test_successor_goes_by_its_predecessors_list_though_the_folder_cannot_be_written(tmp_path):
    # An upgrade handed on what was learnt of the endpoints, but not the list of them.
    async with FolderFixture(tmp_path / "missing") as fixture:
        fixture.registry.message = KNOWN
        first = await followed(fixture, KNOWN, *REPLACED)
        fixture.registry.silent = True
        handed = json.loads(json.dumps(first.export()))
        directory, updates = await fixture.started(KNOWN, handed)
        assert ready(directory, updates) == IN_FORCE and directory.source is Source.PREDECESSOR
        # What the predecessor is told while the successor starts; a repeat and a gap change nothing.
        change = ListChange(first.registry, 6, (row("a2", 3, 7, "draining"),), first.clock(), 4)
        assert [u.endpoints[0].status for u in directory.take_change(change.as_fields())] == [
            EndpointStatus.DRAINING
        ]
        assert directory.take_change({**change.as_fields(), "version": 5}) == []
        assert directory.take_change({**change.as_fields(), "since": 8, "version": 9}) == []
        assert directory.members.index == 6


@in_loop
async def test_a_draining_endpoint_stays_draining_over_a_kill_in_an_outage(tmp_path):
    # Rule 3 holds over a restart: the configuration's list still has the endpoint as up.
    async with FolderFixture(tmp_path) as fixture:
        fixture.registry.message = KNOWN
        await followed(fixture, KNOWN, REPLACED[0])
        fixture.registry.silent = True
        directory, updates = await fixture.started(KNOWN)
        assert set(ready(directory, updates)) == {"a2", "b1"}


@in_loop
async def test_lower_version_of_a_registry_that_began_again_outlives_the_process(tmp_path):
    # The number alone says nothing: the configuration's version is higher and older.
    async with FolderFixture(tmp_path) as fixture:
        known = whole(500, row("a1", 1, 7))
        fixture.registry.message = known
        await followed(fixture, known, whole(3, row("a2", 3, 7)))
        fixture.registry.silent = True
        directory, updates = await fixture.started(known)
        assert set(ready(directory, updates)) == {"a2"} and directory.members.index == 3
        directory, updates = await fixture.started(whole(480, row("a1", 1, 7)))  # written anew, still old
        assert set(ready(directory, updates)) == {"a2"}


@in_loop
async def test_list_of_a_registry_that_the_relay_moved_to_outlives_the_process(tmp_path):
    # After SIGHUP the versions are those of another registry, and the file's old list stays in it.
    async with FolderFixture(tmp_path) as fixture:
        known = whole(500, row("a1", 1, 7))
        fixture.registry.message = known
        first = await followed(fixture, known)
        moved = await Registry().start()
        moved.message = whole(3, row("a2", 3, 7))
        first.platform.address = moved.address
        first.supersede(whole(501, row("a1", 1, 7)))  # the list in the file that SIGHUP has read
        assert first.asks_for_whole_list()
        first.take_answer(moved.message, first.clock(), moved.address)
        moved.silent = True
        for configured in (known, whole(501, row("a1", 1, 7))):
            directory, updates = await fixture.started(configured, address=moved.address)
            assert set(ready(directory, updates)) == {"a2"}
        moved.server.close()


@in_loop
async def test_list_read_at_sighup_goes_first_only_where_its_registry_numbers_it_higher(tmp_path):
    # It counted as old in any case: a start in an outage left a newer list out.
    for moves, version, expected in ((False, 9, {"c"}), (False, 1, {"a1", "b1"}), (True, 9, {"a1", "b1"})):
        async with FolderFixture(tmp_path / f"{moves}{version}") as fixture:
            (tmp_path / f"{moves}{version}").mkdir()
            fixture.registry.message = KNOWN
            first = await followed(fixture, KNOWN, changed(3))
            fixture.registry.silent = True
            first.platform.address = B if moves else first.platform.address  # where nobody answers
            reread = whole(version, row("c", 4, 7))
            first.supersede(reread)
            directory, updates = await fixture.started(reread, address=first.platform.address)
            assert set(ready(directory, updates)) == expected, (moves, version)


@in_loop
async def test_configuration_written_anew_with_a_newer_version_goes_first(tmp_path):
    async with FolderFixture(tmp_path) as fixture:
        fixture.registry.message = KNOWN
        await followed(fixture, KNOWN)
        fixture.registry.silent = True
        newer = whole(9, row("c", 4, 7))
        directory, updates = await fixture.started(newer)
        assert set(ready(directory, updates)) == {"c"} and directory.source is Source.CONFIGURATION
        older = whole(5, row("d", 5, 7))
        directory, updates = await fixture.started(older)
        assert set(ready(directory, updates)) == {"c"}


@in_loop
async def test_list_of_another_registry_is_not_used_where_the_folders_list_disputes_it(tmp_path):
    # Neither is provably newer; an address that two destinations claim gets nothing until one is told.
    async with FolderFixture(tmp_path) as fixture:
        fixture.registry.message = KNOWN
        await followed(fixture, KNOWN, *REPLACED)
        other = await Registry().start()
        other.silent = True
        written_anew = whole(1, row("a1", 1, 7), row("a3", 5, 7))
        directory, updates = await fixture.started(written_anew, address=other.address)
        assert set(ready(directory, updates)) == {"a3"} and directory.export() is None
        other.silent, other.message = False, written_anew
        directory, updates = await fixture.started(written_anew, address=other.address)
        assert set(ready(directory, updates)) == {"a1", "a3"}
        assert other.queries[-1] == "/catalog/members"  # whole, not the changes to a version of another
        other.server.close()


@in_loop
async def test_predecessor_of_an_older_build_hands_on_which_routes_it_had(tmp_path):
    # It sends what it has learnt, but no list: an endpoint that it does not know may be gone.
    learnt = {"routes": {"a1": [{"state": "draining"}], "b1": [{"state": "closed"}]}}
    states = learned_state.route_states(learnt)
    async with FolderFixture(tmp_path) as fixture:
        fixture.registry.silent = True
        known = whole(1, row("a1", 1, 7), row("b1", 2, 8), row("gone", 3, 8))
        directory, updates = await fixture.started(known, route_states=states)
        assert set(ready(directory, updates)) == {"b1"}
        fixture.registry.silent, fixture.registry.message = False, known
        directory, updates = await fixture.started(known, route_states=states)
        assert set(ready(directory, updates)) == {"a1", "b1", "gone"}


@in_loop
async def test_age_of_the_list_is_that_of_the_registrys_last_answer(tmp_path):
    # With a list that relays ask for, a new process took the outage to have begun at its own start.
    async with FolderFixture(tmp_path) as fixture:
        fixture.registry.message = KNOWN
        first = await followed(fixture, KNOWN, *REPLACED)
        fixture.registry.silent = True
        directory, updates = await fixture.started(KNOWN)
        assert updates[-1].failed and updates[-1].confirmed_at == first.confirmed_at
        fixture.boot = "another"  # whose clock counts from another moment
        directory, updates = await fixture.started(KNOWN)
        assert ready(directory, updates[:-1]) == IN_FORCE and updates[-1].confirmed_at == -inf


@in_loop
async def test_row_whose_name_is_a_number_does_not_end_the_watch(tmp_path):
    # The directory looked for it under its text: a KeyError ended the process.
    async with FolderFixture(tmp_path) as fixture:
        fixture.registry.message = KNOWN
        message = changed(2, {**row("a2", 3), "name": 5})
        directory = await followed(fixture, KNOWN, message)
        assert directory.figures()["list_version"] == 2
        fixture.registry.silent = True
        again, updates = await fixture.started(KNOWN)
        assert ready(again, updates)["5"] == ("127.0.0.1:3", 7)


def test_predecessors_list_goes_before_an_older_one_of_the_folder_and_after_a_newer_one():
    known = {"index": 1}
    configured = KnownList(A, 1, {}, 0.0, (identity(known),))
    older, newer = (KnownList(A, 5 + n, {}, float(n), (identity(known),)) for n in range(2))
    assert choose(configured, older, newer).source is Source.PREDECESSOR
    assert choose(configured, newer, older).source is Source.FOLDER
    other = KnownList(B, 1, {}, 0.0, ("another",))
    assert choose(other, older, newer).source is Source.PREDECESSOR  # the two are one relay

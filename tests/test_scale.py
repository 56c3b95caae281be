"""The scale run: its plan refuses what does not fit, its judge finds what is wrong, no child is left."""

import asyncio
import os
import signal
import sys

import pytest

from ryestack.lab import scale_plan
from ryestack.lab.scale_book import BookWriter, digest, read_book, read_log, value_digest
from ryestack.lab.scale_judge import (
    Change,
    Kind,
    Line,
    caught_up,
    in_force,
    left_behind,
    lost_changes,
    older_after_newer,
)
from ryestack.lab.scale_plan import DoesNotFit, Limits, largest, make_plan
from ryestack.lab.scale_processes import Children
from ryestack.lab.scale_report import beside, control_cpu, delays
from ryestack.lab.scale_usage import runs, usage

from .test_cli import call

AMPLE = Limits(memory=64_000_000_000, descriptors=65_536, ports=60_000)
SHARED, SCOPED = 7, 8  # digests of keys


def nobody(_key):
    return set()


def change(version, shared=True, answered=10.0, value=1):
    return Change(SHARED if shared else SCOPED, value, shared, answered - 0.1, answered, version)


def started(*relays, at=0.0):
    return [Line(relay, Kind.STARTED, 0, at) for relay in relays]


# -- the plan -----------------------------------------------------------------------------------------------


def test_a_plan_keeps_the_proportions_of_the_whole_size():
    plan = make_plan(1_200, 20, 8, AMPLE)
    assert (len(plan.relays), len(plan.real), plan.destinations) == (1_200, 20, 86_400)
    assert len({place.region for place in plan.relays}) == 7
    assert len({place.zone for place in plan.relays}) == 16
    assert len({place.name for place in plan.relays}) == 1_200
    assert [machine.voter for machine in plan.machines] == [True] * 3
    assert sum(machine.voter for machine in make_plan(3_000, 20, 8, AMPLE).machines) == 5
    assert len(make_plan(12_000, 20, 8, AMPLE).machines) == 20


@pytest.mark.parametrize(
    "found, said",
    [
        (Limits(2_000_000_000, 65_536, 60_000), "bytes of memory"),
        (Limits(64_000_000_000, 256, 60_000), "descriptors"),
        (Limits(64_000_000_000, 65_536, 500), "ports"),
        (Limits(64_000_000_000, 65_536, 60_000, processes=10), "processes"),
    ],
)
def test_what_does_not_fit_is_refused_with_the_need_and_the_limit(found, said):
    with pytest.raises(DoesNotFit, match=f"needs [0-9,]+ {said}.*allowed"):
        make_plan(1_000, 20, 8, found)


def test_the_largest_that_fits_does_and_the_next_does_not():
    found = Limits(memory=8_000_000_000, descriptors=20_000, ports=28_000)
    most = largest(20, 8, found)
    assert 300 <= most < 12_000
    make_plan(most, 20, 8, found)
    with pytest.raises(DoesNotFit):
        make_plan(most + 100, 20, 8, found)


def test_the_command_refuses_with_status_2_before_anything_is_started(monkeypatch):
    monkeypatch.setattr("ryestack.cli.scale.limits", lambda: Limits(1_000_000_000, 20_000, 28_000))
    monkeypatch.setattr("ryestack.cli.scale.ScaleRun", None)
    status, _, err = call("try", "--scale", "--relays", "3000")
    assert (status, "do not fit" in err, "bytes of memory" in err) == (2, True, True)


# -- the judge ----------------------------------------------------------------------------------------------


def applied(relay, *versions, at=10.5):
    return [Line(relay, Kind.APPLIED, version, at + number) for number, version in enumerate(versions)]


def test_it_finds_an_older_version_after_a_newer_one():
    assert older_after_newer(started("a") + applied("a", 1, 2, 2, 5)).count == 0
    assert older_after_newer(applied("a", 1, 3, 2)).count == 1
    over_a_restart = applied("a", 3) + [Line("a", Kind.STOPPED, 0, 11.0)] + started("a") + applied("a", 2)
    assert older_after_newer(over_a_restart).count == 1
    assert older_after_newer(applied("a", 3) + applied("b", 2)).count == 0
    entries = [Line("a", Kind.ENTRY, version, 11.0, SCOPED) for version in (4, 3)]
    assert older_after_newer(entries).count == 1


def test_it_finds_a_lost_change():
    held = [Line(relay, Kind.HELD, 5, 20.0, SHARED, 1) for relay in "ab"]
    assert lost_changes([change(5)], held, {"a", "b"}, nobody).count == 0
    assert lost_changes([change(5)], held[:1], {"a", "b"}, nobody).count == 1
    older = [Line("a", Kind.HELD, 4, 20.0, SHARED, 2)]
    assert lost_changes([change(4, value=2), change(5)], older, {"a"}, nobody).count == 1
    assert lost_changes([change(5)], held[:1], {"a"}, nobody).count == 0


def test_a_change_without_an_answer_may_hold_or_not():
    doubtful = change(0, value=2)
    for value in (1, 2):
        held = [Line("a", Kind.HELD, 6, 20.0, SHARED, value)]
        assert lost_changes([change(5), doubtful], held, {"a"}, nobody).count == 0
    held = [Line("a", Kind.HELD, 6, 20.0, SHARED, 3)]
    assert lost_changes([change(5), doubtful], held, {"a"}, nobody).count == 1


def test_a_scoped_change_is_asked_for_of_those_who_serve_it_alone():
    held = [Line("a", Kind.HELD, 5, 20.0, SCOPED, 1)]
    assert lost_changes([change(5, shared=False)], held, {"a", "b"}, lambda _: {"a"}).count == 0
    assert lost_changes([change(5, shared=False)], held, {"a", "b"}, lambda _: {"b"}).count == 1


def test_in_force_counts_from_the_answer_to_the_last_relay():
    lines = started("a", "b") + applied("a", 5, at=10.2) + applied("b", 6, at=11.5)
    found = in_force([change(5)], lines, nobody)[0]
    assert (round(found.seconds, 3), found.slowest, found.relays) == (1.5, "b", 2)
    never = in_force([change(7)], lines, nobody)[0]
    assert never.seconds is None
    scoped = in_force([change(5, shared=False)], lines, lambda _: {"a"})[0]
    assert (round(scoped.seconds, 3), scoped.relays) == (0.2, 1)


def test_a_relay_that_stops_is_not_waited_for_and_its_restart_is_told():
    lines = started("a") + [Line("a", Kind.STOPPED, 0, 12.0)] + started("a", at=13.0)
    lines += applied("a", 5, at=13.7)
    assert in_force([change(5)], lines, nobody)[0].relays == 0
    assert [(at, round(seconds, 3)) for at, seconds in caught_up([change(5)], lines)] == [(13.0, 0.7)]


def test_a_relay_that_starts_after_the_answer_is_not_waited_for():
    found = in_force([change(5)], started("a", at=10.5) + applied("a", 4, at=10.7), nobody)[0]
    assert (found.seconds, found.relays) == (0.0, 0)


def test_a_child_left_behind_is_found():
    here = {"me": os.getpid()}
    assert left_behind(here, runs).count == 1
    assert left_behind(here, lambda _: False).count == 0
    assert left_behind({"none": 2**22 + 1}, runs).count == 0


def test_unproven_are_figures_that_differ_or_are_not_sharp():
    assert beside(1.1, 1.0).proven and not beside(1.2, 1.0).proven and not beside(1.0, 0.0).proven
    assert beside(1.0, 1.0, spread=0.1).proven and not beside(1.0, 1.0, spread=0.2).proven
    assert control_cpu([0.03, 0.03], [0.01, 0.01]) == (pytest.approx(0.02), 0.0)
    told = delays([1.0, None, 2.0])
    assert (told.count, told.never, told.worst) == (3, 1, 2.0)


# -- books and processes ------------------------------------------------------------------------------------


def test_a_book_gives_back_its_lines_without_a_torn_one(tmp_path):
    path = tmp_path / "book"
    book = BookWriter(path)
    book.write(1, Kind.ENTRY, 9, 1.5, digest("setting/x"), value_digest(b'{"b":1,"a":2}'))
    book.write(0, Kind.APPLIED, 9, 1.6)
    book.close()
    path.write_bytes(path.read_bytes() + b"torn")
    value = value_digest(b'{"a": 2, "b": 1}')
    wanted = [Line("b", Kind.ENTRY, 9, 1.5, digest("setting/x"), value), Line("a", Kind.APPLIED, 9, 1.6)]
    assert list(read_book(path, ["a", "b"])) == wanted


def test_a_relays_log_tells_its_versions(tmp_path):
    path = tmp_path / "relay.log"
    told = "1970-01-01T00:00:05.5Z INFO r1 control.applied version=8 entries=2"
    path.write_text(f"{told}\nnot this version=9\n")
    assert list(read_log(path, "r1", "control.applied", 100.0)) == [Line("r1", Kind.APPLIED, 8, 105.5)]


class Sleeper:
    """A child that ends by SIGKILL alone."""

    process = None

    async def start(self):
        code = "import signal, time; signal.signal(signal.SIGTERM, signal.SIG_IGN);"
        code += "print(1, flush=True); time.sleep(60)"
        pipe = asyncio.subprocess.PIPE
        self.process = await asyncio.create_subprocess_exec(sys.executable, "-c", code, stdout=pipe)
        await self.process.stdout.readline()


def test_all_children_end_also_stopped_ones_and_such_as_were_started_anew(monkeypatch):
    monkeypatch.setattr("ryestack.lab.scale_processes.ENDS_WITHIN", 0.3)

    async def play():
        children = Children()
        await children.start([("a", Sleeper()), ("b", Sleeper())])
        first = children.process_id("a")
        await children.kill("a")
        await children.start_one("a", children.started["a"])
        assert children.process_id("a") != first and usage(children.process_id("a")).memory > 0
        children.signal("b", signal.SIGSTOP)
        assert left_behind(children.ids, runs).count == 2
        await children.end_all()
        return children.ids

    ids = asyncio.run(play())
    assert len(ids) == 3 and left_behind(ids, runs).count == 0


def test_destinations_at_full_size_are_those_of_the_letter():
    assert abs(scale_plan.DESTINATIONS_PER_RELAY * scale_plan.MOST_RELAYS - 860_000) < 5_000

"""The scale run: its plan refuses what does not fit, its checks find violations, no child process is left."""

import asyncio
import os
import signal
import sys

import pytest

from ryestack.lab import scale_plan
from ryestack.lab.scale_book import RecordWriter, digest, read_log, read_records, value_digest
from ryestack.lab.scale_judge import (
    Change,
    Record,
    RecordKind,
    caught_up,
    in_force,
    left_behind,
    lost_changes,
    older_after_newer,
)
from ryestack.lab.scale_plan import DoesNotFit, Limits, largest_fitting, make_plan
from ryestack.lab.scale_processes import ChildProcesses
from ryestack.lab.scale_report import compare, control_cpu, summarize_delays
from ryestack.lab.scale_usage import runs, usage

from .test_cli import call

LARGE_LIMITS = Limits(memory=64_000_000_000, descriptors=65_536, ports=60_000)
SHARED, SCOPED = 7, 8  # digests of keys


def no_relays(_key):
    return set()


def change(version, shared=True, answered=10.0, value=1):
    return Change(SHARED if shared else SCOPED, value, shared, answered - 0.1, answered, version)


def started(*relays, at=0.0):
    return [Record(relay, RecordKind.STARTED, 0, at) for relay in relays]


# -- the plan -----------------------------------------------------------------------------------------------


def test_a_plan_keeps_the_proportions_of_the_full_size():
    plan = make_plan(1_200, 20, 8, LARGE_LIMITS)
    assert (len(plan.relays), len(plan.real), plan.destinations) == (1_200, 20, 86_400)
    assert len({place.region for place in plan.relays}) == 7
    assert len({place.zone for place in plan.relays}) == 16
    assert len({place.name for place in plan.relays}) == 1_200
    assert [machine.voter for machine in plan.machines] == [True] * 3
    assert sum(machine.voter for machine in make_plan(3_000, 20, 8, LARGE_LIMITS).machines) == 5
    assert len(make_plan(12_000, 20, 8, LARGE_LIMITS).machines) == 20


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


def test_the_largest_fitting_size_fits_and_the_next_does_not():
    found = Limits(memory=8_000_000_000, descriptors=20_000, ports=28_000)
    maximum = largest_fitting(20, 8, found)
    assert 300 <= maximum < 12_000
    make_plan(maximum, 20, 8, found)
    with pytest.raises(DoesNotFit):
        make_plan(maximum + 100, 20, 8, found)


def test_the_command_refuses_with_status_2_before_anything_is_started(monkeypatch):
    monkeypatch.setattr("ryestack.cli.scale.limits", lambda: Limits(1_000_000_000, 20_000, 28_000))
    monkeypatch.setattr("ryestack.cli.scale.ScaleRun", None)
    status, _, err = call("try", "--scale", "--relays", "3000")
    assert (status, "do not fit" in err, "bytes of memory" in err) == (2, True, True)


# -- the rules ----------------------------------------------------------------------------------------------


def applied(relay, *versions, at=10.5):
    return [Record(relay, RecordKind.APPLIED, version, at + n) for n, version in enumerate(versions)]


def test_finds_an_older_version_after_a_newer_one():
    assert older_after_newer(started("a") + applied("a", 1, 2, 2, 5)).count == 0
    assert older_after_newer(applied("a", 1, 3, 2)).count == 1
    over_a_restart = (
        applied("a", 3) + [Record("a", RecordKind.STOPPED, 0, 11.0)] + started("a") + applied("a", 2)
    )
    assert older_after_newer(over_a_restart).count == 1
    assert older_after_newer(applied("a", 3) + applied("b", 2)).count == 0
    entries = [Record("a", RecordKind.ENTRY, version, 11.0, SCOPED) for version in (4, 3)]
    assert older_after_newer(entries).count == 1


def test_finds_a_lost_change():
    held = [Record(relay, RecordKind.HELD, 5, 20.0, SHARED, 1) for relay in "ab"]
    assert lost_changes([change(5)], held, {"a", "b"}, no_relays).count == 0
    assert lost_changes([change(5)], held[:1], {"a", "b"}, no_relays).count == 1
    older = [Record("a", RecordKind.HELD, 4, 20.0, SHARED, 2)]
    assert lost_changes([change(4, value=2), change(5)], older, {"a"}, no_relays).count == 1
    assert lost_changes([change(5)], held[:1], {"a"}, no_relays).count == 0


def test_an_unanswered_change_may_be_in_force_or_not():
    doubtful = change(0, value=2)
    for value in (1, 2):
        held = [Record("a", RecordKind.HELD, 6, 20.0, SHARED, value)]
        assert lost_changes([change(5), doubtful], held, {"a"}, no_relays).count == 0
    held = [Record("a", RecordKind.HELD, 6, 20.0, SHARED, 3)]
    assert lost_changes([change(5), doubtful], held, {"a"}, no_relays).count == 1


def test_a_scoped_change_is_required_only_of_relays_that_serve_it():
    held = [Record("a", RecordKind.HELD, 5, 20.0, SCOPED, 1)]
    assert lost_changes([change(5, shared=False)], held, {"a", "b"}, lambda _: {"a"}).count == 0
    assert lost_changes([change(5, shared=False)], held, {"a", "b"}, lambda _: {"b"}).count == 1


def test_in_force_counts_from_the_answer_to_the_last_relay():
    records = started("a", "b") + applied("a", 5, at=10.2) + applied("b", 6, at=11.5)
    found = in_force([change(5)], records, no_relays)[0]
    assert (round(found.seconds, 3), found.slowest, found.relays) == (1.5, "b", 2)
    never = in_force([change(7)], records, no_relays)[0]
    assert never.seconds is None
    scoped = in_force([change(5, shared=False)], records, lambda _: {"a"})[0]
    assert (round(scoped.seconds, 3), scoped.relays) == (0.2, 1)


def test_a_relay_that_stops_is_not_waited_for_and_its_restart_is_measured():
    records = started("a") + [Record("a", RecordKind.STOPPED, 0, 12.0)] + started("a", at=13.0)
    records += applied("a", 5, at=13.7)
    assert in_force([change(5)], records, no_relays)[0].relays == 0
    assert [(at, round(seconds, 3)) for at, seconds in caught_up([change(5)], records)] == [(13.0, 0.7)]


def test_a_relay_that_starts_after_the_answer_is_not_waited_for():
    found = in_force([change(5)], started("a", at=10.5) + applied("a", 4, at=10.7), no_relays)[0]
    assert (found.seconds, found.relays) == (0.0, 0)


def test_a_process_left_behind_is_found():
    own = {"me": os.getpid()}
    assert left_behind(own, runs).count == 1
    assert left_behind(own, lambda _: False).count == 0
    assert left_behind({"none": 2**22 + 1}, runs).count == 0


def test_figures_that_differ_or_have_a_large_spread_are_unproven():
    assert compare(1.1, 1.0).proven and not compare(1.2, 1.0).proven and not compare(1.0, 0.0).proven
    assert compare(1.0, 1.0, spread=0.1).proven and not compare(1.0, 1.0, spread=0.2).proven
    assert control_cpu([0.03, 0.03], [0.01, 0.01]) == (pytest.approx(0.02), 0.0)
    summary = summarize_delays([1.0, None, 2.0])
    assert (summary.count, summary.never, summary.worst) == (3, 1, 2.0)


# -- records and processes ----------------------------------------------------------------------------------


def test_a_record_file_is_read_without_an_incomplete_last_record(tmp_path):
    path = tmp_path / "book"
    writer = RecordWriter(path)
    writer.write(1, RecordKind.ENTRY, 9, 1.5, digest("setting/x"), value_digest(b'{"b":1,"a":2}'))
    writer.write(0, RecordKind.APPLIED, 9, 1.6)
    writer.close()
    path.write_bytes(path.read_bytes() + b"torn")
    value = value_digest(b'{"a": 2, "b": 1}')
    wanted = [
        Record("b", RecordKind.ENTRY, 9, 1.5, digest("setting/x"), value),
        Record("a", RecordKind.APPLIED, 9, 1.6),
    ]
    assert list(read_records(path, ["a", "b"])) == wanted


def test_applied_versions_are_read_from_a_relays_log(tmp_path):
    path = tmp_path / "relay.log"
    line = "1970-01-01T00:00:05.5Z INFO r1 control.applied version=8 entries=2"
    path.write_text(f"{line}\nnot this version=9\n")
    assert list(read_log(path, "r1", "control.applied", 100.0)) == [
        Record("r1", RecordKind.APPLIED, 8, 105.5)
    ]


class Sleeper:
    """A child process that ignores SIGTERM and ends only by SIGKILL."""

    process = None

    async def start(self):
        code = "import signal, time; signal.signal(signal.SIGTERM, signal.SIG_IGN);"
        code += "print(1, flush=True); time.sleep(60)"
        pipe = asyncio.subprocess.PIPE
        self.process = await asyncio.create_subprocess_exec(sys.executable, "-c", code, stdout=pipe)
        await self.process.stdout.readline()


def test_all_processes_end_including_stopped_and_restarted_ones(monkeypatch):
    monkeypatch.setattr("ryestack.lab.scale_processes.TERMINATION_TIMEOUT_S", 0.3)

    async def play():
        processes = ChildProcesses()
        await processes.start([("a", Sleeper()), ("b", Sleeper())])
        first = processes.process_id("a")
        await processes.kill("a")
        await processes.start_one("a", processes.started["a"])
        assert processes.process_id("a") != first and usage(processes.process_id("a")).memory > 0
        processes.signal("b", signal.SIGSTOP)
        assert left_behind(processes.process_ids, runs).count == 2
        await processes.end_all()
        return processes.process_ids

    ids = asyncio.run(play())
    assert len(ids) == 3 and left_behind(ids, runs).count == 0


def test_the_full_size_has_860_000_destinations():
    assert abs(scale_plan.DESTINATIONS_PER_RELAY * scale_plan.MAX_RELAYS - 860_000) < 5_000

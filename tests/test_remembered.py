"""What was learnt outlives a kill: in the folder, of this machine's clock, and not for long."""

import pytest

from ryestack.brain import Brain
from ryestack.interface import Result
from ryestack.lifecycle import learned_state
from ryestack.store import remembered
from ryestack.store.remembered import Moment

from .helpers import brain, end, pushes, settings, take

NOW, SOON = Moment(10.0, "boot"), Moment(12.0, "boot")


def test_a_next_life_knows_what_a_kind_counts_how_long_partners_take_and_what_our_part_is(tmp_path):
    b = brain(routes=("a",), rate=50.0, relays=40)
    for n in range(6):
        [(name, route)] = pushes(b.round(1.0 + n, [take(f"n{n}", due=90.0)])) or [("", "")]
        if name:
            b.round(1.5 + n, [end(name, route, Result.FULL, limit=50.0, left=0.0)])
    b.dests[7].habit.counts = True
    b.routes["a"].pacer.taken.add(9.0)
    remembered.save(str(tmp_path), learned_state.export(b), "s", NOW)
    again = brain(routes=("a",), rate=50.0, relays=40)
    learned_state.restore(again, remembered.load(str(tmp_path), "s", SOON).learnt)
    assert again.dests[7].habit.counts
    assert again.routes["a"].pacer.taken.rate(12.0) == b.routes["a"].pacer.taken.rate(12.0) > 0.0


@pytest.mark.parametrize(
    "clock, boot, known",
    [(12.0, "boot", True), (9.0, "boot", False), (90.0, "boot", False), (3.0, "boot", False),
     (12.0, "another", False), (12.0, "", False)],
)
def test_of_another_boot_or_long_ago_it_is_nothing(tmp_path, clock, boot, known):
    remembered.save(str(tmp_path), learned_state.export(Brain(settings(), 1)), "s", NOW)
    assert (remembered.load(str(tmp_path), "s", Moment(clock, boot)).learnt is not None) == known
    assert remembered.load(str(tmp_path), "other settings", Moment(clock, boot)).learnt is None


@pytest.mark.parametrize(
    "data", [b"", b"[]", b"{", b'{"clock":"x","wall":1,"learnt":{}}', b"[" * 100_000, b"\xff"]
)
def test_a_file_that_makes_no_sense_is_nothing(tmp_path, data):
    for name in (remembered.LEARNT, remembered.FAILING):
        (tmp_path / name).write_bytes(data)
    assert remembered.load(str(tmp_path), "s", NOW) == remembered.SavedState(None, {})


def test_a_damaged_file_is_nothing_though_it_reads_well(tmp_path):
    remembered.save(str(tmp_path), learned_state.export(Brain(settings(), 1)), "s", NOW)
    good = (tmp_path / remembered.LEARNT).read_bytes()
    assert remembered.load(str(tmp_path), "s", SOON).learnt is not None
    (tmp_path / remembered.LEARNT).write_bytes(good.replace(b'"bins":[', b'"bins":["x",', 1))
    assert remembered.load(str(tmp_path), "s", SOON).learnt is None


def test_what_is_too_large_or_has_no_folder_is_not_kept(tmp_path):
    remembered.save(str(tmp_path), {"x": "y" * remembered.MAX_TOTAL_BYTES}, "s", NOW)
    remembered.save(str(tmp_path / "none"), {}, "s", NOW)
    assert not list(tmp_path.iterdir())


def test_of_too_many_that_fail_the_last_ones_are_kept_within_the_allowance(tmp_path):
    failing = {f"endpoint-{n}": 1_000_000.0 + n + 1 / 3 for n in range(5000)}
    remembered.save_failing(str(tmp_path), failing, NOW)
    size = (tmp_path / remembered.FAILING).stat().st_size
    found = remembered.load(str(tmp_path), "s", SOON).failing
    assert size <= remembered.MAX_FILE_BYTES[remembered.FAILING] // 2
    assert 500 < len(found) < 5000 and min(found.values()) > max(
        at for name, at in failing.items() if name not in found
    )


def test_what_fails_is_known_if_it_was_written_after_all_that_is_learnt(tmp_path):
    folder, failing = str(tmp_path), {"a": 9.5}
    remembered.save_failing(folder, failing, Moment(9.9, "boot"))
    assert remembered.load(folder, "s", SOON) == remembered.SavedState(None, failing)
    remembered.save(folder, {"x": 1}, "s", NOW)
    assert remembered.load(folder, "s", SOON) == remembered.SavedState({"x": 1}, {})
    remembered.save_failing(folder, failing, Moment(10.1, "boot"))
    assert remembered.load(folder, "s", SOON) == remembered.SavedState({"x": 1}, failing)
    assert remembered.load(folder, "s", Moment(12.0, "another")) == remembered.SavedState(None, {})

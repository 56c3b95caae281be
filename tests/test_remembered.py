"""What was learnt outlives a kill: in the folder, of this machine's clock, and not for long."""

import pytest

from ryestack.brain import Brain
from ryestack.interface import Result
from ryestack.lifecycle import learned_state
from ryestack.store import remembered

from .helpers import brain, end, pushes, settings, take


def test_a_next_life_knows_what_a_kind_counts_how_long_partners_take_and_what_our_part_is(tmp_path):
    b = brain(routes=("a",), rate=50.0, relays=40)
    for n in range(6):
        [(name, route)] = pushes(b.round(1.0 + n, [take(f"n{n}", due=90.0)])) or [("", "")]
        if name:
            b.round(1.5 + n, [end(name, route, Result.FULL, limit=50.0, left=0.0)])
    b.dests[7].habit.counts = True
    b.routes["a"].pacer.taken.add(9.0)
    remembered.save(str(tmp_path), learned_state.export(b), "s", 10.0, "boot")
    again = brain(routes=("a",), rate=50.0, relays=40)
    learned_state.restore(again, remembered.load(str(tmp_path), "s", 12.0, "boot"))
    assert again.dests[7].habit.counts
    assert again.routes["a"].pacer.taken.rate(12.0) == b.routes["a"].pacer.taken.rate(12.0) > 0.0


@pytest.mark.parametrize(
    "clock, boot, known",
    [(12.0, "boot", True), (9.0, "boot", False), (90.0, "boot", False), (3.0, "boot", False),
     (12.0, "another", False), (12.0, "", False)],
)
def test_of_another_boot_or_long_ago_it_is_nothing(tmp_path, clock, boot, known):
    remembered.save(str(tmp_path), learned_state.export(Brain(settings(), 1)), "s", 10.0, "boot")
    assert (remembered.load(str(tmp_path), "s", clock, boot) is not None) == known
    assert remembered.load(str(tmp_path), "other settings", clock, boot) is None


@pytest.mark.parametrize(
    "data", [b"", b"[]", b"{", b'{"clock":"x","wall":1,"learnt":{}}', b"[" * 100_000, b"\xff"]
)
def test_a_file_that_makes_no_sense_is_nothing(tmp_path, data):
    (tmp_path / remembered.NAME).write_bytes(data)
    assert remembered.load(str(tmp_path), "s", 10.0, "boot") is None


def test_a_damaged_file_is_nothing_though_it_reads_well(tmp_path):
    remembered.save(str(tmp_path), learned_state.export(Brain(settings(), 1)), "s", 10.0, "boot")
    good = (tmp_path / remembered.NAME).read_bytes()
    assert remembered.load(str(tmp_path), "s", 12.0, "boot") is not None
    (tmp_path / remembered.NAME).write_bytes(good.replace(b'"bins":[', b'"bins":["x",', 1))
    assert remembered.load(str(tmp_path), "s", 12.0, "boot") is None


def test_what_is_too_large_or_has_no_folder_is_not_kept(tmp_path):
    remembered.save(str(tmp_path), {"x": "y" * remembered.MOST}, "s", 10.0, "boot")
    remembered.save(str(tmp_path / "none"), {}, "s", 10.0, "boot")
    assert not list(tmp_path.iterdir())

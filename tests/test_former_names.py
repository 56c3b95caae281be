"""Older revisions of the decision package are played against today's types, which have other names."""

import pytest

from ryestack import interface
from ryestack.lab import scenario as sc
from ryestack.lab.former_names import CONSTANTS, FIELDS, TYPES
from ryestack.lab.runner import bare, line_of, play, policy_of

from .emulated import day

BEFORE_THE_RENAMES = "a38065f"
SAME_DECISIONS = "6e80a62"  # the last revision that decides as that one does


def eventful_day():
    """Short, with each kind of topic type, quotas, keys in order, drains, restarts and a full outage."""
    return day(
        format=1,
        seconds=12.0,
        fleet={"relays": 3, "may_cancel": True, "max_come_back": 2.0},
        group=[
            {"count": 3, "routes": 2},
            {"name": "apart", "count": 3, "routes": 3, "apart": True,
             "limit": {"refused_count": True, "report": True}},
            {"name": "bulk", "count": 2, "routes": 2, "batch": 8},
        ],
        topic=[
            {"name": "again", "effect": "repeatable", "keep_order": True},
            {"name": "merge", "effect": "collapsible", "window": 4.0},
            {"name": "once", "effect": "once-only"},
        ],
        customer=[{"name": "a", "share": 1.0, "quota": 0.5}, {"name": "b", "share": 1.0}],
        traffic={"rate": 60.0, "load": 1.2, "keys": 5, "late": "halves", "over_share": 0.5},
        fault=[
            {"kind": "shut", "at": 2.0, "for": 2.0, "part": 0.4, "tells": True},
            {"kind": "vanish", "at": 3.0, "for": 5.0, "part": 0.2},
            {"kind": "stale", "at": 4.0, "for": 3.0, "part": 0.5},
            {"kind": "roll", "at": 5.0, "for": 4.0, "planned": True},
            {"kind": "kill", "at": 7.0, "for": 1.0},
        ],
    )


@pytest.mark.parametrize("seed", [1, 2])
def test_an_older_revision_plays_the_same_day_as_one_with_todays_names(seed):
    """The two differ in names only, so that they must decide alike."""
    today = bare(play(eventful_day(), seed, "ryestack").summary)
    renamed = bare(play(eventful_day(), seed, f"ryestack@{SAME_DECISIONS}").summary)
    former = bare(play(eventful_day(), seed, f"ryestack@{BEFORE_THE_RENAMES}").summary)
    assert len({played.pop("policy") for played in (today, renamed, former)}) == 3
    assert line_of(former) == line_of(renamed)
    for played in (today, renamed):
        assert played["delivered"] > 100 and played["throttled"] > 0 and len(played["faults"]) == 5


def test_former_types_and_fields_name_ones_of_today():
    for former, today in TYPES.items():
        assert not hasattr(interface, former) and hasattr(interface, today)
    for kind, names in FIELDS.items():
        assert not set(names) & set(kind.__dataclass_fields__)
        assert set(names.values()) <= set(kind.__dataclass_fields__)


def test_a_study_may_name_a_constant_as_it_was():
    for former, today in CONSTANTS.items():
        changed = policy_of(f"ryestack:{former}=3")
        assert getattr(changed, today) == 3.0, former
        assert not hasattr(policy_of("ryestack"), former)
    with pytest.raises(sc.BadScenario):
        policy_of("ryestack:NO_SUCH_CONSTANT=3")

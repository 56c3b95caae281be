"""Builders of emulated days, shared by several tests."""

from ryestack.lab import scenario as sc
from ryestack.lab.sim.partners import Unit, WarmUp

TOPICS = [
    sc.Topic("again", effect="repeatable"),
    sc.Topic("merge", effect="collapsible", window=6.0),
    sc.Topic("once", effect="once-only"),
]


def day(**more):
    base = {"format": 1, "seconds": 20.0, "group": [{"count": 4}], "traffic": {"rate": 20.0}}
    return sc.from_table({**base, **more})


def unit(**more):
    return Unit("u", 10.0, WarmUp(0.5, 10.0, 1.5, 1.0, 5.0), **more)

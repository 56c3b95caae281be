"""Studies: a question, the days that answer it and the figures to plot. `ryestack lab study NAME` plays one.

Each question was written before its days were played; docs/studies/ has the answers.
"""

from dataclasses import dataclass, field

TOPICS = [
    {"name": "points", "effect": "collapsible", "share": 2.0, "benefit": 2.0, "objective": 2.5},
    {"name": "balance", "share": 2.0, "ttl": 20.0},
    {"name": "charge", "effect": "once-only", "benefit": 3.0, "objective": 4.0, "ttl": 24.0},
]


@dataclass(frozen=True, slots=True)
class Study:
    """table: the scenario; vary: dotted key -> values, the first key is the x axis; figures: summary keys."""

    question: str
    table: dict
    vary: dict[str, list]
    policies: list[str]
    figures: list[str]
    seeds: int = 8
    log: bool = False
    more: dict = field(default_factory=dict)


STUDIES = {
    "herd": Study(
        "Is a large destination that recovers from an outage overloaded more easily by more relays?",
        {
            "format": 1, "name": "herd", "seconds": 45.0, "topic": TOPICS,
            "group": [{"count": 4, "headroom": 1.6, "service": {"mean": 0.1},
                       "cold": {"share": 0.3, "time": 8.0}}],
            "traffic": {"rate": 200.0, "load": 0.8},
            "fault": [{"kind": "refuse", "at": 10.0, "for": 10.0, "destinations": [0]}],
        },
        {"fleet.relays": [3, 10, 30, 100, 300, 1000]},
        ["ryestack", "token-bucket", "power-of-two", "adaptive"],
        ["falls", "last_third", "G"],
        seeds=6,
        log=True,
    ),
    "limits": Study(
        "How many calls are refused if relays share nothing but a limit, and what does it cost?",
        {
            "format": 1, "name": "limits", "seconds": 40.0, "topic": TOPICS,
            "group": [{"count": 6, "headroom": 1.25, "service": {"mean": 0.1},
                       "limit": {"how": "window", "tells": 0.7, "report": True}}],
            "traffic": {"rate": 150.0, "load": 0.9, "shape": "bursty"},
        },
        {"fleet.relays": [1, 3, 10, 30, 100, 300]},
        ["ryestack", "token-bucket", "round-robin", "adaptive"],
        ["refused", "G", "worst_window"],
        log=True,
    ),
    "metastable": Study(
        "After an overload trigger ends, does goodput recover by itself, and with which retry budget?",
        {
            "format": 1, "name": "metastable", "seconds": 60.0,
            "topic": [{"name": "points", "effect": "collapsible", "objective": 2.0, "ttl": 8.0,
                       "window": 60.0}],
            "fleet": {"relays": 6, "slots": 60, "hold": 2000},
            "clients": {"again": 2},
            "group": [{"count": 4, "headroom": 1.3, "depth": 4.0, "service": {"mean": 0.1},
                       "cold": {"fall": 4.0}}],
            "traffic": {"rate": 100.0},
            "fault": [{"kind": "slow", "at": 10.0, "for": 10.0, "part": 1.0, "size": 4.0}],
        },
        {"traffic.load": [0.6, 0.75, 0.9, 1.0, 1.1]},
        ["ryestack", "random", "round-robin", "token-bucket:EARN=0.05", "token-bucket:EARN=0.3", "adaptive"],
        ["last_third", "wasted", "G"],
    ),
    "share-cap": Study(
        "What share of its slots should a relay allow one destination, from two slots to sixty-four?",
        {
            "format": 1, "name": "share-cap", "seconds": 40.0, "topic": TOPICS,
            "fleet": {"relays": 3},
            "group": [{"count": 8, "zipf": 0.6, "headroom": [1.3, 2.0], "service": {"mean": [0.1, 0.3]}}],
            "traffic": {"load": 0.75},
            "fault": [{"kind": "hang", "at": 10.0, "for": 12.0, "part": 0.25}],
        },
        {"fleet.slots": [2, 4, 8, 16, 32, 64], "traffic.rate": [20.0]},
        ["ryestack", "ryestack:SHARE=0.5,SHARE_SICK=0.25", "ryestack:SHARE_SICK=0.75",
         "ryestack:SHARE=1.0,SHARE_SICK=1.0"],
        ["G", "worst_window"],
        seeds=12,
        log=True,
    ),
    "rolling": Study(
        "What do rolling restarts cost, by the share of relays, with and without their folders?",
        {
            "format": 1, "name": "rolling", "seconds": 45.0, "topic": TOPICS,
            "fleet": {"relays": 10},
            "group": [{"count": 12, "zipf": 0.6, "headroom": [1.3, 2.0], "service": {"mean": [0.1, 0.4]}}],
            "traffic": {"rate": 100.0, "load": 0.75},
            "fault": [{"kind": "roll", "at": 8.0, "for": 20.0, "size": 0.25, "down": [0.5, 1.5]}],
        },
        {"fault.0.part": [0.1, 0.3, 0.5, 0.7, 0.9], "fault.0.folder": [True, False],
         "fault.0.planned": [False, True]},
        ["ryestack"],
        ["G", "worst_window"],
    ),
}  # fmt: skip

"""What each relay of the world is told when it starts: the settings that follow from a scenario."""

from math import ceil

import numpy as np

from ... import interface
from ..scenario import Scenario
from .layout import Layout

ROOMY = 2.0  # times what a relay's part keeps busy, where the scenario leaves the slots open
HOLDS = 10.0  # seconds of a relay's part, where it leaves the hold open


def settings_of(day: Scenario, layout: Layout) -> interface.Settings:
    fleet = day.fleet
    part = day.traffic.rate / fleet.relays
    busy = part * float(np.dot(layout.shares, layout.paces))
    return interface.Settings(
        topic_types=_topic_types(day),
        customers=_customers(day),
        kinds=tuple(interface.Kind(g.name, g.apart, g.batch) for g in day.group),
        rules=interface.Rules(
            cold_share=min(least(g.cold.share) for g in day.group),
            cold_time=max(most(g.cold.time) for g in day.group),
            overload_factor=day.rules.factor,
            fall_time=day.rules.window,
            key_rest=day.rules.key_rest,
        ),
        slots=fleet.slots or max(3, ceil(ROOMY * busy)),
        max_open=fleet.hold or max(10, ceil(HOLDS * part)),
        relays=fleet.relays,
        over_share_benefit=day.traffic.over_share,
        late_benefit=interface.LateBenefit(day.traffic.late),
        list_has_rates=day.directory.told_rates,
        rough_rates=any(g.rough > 0.0 for g in day.group),
        max_pushes=fleet.max_pushes,
        may_cancel=fleet.may_cancel,
        max_retry_after=fleet.max_come_back,
        connection_idle=day.network.idle,
        connect_timeout=day.network.connect_timeout,
        quantum=fleet.quantum,
    )


def _topic_types(day: Scenario) -> tuple[interface.TopicType, ...]:
    return tuple(
        interface.TopicType(
            t.name,
            interface.Effect(t.effect),
            t.objective,
            t.ttl,
            t.benefit,
            t.late_share,
            "all",
            t.window if t.effect == "collapsible" else 0.0,
            t.keep_order,
        )
        for t in day.topic
    )


def _customers(day: Scenario) -> tuple[interface.Customer, ...]:
    """Those with a quota; it is a part of their share of load 1."""
    whole = sum(c.share for c in day.customer)
    return tuple(
        interface.Customer(c.name, c.quota * c.share / whole * day.traffic.rate)
        for c in day.customer
        if c.quota > 0.0
    )


def least(value) -> float:
    """Of a number, or of a range [least, most]."""
    return value[0] if isinstance(value, list) else value


def most(value) -> float:
    """Of a number, or of a range [least, most]."""
    return value[-1] if isinstance(value, list) else value

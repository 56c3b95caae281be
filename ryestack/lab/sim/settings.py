"""The settings of the relays that follow from a scenario."""

from math import ceil

import numpy as np

from ... import interface
from ..scenario import Scenario
from .layout import Layout

SLOT_HEADROOM = 2.0  # factor over the slots that a relay's traffic needs, if the scenario sets none
MAX_OPEN_S = 10.0  # seconds of a relay's share of the traffic that it may hold, if the scenario sets no limit


def settings_of(day: Scenario, layout: Layout) -> interface.Settings:
    """The settings of each relay; capacities that the scenario leaves open follow from its traffic."""
    fleet = day.fleet
    rate = day.traffic.rate / fleet.relays
    busy_slots = rate * float(np.dot(layout.shares, layout.service_times))
    return interface.Settings(
        topic_types=_topic_types(day),
        customers=_customers(day),
        kinds=tuple(interface.Kind(group.name, group.apart, group.batch) for group in day.group),
        rules=interface.Rules(
            cold_share=min(minimum(group.cold.share) for group in day.group),
            cold_time=max(maximum(group.cold.time) for group in day.group),
            overload_factor=day.rules.factor,
            fall_time=day.rules.window,
            key_rest=day.rules.key_rest,
        ),
        slots=fleet.slots or max(3, ceil(SLOT_HEADROOM * busy_slots)),
        max_open=fleet.hold or max(10, ceil(MAX_OPEN_S * rate)),
        relays=fleet.relays,
        over_share_benefit=day.traffic.over_share,
        late_benefit=interface.LateBenefit(day.traffic.late),
        list_has_rates=day.directory.told_rates,
        rough_rates=any(group.rough > 0.0 for group in day.group),
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
            topic.name,
            interface.Effect(topic.effect),
            topic.objective,
            topic.ttl,
            topic.benefit,
            topic.late_share,
            "all",
            topic.window if topic.effect == "collapsible" else 0.0,
            topic.keep_order,
        )
        for topic in day.topic
    )


def _customers(day: Scenario) -> tuple[interface.Customer, ...]:
    """The customers with a quota, in notifications a second: a multiple of their share of load 1."""
    total_share = sum(c.share for c in day.customer)
    return tuple(
        interface.Customer(c.name, c.quota * c.share / total_share * day.traffic.rate)
        for c in day.customer
        if c.quota > 0.0
    )


def minimum(value) -> float:
    """The lower end of a range [minimum, maximum], or the number itself."""
    return value[0] if isinstance(value, list) else value


def maximum(value) -> float:
    """The upper end of a range [minimum, maximum], or the number itself."""
    return value[-1] if isinstance(value, list) else value

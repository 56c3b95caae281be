"""Scoring of a day: benefit gained over benefit requested, by second, topic type and customer."""

import numpy as np

WORST_WINDOW_S = 10


class Accounts:
    """Benefit requested and gained.

    requested, gained: arrays by second of arrival, topic type and customer; the lists are by arrival.
    """

    def __init__(self, day, arrivals):
        self.day, self.arrivals = day, arrivals
        self.seconds = int(np.ceil(day.seconds)) + 1
        shape = self.seconds, len(day.topic), len(day.customer)
        self.requested, self.gained = np.zeros(shape), np.zeros(shape)
        benefit = arrivals.benefit_factor * np.array([t.benefit for t in day.topic])[arrivals.topic]
        self.benefit = benefit.tolist()
        self.arrival_second = arrivals.time.astype(np.int64).tolist()
        np.add.at(
            self.requested, (arrivals.time.astype(np.int64), arrivals.topic, arrivals.customer), benefit
        )
        self.topic, self.customer, self.arrival_time = (
            arrivals.topic.tolist(),
            arrivals.customer.tolist(),
            arrivals.time.tolist(),
        )
        self.delivered = [False] * len(arrivals)
        self.delivery_times: list[float] = []  # seconds from arrival to delivery

    def benefit_share(self, topic: int, elapsed: float) -> float:
        """The share of a topic type's benefit that a delivery after so many seconds still earns."""
        topic_type = self.day.topic[topic]
        if elapsed <= topic_type.objective:
            return 1.0
        if elapsed > topic_type.ttl:
            return 0.0
        if self.day.traffic.late == "halves":
            return max(
                topic_type.late_share, 0.5 ** ((elapsed - topic_type.objective) / topic_type.objective)
            )
        return 1.0 - (1.0 - topic_type.late_share) * (elapsed - topic_type.objective) / max(
            1e-9, topic_type.ttl - topic_type.objective
        )

    def deliver(self, arrival: int, now: float) -> bool:
        """Record a delivery; False if it repeats an earlier one or earns no benefit."""
        if self.delivered[arrival]:
            return False
        self.delivered[arrival] = True
        topic, elapsed = self.topic[arrival], now - self.arrival_time[arrival]
        self.delivery_times.append(elapsed)
        share = self.benefit_share(topic, elapsed)
        self.gained[self.arrival_second[arrival], topic, self.customer[arrival]] += (
            self.benefit[arrival] * share
        )
        return share > 0.0

    def score(self, counts: dict) -> dict[str, float]:
        """G, its components and prices; counts: the totals of `Measurements`."""
        goal, first = self.day.goal, int(self.day.warm)
        requested, gained = self.requested[first:], self.gained[first:]
        parts = {
            "whole": _ratio(gained.sum(), requested.sum()),
            "worst_window": _worst_window(requested.sum(axis=(1, 2)), gained.sum(axis=(1, 2))),
            "worst_topic": _worst(requested.sum(axis=(0, 2)), gained.sum(axis=(0, 2))),
            "worst_customer": _worst(requested.sum(axis=(0, 1)), gained.sum(axis=(0, 1))),
        }
        late = slice(int(self.day.seconds * 2.0 / 3.0), None)
        last = _ratio(self.gained[late].sum(), self.requested[late].sum())
        weights = {name: getattr(goal, name) for name in parts}
        total = sum(weights.values()) or 1.0
        score = sum(parts[name] * weight for name, weight in weights.items()) / total
        arrival_count = max(1, len(self.arrivals))
        prices = {
            "connection": goal.connection * counts["connections"] / arrival_count,
            "refused": goal.refused * counts["refused"] / arrival_count,
            "waste": goal.waste * counts["wasted"] / arrival_count,
        }
        return {
            "G": score - sum(prices.values()),
            **parts,
            "last_third": last,
            **{f"price_{k}": v for k, v in prices.items()},
        }


def _ratio(gained: float, requested: float) -> float:
    return float(gained / requested) if requested > 0.0 else 1.0


def _worst(requested: np.ndarray, gained: np.ndarray) -> float:
    present = requested > 0.0
    return float((gained[present] / requested[present]).min()) if present.any() else 1.0


def _worst_window(requested: np.ndarray, gained: np.ndarray) -> float:
    """The worst ratio over the windows that hold at least half of the average requested benefit."""
    span = min(WORST_WINDOW_S, len(requested))
    window_requested, window_gained = (np.convolve(x, np.ones(span), "valid") for x in (requested, gained))
    return _worst(
        np.where(window_requested >= 0.5 * window_requested.mean(), window_requested, 0.0), window_gained
    )

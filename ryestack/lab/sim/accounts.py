"""What a day is worth: the benefit delivered over the benefit asked for, by second, topic type and
customer."""

import numpy as np

WINDOW = 10  # seconds, of the worst window


class Accounts:
    """asked and gained: arrays by second of arrival, topic type and customer."""

    def __init__(self, day, arrivals):
        self.day, self.arrivals = day, arrivals
        self.seconds = int(np.ceil(day.seconds)) + 1
        shape = self.seconds, len(day.topic), len(day.customer)
        self.asked, self.gained = np.zeros(shape), np.zeros(shape)
        worth = arrivals.worth * np.array([t.benefit for t in day.topic])[arrivals.topic]
        self.worth = worth.tolist()
        self.second = arrivals.at.astype(np.int64).tolist()
        np.add.at(self.asked, (arrivals.at.astype(np.int64), arrivals.topic, arrivals.customer), worth)
        self.topic, self.customer, self.at = (
            arrivals.topic.tolist(),
            arrivals.customer.tolist(),
            arrivals.at.tolist(),
        )
        self.done = [False] * len(arrivals)
        self.delivery_times: list[float] = []  # seconds from arrival to delivery, of those delivered

    def part(self, topic: int, gone: float) -> float:
        """What is left of a topic type's benefit after so many seconds."""
        t = self.day.topic[topic]
        if gone <= t.objective:
            return 1.0
        if gone > t.ttl:
            return 0.0
        if self.day.traffic.late == "halves":
            return max(t.late_share, 0.5 ** ((gone - t.objective) / t.objective))
        return 1.0 - (1.0 - t.late_share) * (gone - t.objective) / max(1e-9, t.ttl - t.objective)

    def deliver(self, wish: int, now: float) -> bool:
        """One has been delivered; False if it had been before, or nobody gains by it."""
        if self.done[wish]:
            return False
        self.done[wish] = True
        topic, gone = self.topic[wish], now - self.at[wish]
        self.delivery_times.append(gone)
        part = self.part(topic, gone)
        self.gained[self.second[wish], topic, self.customer[wish]] += self.worth[wish] * part
        return part > 0.0

    def score(self, counts: dict) -> dict[str, float]:
        """G, and the parts it is made of; `counts` as the world keeps them."""
        goal, first = self.day.goal, int(self.day.warm)
        asked, gained = self.asked[first:], self.gained[first:]
        parts = {
            "whole": _ratio(gained.sum(), asked.sum()),
            "worst_window": _worst_window(asked.sum(axis=(1, 2)), gained.sum(axis=(1, 2))),
            "worst_topic": _worst(asked.sum(axis=(0, 2)), gained.sum(axis=(0, 2))),
            "worst_customer": _worst(asked.sum(axis=(0, 1)), gained.sum(axis=(0, 1))),
        }
        late = slice(int(self.day.seconds * 2.0 / 3.0), None)
        last = _ratio(self.gained[late].sum(), self.asked[late].sum())
        weights = {name: getattr(goal, name) for name in parts}
        total = sum(weights.values()) or 1.0
        score = sum(parts[name] * weight for name, weight in weights.items()) / total
        many = max(1, len(self.arrivals))
        prices = {
            "connection": goal.connection * counts["connections"] / many,
            "refused": goal.refused * counts["refused"] / many,
            "waste": goal.waste * counts["wasted"] / many,
        }
        return {
            "G": score - sum(prices.values()),
            **parts,
            "last_third": last,
            **{f"price_{k}": v for k, v in prices.items()},
        }


def _ratio(gained: float, asked: float) -> float:
    return float(gained / asked) if asked > 0.0 else 1.0


def _worst(asked: np.ndarray, gained: np.ndarray) -> float:
    here = asked > 0.0
    return float((gained[here] / asked[here]).min()) if here.any() else 1.0


def _worst_window(asked: np.ndarray, gained: np.ndarray) -> float:
    """Of all windows that hold at least half of what one holds on average."""
    span = min(WINDOW, len(asked))
    a, g = (np.convolve(x, np.ones(span), "valid") for x in (asked, gained))
    return _worst(np.where(a >= 0.5 * a.mean(), a, 0.0), g)

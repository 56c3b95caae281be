"""Measures of time and rate."""

from bisect import bisect_left
from itertools import accumulate


class Times:  # how long delivered pushes took: a few coarse bins, halved now and then
    EDGES = [0.05 * 1.5**i for i in range(18)]  # half as far again each; the last is some 50 s
    FULL = 64  # halved at so many, to follow a change within minutes
    PRIOR = 3.0  # what all destinations took counts for so many: a few of its own show one's pace

    def __init__(self, prior=None):
        self.bins, self.count, self.found, self.prior = [0.0] * (len(self.EDGES) + 1), 0.0, {}, prior or self

    def add(self, seconds):
        self.bins[bisect_left(self.EDGES, seconds)] += 1.0
        self.count, self.found = self.count + 1.0, {}
        if self.count >= self.FULL:
            self.bins, self.count = [b / 2 for b in self.bins], self.count / 2

    def quantile(self, part):
        if part not in self.found:
            weight, pool = self.PRIOR / self.prior.count, self.prior.bins
            reached = list(accumulate(b + p * weight for b, p in zip(self.bins, pool, strict=True)))
            self.found[part] = self.EDGES[min(bisect_left(reached, part * reached[-1]), len(self.EDGES) - 1)]
        return self.found[part]


class Tally:  # failures in a row, and of late against deliveries: a row among many proves no outage
    ROW, HALF = 3, 1.0  # the design's circuit; seconds: a full outage shows after as long, whatever the rate

    row, good, bad, at = 0, 0.0, 0.0, 0.0

    def out(self):
        return self.row >= self.ROW and self.bad >= self.good

    def add(self, now, good):
        fade, self.row = 0.5 ** ((now - self.at) / self.HALF), 0 if good else self.row + 1
        self.good, self.bad, self.at = self.good * fade + good, self.bad * fade + (not good), now


class Habit:  # whether refused calls use limits of a kind up: refusals against deliveries at nothing left
    PROVEN, AGAINST, MOST = 3, 3, 6  # a mere rate that is asked for thrice still delivers one in three

    score, counts = 0, False

    def add(self, refused):
        self.score = max(-self.MOST, min(self.MOST, self.score + (1 if refused else -self.AGAINST)))
        self.counts = self.score >= self.PROVEN or (self.counts and self.score > -self.MOST)


class Flow:  # how often something happened of late, a second
    def __init__(self, half):
        self.sum, self.at, self.half = 0.0, 0.0, half

    def add(self, now):
        self.sum, self.at = 1.0 + self.sum * 0.5 ** ((now - self.at) / self.half), now

    def rate(self, now):
        return self.sum * 0.5 ** ((now - self.at) / self.half) * 0.693 / self.half

"""The requests of one relay for the list, in simulated time: the real schedule and decisions, and a model of
the registry."""

from dataclasses import dataclass
from math import inf
from random import Random

from ryestack import interface
from ryestack.brain import Brain
from ryestack.membership import following

from .helpers import settings


class Registry:
    """A model of the registry on simulated time. A call that overlaps a silent phase gets no answer."""

    def __init__(self, phases):
        self.phases, time = [], 0.0
        for behaviour, seconds in phases:
            self.phases.append((time, time := time + seconds, behaviour))
        self.end = time

    def behaviour(self, time):
        return next((behaviour for begins, ends, behaviour in self.phases if begins <= time < ends), "up")

    def up_since(self, time):
        """Since when it can be reached without a break at that time; None if it cannot."""
        if self.behaviour(time) not in ("up", "moved"):
            return None
        outages = [ends for _, ends, how in self.phases if how not in ("up", "moved") and ends <= time]
        return max([0.0, *outages])

    def call(self, time, hold, delay):
        """When the call ends, and whether it is answered; never, if the registry is silent within it."""
        if self.behaviour(time) in ("refuses", "malformed"):
            return time + 0.01, False
        end = time + hold + delay
        if any(begins < end and time < ends for begins, ends, how in self.phases if how == "silent"):
            return inf, False
        return end, True


@dataclass
class Request:
    """A request of the simulated relay. given_up: when, inf if it was not."""

    began: float
    hold: float
    delay: float
    ended: float
    answered: bool
    given_up: float = inf

    def knows_at(self, change):
        """When its answer tells of a change; inf if it does not."""
        told = max(self.began, change) + self.delay
        is_in_time = self.answered and change <= self.began + self.hold and self.ended <= self.given_up
        return told if is_in_time else inf


class Decisions:
    """The real decision module's wish for the list; in the mode "never" it has none."""

    def __init__(self, mode, seed):
        self.mode, self.module = mode, Brain(settings(asks_for_list=mode == "ask"), seed)
        self.timers = []

    def round(self, now, events):
        """Whether the list is wanted now."""
        self.timers = [timer for timer in self.timers if timer > now]
        actions = self.module.round(now, events)
        self.timers += [now + action.after for action in actions if isinstance(action, interface.SetTimer)]
        asks = any(isinstance(action, interface.AskForList) for action in actions)
        return asks and self.mode != "never"


class Relay:
    """The real schedule, state machine and decision module on simulated time."""

    def __init__(self, registry, seed, mode, delay, varies=True):
        self.registry, self.delay, self.varies, self.chance = registry, delay, varies, Random(seed)
        self.state, self.schedule = following.WatchState(0.0), following.RequestSchedule()
        self.decisions, self.requests, self.open = Decisions(mode, seed), [], []

    def play(self, until):
        now = 0.0
        while now < until:
            self.begin(now)
            while now < self.schedule.due_at():
                ends = [request.ended for request in self.open]
                due = self.schedule.due_at(), self.schedule.report_at()
                now = max(now, min([*due, *ends, *self.decisions.timers]))
                self.step(now)
        return self.requests

    def begin(self, now):
        for request in self.open[: max(0, len(self.open) + 1 - following.MAX_OPEN_REQUESTS)]:
            self.give_up(request, now)
        share = self.chance.choice([1.0, 1.0, self.chance.random()]) if self.varies else 1.0
        delay = self.delay * share
        hold = self.state.hold()
        request = Request(now, hold, delay, *self.registry.call(now, hold, delay))
        self.schedule.begin(now, hold)
        self.requests.append(request)
        self.open.append(request)

    def give_up(self, request, now):
        self.open.remove(request)
        request.given_up = min(now, request.given_up)

    def step(self, now):
        if min(self.decisions.timers, default=inf) <= now:
            self.publish(now, interface.TimerFired())
        if now >= self.schedule.report_at():
            self.schedule.reported()
            self.state.update("failed", now)
            self.publish(now, interface.ListUpdate(failed=True, confirmed_at=self.state.confirmed_at))
        for request in [each for each in self.open if each.ended <= now]:
            if request in self.open:
                self.end(request, now)

    def end(self, request, now):
        is_last = request is self.open[-1]
        if not request.answered:
            self.open.remove(request)
            if is_last:
                self.state.update("failed", now)
                self.schedule.failed()
                self.publish(now, interface.ListUpdate(failed=True, confirmed_at=self.state.confirmed_at))
            return
        for older in self.open[: self.open.index(request)]:
            self.give_up(older, now)
        self.open.remove(request)
        is_prompt = following.is_prompt(request.began, request.hold, now)
        self.state.update("told" if is_prompt else "late", request.began)
        if is_last:
            self.schedule.answered(is_prompt)
        self.publish(now, interface.ListUpdate())

    def publish(self, now, update):
        if self.decisions.round(now, [update]):
            self.schedule.wanted(now)

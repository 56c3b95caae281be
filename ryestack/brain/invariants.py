"""The rules once more, checked at run time against what is written and told, not against what was decided.

The decisions (`guard`) go by their own state. Here the same rules are read from the journal's facts of a
notification and from what endpoints and the registry told, just before a push is made or an end is told. What
breaks one is counted, logged and not done. Pure: times are arguments.
"""

from collections import Counter
from enum import Enum
from math import inf

from .. import interface as it

MOST_DRAINED = 10_000  # names of endpoints that drain or are gone: the oldest are forgotten
MOST_WAITS = 10_000  # past so many those that are over are dropped


class Rule(Enum):
    """What may not be; the words are those of the counter and of the log."""

    AFTER_ITS_END = "sent after its end"
    AFTER_ITS_TIME = "sent after its time"
    TWO_OUT = "sent while a push of it is out"
    REPEATED = "repeated though it may have run"
    TO_DRAINED = "sent to a draining or removed endpoint"
    WITHIN_WAIT = "sent within a told wait"
    WHILE_ENDING = "started while the process ends"
    TWO_ENDS = "a second end told"
    UNANSWERED = "a request read and closed with no answer"


class Invariants:
    """counts: violations by rule, since the start of the process."""

    def __init__(self) -> None:
        self.counts: Counter[Rule] = Counter()
        self.ready: set[str] = set()
        self.drained: dict[str, None] = {}  # the oldest first
        self.waits: dict[str, float] = {}  # endpoint -> until when, a time of the clock
        self.out: dict[str, set[int]] = {}  # notification -> its pushes that are out
        self.ends_at = inf

    # -- what is told ---------------------------------------------------------------------------------

    def hear(self, event, now: float) -> None:
        """An event, before the decisions hear it."""
        if isinstance(event, it.ListUpdate):
            self._hear_list(event)
        elif isinstance(event, it.WaitRequested | it.Outcome):
            self._hear_wait(event.endpoint, event.wait, now)
        elif isinstance(event, it.ShuttingDown):
            self.ends_at = event.until

    def _hear_list(self, update: it.ListUpdate) -> None:
        ready = {each.id for each in update.endpoints if each.status is it.EndpointStatus.READY}
        gone = {each.id for each in update.endpoints} - ready
        if update.whole:
            gone |= self.ready - ready
        self.ready = (self.ready | ready) - gone
        for name in ready:
            self.drained.pop(name, None)
        self.drained |= dict.fromkeys(gone)
        while len(self.drained) > MOST_DRAINED:
            del self.drained[next(iter(self.drained))]

    def _hear_wait(self, endpoint: str, wait: float, now: float) -> None:
        if wait > 0.0:
            self.waits[endpoint] = max(now + wait, self.waits.get(endpoint, 0.0))
        if len(self.waits) > MOST_WAITS:
            self.waits = {name: until for name, until in self.waits.items() if until > now}

    def started(self, name: str, push: int) -> None:
        self.out.setdefault(name, set()).add(push)

    def ended(self, name: str, push: int) -> None:
        pushes = self.out.get(name, set())
        pushes.discard(push)
        if not pushes:
            self.out.pop(name, None)

    # -- checks ---------------------------------------------------------------------------------------

    def check_push(
        self, push: it.Push, owed, topic: it.TopicType | None, now: float, due: float, maybe_at: float
    ):
        """The first rule that this push would break, None if it may be made.

        owed: as the journal has it; topic: the terms that it was taken under, None if unknown; due: the end
        of its time; maybe_at: when the first push went that may have run, inf if none. Times of the clock.
        """
        if owed.notice:
            return self._count(Rule.AFTER_ITS_END)
        if now >= due:
            return self._count(Rule.AFTER_ITS_TIME)
        if self.out.get(push.id):
            return self._count(Rule.TWO_OUT)
        if maybe_at < inf and topic is not None and not self._repeats(topic, now, maybe_at):
            return self._count(Rule.REPEATED)
        if push.endpoint in self.drained:
            return self._count(Rule.TO_DRAINED)
        if now < self.waits.get(push.endpoint, 0.0):
            return self._count(Rule.WITHIN_WAIT)
        return self._count(Rule.WHILE_ENDING) if now >= self.ends_at else None

    @staticmethod
    def _repeats(topic: it.TopicType, now: float, maybe_at: float) -> bool:
        if topic.effect is it.Effect.REPEATABLE:
            return True
        return (
            topic.effect is it.Effect.COLLAPSIBLE and topic.group != "cell" and now < maybe_at + topic.window
        )

    def check_end(self, owed) -> Rule | None:
        """Whether an end may be told of it: TWO_ENDS if one is owed already."""
        return self._count(Rule.TWO_ENDS) if owed.notice else None

    def unanswered(self) -> Rule:
        """A client's connection was ended by us over a request that was read."""
        return self._count(Rule.UNANSWERED)

    def _count(self, rule: Rule) -> Rule:
        self.counts[rule] += 1
        return rule

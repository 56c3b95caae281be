"""Run-time checks of the delivery rules against the journal and received messages.

The decisions (`guard`) go by their own state. Here the same rules are checked against the journal's record
of a notification, and against messages from endpoints and the registry, just before a push is made or a final
answer is sent. One that breaks a rule is counted, logged and not made. Pure: times are arguments.
"""

from collections import Counter
from enum import Enum
from math import inf

from .. import interface

MAX_DRAINED = 10_000  # endpoints that drain or are gone; past that, the oldest are forgotten
MAX_WAITS = 10_000  # past that, waits that are over are dropped


class Rule(Enum):
    """Violations; the values are the counter's labels and appear in the log."""

    AFTER_ITS_END = "sent after its end"
    AFTER_ITS_TIME = "sent after its time"
    TWO_OUT = "sent while a push of it is out"
    REPEATED = "repeated though it may have run"
    TO_DRAINED = "sent to a draining or removed endpoint"
    TO_ANOTHER = "sent to another destination's endpoint"
    WITHIN_WAIT = "sent within a told wait"
    WHILE_ENDING = "started while the process ends"
    TWO_ENDS = "a second end told"
    UNANSWERED = "a request read and closed with no answer"


class Permission(Enum):
    """What allows a push; the values are the counter's labels and appear in the log."""

    FIRST = "the first push"
    NEVER_RAN = "no earlier push ran"
    REPEATABLE = "a repeat does no harm"
    WINDOW = "within the window of repeats"


REPEAT_PERMISSIONS = tuple(Permission)[1:]


def permission(pushes: int, may_have_run_at: float, topic: interface.TopicType | None) -> Permission:
    """What allows the next push. pushes: made before; may_have_run_at: inf if none of them may have run;
    topic: the terms of the acceptance, needed where one may have."""
    if not pushes:
        return Permission.FIRST
    if may_have_run_at == inf:
        return Permission.NEVER_RAN
    repeatable = topic is not None and topic.effect is interface.Effect.REPEATABLE
    return Permission.REPEATABLE if repeatable else Permission.WINDOW


class Invariants:
    """Follows events and pushes, and checks pushes and final answers.

    counts: violations by rule since the start of the process.
    """

    def __init__(self) -> None:
        self.counts: Counter[Rule] = Counter()
        self.ready: dict[str, int] = {}  # endpoint -> its destination
        self.drained: dict[str, None] = {}  # oldest first
        self.waits: dict[str, float] = {}  # endpoint -> end of its wait, a time of the clock
        self.in_flight: dict[str, set[int]] = {}  # notification -> its pushes in flight
        self.ends_at = inf

    # -- events ---------------------------------------------------------------------------------------

    def observe(self, event, now: float) -> None:
        """Records an event, before the decisions receive it."""
        if isinstance(event, interface.ListUpdate):
            self._observe_list(event)
        elif isinstance(event, interface.WaitRequested | interface.Outcome):
            self._observe_wait(event.endpoint, event.wait, now)
        elif isinstance(event, interface.ShuttingDown):
            self.ends_at = event.until

    def _observe_list(self, update: interface.ListUpdate) -> None:
        status = interface.EndpointStatus.READY
        ready = {each.id: each.destination for each in update.endpoints if each.status is status}
        gone = {each.id for each in update.endpoints} - ready.keys()
        if update.whole:
            gone |= self.ready.keys() - ready.keys()
        self.ready |= ready
        for name in gone:
            self.ready.pop(name, None)
        for name in ready:
            self.drained.pop(name, None)
        self.drained |= dict.fromkeys(gone)
        while len(self.drained) > MAX_DRAINED:
            del self.drained[next(iter(self.drained))]

    def _observe_wait(self, endpoint: str, wait: float, now: float) -> None:
        if wait > 0.0:
            self.waits[endpoint] = max(now + wait, self.waits.get(endpoint, 0.0))
        if len(self.waits) > MAX_WAITS:
            self.waits = {name: until for name, until in self.waits.items() if until > now}

    def started(self, name: str, push: int) -> None:
        """Records that a push is in flight."""
        self.in_flight.setdefault(name, set()).add(push)

    def ended(self, name: str, push: int) -> None:
        """Records that a push has ended."""
        pushes = self.in_flight.get(name, set())
        pushes.discard(push)
        if not pushes:
            self.in_flight.pop(name, None)

    # -- checks ---------------------------------------------------------------------------------------

    def check_push(
        self,
        push: interface.Push,
        owed,
        topic: interface.TopicType | None,
        now: float,
        due: float,
        may_have_run_at: float,
    ):
        """The first rule that this push would break, None if it may be made.

        owed: the notification as the journal has it; topic: the terms of its acceptance, None if unknown;
        due: its deadline; may_have_run_at: when the first push that may have run was sent, inf if none. All
        times are of the clock.
        """
        if owed.notice:
            return self._count(Rule.AFTER_ITS_END)
        if now >= due:
            return self._count(Rule.AFTER_ITS_TIME)
        if self.in_flight.get(push.id):
            return self._count(Rule.TWO_OUT)
        if may_have_run_at < inf and topic is not None and not self._repeats(topic, now, may_have_run_at):
            return self._count(Rule.REPEATED)
        if push.endpoint in self.drained:
            return self._count(Rule.TO_DRAINED)
        if self.ready.get(push.endpoint, owed.destination) != owed.destination:
            return self._count(Rule.TO_ANOTHER)
        if now < self.waits.get(push.endpoint, 0.0):
            return self._count(Rule.WITHIN_WAIT)
        return self._count(Rule.WHILE_ENDING) if now >= self.ends_at else None

    @staticmethod
    def _repeats(topic: interface.TopicType, now: float, may_have_run_at: float) -> bool:
        if topic.effect is interface.Effect.REPEATABLE:
            return True
        return (
            topic.effect is interface.Effect.COLLAPSIBLE
            and topic.group != "cell"
            and now < may_have_run_at + topic.window
        )

    def check_end(self, owed) -> Rule | None:
        """TWO_ENDS if the notification has a final answer already, None if one may be sent."""
        return self._count(Rule.TWO_ENDS) if owed.notice else None

    def unanswered(self) -> Rule:
        """Counts a client's connection that was closed without an answer to a request that was read."""
        return self._count(Rule.UNANSWERED)

    def _count(self, rule: Rule) -> Rule:
        self.counts[rule] += 1
        return rule

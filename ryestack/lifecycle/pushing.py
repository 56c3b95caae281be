"""Carries out decided pushes: each is checked, written to the journal and started. The decision module gets
an outcome for each push that is not started."""

import asyncio
from collections import Counter, defaultdict
from enum import Enum
from functools import partial
from math import inf

from .. import interface
from ..brain.invariants import Invariants, Permission, Rule, permission
from ..interface import Result
from ..observe.log import event, is_debug_enabled
from ..ports import PushMessage
from ..store.owed import Owed, decode_terms


class Unsent(Enum):
    """Why a decided push was not started; the values appear in the metrics and in the log."""

    NOT_OWED = "it is not owed"
    NOT_WRITTEN = "the journal cannot be written"
    NO_LEASE = "its shard may not be acted on"
    RULE = "it would break a rule"


def _settle(future: asyncio.Future, value: bool) -> None:
    """Set the result of a future, unless the call that waited for it was cancelled."""
    if not future.done():
        future.set_result(value)


class Pushing:
    """The part of the owner that starts calls.

    unsent: number of pushes not started, by reason; permissions: of those started, by what allowed them.
    decided_at: the time of the round, a time of the clock: the spans that a decision names count from it.
    """

    def __init__(self):
        super().__init__()
        self.invariants = Invariants()
        self.unsent: Counter[Unsent] = Counter()
        self.permissions: Counter[Permission] = Counter()
        self.decided_at = 0.0

    def push(self, pushes: list[interface.Push]) -> None:
        """Start the pushes, with one call for all pushes to an endpoint."""
        calls, unsent = defaultdict(list), []
        for push in pushes:
            item = self.prepare_item(push)
            if isinstance(item, PushMessage):
                self.counts["pushes"] += 1
                calls[push.endpoint].append(item)
            else:
                unsent.append(self.unsent_outcome(push, item))
        for endpoint, items in calls.items():
            self.start(endpoint, items)
        if unsent:
            self.put(unsent)

    def prepare_item(self, push: interface.Push) -> PushMessage | Unsent:
        """What the dispatcher sends, once the journal records that the push may have run."""
        owed = self.ledger.owed.get(push.id)
        if owed is None:  # just refused because the journal has no room
            return Unsent.NOT_OWED
        may_have_run_at, topic = owed.first_may_have_run_at() - self.wall, self.topic_of(owed)
        due = owed.due - self.wall
        if rule := self.invariants.check_push(push, owed, topic, self.clock(), due, may_have_run_at):
            self.report_violation(rule, push.id, push.endpoint)
            return Unsent.RULE
        number, allowed = owed.pushes, permission(owed.pushes, may_have_run_at, topic)
        recorded = asyncio.get_running_loop().create_future() if self.ledger.commits else None
        done = partial(_settle, recorded) if recorded else None
        if not self.ledger.push(push.id, number, self.decided_at + self.wall, done):
            return Unsent.NOT_WRITTEN
        deadline = self.decided_at + push.timeout
        lease = self.replication.begin_push(owed, deadline, self.decided_at + push.begin_timeout)
        if lease is None:
            return Unsent.NO_LEASE
        self.permissions[allowed] += 1
        if is_debug_enabled():
            window_left = topic.window - (self.clock() - may_have_run_at) if topic else inf
            self.log_began(push, owed, allowed, due - self.clock(), window_left)
        return PushMessage(push.id, number, deadline, owed.key, owed.body, owed.heard, *lease, recorded)

    def topic_of(self, owed: Owed) -> interface.TopicType | None:
        """The terms of its acceptance, where a push of it may have run; else None."""
        if owed.first_may_have_run_at() == inf:
            return None
        topic, _ = decode_terms(owed.topic_type, owed.terms)
        return topic or next((t for t in self.settings.topic_types if t.name == owed.topic_type), None)

    def log_began(
        self, push: interface.Push, owed: Owed, allowed: Permission, left: float, window_left: float
    ) -> None:
        """Log why a push may be made. left, window_left: seconds of its time and of its window."""
        event(
            "push.began",
            id=push.id,
            push=owed.pushes - 1,
            route=push.endpoint,
            destination=owed.destination,
            after=owed.last_result or "none",
            permission=allowed.value,
            left=round(left, 3),
            window=round(window_left, 3),
        )

    def unanswered(self) -> None:
        """A client's connection was closed without an answer to a request that had been read."""
        self.report_violation(self.invariants.unanswered(), "")

    def report_violation(self, rule: Rule, name: str, endpoint: str = "") -> None:
        event("invariant.violated", rule=rule.value, id=name, route=endpoint)

    def unsent_outcome(self, push: interface.Push, reason: Unsent) -> interface.Outcome:
        """The outcome of a push that was not started; if it is not in the journal it does not count."""
        self.unsent[reason] += 1
        owed = self.ledger.owed.get(push.id)
        if is_debug_enabled():
            event("push.unsent", id=push.id, route=push.endpoint, why=reason.value)
        if owed is None:
            return interface.Outcome(push.id, 0, push.endpoint, Result.NOT_SENT, ended=True)
        if reason is Unsent.NO_LEASE:
            return interface.Outcome(push.id, owed.pushes - 1, push.endpoint, Result.NOT_SENT)
        return interface.Outcome(push.id, owed.pushes, push.endpoint, Result.NOT_SENT, attempted=False)

    def start(self, endpoint: str, items: list[PushMessage]) -> None:
        """Start one call to an endpoint with these items."""
        for item in items:
            self.invariants.started(item.id, item.push)
            if item.push:
                self.retries[self.ledger.owed[item.id].last_result] += 1
        self.dispatcher.start(endpoint, items)
        self.notify_began(endpoint, items)

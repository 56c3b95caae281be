"""Pushes that are decided, on their way out: checked, written, then started. What is not started is told."""

from collections import Counter, defaultdict
from enum import Enum
from math import inf

from .. import interface
from ..brain.invariants import Invariants, Rule
from ..interface import Result
from ..observe.log import detailed, event
from ..ports import Item
from ..store.owed import Owed, decode_terms


class Unsent(Enum):
    """Why a push that was decided was not started; the words are those of the counter and of the log."""

    NOT_OWED = "it is not owed"
    NOT_WRITTEN = "the journal cannot be written"
    NO_LEASE = "its shard may not be acted on"
    RULE = "it would break a rule"


class Pushing:
    """The part of the owner that starts calls. unsent: pushes that were not started, by why."""

    def __init__(self):
        super().__init__()
        self.invariants = Invariants()
        self.unsent: Counter[Unsent] = Counter()

    def push(self, pushes: list[interface.Push]) -> None:
        calls, unsent = defaultdict(list), []
        for each in pushes:
            item = self.prepared(each)
            if isinstance(item, Item):
                self.counts["pushes"] += 1
                calls[each.endpoint].append(item)
            else:
                unsent.append(self.not_started(each, item))
        for endpoint, items in calls.items():
            self.start(endpoint, items)
        if unsent:
            self.put(unsent)

    def prepared(self, push: interface.Push) -> Item | Unsent:
        """What the dispatcher sends, once it is in the journal that it may have run."""
        owed = self.ledger.owed.get(push.id)
        if owed is None:  # refused just now, for want of room in the journal
            return Unsent.NOT_OWED
        if rule := self.broken_rule(push, owed):
            self.violated(rule, push.id, push.endpoint)
            return Unsent.RULE
        number = owed.pushes
        if not self.ledger.push(push.id, number, self.clock() + self.wall):
            return Unsent.NOT_WRITTEN
        may = self.replication.begin(push, owed)
        if may is None:
            return Unsent.NO_LEASE
        return Item(push.id, number, push.timeout, owed.key, owed.body, owed.heard, *may)

    def broken_rule(self, push: interface.Push, owed: Owed) -> Rule | None:
        maybe_at, topic = owed.first_may_have_run_at() - self.wall, None
        if maybe_at < inf:
            topic, _ = decode_terms(owed.topic, owed.terms)
            topic = topic or next((t for t in self.settings.topic_types if t.name == owed.topic), None)
        return self.invariants.check_push(push, owed, topic, self.clock(), owed.due - self.wall, maybe_at)

    def unanswered(self) -> None:
        """A client's connection was ended over a request that was read."""
        self.violated(self.invariants.unanswered(), "")

    def violated(self, rule: Rule, name: str, endpoint: str = "") -> None:
        event("invariant.violated", rule=rule.value, id=name, route=endpoint)

    def not_started(self, push: interface.Push, why: Unsent) -> interface.Outcome:
        """Its outcome. Where nothing of it was written it is no push, and does not count as one."""
        self.unsent[why] += 1
        owed = self.ledger.owed.get(push.id)
        if detailed():
            event("push.unsent", id=push.id, route=push.endpoint, why=why.value)
        if owed is None:
            return interface.Outcome(push.id, 0, push.endpoint, Result.NOT_SENT, ended=True)
        if why is Unsent.NO_LEASE:
            return interface.Outcome(push.id, owed.pushes - 1, push.endpoint, Result.NOT_SENT)
        return interface.Outcome(push.id, owed.pushes, push.endpoint, Result.NOT_SENT, made=False)

    def start(self, endpoint: str, items: list[Item]) -> None:
        for item in items:
            self.invariants.started(item.id, item.push)
            if item.push:
                self.retries[self.ledger.owed[item.id].last_result] += 1
        self.dispatcher.start(endpoint, items)
        for item in items if detailed() else ():
            owed = self.ledger.owed[item.id]
            facts = {"destination": owed.destination, "after": owed.last_result or "none"}
            event("push.began", id=item.id, push=item.push, route=endpoint, **facts)
        self.tell_began(endpoint, items)

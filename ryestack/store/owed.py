"""An open notification with its history and terms, and the encoding of journal records. No I/O."""

import json
from dataclasses import dataclass, field
from math import inf

from .. import interface


@dataclass(slots=True)
class Owed:
    """A notification as handed in, its pushes so far, and the notice that is owed once it ended undelivered.

    Times are in seconds on the timeline of the journal.
    """

    id: str
    due: float
    dest: int
    topic: str
    customer: str
    order_key: str
    key: str
    body: bytes
    rules: list | None = None  # the terms it was accepted under, as rules_of encodes them
    pushes: int = 0  # sent so far
    maybe_at: float = inf  # when the first push was sent that ended and may have run
    open: dict[int, float] = field(default_factory=dict)  # pushes without an outcome: when they were sent
    notice: dict | None = None
    size: int = 0  # bytes of the journal reserved for it
    heard: object = None  # in the process that accepted it: whether its client got the answer
    busy: float = 0.0  # until when another relay may have a push in flight, on the wall clock; 0 if none
    last: str = ""  # how its last push ended, in this process
    alone: bool = False  # no guard has or will have a copy: no other relay acts on it

    def first_maybe(self) -> float:
        """When the first push was sent that may have run; inf if none."""
        return min([self.maybe_at, *self.open.values()])

    def effect(self, settings: interface.Settings) -> interface.Effect:
        """The effect of a repeat, by the terms it was accepted under, else by the current settings."""
        terms, _ = terms_of(self.topic, self.rules)
        known = {topic.name: topic.effect for topic in settings.topic_types}
        return terms.effect if terms else known.get(self.topic, interface.Effect.ONCE_ONLY)

    def shift(self, seconds: float) -> None:
        """Convert its times to another timeline."""
        self.due += seconds
        self.maybe_at += seconds
        self.busy += seconds if self.busy else 0.0
        self.open = {push: sent + seconds for push, sent in self.open.items()}

    def join(self, other: "Owed") -> None:
        """Merge the history of another copy, in the cautious sense: what may have run in either, may have."""
        self.maybe_at = min(self.maybe_at, other.maybe_at)
        self.open |= other.open
        self.pushes = max(self.pushes, other.pushes)
        self.notice = self.notice or other.notice


def rules_of(topic: interface.TopicType, max_pushes: int) -> list:
    """The terms of a notification as the journal stores them."""
    fields = [
        topic.objective,
        topic.ttl,
        topic.benefit,
        topic.late_share,
        topic.group,
        topic.window,
        topic.keep_order,
    ]
    return [topic.effect.value, *fields, max_pushes]


def terms_of(name: str, rules: list | None) -> tuple[interface.TopicType | None, int]:
    """The topic type and maximum number of pushes of stored terms; (None, 0) for None."""
    if rules is None:
        return None, 0
    effect, *fields, max_pushes = rules
    return interface.TopicType(name, interface.Effect(effect), *fields), max_pushes


def record(*values, body: bytes = b"") -> bytes:
    """The payload of a journal record: a JSON array, a line feed and the body."""
    return json.dumps(values, separators=(",", ":")).encode() + b"\n" + body

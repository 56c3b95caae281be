"""A message that is owed: what came, what was tried, its terms; and how a record of it is written. Pure."""

import json
from dataclasses import dataclass, field
from math import inf

from .. import interface


@dataclass(slots=True)
class Owed:
    """A message as it came, what was tried, and the notice that is owed once it has ended undelivered."""

    id: str
    due: float
    dest: int
    topic: str
    customer: str
    order_key: str
    key: str
    body: bytes
    rules: list | None = None  # the terms it was taken under, as rules_of gives them
    pushes: int = 0
    maybe_at: float = inf  # when the first push went that may have run
    open: dict[int, float] = field(default_factory=dict)  # pushes without an outcome, and when they went
    notice: dict | None = None
    size: int = 0
    heard: object = None  # in the life that took it: whether its client was told
    busy: float = 0.0  # until when a push of another relay may be out, of the wall's clock
    last: str = ""  # how its last push ended, in this life
    alone: bool = False  # no guard has heard of it, or ever will: nobody else acts on it

    def first_maybe(self) -> float:
        return min([self.maybe_at, *self.open.values()])

    def effect(self, settings: interface.Settings) -> interface.Effect:
        """What a repeat does, by the terms it was taken under, else by those in force."""
        terms, _ = terms_of(self.topic, self.rules)
        known = {topic.name: topic.effect for topic in settings.topic_types}
        return terms.effect if terms else known.get(self.topic, interface.Effect.ONCE_ONLY)

    def shift(self, seconds: float) -> None:
        """Its times told on another timeline."""
        self.due += seconds
        self.maybe_at += seconds
        self.busy += seconds if self.busy else 0.0
        self.open = {push: at + seconds for push, at in self.open.items()}

    def join(self, other: "Owed") -> None:
        """The history that another copy has of it: the more that may have run, the more careful."""
        self.maybe_at = min(self.maybe_at, other.maybe_at)
        self.open |= other.open
        self.pushes = max(self.pushes, other.pushes)
        self.notice = self.notice or other.notice


def rules_of(t: interface.TopicType, most: int) -> list:
    """The terms of a notification as the journal writes them."""
    span = [t.objective, t.ttl, t.benefit, t.late_share, t.group, t.window, t.keep_order]
    return [t.effect.value, *span, most]


def terms_of(name: str, rules: list | None) -> tuple[interface.TopicType | None, int]:
    if rules is None:
        return None, 0
    effect, *span, most = rules
    return interface.TopicType(name, interface.Effect(effect), *span), most


def record(*values, body: bytes = b"") -> bytes:
    return json.dumps(values, separators=(",", ":")).encode() + b"\n" + body

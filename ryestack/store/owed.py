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
    destination: int
    topic_type: str
    customer: str
    order_key: str
    key: str
    body: bytes
    terms: list | None = None  # the terms it was accepted under, as encode_terms encodes them
    pushes: int = 0  # sent so far
    may_have_run_at: float = inf  # when the first push was sent that ended and may have run
    open_pushes: dict[int, float] = field(default_factory=dict)  # without an outcome: when they were sent
    notice: dict | None = None
    size: int = 0  # bytes of the journal reserved for it
    heard: object = None  # in the process that accepted it: whether its client got the answer
    busy_until: float = 0.0  # another relay may have a push in flight until then, wall clock; 0 if none
    last_result: str = ""  # how its last push ended, in this process
    unreplicated: bool = False  # no guard has or will have a copy: no other relay acts on it

    def first_may_have_run_at(self) -> float:
        """When the first push was sent that may have run; inf if none."""
        return min([self.may_have_run_at, *self.open_pushes.values()])

    def stored_effect(self) -> interface.Effect | None:
        """The effect of a repeat by the terms it was accepted under, None if they are not recorded."""
        terms, _ = decode_terms(self.topic_type, self.terms)
        return terms.effect if terms else None

    def effect(self, settings: interface.Settings) -> interface.Effect:
        """The effect of a repeat, by the terms it was accepted under, else by the current settings."""
        known = {topic.name: topic.effect for topic in settings.topic_types}
        return self.stored_effect() or known.get(self.topic_type, interface.Effect.ONCE_ONLY)

    def shift(self, seconds: float) -> None:
        """Convert its times to another timeline."""
        self.due += seconds
        self.may_have_run_at += seconds
        self.busy_until += seconds if self.busy_until else 0.0
        self.open_pushes = {push: sent + seconds for push, sent in self.open_pushes.items()}

    def merge_history(self, other: "Owed") -> None:
        """Merge the history of another copy, in the cautious sense: what may have run in either, may have."""
        self.may_have_run_at = min(self.may_have_run_at, other.may_have_run_at)
        self.open_pushes |= other.open_pushes
        self.pushes = max(self.pushes, other.pushes)
        self.notice = self.notice or other.notice


def encode_terms(topic: interface.TopicType, max_pushes: int) -> list:
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


def decode_terms(name: str, rules: list | None) -> tuple[interface.TopicType | None, int]:
    """The topic type and maximum number of pushes of stored terms; (None, 0) for None."""
    if rules is None:
        return None, 0
    effect, *fields, max_pushes = rules
    return interface.TopicType(name, interface.Effect(effect), *fields), max_pushes


def record(*values, body: bytes = b"") -> bytes:
    """The payload of a journal record: a JSON array, a line feed and the body."""
    return json.dumps(values, separators=(",", ":")).encode() + b"\n" + body

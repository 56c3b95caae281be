"""The terms under which a notification is accepted while settings change. No I/O: the time is an argument."""

from dataclasses import replace

from .. import interface

# Seconds after a reload in which a client may still use the old settings: clients follow 1.2 s later, and
# requests sent before that take a moment.
GRACE_S = 2.0
BY_STRICTNESS = (interface.Effect.REPEATABLE, interface.Effect.COLLAPSIBLE, interface.Effect.ONCE_ONLY)
BY_REACH = ("cell", "zone", "all")  # groups that a repeat may reach, the narrowest first


def stricter(new: interface.TopicType, old: interface.TopicType) -> interface.TopicType:
    """The new terms restricted by the old ones, since a client may mean either of them."""
    effect = max(new.effect, old.effect, key=BY_STRICTNESS.index)
    collapsible = [t for t in (new, old) if t.effect is interface.Effect.COLLAPSIBLE]
    if effect is not interface.Effect.COLLAPSIBLE:
        return replace(new, effect=effect, keep_order=new.keep_order or old.keep_order)
    return replace(
        new,
        effect=effect,
        group=min((t.group for t in collapsible), key=BY_REACH.index),
        window=min(t.window for t in collapsible),
        keep_order=new.keep_order or old.keep_order,
    )


class Terms:
    """The terms by topic type, with those of previous settings while clients may still use them."""

    def __init__(self, settings: interface.Settings):
        self.topics = {topic.name: topic for topic in settings.topic_types}
        self.max_pushes = settings.max_pushes
        # Terms of previous settings that clients may still use, and until when.
        self.previous: dict[str, tuple[interface.TopicType, float]] = {}
        self.previous_max_pushes, self.until = self.max_pushes, 0.0

    def change(self, settings: interface.Settings, now: float) -> None:
        """Put new settings in force; the old terms stay acceptable for GRACE_S seconds."""
        new = {topic.name: topic for topic in settings.topic_types}
        current = {name: self.lookup(name, now)[0] for name in {*self.topics, *self.previous}}
        replaced = {name: topic for name, topic in current.items() if topic and new.get(name) != topic}
        self.previous_max_pushes, self.until = self.max_pushes_at(now), now + GRACE_S
        self.previous = {name: (topic, self.until) for name, topic in replaced.items()}
        self.topics, self.max_pushes = new, settings.max_pushes

    def max_pushes_at(self, now: float) -> int:
        """The maximum number of pushes of a notification handed in now."""
        return min(self.max_pushes, self.previous_max_pushes) if now < self.until else self.max_pushes

    def lookup(self, name: str, now: float) -> tuple[interface.TopicType | None, int]:
        """The terms and the maximum number of pushes of a notification handed in now; the terms are None if
        there is no such topic type."""
        new, (old, until) = self.topics.get(name), self.previous.get(name, (None, 0.0))
        old = old if now < until else None
        return (stricter(new, old) if new and old else new or old), self.max_pushes_at(now)

"""Under which rules a notification is taken, while settings change. Pure: the time is an argument."""

from dataclasses import replace

from .. import interface

# Seconds after a reread for which a client may still mean the old settings: clients follow 1.2 later, and
# what they sent before takes a moment.
GRACE = 2.0
STRICT = (interface.Effect.REPEATABLE, interface.Effect.COLLAPSIBLE, interface.Effect.ONCE_ONLY)
WIDE = ("cell", "zone", "all")  # groups that a repeat may reach, the narrowest first


def stricter(new: interface.TopicType, old: interface.TopicType) -> interface.TopicType:
    """The new terms, less what the old ones forbid: nobody knows which of the two a client means."""
    effect = max(new.effect, old.effect, key=STRICT.index)
    groups = [t for t in (new, old) if t.effect is interface.Effect.COLLAPSIBLE]
    if effect is not interface.Effect.COLLAPSIBLE:
        return replace(new, effect=effect, keep_order=new.keep_order or old.keep_order)
    return replace(
        new,
        effect=effect,
        group=min((t.group for t in groups), key=WIDE.index),
        window=min(t.window for t in groups),
        keep_order=new.keep_order or old.keep_order,
    )


class Terms:
    def __init__(self, settings: interface.Settings):
        self.topics = {t.name: t for t in settings.topic_types}
        self.most = settings.max_pushes
        self.before: dict[
            str, tuple[interface.TopicType, float]
        ] = {}  # terms that clients may still mean, until
        self.most_before, self.until = self.most, 0.0

    def change(self, settings: interface.Settings, now: float) -> None:
        new = {t.name: t for t in settings.topic_types}
        last = {name: self.of(name, now)[0] for name in {*self.topics, *self.before}}
        gone = {name: t for name, t in last.items() if t and new.get(name) != t}
        self.most_before, self.until = self.of_pushes(now), now + GRACE
        self.before = {name: (t, self.until) for name, t in gone.items()}
        self.topics, self.most = new, settings.max_pushes

    def of_pushes(self, now: float) -> int:
        return min(self.most, self.most_before) if now < self.until else self.most

    def of(self, name: str, now: float) -> tuple[interface.TopicType | None, int]:
        """The terms of one handed in now, and its number of pushes; None: there is no such topic type."""
        new, (old, until) = self.topics.get(name), self.before.get(name, (None, 0.0))
        old = old if now < until else None
        return (stricter(new, old) if new and old else new or old), self.of_pushes(now)

"""What the tests build: settings, a brain with one destination, events."""

from ryestack import interface as it
from ryestack.brain import Brain

RULES = it.Rules(cold_share=0.2, cold_time=10.0, overload_factor=2.0, fall_time=2.0, key_rest=1.0)
TOPICS = (
    it.TopicType("again", it.Effect.REPEATABLE, 2.0, 20.0),
    it.TopicType("merge", it.Effect.COLLAPSIBLE, 2.0, 20.0, window=6.0),
    it.TopicType("once", it.Effect.ONCE_ONLY, 4.0, 20.0, benefit=2.0),
    it.TopicType("turns", it.Effect.REPEATABLE, 2.0, 20.0, keep_order=True),
)
KINDS = (it.Kind("shared"), it.Kind("apart", apart=True), it.Kind("bulk", batch=20))


def brain(kind="shared", routes=("a", "b"), rate=50.0, **settings):
    base = {"slots": 12, "max_open": 100, "max_pushes": 6, "max_come_back": 2.0}
    made = Brain(it.Settings(TOPICS, KINDS, RULES, **{**base, **settings}), 1)
    listed = tuple(it.Endpoint(r, "z", kind, 7, rate=rate) for r in routes)
    made.round(0.0, [it.ListUpdate(listed, whole=True)])
    return made


def take(name, topic="again", due=20.0, key=""):
    return it.Notification(name, due, 7, topic, key=key)


def end(name, endpoint, result, push=0, **more):
    return it.Outcome(name, push, endpoint, result, 0.1, **more)


def pushes(actions):
    return [(a.id, a.endpoint) for a in actions if isinstance(a, it.Push)]


def kinds(actions, kind):
    return [a.id for a in actions if isinstance(a, kind)]

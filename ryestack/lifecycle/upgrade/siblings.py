"""What the owner and the other processes of its relay tell each other: calls, turns, counts."""

from dataclasses import dataclass

from ... import interface
from ...interface import Result

OUTCOME_FIELDS = ("elapsed", "ended", "wait", "limit", "stale", "left")  # in the order of an "ended" message


@dataclass(frozen=True, slots=True)
class RemoteEvent:
    """What another process of this relay has met: how a push of its ended, a wait it was told."""

    event: interface.Outcome | interface.WaitTold


class Siblings:
    """The owner's side that hears other processes; what it makes of a message goes into the owner's queue."""

    def __init__(self):
        super().__init__()
        self.siblings = []  # channels to the other processes of this relay: each hears of our calls
        self.remote_pushes: dict[tuple[str, int], tuple[object, str]] = {}  # whose, and to which endpoint
        self.turns: dict[tuple[str, str], object] = {}  # their keys in order and ids: whose
        self.held_by: dict[object, int] = {}  # how many notifications each of them holds

    def before_remote_event(self, event: RemoteEvent):
        met = event.event
        known = isinstance(met, interface.WaitTold) or self.remote_pushes.pop((met.id, met.push), None)
        return met if known else None

    def before_wait(self, event: interface.WaitTold):
        self.tell_siblings("wait", event.endpoint, event.wait)
        return event

    def tell_siblings(self, *message) -> None:
        for channel in self.siblings:
            channel.send(*message)

    def tell_began(self, endpoint: str, items: list) -> None:
        if self.siblings:
            told = [(item.id, item.push, self.ledger.owed[item.id].topic) for item in items]
            self.tell_siblings("began", endpoint, told)

    def tell_ended(self, o: interface.Outcome) -> None:
        facts = [getattr(o, name) for name in OUTCOME_FIELDS]
        self.tell_siblings("ended", o.id, o.push, o.endpoint, o.result.value, *facts)

    def hear(self, channel, message: list) -> None:
        """One message of theirs; TypeError, ValueError, KeyError or IndexError if it makes no sense."""
        kind, *rest = message
        if handle := self.HEARD.get(kind) if isinstance(kind, str) else None:
            handle(self, channel, *rest)

    def hear_began(self, channel, endpoint, items) -> None:
        """A call of theirs began: the module counts it with ours."""
        topics = {t.name: t for t in self.settings.topic_types}
        unknown = next(iter(topics.values()))
        self.remote_pushes.update({(name, push): (channel, endpoint) for name, push, _ in items})
        told = tuple((name, push, topics.get(topic, unknown)) for name, push, topic in items)
        self.put([interface.Overheard(endpoint, told)])

    def hear_ended(self, channel, name, push, endpoint, result, *facts) -> None:
        told = dict(zip(OUTCOME_FIELDS, facts, strict=True))
        self.put([RemoteEvent(interface.Outcome(name, push, endpoint, Result(result), **told))])

    def hear_turn(self, channel, key, name, over, rest_until) -> None:
        self.turns[key, name] = channel
        if over:
            del self.turns[key, name]
        if name not in self.ledger.owed:
            self.put([interface.Turn(key, name, over, rest_until)])

    def hear_wait(self, channel, endpoint, seconds, *_) -> None:
        self.put([RemoteEvent(interface.WaitTold(str(endpoint), float(seconds)))])

    def hear_holds(self, channel, count, *_) -> None:
        self.held_by[channel] = int(count)

    HEARD = {
        "began": hear_began,
        "ended": hear_ended,
        "turn": hear_turn,
        "wait": hear_wait,
        "holds": hear_holds,
    }

    def calls_out(self) -> list:
        """Our calls that are out, as "began" tells them."""
        calls = {id(call): call for call, ntf in self.brain.out.values() if ntf.state != "afar"}
        return [(call.route.id, self.items_out(call)) for call in calls.values()]

    def items_out(self, call) -> list:
        """(id, push, topic type) of each of its pushes that is out."""
        return [(n.id, push, n.topic.name) for n, push in call.items if (n.id, push) in self.brain.out]

    def gone(self, channel) -> None:
        """What it had out ends with it; whoever owes those notifications has its history of them."""
        if channel in self.siblings:
            self.siblings.remove(channel)
        self.held_by.pop(channel, None)
        theirs = [(key, at) for key, (whose, at) in self.remote_pushes.items() if whose is channel]
        self.put([RemoteEvent(interface.Outcome(*key, at, Result.CANCELLED)) for key, at in theirs])
        for (name, push), at in theirs:  # to a third one too, which heard of them through us
            facts = (0.0, False, 0.0, 0.0, False, 1.0)  # OUTCOME_FIELDS
            self.tell_siblings("ended", name, push, at, Result.CANCELLED.value, *facts)

    def all_adopted(self) -> None:
        """What those that are gone owed is ours: a turn of theirs that is not among it is over."""
        for (key, name), channel in list(self.turns.items()):
            if channel not in self.siblings:
                del self.turns[key, name]
                if name not in self.ledger.owed:
                    self.put([interface.Turn(key, name, True)])

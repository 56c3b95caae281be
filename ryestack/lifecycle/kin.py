"""What the owner and the other processes of its relay tell each other: calls, turns, counts."""

from dataclasses import dataclass

from .. import interface as it
from ..interface import Result


@dataclass(frozen=True, slots=True)
class Afar:
    """What another process of this relay has met: how a push of its ended, a wait it was told."""

    event: it.Outcome | it.WaitTold


TOLD = ("elapsed", "ended", "wait", "limit", "stale", "left")  # of an outcome, in words between processes


class Kin:
    """The owner's side that hears other processes; what it makes of a word goes into the owner's queue."""

    def __init__(self):
        self.kin = []  # lines to the other processes of this relay: each hears of our calls
        self.afar: dict[tuple[str, int], tuple[object, str]] = {}  # their pushes: whose, and where
        self.turns: dict[tuple[str, str], object] = {}  # their keys in order and ids: whose
        self.theirs: dict[object, int] = {}  # how many notifications each of them holds

    def before_afar(self, event: Afar):
        met = event.event
        known = isinstance(met, it.WaitTold) or self.afar.pop((met.id, met.push), None)
        return met if known else None

    def before_wait(self, event: it.WaitTold):
        self.tell("wait", event.endpoint, event.wait)
        return event

    def tell(self, *word) -> None:
        for line in self.kin:
            line.say(*word)

    def hear(self, line, word: list) -> None:
        """A call of theirs began or ended: the module counts it with ours."""
        kind, *rest = word
        if kind == "began":
            topics = {t.name: t for t in self.settings.topic_types}
            any_ = next(iter(topics.values()))
            endpoint, items = rest
            self.afar.update({(name, push): (line, endpoint) for name, push, _ in items})
            told = tuple((name, push, topics.get(topic, any_)) for name, push, topic in items)
            self.put([it.Overheard(endpoint, told)])
        elif kind == "ended":
            name, push, endpoint, result, *more = rest
            facts = dict(zip(TOLD, more, strict=True))
            self.put([Afar(it.Outcome(name, push, endpoint, Result(result), **facts))])
        elif kind == "turn":
            key, name, over, rest_until = rest
            self.turns[key, name] = line
            if over:
                del self.turns[key, name]
            if name not in self.ledger.owed:
                self.put([it.Turn(key, name, over, rest_until)])
        elif kind == "wait":
            self.put([Afar(it.WaitTold(str(rest[0]), float(rest[1])))])
        elif kind == "holds":
            self.theirs[line] = int(rest[0])

    def out(self) -> list:
        """Our calls that are out, as "began" tells them."""
        return [
            (
                call.route.id,
                [(n.id, push, n.topic.name) for n, push in call.items if (n.id, push) in self.brain.out],
            )
            for call in {id(c): c for c, n in self.brain.out.values() if n.state != "afar"}.values()
        ]

    def gone(self, line) -> None:
        """What it had out ends with it; whoever owes those notifications has its history of them."""
        if line in self.kin:
            self.kin.remove(line)
        self.theirs.pop(line, None)
        theirs = [(key, at) for key, (whose, at) in self.afar.items() if whose is line]
        self.put([Afar(it.Outcome(*key, at, Result.CANCELLED)) for key, at in theirs])
        for (name, push), at in theirs:  # to a third one too, which heard of them through us
            self.tell("ended", name, push, at, Result.CANCELLED.value, 0.0, False, 0.0, 0.0, False, 1.0)

    def all_adopted(self) -> None:
        """What those that are gone owed is ours: a turn of theirs that is not among it is over."""
        for (key, name), line in list(self.turns.items()):
            if line not in self.kin:
                del self.turns[key, name]
                if name not in self.ledger.owed:
                    self.put([it.Turn(key, name, True)])

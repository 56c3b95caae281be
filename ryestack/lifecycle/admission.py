"""What becomes of a hand-in: taken on once it is written, or refused, and why."""

from collections import Counter
from enum import Enum

from .. import interface
from ..observe.log import detailed, event
from ..ports import HandIn, Verdict
from ..store.owed import Owed, encode_terms


class Refusal(Enum):
    """Why a hand-in was not taken on; the words are those of the counter and of the log."""

    ID_IN_USE = "its id is in use"
    NO_REPLICAS = "too few replicas"
    DRAINED = "drained by staff"
    HOLD_FULL = "as much is held as may be"
    JOURNAL_FULL = "no room in the journal"
    TOO_LATE = "its client has gone or is about to"
    JOURNAL_FAILS = "the journal cannot be written"
    DECIDED = "the decisions gave it up"


class Admission:
    """The part of the owner that takes notifications on. refused: hand-ins that were not, by why."""

    def __init__(self):
        super().__init__()
        self.refused: Counter[Refusal] = Counter()

    def before_hand_in(self, message: HandIn):
        away = self.replication.turned_away()
        if why := self.refusal(message, away):
            self.turn_away(message, why, away or 0.0)
            return None
        self.fresh[message.ntf.id] = message
        return message.ntf

    def refusal(self, message: HandIn, away: float | None) -> Refusal | None:
        """Why it is refused before the decisions hear of it. away: seconds, where there are no replicas."""
        name = message.ntf.id
        if name in self.ledger.owed or name in self.fresh:
            return Refusal.ID_IN_USE
        if away is not None:
            return Refusal.NO_REPLICAS
        if self.emptied:
            return Refusal.DRAINED
        if self.held_by_all() >= self.settings.max_open:
            return Refusal.HOLD_FULL
        if not self.ledger.has_room(message.body):
            return Refusal.JOURNAL_FULL
        return Refusal.TOO_LATE if self.clock() > message.answer_by else None

    def held(self) -> int:
        return len(self.ledger.owed) + len(self.fresh)

    def held_by_all(self) -> int:
        return self.held() + sum(self.held_by.values())

    def take(self, message: HandIn) -> None:
        n = message.ntf
        due = n.due + self.wall
        rules = encode_terms(n.terms, n.most) if n.terms else None
        head = n.id, due, n.destination, n.topic_type, n.customer, n.key, message.key
        owed = Owed(*head, message.body, rules)
        if self.ledger.take(owed):
            self.counts["taken"] += 1
            self.told_taken(owed)
            self.ledger.owed[n.id].heard = message.heard
            self.replication.took(owed, message)
        else:
            self.turn_away(message, Refusal.JOURNAL_FAILS)
            self.put([interface.Withdrawn(n.id)])

    def told_taken(self, o: Owed) -> None:
        if detailed():
            event("ntf.taken", id=o.id, destination=o.destination, topic=o.topic, pushes=o.pushes)

    def turn_away(self, message: HandIn, why: Refusal, away: float = 0.0) -> None:
        """Not by a decision. away: seconds to stay away, 0 if none is told."""
        self.count_refusal(message, why)
        if why is Refusal.ID_IN_USE:
            message.verdict.set_result((Verdict.UNREADABLE, 0.0))
            return
        self.counts["turned away"] += 1
        self.ended[message.ntf.topic_type, "throttled"] += 1
        message.verdict.set_result((Verdict.THROTTLED, away))

    def count_refusal(self, message: HandIn, why: Refusal) -> None:
        self.refused[why] += 1
        if detailed():
            event("request.refused", id=message.ntf.id, why=why.value)

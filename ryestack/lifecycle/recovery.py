"""What lives before us, and processes that are gone, still owe: handed to the module with its history."""

from dataclasses import dataclass

from .. import interface
from ..observe.log import event
from ..store.owed import Owed, decode_terms
from . import learned_state
from .upgrade.siblings import Siblings


@dataclass(frozen=True, slots=True)
class Paused:
    """It is owed, and may not be acted on for now."""

    id: str


class Recovery(Siblings):
    def recover(
        self,
        known: list[interface.ListUpdate],
        told: dict | None = None,
        beside: bool = False,
        failed: dict[str, float] | None = None,
    ) -> None:
        """Hand what the lives before still owe to the module, with its history; it decides.

        told: what the process before us had learnt; beside: it lives, told or not; failed: after a time with
        no process, the routes that failed before it.
        """
        self.round(list(known))
        try:
            if told is not None:
                learned_state.restore(self.brain, told)
        except (TypeError, ValueError, KeyError, AttributeError) as problem:
            event("line.broken", why=f"what it has learnt makes no sense: {problem!r}")
            told = None
        if failed is not None:
            learned_state.assume_down(self.brain, learned_state.failing(self.brain) | failed)
        if told is None and beside:
            learned_state.assume_cold(self.brain)
        self.adopt(self.replication.inherited(list(self.ledger.owed.values())))
        self.round(self.take_queue())

    def adopt(self, left: list[Owed]) -> None:
        topics, known = {t.name for t in self.settings.topic_types}, []
        for o in left:
            terms, most = decode_terms(o.topic, o.terms)
            if not o.notice and not terms and o.topic not in topics:
                self.ledger.owe_notice(o.id, {"state": "failed"})
            if o.notice:
                self.replication.told(o, o.notice, self.notices.add)
            else:
                maybe = o.first_may_have_run_at() - self.wall
                due = o.due - self.wall
                self.told_taken(o)
                head = o.id, due, o.destination, o.topic, o.customer, o.order_key
                known.append(interface.Notification(*head, o.pushes, maybe, terms, most))
        event("relay.recovered", owed=len(known), notices=len(left) - len(known))
        self.put(known)

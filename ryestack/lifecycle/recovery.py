"""Recovery: gives the decision module the open notifications of earlier processes, with their history."""

from dataclasses import dataclass

from .. import interface
from ..observe.log import event
from ..store.owed import Owed, decode_terms
from . import learned_state
from .upgrade.siblings import Siblings


@dataclass(frozen=True, slots=True)
class Paused:
    """Event: the notification stays owed, but no action on it is allowed for now."""

    id: str


class Recovery(Siblings):
    """The part of the owner that takes over open notifications."""

    def recover(
        self,
        known: list[interface.ListUpdate],
        learnt: dict | None = None,
        beside: bool = False,
        failed: dict[str, float] | None = None,
        warming: dict[str, float] | None = None,
    ) -> None:
        """Give the open notifications of earlier processes to the module, which decides on each.

        known: the list that the previous process went by, and what the registry has told since. learnt: the
        learnt state of the previous process; beside: another process is running, whether or not it sent its
        learnt state; failed: after a time without a process, the routes that failed before it; warming: those
        that warmed up after an outage.
        """
        self.round(known[:1])
        try:
            if learnt is not None:
                learned_state.restore(self.brain, learnt)
        except (TypeError, ValueError, KeyError, AttributeError) as problem:
            event("line.broken", why=f"what it has learnt makes no sense: {problem!r}")
            learnt = None
        if known[1:]:  # changes since then apply to what is learnt as in any round
            self.round(known[1:])
        if failed is not None:
            learned_state.assume_cold_again(self.brain, failed, warming or {})
            if learnt is None and not failed and not warming:
                waiting = {owed.destination for owed in self.ledger.owed.values() if not owed.notice}
                learned_state.assume_unknown(self.brain, waiting)
        if learnt is None and beside:
            learned_state.assume_cold(self.brain)
        self.brain.report_health("restored" if learnt is not None else "assumed at the start")
        self.adopt(self.replication.actionable(list(self.ledger.owed.values())))
        self.round(self.take_queue())

    def adopt(self, taken_over: list[Owed]) -> None:
        """Queue open notifications for the module, and send the notices of those that have ended."""
        topics, known = {topic.name for topic in self.settings.topic_types}, []
        for owed in taken_over:
            terms, max_pushes = decode_terms(owed.topic_type, owed.terms)
            if not owed.notice and not terms and owed.topic_type not in topics:
                self.ledger.owe_notice(owed.id, {"state": "failed"})
            if owed.notice:
                self.replication.notice_owed(owed, owed.notice, self.notices.add)
            else:
                may_have_run_at = owed.first_may_have_run_at() - self.wall
                due = owed.due - self.wall
                self.log_taken(owed)
                head = owed.id, due, owed.destination, owed.topic_type, owed.customer, owed.order_key
                known.append(interface.Notification(*head, owed.pushes, may_have_run_at, terms, max_pushes))
        event("relay.recovered", owed=len(known), notices=len(taken_over) - len(known))
        self.put(known)

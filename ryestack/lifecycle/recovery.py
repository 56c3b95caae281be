"""Recovery: gives the decision module the open notifications of earlier processes, with their history."""

from dataclasses import dataclass

from .. import interface
from ..observe.log import event
from ..store.owed import Owed, decode_terms
from ..store.remembered import SavedState
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
        saved: SavedState | None = None,
    ) -> None:
        """Give the open notifications of earlier processes to the module, which decides on each.

        known: the list that the previous process went by, and what the registry has told since. learnt: the
        learnt state of the previous process; beside: another process is running, whether or not it sent its
        learnt state; saved: what the folder told, after a time without a process.
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
        if saved is not None:
            learned_state.assume_cold_again(self.brain, saved.failing, saved.warming)
            self._assume_unknown(learnt, saved)
        if learnt is None and beside:
            learned_state.assume_cold(self.brain)
        self.brain.report_health("restored" if learnt is not None else "assumed at the start")
        self.adopt(self.replication.actionable(list(self.ledger.owed.values())))
        self.round(self.take_queue())

    def _assume_unknown(self, learnt: dict | None, saved: SavedState) -> None:
        """Destinations for which notifications wait may be cold where nothing tells that they are not."""
        told = {*saved.failing, *saved.warming}
        knows_all = learnt is not None and not learnt.get(learned_state.LEFT_OUT)
        if knows_all or (saved.complete and (told or learnt is not None)):
            return
        routes = self.brain.routes
        known = {routes[name].dest.number for name in told & routes.keys()}
        waiting = {owed.destination for owed in self.ledger.owed.values() if not owed.notice}
        learned_state.assume_unknown(self.brain, waiting - known)

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

"""Admission of hand-ins: accepted once they are in the journal, or refused with a reason."""

import asyncio
from collections import Counter
from functools import partial
from math import inf

from .. import interface
from ..observe.log import event, is_debug_enabled
from ..ports import Submission, Verdict
from ..store.owed import Owed, encode_terms
from .recent_ids import RecentIds
from .refusals import ID_REFUSALS, Refusal

OWED_MEMORY_DIVISOR = 16  # this part of a process's memory is for open notifications
NOTIFICATION_BYTES = 1200  # of memory for an open one, beyond its body and what the journal reserves for it


class Admission:
    """The part of the owner that accepts notifications.

    max_owed_bytes: memory for open notifications. refused: number of refused hand-ins by reason. recent_ends:
    ids of notifications that were pushed and have ended, whatever a repeat does.
    """

    def __init__(self):
        super().__init__()
        self.max_owed_bytes = inf
        self.recent_ends = RecentIds()
        self.refused: Counter[Refusal] = Counter()

    def handle_hand_in(self, message: Submission):
        """Refuse a hand-in, or return its notification for the decision module."""
        retry_after = self.replication.retry_after()
        if reason := self.refusal(message, retry_after):
            self.reject(message, reason, retry_after or 0.0)
            return None
        self.new_hand_ins[message.notification.id] = message
        return message.notification

    def refusal(self, message: Submission, retry_after: float | None) -> Refusal | None:
        """Why it is refused before the decision module sees it, if it is.

        retry_after: seconds, where there are too few replicas; else None.
        """
        name = message.notification.id
        if name in self.ledger.owed or name in self.new_hand_ins:
            return Refusal.ID_IN_USE
        if name in self.recent_ends or name in self.ledger.ended:
            return Refusal.ID_ENDED
        if name in self.known_elsewhere:
            return Refusal.ID_ELSEWHERE
        if retry_after is not None:
            return Refusal.NO_REPLICAS
        if self.drained:
            return Refusal.DRAINED
        if self.ledger.ended.is_full(self.clock() + self.wall) and self.may_not_run_twice(
            message.notification
        ):
            return Refusal.IDS_FULL
        if self.held_by_all_processes() >= self.settings.max_open:
            return Refusal.HOLD_FULL
        if not self.ledger.has_room(message.body):
            return Refusal.JOURNAL_FULL
        if self.owed_bytes() + len(message.body) > self.max_owed_bytes:
            return Refusal.MEMORY_FULL
        return Refusal.TOO_LATE if self.clock() > message.answer_by else None

    def may_not_run_twice(self, notification: interface.Notification) -> bool:
        topic = notification.terms or self.brain.topics[notification.topic_type]
        return topic.effect is not interface.Effect.REPEATABLE

    def has_id(self, name: str) -> bool:
        """Whether this process has accepted that id, or knows that it has ended."""
        return (
            name in self.ledger.owed
            or name in self.new_hand_ins
            or name in self.recent_ends
            or name in self.ledger.ended
        )

    def owed_bytes(self) -> int:
        """An estimate of the memory that the open notifications take."""
        return self.ledger.live_bytes + NOTIFICATION_BYTES * len(self.ledger.owed)

    def held(self) -> int:
        """The number of open notifications of this process."""
        return len(self.ledger.owed) + len(self.new_hand_ins)

    def held_by_all_processes(self) -> int:
        """The number of open notifications of all processes of this relay."""
        return self.held() + sum(self.held_by_sibling.values())

    def take(self, message: Submission) -> None:
        """Record an accepted notification in the journal; its client is answered then."""
        notification = message.notification
        due = notification.due + self.wall
        terms = encode_terms(notification.terms, notification.max_pushes) if notification.terms else None
        head = (
            notification.id,
            due,
            notification.destination,
            notification.topic_type,
            notification.customer,
            notification.key,
            message.key,
        )
        owed = Owed(*head, message.body, terms)
        self.ledger.take(owed, partial(self.hand_in_recorded, owed, message))
        if staged := self.ledger.owed.get(notification.id):
            staged.heard = message.acknowledged
        if message.answer_by < inf and not message.verdict.done():
            left, loop = message.answer_by - self.clock(), asyncio.get_running_loop()
            in_doubt = loop.call_later(left, self.answer_in_doubt, owed.id, message)
            message.verdict.add_done_callback(lambda _: in_doubt.cancel())

    def answer_in_doubt(self, name: str, message: Submission) -> None:
        """Answer a client whose hand-in is not recorded in time: it may be in the journal by now or not.

        To say that a repeat is harmless would be wrong after a kill, so the answer is a failure.
        """
        if message.verdict.done():
            return
        self.count_refusal(message, Refusal.NOT_RECORDED_IN_TIME)
        self.ended[message.notification.topic_type, "expired"] += 1
        message.decide(Verdict.EXPIRED)
        self.put([interface.Withdrawn(name)])

    def hand_in_recorded(self, owed: Owed, message: Submission, written: bool) -> None:
        """Answer the client, once the journal has the notification or cannot have it."""
        if message.verdict.done():  # the client has gone, or was answered in doubt
            return
        if written:
            self.counts["taken"] += 1
            self.log_taken(owed)
            self.replication.hand_in_accepted(owed, message)
        else:
            self.put([interface.Withdrawn(owed.id)])
            self.ledger.call_when_gone(partial(self.reject_unrecorded, message))

    def reject_unrecorded(self, message: Submission) -> None:
        """Refuse a hand-in that the journal has not: only now is it certain that no later process runs it."""
        if not message.verdict.done():
            self.reject(message, Refusal.JOURNAL_FAILS)

    def log_taken(self, owed: Owed) -> None:
        if is_debug_enabled():
            event(
                "ntf.taken",
                id=owed.id,
                destination=owed.destination,
                topic=owed.topic_type,
                pushes=owed.pushes,
            )

    def reject(self, message: Submission, reason: Refusal, retry_after: float = 0.0) -> None:
        """Refuse without a decision of the module. retry_after: seconds, 0 if none is given."""
        self.count_refusal(message, reason)
        if reason in ID_REFUSALS:
            message.decide(Verdict.REJECTED)
            return
        self.release_claim(message.notification.id)
        self.counts["turned away"] += 1
        self.ended[message.notification.topic_type, "throttled"] += 1
        message.decide(Verdict.THROTTLED, retry_after)

    def count_refusal(self, message: Submission, reason: Refusal) -> None:
        self.refused[reason] += 1
        if is_debug_enabled():
            event("request.refused", id=message.notification.id, why=reason.value)

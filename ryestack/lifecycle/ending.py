"""Final answers: sent at once to a client that waits, else as notices once they are in the journal."""

import asyncio
from functools import partial

from .. import interface
from ..observe.log import event, is_debug_enabled
from ..ports import Verdict
from ..store.owed import Owed
from .refusals import Refusal

WRITE_RETRY_S = 0.1  # between attempts to write final answers to the journal


class Ending:
    """The part of the owner that ends notifications.

    unwritten: ids whose final answer is not in the journal yet. The next process would not know of the answer
    and continue, so the answer is not sent until it is written or the deadline has passed.
    """

    def __init__(self):
        super().__init__()
        self.unwritten: dict[str, None] = {}
        self.retry: asyncio.TimerHandle | None = None

    def end(self, action: interface.Throttle | interface.Expire) -> None:
        """Answer the client if it still waits for the hand-in; otherwise send a notice to the platform."""
        throttled = isinstance(action, interface.Throttle)
        retry_after = action.retry_after if throttled else 0.0
        result = "throttled" if throttled else "expired"
        self.counts[result] += 1
        if is_debug_enabled():
            event("ntf.ended", id=action.id, how=result, after=round(retry_after, 3))
        message = self.new_hand_ins.pop(action.id, None)
        if message:
            self.ended[message.notification.topic_type, result] += 1
            self.count_refusal(message, Refusal.DECIDED)
            self.release_claim(action.id)
            message.decide(Verdict.THROTTLED if throttled else Verdict.EXPIRED, retry_after)
        elif owed := self.ledger.owed.get(action.id):
            if rule := self.invariants.check_end(owed):
                self.report_violation(rule, action.id)
                return
            self.ended[owed.topic_type, result] += 1
            notice = {"state": "returned" if throttled else "failed"}
            if retry_after > 0.0:
                notice["after_ms"] = round(retry_after * 1000.0)
            self.defer_notice(action.id)
            self.ledger.owe_notice(action.id, notice, partial(self.notice_recorded, action.id))

    def notice_recorded(self, name: str, written: bool) -> None:
        """Send a notice, once it is in the journal and unless it was sent at its deadline."""
        owed = self.ledger.owed.get(name)  # its client may have taken it back meanwhile
        if written and owed and name in self.unwritten:
            del self.unwritten[name]
            self.send_notice(owed)

    def send_notice(self, owed: Owed) -> None:
        self.replication.notice_owed(owed, owed.notice, self.notices.add)

    def defer_notice(self, name: str) -> None:
        """Keep a notice back until it is in the journal."""
        self.unwritten[name] = None
        if self.retry is None:
            self.retry = asyncio.get_running_loop().call_later(WRITE_RETRY_S, self.retry_unwritten)

    def retry_unwritten(self) -> None:
        """Send the notices that are written now, or whose deadline has passed: no process continues those."""
        self.retry = None
        written, now = self.ledger.write_all(), self.clock() + self.wall
        deferred, self.unwritten = self.unwritten, {}
        for name in deferred:
            owed = self.ledger.owed.get(name)
            if owed is None:
                continue
            if written or now >= owed.due:
                self.send_notice(owed)
            else:
                self.defer_notice(name)

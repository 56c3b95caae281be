"""Final answers: told at once to a client that waits, else as notices, once they are written down."""

import asyncio

from .. import interface
from ..observe.log import detailed, event
from ..ports import Verdict
from .admission import Refusal

RETRY = 0.1  # seconds between tries to write down an end


class Ending:
    """The part of the owner that ends notifications. unwritten: those whose end the journal could not take: a
    next life would not know of it and go on, so that it is not told before their time is up."""

    def __init__(self):
        super().__init__()
        self.unwritten: list[str] = []
        self.retry: asyncio.TimerHandle | None = None

    def end(self, action: interface.Throttle | interface.Expire) -> None:
        """An end at once answers the client; later it is a notice to the platform."""
        throttled = isinstance(action, interface.Throttle)
        away = action.come_back if throttled else 0.0
        how = "throttled" if throttled else "expired"
        self.counts[how] += 1
        if detailed():
            event("ntf.ended", id=action.id, how=how, after=round(away, 3))
        message = self.fresh.pop(action.id, None)
        if message:
            self.ended[message.ntf.topic_type, how] += 1
            self.count_refusal(message, Refusal.DECIDED)
            message.verdict.set_result((Verdict.THROTTLED if throttled else Verdict.EXPIRED, away))
        elif owed := self.ledger.owed.get(action.id):
            if rule := self.invariants.check_end(owed):
                self.violated(rule, action.id)
                return
            self.ended[owed.topic, how] += 1
            notice = {"state": "returned" if throttled else "failed"}
            if away > 0.0:
                notice["after_ms"] = round(away * 1000.0)
            if self.ledger.owe_notice(action.id, notice):
                self.replication.told(owed, notice, self.notices.add)
            else:
                self.hold_back(action.id)

    def hold_back(self, name: str) -> None:
        self.unwritten.append(name)
        if self.retry is None:
            self.retry = asyncio.get_running_loop().call_later(RETRY, self.tell_unwritten)

    def tell_unwritten(self) -> None:
        """Those that are written now, or whose time is up: nobody goes on with them then."""
        self.retry = None
        written, now = self.ledger.write_all(), self.clock() + self.wall
        held, self.unwritten = self.unwritten, []
        for name in held:
            owed = self.ledger.owed.get(name)
            if owed is None:
                continue
            if written or now >= owed.due:
                self.replication.told(owed, owed.notice, self.notices.add)
            else:
                self.hold_back(name)

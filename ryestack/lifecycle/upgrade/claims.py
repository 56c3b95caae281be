"""Ids that the processes of one relay tell each other, so that none is accepted by two of them.

Before a process accepts a notification that may not run twice, it claims its id from the others, which answer
whether it is free and remember it. Of two claims at the same time that of the older process holds. As a
process reads its claims before its hand-ins, one that does not answer in time has accepted nothing since.
"""

import asyncio
from dataclasses import dataclass, field

from ...ports import Submission
from ...store.ended_ids import EndedIds
from ..refusals import Refusal

CLAIM_TIMEOUT_S = 0.1  # for the others to answer: a client waits 0.4 s


@dataclass(slots=True, eq=False)
class Claim:
    """A hand-in that waits for the other processes. waiting: the channels to those that have not answered."""

    message: Submission
    waiting: set = field(default_factory=set)
    timer: asyncio.TimerHandle | None = None


class Claiming:
    """The part of the owner that claims ids. known_elsewhere: ids that other processes have or have had."""

    def __init__(self):
        super().__init__()
        self.siblings = []  # channels to the other processes of this relay, which get our calls and outcomes
        self.known_elsewhere = EndedIds()
        self.claims: dict[str, Claim] = {}

    def hand_in(self, message: Submission) -> None:
        """Queue a hand-in, once its id is claimed; its verdict is set in the round that handles it."""
        asked = [channel for channel in self.siblings if channel.answers_claims]
        if not asked or not self.may_not_run_twice(message.notification):
            self.put([message])
            return
        name = message.notification.id
        if name in self.claims:
            self.reject(message, Refusal.ID_IN_USE)
            return
        claim = Claim(message, set(asked))
        claim.timer = asyncio.get_running_loop().call_later(CLAIM_TIMEOUT_S, self.claim_settled, name)
        self.claims[name] = claim
        for channel in asked:
            channel.send("claim", name, message.notification.due + self.wall)

    def claim_settled(self, name: str) -> None:
        """Queue the hand-in: nobody else has its id."""
        claim = self.claims.pop(name)
        claim.timer.cancel()
        self.put([claim.message])

    def claim_refused(self, name: str) -> None:
        claim = self.claims.pop(name)
        claim.timer.cancel()
        self.reject(claim.message, Refusal.ID_ELSEWHERE)

    def release_claim(self, name: str) -> None:
        """A notification has ended that never ran: its id may be handed in again anywhere."""
        self.notify_siblings("release", name)

    def known_ids(self) -> list[list]:
        """Rows of all ids that this process has or has had, for another one."""
        ids = EndedIds()
        ids.merge(self.ledger.ended.rows())
        ids.merge(self.known_elsewhere.rows())
        for owed in self.ledger.owed.values():
            ids.add(owed.id, owed.due)
        return ids.rows()

    # -- messages of another process -------------------------------------------------------------------

    def on_known(self, channel, rows, *_) -> None:
        """The ids that another process has or has had; from now on it answers claims."""
        self.known_elsewhere.merge(rows)
        channel.answers_claims = True

    def on_claim(self, channel, name, due, *_) -> None:
        """Another process is about to accept this id."""
        name, due = str(name), float(due)
        if name in self.claims and channel.to_predecessor:
            self.claim_refused(name)
        free = not (self.has_id(name) or name in self.claims)
        if free:
            self.known_elsewhere.is_full(self.clock() + self.wall)  # what is past its time makes room
            self.known_elsewhere.add(name, due)
        channel.send("claimed", name, free)

    def on_claimed(self, channel, name, free, *_) -> None:
        """Another process says whether an id that we claimed is free."""
        claim = self.claims.get(name)
        if claim is None or channel not in claim.waiting:
            return
        claim.waiting.discard(channel)
        if not free:
            self.claim_refused(name)
        elif not claim.waiting:
            self.claim_settled(name)

    def on_release(self, channel, name, *_) -> None:
        """Another process has not run the notification with this id, and does not have it any more."""
        self.known_elsewhere.discard(str(name))

    def sibling_left(self, channel) -> None:
        """A process is gone: what waits for its word goes on, and what it told is kept for later ones."""
        for name, claim in list(self.claims.items()):
            self.on_claimed(channel, name, True)
        if not self.siblings:
            self.ledger.remember(self.known_elsewhere.rows())
            self.known_elsewhere = EndedIds()

    CLAIM_HANDLERS = {
        "known": on_known,
        "claim": on_claim,
        "claimed": on_claimed,
        "release": on_release,
    }

"""Replication of the owner's open notifications: what waits for replicas, what is taken over, what stops.

Carries out the effects of the replication core (`peers/`). An answer, a push or a notice waits until a
majority of the group has its record, or until COVER_TIMEOUT_S has passed, as the table in
docs/design/peers.md lists. Notifications of a shard are in the decision module only while this relay may act
on that shard.
"""

import asyncio
from collections import Counter
from dataclasses import dataclass
from functools import partial
from math import inf

from ...interface import Effect
from ...observe.log import event
from ...peers.node import Node
from ...peers.promises import COVER_TIMEOUT_S, TICK_S, action_for, cover_result
from ...peers.shard import Shard
from ...ports import Verdict
from . import record_codec
from .takeover import TakeOver


@dataclass(slots=True)
class Waiting:
    """A continuation that waits for replicas.

    Calls done(True) once the shard's records up to `position` are covered, and done(False) after the time
    `deadline` or once the shard is lost.
    """

    shard: Shard
    position: int
    deadline: float
    done: object


class ReplicatedWork(TakeOver):
    """The owner's interface to replication; `Unreplicated` has the same methods."""

    def __init__(self, owner, node: Node, send, alone: str, lives):
        """send(peer, envelope): sends to a peer; alone: `serve` or `refuse`, what to do without replicas;
        lives: the incarnations that the folder has recorded."""
        self.owner, self.node, self.send, self.without_replicas, self.lives = owner, node, send, alone, lives
        self.shard_of: dict[str, Shard] = {}
        # Open notifications of earlier lives: no action on them before their shard is ours.
        self.unclaimed: dict[str, object] = {}
        self.paused: set[str] = set()
        self.unrecorded_ends: dict[str, float] = {}  # id to due: ended while we could not write to the shard
        self.waiting: list[Waiting] = []
        self.recovered_lives: set[int] = set()
        self.has_acted = False  # whether this life has held its own shard
        self.renewal_pending = False  # another relay has our shard, and a new life is not written yet
        self.fault: Exception | None = None  # raised by the next tick, which ends the relay
        self.counts = Counter()

    # -- driving the core -----------------------------------------------------------------------------

    async def run(self) -> None:
        """Claim the shards of earlier lives and drive the core, until cancelled."""
        # With several earlier lives it is unknown which of them a notification belongs to. In two shards it
        # would have two leaders, so only a single life's notifications are claimed.
        ours = list(self.unclaimed.values()) if len(self.lives.unfinished) == 1 else []
        journal = [record for owed in ours for record in record_codec.encode_all(owed)]
        for life in self.lives.unfinished:
            self.node.claim((self.node.config.local_name, life), self.now(), journal)
        while True:
            self.tick()
            await asyncio.sleep(TICK_S)

    def now(self) -> float:
        """The owner's clock in seconds."""
        return self.owner.clock()

    def tick(self) -> None:
        """Handle everything that is due by now."""
        if self.fault:
            raise self.fault
        now = self.now()
        self.node.tick(now, now + self.owner.wall)
        if self.renewal_pending:
            self.renew()
        late = [waiting for waiting in self.waiting if now >= waiting.deadline]
        self.waiting = [waiting for waiting in self.waiting if now < waiting.deadline]
        for each in late:
            each.done(False)
        self.flush()

    def handle_request(self, envelope):
        """Handle a peer's request; returns the answer."""
        try:
            return self.node.handle_request(envelope, self.now())
        finally:
            self.flush()

    def handle_answer(self, envelope) -> None:
        """Handle a peer's answer to a request of ours."""
        self.node.handle_reply(envelope, self.now())
        self.flush()

    def flush(self) -> None:
        """Carry out the core's effects, each by the method on_<kind>."""
        while self.node.effects:
            effects, self.node.effects = self.node.effects, []
            try:
                for kind, *rest in effects:
                    getattr(self, f"on_{kind}")(*rest)
            except Exception as problem:  # otherwise only the task of one envelope would end, unnoticed
                self.fault = problem
                raise

    def on_send(self, to: str, envelope) -> None:
        self.send(to, envelope)

    def on_peer(self, name: str, state: str) -> None:
        event("peer.changed", peer=name, state=state)

    def on_covered(self, shard: Shard, position: int) -> None:
        covered = [
            waiting for waiting in self.waiting if waiting.shard is shard and waiting.position <= position
        ]
        self.waiting = [waiting for waiting in self.waiting if waiting not in covered]
        for each in covered:
            each.done(True)

    # -- the owner's interface, see Unreplicated ------------------------------------------------------

    def retry_after(self) -> float | None:
        has_lease = self.acts(self.node.own)
        if has_lease or action_for("hand-in", "no lease", self.without_replicas) != "turn away":
            return None
        self.counts["refused alone"] += 1
        return self.node.config.lease

    def hand_in_accepted(self, owed, message) -> None:
        shard = self.node.own
        if not self.acts(shard):  # accepted outside any shard: no guard has or will have a copy
            self.counts[action_for("hand-in", "no lease", self.without_replicas)] += 1
            self.owner.ledger.mark_unreplicated(owed.id)
            return self.verdict(message, Verdict.ACCEPTED)
        self.shard_of[owed.id] = shard
        self.wait(
            shard,
            self.write(shard, [record_codec.encode_taken(owed)]),
            partial(self.hand_in_covered, owed, message),
        )

    def hand_in_covered(self, owed, message, covered: bool) -> None:
        """Answer the client, once the record is covered or too late."""
        decision = action_for("hand-in", cover_result(covered), self.without_replicas)
        self.counts[decision] += 1
        if decision != "leave in doubt":
            return self.verdict(message, Verdict.ACCEPTED)
        self.verdict(message, Verdict.EXPIRED)
        self.owner.withdraw(owed.id)

    def verdict(self, message, verdict: Verdict) -> None:
        if not message.verdict.done():  # the client may have disconnected meanwhile
            message.verdict.set_result((verdict, 0.0))

    def begin_push(self, owed, deadline: float, begin_by: float) -> tuple | None:
        shard = self.shard_of.get(owed.id)
        if shard is None:
            return begin_by, None
        acts_until = shard.acts_until()
        if self.now() >= acts_until:
            return None
        number = owed.pushes - 1
        until = deadline + self.owner.wall
        position = self.write(
            shard, [record_codec.encode_push(owed, number, owed.open_pushes.get(number, 0.0), until)]
        )
        if owed.effect(self.owner.settings) is Effect.REPEATABLE:
            return min(begin_by, acts_until), None
        may_send = asyncio.get_running_loop().create_future()
        self.wait(shard, position, partial(self.push_covered, may_send))
        return min(begin_by, acts_until), may_send

    def push_covered(self, may_send: asyncio.Future, covered: bool) -> None:
        """Release or cancel a push, once its record is covered or too late."""
        if not may_send.done():
            may_send.set_result(action_for("push", cover_result(covered), self.without_replicas) == "send")

    def push_ended(self, owed, push: int, never_ran: bool) -> None:
        if shard := self.shard_of.get(owed.id):
            self.write(shard, [record_codec.encode_outcome(owed, push, never_ran)])

    def finish(self, owed) -> None:
        if shard := self.shard_of.pop(owed.id, None):
            if self.acts(shard):
                self.write(shard, [record_codec.encode_over(owed.id, owed.due)])
            else:
                self.unrecorded_ends[owed.id] = owed.due

    def notice_owed(self, owed, notice: dict, send) -> None:
        shard = self.shard_of.get(owed.id)
        if shard is None:
            return send(owed.id, notice)
        position = self.write(shard, [record_codec.encode_notice(owed, notice)])
        self.wait(shard, position, partial(self.notice_covered, owed.id, notice, send), inf)

    def notice_covered(self, name: str, notice: dict, send, covered: bool) -> None:
        """Send a notice, once its record is covered."""
        if action_for("notice", cover_result(covered), self.without_replicas) == "tell":
            send(name, notice)

    # -- acting on a shard ------------------------------------------------------------------------------

    def acts(self, shard: Shard) -> bool:
        """Whether this relay may act on the shard now."""
        return self.now() < shard.acts_until()

    def write(self, shard: Shard, records: list) -> int:
        """Write records to a shard; returns the position that must be covered."""
        if not self.acts(shard):
            return shard.last[1] + 1  # not covered: the contents are written again once we act on the shard
        return self.node.write(shard, records, self.now())

    def wait(self, shard: Shard, position: int, done, seconds: float = COVER_TIMEOUT_S) -> None:
        """Call done(True) once the position is covered, or done(False) after `seconds`."""
        if shard.majority == 1 or shard.covered() >= position:
            return done(True)
        self.waiting.append(Waiting(shard, position, self.now() + seconds, done))
        self.flush()

    def actionable(self, inherited: list) -> list:
        own = [owed for owed in inherited if owed.unreplicated or not self.lives.unfinished]
        self.unclaimed |= {owed.id: owed for owed in inherited if owed not in own}
        # True for notifications of a process that ended after its shard became ours.
        if self.unclaimed and self.recovered_lives >= set(self.lives.unfinished):
            self.on_known(self.node.own)
        return own

"""The owner's work in hand as its replicas hold it: what waits for them, what is taken over, what must stop.

It carries out what the pure core (`peers/`) says: a promise waits until it is covered, or until WAIT is
over, as the table in docs/design/peers.md has it; work of a shard is in the module only while this relay
may act on it.
"""

import asyncio
from collections import Counter
from dataclasses import dataclass
from functools import partial
from math import inf

from ...interface import Effect
from ...observe.log import event
from ...peers.node import Node
from ...peers.promises import TICK, WAIT, cover, decided
from ...peers.shard import Shard
from ...ports import Verdict
from . import record_codec
from .takeover import TakeOver


@dataclass(slots=True)
class Waiting:
    """done(True) once the shard's records up to at are covered, done(False) after until, or once it is
    lost."""

    shard: Shard
    at: int
    until: float
    done: object


class ReplicatedWork(TakeOver):
    def __init__(self, owner, node: Node, send, alone: str, lives):
        """send(peer, envelope); alone: `serve` or `refuse`; lives: what the folder has of our lives."""
        self.owner, self.node, self.send, self.alone, self.lives = owner, node, send, alone, lives
        self.shard_of: dict[str, Shard] = {}
        self.stray: dict[str, object] = {}  # of lives before: not to be acted on before their shard is ours
        self.paused: set[str] = set()
        self.missed: dict[str, float] = {}  # over while we might not say so, and their time
        self.waiting: list[Waiting] = []
        self.regained: set[int] = set()
        self.acted = False  # this life has had its own shard once
        self.renews = False  # our shard is another's, and a new life is not written yet
        self.fault: Exception | None = None  # what must not be passed over: the relay ends by it
        self.counts = Counter()

    # -- the core's clock -----------------------------------------------------------------------------

    async def run(self) -> None:
        # With several lives before it is not known whose each is: one in two shards would have two leaders.
        ours = list(self.stray.values()) if len(self.lives.before) == 1 else []
        journal = [record for owed in ours for record in record_codec.all_of(owed)]
        for life in self.lives.before:
            self.node.claim((self.node.terms.me, life), self.now(), journal)
        while True:
            self.tick()
            await asyncio.sleep(TICK)

    def now(self) -> float:
        return self.owner.clock()

    def tick(self) -> None:
        if self.fault:
            raise self.fault
        now = self.now()
        self.node.tick(now, now + self.owner.wall)
        if self.renews:
            self.renew()
        late = [w for w in self.waiting if now >= w.until]
        self.waiting = [w for w in self.waiting if now < w.until]
        for each in late:
            each.done(False)
        self.flush()

    def hear(self, envelope):
        try:
            return self.node.hear(envelope, self.now())
        finally:
            self.flush()

    def answered(self, envelope) -> None:
        self.node.answered(envelope, self.now())
        self.flush()

    def flush(self) -> None:
        while self.node.effects:
            effects, self.node.effects = self.node.effects, []
            try:
                for kind, *rest in effects:
                    getattr(self, f"on_{kind}")(*rest)
            except Exception as problem:  # an envelope's task would end by it unseen
                self.fault = problem
                raise

    def on_send(self, to: str, envelope) -> None:
        self.send(to, envelope)

    def on_peer(self, name: str, state: str) -> None:
        event("peer.changed", peer=name, state=state)

    def on_covered(self, shard: Shard, at: int) -> None:
        done = [w for w in self.waiting if w.shard is shard and w.at <= at]
        self.waiting = [w for w in self.waiting if w not in done]
        for each in done:
            each.done(True)

    # -- what the owner asks --------------------------------------------------------------------------

    def turned_away(self) -> float | None:
        held = self.acts(self.node.own)
        if held or decided("hand-in", "no lease", self.alone) != "turn away":
            return None
        self.counts["refused alone"] += 1
        return self.node.terms.lease

    def took(self, owed, message) -> None:
        shard = self.node.own
        if not self.acts(shard):  # outside any shard: nobody else knows of it, or ever will
            self.counts[decided("hand-in", "no lease", self.alone)] += 1
            self.owner.ledger.mark_unreplicated(owed.id)
            return self.verdict(message, Verdict.TAKEN)
        self.shard_of[owed.id] = shard
        self.wait(shard, self.write(shard, [record_codec.taken(owed)]), partial(self.covers, owed, message))

    def covers(self, owed, message, covered: bool) -> None:
        done = decided("hand-in", cover(covered), self.alone)
        self.counts[done] += 1
        if done != "leave in doubt":
            return self.verdict(message, Verdict.TAKEN)
        self.verdict(message, Verdict.EXPIRED)
        self.owner.withdraw(owed.id)

    def verdict(self, message, verdict: Verdict) -> None:
        if not message.verdict.done():  # its client may have gone meanwhile
            message.verdict.set_result((verdict, 0.0))

    def begin(self, push, owed) -> tuple | None:
        shard = self.shard_of.get(owed.id)
        if shard is None:
            return push.begin, None
        left = shard.acts_until() - self.now()
        if left <= 0.0:
            return None
        number = owed.pushes - 1
        until = self.now() + self.owner.wall + push.timeout
        at = self.write(shard, [record_codec.pushed(owed, number, owed.open_pushes.get(number, 0.0), until)])
        if owed.effect(self.owner.settings) is Effect.REPEATABLE:
            return min(push.begin, left), None
        cleared = asyncio.get_running_loop().create_future()
        self.wait(shard, at, partial(self.clear, cleared))
        return min(push.begin, left), cleared

    def clear(self, cleared: asyncio.Future, covered: bool) -> None:
        if not cleared.done():
            cleared.set_result(decided("push", cover(covered), self.alone) == "send")

    def ended(self, owed, push: int, never_ran: bool) -> None:
        if shard := self.shard_of.get(owed.id):
            self.write(shard, [record_codec.ended(owed, push, never_ran)])

    def over(self, owed) -> None:
        if shard := self.shard_of.pop(owed.id, None):
            if self.acts(shard):
                self.write(shard, [record_codec.over(owed.id, owed.due)])
            else:
                self.missed[owed.id] = owed.due

    def told(self, owed, notice: dict, tell) -> None:
        shard = self.shard_of.get(owed.id)
        if shard is None:
            return tell(owed.id, notice)
        at = self.write(shard, [record_codec.noticed(owed, notice)])
        self.wait(shard, at, partial(self.tell, owed.id, notice, tell), inf)

    def tell(self, name: str, notice: dict, tell, covered: bool) -> None:
        if decided("notice", cover(covered), self.alone) == "tell":
            tell(name, notice)

    # -- beginning and stopping to act ------------------------------------------------------------------

    def acts(self, shard: Shard) -> bool:
        return self.now() < shard.acts_until()

    def write(self, shard: Shard, records: list) -> int:
        if not self.acts(shard):
            return (
                shard.at[1] + 1
            )  # never covered as it stands: what is there is written anew when we act again
        return self.node.write(shard, records, self.now())

    def wait(self, shard: Shard, at: int, done, span: float = WAIT) -> None:
        if shard.majority == 1 or shard.covered() >= at:
            return done(True)
        self.waiting.append(Waiting(shard, at, self.now() + span, done))
        self.flush()

    def inherited(self, left: list) -> list:
        mine = [owed for owed in left if owed.unreplicated or not self.lives.before]
        self.stray |= {owed.id: owed for owed in left if owed not in mine}
        if self.stray and self.regained >= set(
            self.lives.before
        ):  # of a process that ended after its shard was ours
            self.on_known(self.node.own)
        return mine

"""Work that this relay begins to act on, or stops to: its own of lives before, and what it replicates.

The table of what is kept where is in docs/design/peers.md; what may be acted on is for the pure core to say.
"""

import asyncio

from ...observe.log import event
from ...peers.shard import Shard
from . import record_codec

EARLY = 0.05  # seconds before its time is up that one which still waits is given up


class TakeOver:
    """The part of `ReplicatedWork` that follows who holds a shard."""

    def on_acts(self, shard: Shard) -> None:
        """Ours from here on: what is there joins what we know of it, and all of it goes to the module."""
        ledger, begun = self.owner.ledger, []
        for owed in filter(None, map(record_codec.decode, list(shard.contents.items.values()))):
            known = self.stray.pop(owed.id, None) or ledger.owed.get(owed.id)
            if owed.id in self.missed:
                self.write(shard, [record_codec.over(owed.id, self.missed.pop(owed.id))])
                continue
            if owed.id in self.shard_of and owed.id not in self.paused:
                continue  # in the module already
            if known is None:
                self.counts["taken over"] += 1
                ledger.add_foreign(owed)
            else:  # our own life before is over, and its calls with it
                known.merge_history(owed)
                known.busy_until = 0.0
            begun.append(ledger.owed[owed.id])
        self.acted = self.acted or shard is self.node.own
        event("seat.acts", seat=shard.name[0], life=shard.name[1], owed=len(begun), epoch=shard.epoch)
        self.go_on(begun, shard)
        self.on_known(shard)

    def on_known(self, shard: Shard) -> None:
        """All that can come of that shard of ours is known: what is over there is struck, what is not in it
        goes on."""
        kept = shard.contents
        for gone in [n for n in kept.gone if n in self.stray or n in self.paused]:
            self.counts["struck"] += 1
            self.forget(gone)
        left = [n for n in self.paused if self.shard_of.get(n) is shard and n not in kept.items]
        if shard.name[0] == self.node.terms.me:
            self.regained.add(shard.name[1])
        if self.stray and self.regained >= set(self.lives.before):
            replicated = {name for each in self.node.shards.values() for name in each.contents.items}
            left += [name for name in self.stray if name not in replicated]
        owed = [self.owner.ledger.owed[name] for name in left if name in self.owner.ledger.owed]
        if owed:
            self.counts["went on"] += len(owed)
            self.go_on(owed, shard if self.acts(shard) else self.node.own)
        if not self.stray and self.regained:
            self.lives.done(set(filter(self.is_empty, self.regained)))

    def is_empty(self, life: int) -> bool:
        """Whether nothing is left in the shard of that life of ours."""
        shard = self.node.shards.get((self.node.terms.me, life))
        return shard is not None and not shard.contents.items

    def go_on(self, owed: list, shard: Shard) -> None:
        """Into the module, as work of that shard, or of none while we may not act on it."""
        covered, wall = self.acts(shard), self.now() + self.owner.wall
        for each in owed:
            if each.due <= wall:  # another may have ended it, and what is over is remembered so long only
                each.may_have_run_at = 0.0
            self.stray.pop(each.id, None)
            self.paused.discard(each.id)
            self.shard_of.pop(each.id, None)
            if covered:
                self.shard_of[each.id] = shard
            else:
                self.owner.ledger.mark_unreplicated(each.id)
        if covered:
            self.write(shard, [record for each in owed for record in record_codec.all_of(each)])
        self.owner.adopt([each for each in owed if each.busy_until <= wall])
        for each in (o for o in owed if o.busy_until > wall):
            loop = asyncio.get_running_loop()  # never two pushes out: its relay may merely stand still
            loop.call_later(min(each.busy_until, each.due - EARLY) - wall, self.resume, each.id, shard)

    def resume(self, name: str, shard: Shard) -> None:
        """What may have been out is over now."""
        owed = self.owner.ledger.owed.get(name)
        if owed and self.shard_of.get(name) is shard and name not in self.paused:
            owed.busy_until = 0.0
            self.owner.adopt([owed])

    def on_lapsed(self, shard: Shard) -> None:
        event("seat.lapsed", seat=shard.name[0], life=shard.name[1])
        self.stop(shard)

    def on_lost(self, shard: Shard) -> None:
        """Another holds it: what we have of it is that one's."""
        event("seat.lost", seat=shard.name[0], life=shard.name[1], epoch=shard.epoch)
        self.stop(shard)
        for each in [w for w in self.waiting if w.shard is shard]:
            self.waiting.remove(each)
            each.done(False)
        for name in [n for n, whose in self.shard_of.items() if whose is shard]:
            if self.owner.ledger.is_foreign(name):
                self.forget(name)
        if shard is self.node.own:
            self.renews = True

    def renew(self) -> None:
        """What comes from here on is of a new life. On a full disk it waits: until then we are alone."""
        if self.lives.next(self.node.life + 1):
            self.renews = False
            self.node.renew(self.now())

    def stop(self, shard: Shard) -> None:
        names = {n for n, whose in self.shard_of.items() if whose is shard}
        self.owner.pause(names)
        self.paused |= names

    def forget(self, name: str) -> None:
        self.stray.pop(name, None)
        self.shard_of.pop(name, None)
        self.paused.discard(name)
        self.owner.ledger.finish(name)

"""Starting and stopping to act on shards: those of this relay's earlier lives, and those that it replicates.

The replication core decides which shards may be acted on. docs/design/peers.md has the table of what is
stored where.
"""

import asyncio

from ...observe.log import event
from ...peers.shard import Shard
from . import record_codec

GIVE_UP_MARGIN_S = 0.05  # before its due time, a notification that still waits for another relay's push ends


class TakeOver:
    """The part of `ReplicatedWork` that follows who holds a shard."""

    def on_acts(self, shard: Shard) -> None:
        """We may act on the shard now: merge its contents with our records and give them to the module."""
        ledger, begun = self.owner.ledger, []
        for owed in filter(None, map(record_codec.decode, list(shard.contents.items.values()))):
            known = self.unclaimed.pop(owed.id, None) or ledger.owed.get(owed.id)
            if owed.id in self.unrecorded_ends:
                self.write(shard, [record_codec.encode_over(owed.id, self.unrecorded_ends.pop(owed.id))])
                continue
            if owed.id in self.shard_of and owed.id not in self.paused:
                continue  # the module has it already
            if known is None:
                self.counts["taken over"] += 1
                ledger.add_foreign(owed)
            else:  # our earlier life has ended, and its calls with it
                known.merge_history(owed)
                known.busy_until = 0.0
            begun.append(ledger.owed[owed.id])
        self.has_acted = self.has_acted or shard is self.node.own
        event("seat.acts", seat=shard.name[0], life=shard.name[1], owed=len(begun), epoch=shard.epoch)
        self.resume_work(begun, shard)
        self.on_known(shard)

    def on_known(self, shard: Shard) -> None:
        """The contents of the shard are complete: forget what ended in it, resume what is not in it."""
        contents = shard.contents
        for ended in [each for each in contents.finished if each in self.unclaimed or each in self.paused]:
            self.counts["struck"] += 1
            self.forget(ended)
        missing = [
            each for each in self.paused if self.shard_of.get(each) is shard and each not in contents.items
        ]
        if shard.name[0] == self.node.config.local_name:
            self.recovered_lives.add(shard.name[1])
        if self.unclaimed and self.recovered_lives >= set(self.lives.unfinished):
            replicated = {name for known in self.node.shards.values() for name in known.contents.items}
            missing += [name for name in self.unclaimed if name not in replicated]
        owed = [self.owner.ledger.owed[name] for name in missing if name in self.owner.ledger.owed]
        if owed:
            self.counts["went on"] += len(owed)
            self.resume_work(owed, shard if self.acts(shard) else self.node.own)
        if not self.unclaimed and self.recovered_lives:
            self.lives.forget(set(filter(self.is_shard_empty, self.recovered_lives)))

    def is_shard_empty(self, life: int) -> bool:
        """Whether the shard of that life of ours has no open notifications."""
        shard = self.node.shards.get((self.node.config.local_name, life))
        return shard is not None and not shard.contents.items

    def resume_work(self, owed: list, shard: Shard) -> None:
        """Give notifications to the module, as part of the shard, or of none while we may not act on it."""
        covered, wall = self.acts(shard), self.now() + self.owner.wall
        for each in owed:
            # Another relay may have ended it: a shard forgets ended ones at their due time.
            if each.due <= wall:
                each.may_have_run_at = 0.0
            self.unclaimed.pop(each.id, None)
            self.paused.discard(each.id)
            self.shard_of.pop(each.id, None)
            if covered:
                self.shard_of[each.id] = shard
            else:
                self.owner.ledger.mark_unreplicated(each.id)
        if covered:
            self.write(shard, [record for each in owed for record in record_codec.encode_all(each)])
        self.owner.adopt([each for each in owed if each.busy_until <= wall])
        for each in (one for one in owed if one.busy_until > wall):
            loop = asyncio.get_running_loop()  # the other relay may only be stalled: no second push meanwhile
            loop.call_later(
                min(each.busy_until, each.due - GIVE_UP_MARGIN_S) - wall, self.resume, each.id, shard
            )

    def resume(self, name: str, shard: Shard) -> None:
        """Give a notification to the module, once another relay's push has ended for certain."""
        owed = self.owner.ledger.owed.get(name)
        if owed and self.shard_of.get(name) is shard and name not in self.paused:
            owed.busy_until = 0.0
            self.owner.adopt([owed])

    def on_lapsed(self, shard: Shard) -> None:
        """Our lease on the shard has expired: stop acting on it."""
        event("seat.lapsed", seat=shard.name[0], life=shard.name[1])
        self.stop(shard)

    def on_lost(self, shard: Shard) -> None:
        """Another relay holds the shard: stop, and forget the notifications taken over with it."""
        event("seat.lost", seat=shard.name[0], life=shard.name[1], epoch=shard.epoch)
        self.stop(shard)
        for each in [waiting for waiting in self.waiting if waiting.shard is shard]:
            self.waiting.remove(each)
            each.done(False)
        for name in [owed_id for owed_id, its_shard in self.shard_of.items() if its_shard is shard]:
            if self.owner.ledger.is_foreign(name):
                self.forget(name)
        if shard is self.node.own:
            self.renewal_pending = True

    def renew(self) -> None:
        """Start a new life for new notifications once it can be written; they are not replicated before."""
        if self.lives.begin_next(self.node.life + 1):
            self.renewal_pending = False
            self.node.renew(self.now())

    def stop(self, shard: Shard) -> None:
        """Stop acting on the notifications of a shard."""
        names = {name for name, its_shard in self.shard_of.items() if its_shard is shard}
        self.owner.pause(names)
        self.paused |= names

    def forget(self, name: str) -> None:
        """Nothing is owed of the notification any more."""
        self.unclaimed.pop(name, None)
        self.shard_of.pop(name, None)
        self.paused.discard(name)
        self.owner.ledger.finish(name)

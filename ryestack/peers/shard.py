"""One shard as one member of its group has it: who may act on what an owner took. Pure.

At most one member acts at a time: a leader acts within a lease that a majority granted, counted from when it
asked; who granted votes for nobody else until the lease has run out by its own clock, and DRIFT more.
"""

from math import inf

from .contents import Contents, Progress
from .messages import Append, Appended, Record, ShardName, Vote, Voted
from .roles import TABLE

DRIFT = 0.02  # how far two clocks' rates may differ: machines of one kind stay under a thousandth
BEATS = 4  # in a lease: two may be lost, and the third still comes in time
RETRY = 0.25  # of a beat: no answer for so long, and the message counts as lost
WEAK = 4  # leases: then members that may have forgotten count too, as two losses at once leave no others
KEPT = 4096  # records that a leader keeps for members that lie behind; further behind they get the whole


class Shard:
    """now is the relay's own clock, which never goes back; effects gather in `effects` as tuples."""

    def __init__(self, name: ShardName, group: tuple, me: str, lease: float, chance, barred: float):
        """barred: until when this member grants nothing, as it may have granted before a start and
        forgotten."""
        self.name, self.group, self.me, self.random = name, group, me, chance
        self.lease, self.patience = lease, lease / BEATS
        self.mine = False  # ours, and of this very life: then we grant it to nobody, so that a kill frees it
        self.others = {n: Progress() for n in group if n != me}
        self.majority = len(group) // 2 + 1
        self.state, self.epoch, self.at = "follower", 0, (0, 0)
        self.contents = Contents()
        self.grant_until, self.leader = barred, ""
        self.knows, self.first_ask = False, inf  # whether nothing of it may be forgotten; since when we ask
        self.ask_at, self.tries, self.votes, self.asked, self.released = inf, 0, {}, 0, False
        self.log, self.base, self.barrier, self.acting, self.told, self.seen = [], 0, 0, False, 0, 0
        self.effects, self.journal = [], []

    # -- inputs ---------------------------------------------------------------------------------------

    def open(self, now: float) -> None:
        """The owner's own, at the start of a life: no other can know of it yet."""
        self.state, self.epoch, self.at, self.mine = "leader", len(self.group), (len(self.group), 0), True
        self.leader, self.knows = self.me, True
        self.tick(now)

    def claim(self, now: float, released: bool, journal: list[Record] = ()) -> None:
        """The owner's next life wants it; released: its folder proves that the one before is over.

        journal: what that folder has of it, which no replica may have; in the shard once it is taken up.
        """
        self.released, self.ask_at, self.seen, self.journal = released, now, len(self.group), list(journal)
        self.grant_until = now if released else self.grant_until
        self.knows = released  # the journal in that folder has all that was taken
        self.tick(now)

    def write(self, now: float, records: list[Record]) -> int:
        """The leader's facts; returns the position at which they are covered."""
        self.contents.apply(records)
        self.log += records
        self.at = self.at[0], self.at[1] + len(records)
        self.send_all(now)
        self.judge(now)
        return self.at[1]

    def tick(self, now: float) -> None:
        if self.state == "leader":
            self.send_all(now)
            self.judge(now)
            if not self.mine and not self.contents.items and self.covered() == self.at[1] > self.barrier:
                self.turn("all is over", now)  # whoever has more of it may ask
        elif self.state == "candidate" and now >= self.ask_at:
            self.turn("too few in time", now)
        elif (
            self.state == "follower"
            and now >= self.grant_until
            and (self.contents.items or self.ask_at < inf)
        ):
            if self.ask_at == inf:  # in turn, the first of the group soonest, and not in step
                self.ask_at = now + self.patience * (self.group.index(self.me) + self.random.random())
            if now >= self.ask_at:
                self.turn("nobody acts", now)

    def is_wanted(self) -> bool:
        """Whether there is work to go on with, or we mean to ask already."""
        return bool(self.contents.items) or self.ask_at < inf

    def on_append(self, now: float, sender: str, a: Append) -> Appended:
        other = a.epoch > self.epoch and sender != self.leader  # grants to two leaders must not overlap
        if a.epoch < self.epoch or (other and now < self.busy_until()) or a.epoch == self.asks_in():
            return Appended(self.name, self.epoch, a.asked, False, self.at)
        if a.epoch > self.epoch:
            self.epoch = a.epoch
            self.turn("a higher epoch", now)
        self.turn("another holds", now)
        self.leader, self.ask_at, self.tries, self.first_ask = sender, inf, 0, inf
        if not self.mine:
            self.grant_until = now + self.lease * (1.0 + DRIFT)
        have = self.at[1] if self.at[0] == a.epoch else -1
        if a.whole and have < a.base:
            self.contents, self.at, have = Contents(a.records), (a.epoch, a.base), a.base
            self.knows = True
        elif not a.whole and a.base <= have:
            fresh = a.records[have - a.base :]
            self.contents.apply(fresh)
            self.at = a.epoch, have + len(fresh)
        if self.group[0] == self.me and a.settled and self.at[0] == a.epoch:
            self.effects.append(("known",))  # what is ours and not in it is nobody else's
        return Appended(self.name, self.epoch, a.asked, not self.mine, self.at)

    def on_appended(self, now: float, sender: str, a: Appended) -> None:
        member = self.others[sender]
        member.waits = (
            member.waits and a.asked < member.sent
        )  # a late answer to an older message starts no other
        if a.epoch > self.epoch:
            self.epoch = a.epoch
            self.turn("a higher epoch", now)
        if self.state == "leader" and a.epoch == self.epoch and a.granted:
            if a.asked >= member.granted:  # the youngest message counts: one that has started anew has less
                member.has = a.at[1] if a.at[0] == self.epoch else -1
            member.granted = max(member.granted, a.asked)
            self.tick(now)

    def on_vote(self, now: float, v: Vote) -> Voted:
        busy, highest = self.busy_until(), max(self.epoch, self.asks_in())
        skips = v.released and self.epoch <= len(self.group)  # only the owner's own life can be so released
        if self.mine or v.epoch <= highest or (now < busy and not skips):
            return Voted(self.name, v.epoch, False, highest, max(0.0, busy - now))
        self.grant_until = min(self.grant_until, now)
        self.epoch = v.epoch
        self.turn("a higher epoch", now)
        self.ask_at = now + self.lease  # let who asked take it up
        return Voted(self.name, v.epoch, True, v.epoch, 0.0, self.at, self.contents.snapshot(), self.knows)

    def on_voted(self, now: float, sender: str, v: Voted) -> None:
        if v.epoch != self.asks_in():
            return
        if v.yes:
            self.votes[sender] = v
            # Who has started anew may have forgotten what it once covered: a majority that remembers is
            # waited for.
            remember = self.knows + sum(v.knows for v in self.votes.values())
            late = now >= self.first_ask + WEAK * self.lease
            if remember >= self.majority or (late and len(self.votes) + 1 >= self.majority):
                self.turn("a majority", now)
        elif v.highest >= self.asked:
            self.seen = max(self.seen, v.highest)
            self.turn("too few in time", now)

    # -- effects of the table ---------------------------------------------------------------------------

    def turn(self, heard: str, now: float) -> None:
        self.state, effect = TABLE.get((self.state, heard), (self.state, None))
        if effect:
            getattr(self, effect)(now)

    def ask(self, now: float) -> None:
        """An epoch is a round and who asks in it: two members never ask for the same one.

        It is ours only once a majority says yes: whoever asks in vain troubles no leader.
        """
        count, mine = len(self.group), self.group.index(self.me)
        self.asked = (max(self.epoch, self.seen) // count + 1) * count + mine
        self.votes, self.ask_at = {}, now + self.patience * 2.0
        self.first_ask = min(self.first_ask, now)
        if self.majority == 1:
            return self.turn("a majority", now)
        for name in self.others:
            self.effects.append(("send", name, Vote(self.name, self.asked, self.released)))

    def wait_longer(self, now: float) -> None:
        self.tries += 1
        longest = min(2.0 ** min(self.tries, 8) * self.patience, 2.0 * self.lease)
        self.ask_at = now + longest * self.random.uniform(0.3, 1.0)

    def take_up(self, now: float) -> None:
        """What was covered is with whoever is furthest: one writer an epoch, each from where the last
        ended."""
        best = max(self.votes.values(), key=lambda v: tuple(v.at), default=None)
        if best is not None and tuple(best.at) > self.at:
            self.contents, self.at = Contents(best.records), tuple(best.at)
        known = {*self.contents.items, *self.contents.finished}
        self.contents.apply([record for record in self.journal if record.id not in known])
        self.journal = []
        self.log, self.base, self.ask_at, self.tries, self.told = [], self.at[1] + 1, inf, 0, 0
        self.knows, self.first_ask = True, inf
        self.epoch, self.at, self.leader = self.asked, (self.asked, self.at[1] + 1), self.me
        self.barrier = self.at[1]  # it acts once all it took up is covered in its own epoch
        self.others = {name: Progress() for name in self.others}
        self.send_all(now)
        self.judge(now)

    def step_down(self, now: float) -> None:
        if self.leader == self.me:
            self.acting, self.leader = False, ""
            self.effects.append(("lost",))
        self.log, self.others = [], {name: Progress() for name in self.others}

    # -- the leader's side ------------------------------------------------------------------------------

    def asks_in(self) -> int:
        return self.asked if self.state == "candidate" else 0

    def busy_until(self) -> float:
        """Until when our vote binds us to who acts now."""
        return self.lease_end() if self.state == "leader" else self.grant_until

    def acts_until(self) -> float:
        """Looked at before each act: a pause may have outlasted the lease, and nothing has been heard of
        it."""
        return self.lease_end() if self.acting and self.state == "leader" else -inf

    def lease_end(self) -> float:
        if self.majority == 1:
            return inf
        granted = sorted((m.granted for m in self.others.values()), reverse=True)
        return granted[self.majority - 2] + self.lease

    def covered(self) -> int:
        if self.majority == 1:
            return self.at[1]
        return min(self.at[1], sorted((m.has for m in self.others.values()), reverse=True)[self.majority - 2])

    def judge(self, now: float) -> None:
        acting, covered = now < self.lease_end() and self.covered() >= self.barrier, self.covered()
        if acting != self.acting:
            self.acting = acting
            self.effects.append(("acts",) if acting else ("lapsed",))
        if covered > self.told:
            self.told = covered
            self.effects.append(("covered", covered))

    def send_all(self, now: float) -> None:
        beat = self.lease / BEATS
        for name, member in self.others.items():
            lost = now >= member.sent + beat * (RETRY if now < member.granted + self.lease else 1.0)
            if (member.has < self.at[1] and (not member.waits or lost)) or now >= member.sent + beat:
                member.sent, member.waits = now, True
                self.effects.append(("send", name, self.append_for(member, now)))
        if len(self.log) > KEPT:
            self.base, self.log = self.base + len(self.log) - KEPT, self.log[-KEPT:]

    def append_for(self, member: Progress, now: float) -> Append:
        settled = self.covered() >= self.barrier
        whole = member.has < self.base
        base = self.at[1] if whole else member.has
        records = self.contents.snapshot() if whole else self.log[member.has - self.base :]
        return Append(self.name, self.epoch, now, base, records, whole, settled)

"""One shard as one member of its group holds it: who may act on the notifications an owner took. Pure.

At most one member acts at a time. A leader acts within a lease that a majority granted, counted from when it
sent the request; a member that granted it votes for nobody else until the lease has expired by its own clock,
and MAX_CLOCK_DRIFT longer. A position is covered once a majority holds all records up to it in this epoch.
"""

from math import inf

from .contents import Contents, Progress
from .messages import Append, AppendReply, Record, ShardName, VoteReply, VoteRequest
from .roles import TABLE

MAX_CLOCK_DRIFT = 0.02  # between two clocks' rates: machines of one kind stay under a thousandth
HEARTBEATS_PER_LEASE = 4  # two may be lost, and the third still arrives in time
RETRY = 0.25  # of a heartbeat interval without a reply, then a request counts as lost
WEAK_MAJORITY_LEASES = 4  # then members that may have lost data count too: two losses leave no others
MAX_LOG = 4096  # kept for members that lag; those that lag further get a snapshot


class Shard:
    """The protocol of one member; `now` is the relay's monotonic clock. Effects: ("send", member, message);
    ("acts",), ("lapsed",): it may act, or not for now; ("lost",): another leads; ("covered", position);
    ("known",): the owner has received all that its shard can still hold."""

    def __init__(self, name: ShardName, group: tuple, me: str, lease: float, rng, no_grant_until: float):
        """no_grant_until: before a restart this member may have granted a lease that it has forgotten."""
        self.name, self.group, self.me, self.rng = name, group, me, rng
        self.lease, self.heartbeat = lease, lease / HEARTBEATS_PER_LEASE
        self.is_own = False  # the shard of this very life: granted to nobody, so that a kill frees it
        self.others = {n: Progress() for n in group if n != me}
        self.majority = len(group) // 2 + 1
        self.state, self.epoch, self.last = "follower", 0, (0, 0)
        self.contents = Contents()
        self.grant_end, self.leader = no_grant_until, ""
        self.complete, self.asking_since = False, inf  # has lost no records; when it first asked for votes
        self.vote_at, self.failures, self.votes, self.vote_epoch, self.released = inf, 0, {}, 0, False
        self.log, self.log_start, self.barrier, self.acting, self.reported, self.seen = [], 0, 0, False, 0, 0
        self.effects, self.journal = [], []

    # -- inputs ---------------------------------------------------------------------------------------

    def open(self, now: float) -> None:
        """The owner's own shard, at the start of a life: no other member can know of it yet."""
        self.state, self.epoch, self.last, self.is_own = "leader", len(self.group), (len(self.group), 0), True
        self.leader, self.complete = self.me, True
        self.tick(now)

    def claim(self, now: float, released: bool, journal: list[Record] = ()) -> None:
        """The owner's next life asks to lead. released: its state folder proves that the earlier one is over;
        journal: that folder's records, which replicas may lack; they are added once this member leads."""
        self.released, self.vote_at, self.seen, self.journal = released, now, len(self.group), list(journal)
        self.grant_end = now if released else self.grant_end
        self.complete = released  # the journal in that folder holds all that was taken
        self.tick(now)

    def write(self, now: float, records: list[Record]) -> int:
        """Appends the leader's records; returns the position at which they are covered."""
        self.contents.apply(records)
        self.log += records
        self.last = self.last[0], self.last[1] + len(records)
        self.send_all(now)
        self.update_acting(now)
        return self.last[1]

    def tick(self, now: float) -> None:
        """Runs the timers: heartbeats and lease of a leader, elections of the others."""
        if self.state == "leader":
            self.send_all(now)
            self.update_acting(now)
            if not self.is_own and not self.contents.items and self.covered() == self.last[1] > self.barrier:
                self.transition("nothing owed", now)  # a member that holds more may still ask to lead
        elif self.state == "candidate" and now >= self.vote_at:
            self.transition("election failed", now)
        elif (
            self.state == "follower" and now >= self.grant_end and (self.contents.items or self.vote_at < inf)
        ):
            if self.vote_at == inf:  # in group order, and randomized against simultaneous candidates
                self.vote_at = now + self.heartbeat * (self.group.index(self.me) + self.rng.random())
            if now >= self.vote_at:
                self.transition("no leader", now)

    def is_wanted(self) -> bool:
        """Whether notifications are owed here, or an election is scheduled."""
        return bool(self.contents.items) or self.vote_at < inf

    def on_append(self, now: float, sender: str, msg: Append) -> AppendReply:
        newer = msg.epoch > self.epoch and sender != self.leader  # grants to two leaders must not overlap
        if msg.epoch < self.epoch or (newer and now < self.free_at()) or msg.epoch == self.pending_epoch():
            return AppendReply(self.name, self.epoch, msg.sent_at, False, self.last)
        if msg.epoch > self.epoch:
            self.epoch = msg.epoch
            self.transition("higher epoch", now)
        self.transition("other leader", now)
        self.leader, self.vote_at, self.failures, self.asking_since = sender, inf, 0, inf
        if not self.is_own:
            self.grant_end = now + self.lease * (1.0 + MAX_CLOCK_DRIFT)
        held = self.last[1] if self.last[0] == msg.epoch else -1
        if msg.whole and held < msg.base:
            self.contents, self.last, held = Contents(msg.records), (msg.epoch, msg.base), msg.base
            self.complete = True
        elif not msg.whole and msg.base <= held:
            new = msg.records[held - msg.base :]
            self.contents.apply(new)
            self.last = msg.epoch, held + len(new)
        if self.group[0] == self.me and msg.settled and self.last[0] == msg.epoch:
            self.effects.append(("known",))  # work of the owner that is not in it is no other member's
        return AppendReply(self.name, self.epoch, msg.sent_at, not self.is_own, self.last)

    def on_append_reply(self, now: float, sender: str, msg: AppendReply) -> None:
        member = self.others[sender]
        # A late reply to an older request does not trigger another one.
        member.in_flight = member.in_flight and msg.sent_at < member.sent_at
        if msg.epoch > self.epoch:
            self.epoch = msg.epoch
            self.transition("higher epoch", now)
        if self.state == "leader" and msg.epoch == self.epoch and msg.granted:
            if msg.sent_at >= member.granted_at:  # the newest counts: a restarted member holds less
                member.held = msg.position[1] if msg.position[0] == self.epoch else -1
            member.granted_at = max(member.granted_at, msg.sent_at)
            self.tick(now)

    def on_vote_request(self, now: float, msg: VoteRequest) -> VoteReply:
        free, highest = self.free_at(), max(self.epoch, self.pending_epoch())
        skips = msg.released and self.epoch <= len(self.group)  # only the owner's first lease is released so
        if self.is_own or msg.epoch <= highest or (now < free and not skips):
            return VoteReply(self.name, msg.epoch, False, highest, max(0.0, free - now))
        self.grant_end = min(self.grant_end, now)
        self.epoch = msg.epoch
        self.transition("higher epoch", now)
        self.vote_at = now + self.lease  # leaves the candidate time to lead
        return VoteReply(
            self.name, msg.epoch, True, msg.epoch, 0.0, self.last, self.contents.snapshot(), self.complete
        )

    def on_vote_reply(self, now: float, sender: str, msg: VoteReply) -> None:
        if msg.epoch != self.pending_epoch():
            return
        if msg.granted:
            self.votes[sender] = msg
            # A restarted member may have lost what it covered: a majority that has not is waited for.
            full = self.complete + sum(v.complete for v in self.votes.values())
            late = now >= self.asking_since + WEAK_MAJORITY_LEASES * self.lease
            if full >= self.majority or (late and len(self.votes) + 1 >= self.majority):
                self.transition("majority granted", now)
        elif msg.highest >= self.vote_epoch:
            self.seen = max(self.seen, msg.highest)
            self.transition("election failed", now)

    # -- effects of the table ---------------------------------------------------------------------------

    def transition(self, cause: str, now: float) -> None:
        self.state, effect = TABLE.get((self.state, cause), (self.state, None))
        if effect:
            getattr(self, effect)(now)

    def request_votes(self, now: float) -> None:
        """An epoch encodes a round and the candidate: two members never ask for the same one. It takes effect
        only once a majority grants it, so that a failed candidate does not disturb a leader."""
        count, index = len(self.group), self.group.index(self.me)
        self.vote_epoch = (max(self.epoch, self.seen) // count + 1) * count + index
        self.votes, self.vote_at = {}, now + self.heartbeat * 2.0
        self.asking_since = min(self.asking_since, now)
        if self.majority == 1:
            return self.transition("majority granted", now)
        for name in self.others:
            self.effects.append(("send", name, VoteRequest(self.name, self.vote_epoch, self.released)))

    def back_off(self, now: float) -> None:
        self.failures += 1
        longest = min(2.0 ** min(self.failures, 8) * self.heartbeat, 2.0 * self.lease)
        self.vote_at = now + longest * self.rng.uniform(0.3, 1.0)

    def become_leader(self, now: float) -> None:
        """Continues from the member that is furthest: it holds all that was covered, as each epoch has one
        writer, and each writer starts where the last one ended."""
        best = max(self.votes.values(), key=lambda v: tuple(v.position), default=None)
        if best is not None and tuple(best.position) > self.last:
            self.contents, self.last = Contents(best.records), tuple(best.position)
        known = {*self.contents.items, *self.contents.finished}
        self.contents.apply([record for record in self.journal if record.id not in known])
        self.journal = []
        self.log, self.log_start, self.vote_at, self.failures, self.reported = [], self.last[1] + 1, inf, 0, 0
        self.complete, self.asking_since = True, inf
        self.epoch, self.last, self.leader = self.vote_epoch, (self.vote_epoch, self.last[1] + 1), self.me
        self.barrier = self.last[1]  # it acts once all that it took over is covered in its own epoch
        self.others = {name: Progress() for name in self.others}
        self.send_all(now)
        self.update_acting(now)

    def step_down(self, now: float) -> None:
        if self.leader == self.me:
            self.acting, self.leader = False, ""
            self.effects.append(("lost",))
        self.log, self.others = [], {name: Progress() for name in self.others}

    # -- the leader's side ------------------------------------------------------------------------------

    def pending_epoch(self) -> int:
        return self.vote_epoch if self.state == "candidate" else 0

    def free_at(self) -> float:
        """When the lease that this member holds or has granted ends: until then it votes for nobody else."""
        return self.lease_end() if self.state == "leader" else self.grant_end

    def acts_until(self) -> float:
        """Checked before each action: a pause of the process may have outlasted the lease unnoticed."""
        return self.lease_end() if self.acting and self.state == "leader" else -inf

    def lease_end(self) -> float:
        if self.majority == 1:
            return inf
        granted = sorted((m.granted_at for m in self.others.values()), reverse=True)
        return granted[self.majority - 2] + self.lease

    def covered(self) -> int:
        """The last position that a majority holds."""
        if self.majority == 1:
            return self.last[1]
        return min(
            self.last[1], sorted((m.held for m in self.others.values()), reverse=True)[self.majority - 2]
        )

    def update_acting(self, now: float) -> None:
        acting, covered = now < self.lease_end() and self.covered() >= self.barrier, self.covered()
        if acting != self.acting:
            self.acting = acting
            self.effects.append(("acts",) if acting else ("lapsed",))
        if covered > self.reported:
            self.reported = covered
            self.effects.append(("covered", covered))

    def send_all(self, now: float) -> None:
        """Sends each member what it lacks, or a heartbeat that is due."""
        interval = self.lease / HEARTBEATS_PER_LEASE
        for name, peer in self.others.items():
            lost = now >= peer.sent_at + interval * (RETRY if now < peer.granted_at + self.lease else 1.0)
            if (peer.held < self.last[1] and (not peer.in_flight or lost)) or now >= peer.sent_at + interval:
                peer.sent_at, peer.in_flight = now, True
                self.effects.append(("send", name, self.append_for(peer, now)))
        if len(self.log) > MAX_LOG:
            self.log_start, self.log = self.log_start + len(self.log) - MAX_LOG, self.log[-MAX_LOG:]

    def append_for(self, member: Progress, now: float) -> Append:
        settled = self.covered() >= self.barrier
        whole = member.held < self.log_start
        base = self.last[1] if whole else member.held
        records = self.contents.snapshot() if whole else self.log[member.held - self.log_start :]
        return Append(self.name, self.epoch, now, base, records, whole, settled)

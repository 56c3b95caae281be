"""One relay among its peers: its own shard, the shards that it replicates, which peers are reachable.

Pure: takes envelopes and ticks, and collects effects as tuples in `effects`.
"""

from dataclasses import dataclass

from .groups import group
from .messages import Append, AppendReply, Envelope, Record, ShardName, VoteReply, VoteRequest
from .roster import Roster
from .shard import MAX_CLOCK_DRIFT, Shard

FORGET_INTERVAL_S = 1.0  # between removals of expired finished notifications: each scans all of them
MAX_LIVES = 64  # shards of one relay held at once; a relay with more lives is faulty or not of this cluster
EMPTY_SHARD_LEASES = 10  # that an empty shard is kept: members that lag behind still ask for it


@dataclass(frozen=True, slots=True)
class ClusterConfig:
    """The configuration that all relays of a cluster share, and the name of this one.

    zones: zone by relay name, for all relays; replicas: members of a group beside the owner; lease: seconds.
    """

    cluster: str
    local_name: str
    zones: dict[str, str]
    replicas: int
    lease: float


class Refused(Exception):
    """An envelope is rejected and changes nothing; the text is the reason."""


class Node:
    """The replication core of one relay. Effects: ("send", recipient, envelope), ("peer", name, state), and
    those of a shard as (kind, shard, ...): see `Shard`."""

    def __init__(self, config: ClusterConfig, life: int, sole: bool, rng, now: float):
        """life: number of this start of the relay; sole: no earlier life of it is running."""
        self.config, self.life, self.sole, self.rng = config, life, sole, rng
        self.number, self.effects, self.refused = 0, [], 0
        self.next_forget_at = now
        # Before this start the relay may have granted leases that it no longer knows of.
        self.no_grant_until = now + config.lease * (1.0 + MAX_CLOCK_DRIFT)
        self.roster = Roster([n for n in config.zones if n != config.local_name], config.lease)
        self.shards: dict[ShardName, Shard] = {}
        self.own = self.shard((config.local_name, life))
        self.own.open(now)
        self.collect_effects(self.own)

    def shard(self, name: ShardName) -> Shard:
        """The shard of that name, created if it is new. Raises Refused if this relay is not in its group."""
        if name not in self.shards:
            members = group(name[0], self.config.zones, self.config.replicas)
            if self.config.local_name not in members:
                raise Refused("not a replica of that relay")
            made = Shard(
                name, members, self.config.local_name, self.config.lease, self.rng, self.no_grant_until
            )
            self.shards[name] = made
        return self.shards[name]

    # -- inputs ---------------------------------------------------------------------------------------

    def handle_request(self, envelope: Envelope, now: float) -> Envelope:
        """The reply to a peer's request; raises Refused."""
        message = envelope.message
        try:
            self.admit(envelope, now)
            if envelope.message.shard[0] not in self.config.zones:
                raise Refused("a shard of no relay here")
            lives = [name for name in self.shards if name[0] == message.shard[0]]
            if message.shard not in self.shards and len(lives) >= MAX_LIVES:
                raise Refused("too many lives of that relay")
            if isinstance(message, Append) and message.epoch > 0 and message.base >= 0:
                shard = self.shard(message.shard)
                reply = shard.on_append(now, envelope.sender, message)
            elif isinstance(message, VoteRequest) and message.epoch > 0:
                shard = self.shard(message.shard)
                reply = shard.on_vote_request(
                    now, VoteRequest(message.shard, message.epoch, _released(envelope))
                )
            else:
                raise Refused("an answer to nothing")
        except Refused:
            self.refused += 1
            raise
        self.collect_effects(shard)
        return self.envelope(envelope.sender, reply)

    def admit(self, envelope: Envelope, now: float) -> None:
        """Raises Refused for an envelope of another cluster, for another relay, outdated or duplicated."""
        if envelope.cluster != self.config.cluster:
            raise Refused("of another cluster")
        if envelope.recipient != self.config.local_name:
            raise Refused("for another relay")
        if why := self.roster.admit(envelope.sender, envelope.life, envelope.number, envelope.sole, now):
            raise Refused(why)

    def handle_reply(self, envelope: Envelope, now: float) -> None:
        """Processes the reply to a request of this relay; an invalid one is only counted."""
        message, shard = envelope.message, self.shards.get(tuple(envelope.message.shard))
        if envelope.cluster != self.config.cluster or shard is None or envelope.sender not in shard.others:
            self.refused += 1
            return
        if not self.roster.is_current(envelope.sender, envelope.life, envelope.sole):
            self.refused += 1
            return
        self.roster.record_contact(envelope.sender, now)
        if isinstance(message, AppendReply):
            shard.on_append_reply(now, envelope.sender, message)
        elif isinstance(message, VoteReply):
            shard.on_vote_reply(now, envelope.sender, message)
        self.collect_effects(shard)

    def tick(self, now: float, wall: float = 0.0) -> None:
        """Runs all timers. wall: wall-clock time, by which finished notifications are forgotten."""
        self.roster.tick(now)
        forget_now = now >= self.next_forget_at
        self.next_forget_at = now + FORGET_INTERVAL_S if forget_now else self.next_forget_at
        for name, shard in list(self.shards.items()):
            shard.tick(now)
            self.collect_effects(shard)
            if forget_now:
                shard.contents.forget(wall)
            idle = (
                not shard.contents.items and now >= shard.free_at() + EMPTY_SHARD_LEASES * self.config.lease
            )
            if idle and shard is not self.own:
                del self.shards[name]
        transitions, self.roster.transitions = self.roster.transitions, []
        self.effects += [("peer", *transition) for transition in transitions]

    def write(self, shard: Shard, records: list[Record], now: float) -> int:
        """Appends to a shard that this relay leads; returns the position at which the records are covered."""
        position = shard.write(now, records)
        self.collect_effects(shard)
        return position

    def claim(self, name: ShardName, now: float, journal: list[Record] = ()) -> Shard:
        """Asks to lead the shard of an earlier life of this relay.

        journal: the records of it in the state folder.
        """
        shard = self.shard(name)
        shard.claim(now, self.sole, journal)
        self.collect_effects(shard)
        return shard

    def renew(self, now: float) -> int:
        """Starts a new life with a new shard, once another relay has taken over the present one for good."""
        self.life, self.sole = self.life + 1, True
        self.own = self.shard((self.config.local_name, self.life))
        self.own.open(now)
        self.collect_effects(self.own)
        return self.life

    # -- effects --------------------------------------------------------------------------------------

    def collect_effects(self, shard: Shard) -> None:
        """Moves the shard's effects to the node's; messages are put into envelopes."""
        effects, shard.effects = shard.effects, []
        for kind, *rest in effects:
            if kind == "send":
                self.effects.append(("send", rest[0], self.envelope(*rest)))
            else:
                self.effects.append((kind, shard, *rest))

    def envelope(self, recipient: str, message) -> Envelope:
        self.number += 1
        return Envelope(
            self.config.cluster, self.config.local_name, self.life, recipient, self.number, message, self.sole
        )


def _released(envelope: Envelope) -> bool:
    """Only a later life of the same relay can declare an earlier one over."""
    vote = envelope.message
    return vote.released and envelope.sender == vote.shard[0] and envelope.life > vote.shard[1]

"""One relay among its peers: its own shard, those that it replicates, who is there.

Pure: envelopes and ticks in, effects out.
"""

from dataclasses import dataclass

from .groups import group
from .messages import Append, Appended, Envelope, Record, ShardName, Vote, Voted
from .roster import Roster
from .shard import DRIFT, Shard

FORGETS = 1.0  # seconds between looks at whose time is up among what is over: it is looked through whole
LIVES = 64  # of one relay that are remembered at once: more is a fault of its, or no relay of ours
DONE = 10  # times the lease that an empty shard is remembered: who lies behind still asks after it


@dataclass(frozen=True, slots=True)
class ClusterConfig:
    """What all relays of a cluster are told alike, and which of them this one is. zones: every name's."""

    cluster: str
    local_name: str
    zones: dict[str, str]
    replicas: int
    lease: float


class Refused(Exception):
    """An envelope that changes nothing; the text says why."""


class Node:
    def __init__(self, terms: ClusterConfig, life: int, sole: bool, chance, now: float):
        self.config, self.life, self.sole, self.random = terms, life, sole, chance
        self.number, self.effects, self.refused = 0, [], 0
        self.forgets_at = now
        self.barred = now + terms.lease * (1.0 + DRIFT)
        self.roster = Roster([n for n in terms.zones if n != terms.local_name], terms.lease)
        self.shards: dict[ShardName, Shard] = {}
        self.own = self.shard((terms.local_name, life))
        self.own.open(now)
        self.gather(self.own)

    def shard(self, name: ShardName) -> Shard:
        if name not in self.shards:
            members = group(name[0], self.config.zones, self.config.replicas)
            if self.config.local_name not in members:
                raise Refused("not a replica of that relay")
            made = Shard(name, members, self.config.local_name, self.config.lease, self.random, self.barred)
            self.shards[name] = made
        return self.shards[name]

    # -- inputs ---------------------------------------------------------------------------------------

    def handle_request(self, envelope: Envelope, now: float) -> Envelope:
        """Answers a request; raises Refused."""
        message = envelope.message
        try:
            self.admit(envelope, now)
            if envelope.message.shard[0] not in self.config.zones:
                raise Refused("a shard of no relay here")
            lives = [known for known in self.shards if known[0] == message.shard[0]]
            if message.shard not in self.shards and len(lives) >= LIVES:
                raise Refused("too many lives of that relay")
            if isinstance(message, Append) and message.epoch > 0 and message.base >= 0:
                shard = self.shard(message.shard)
                answer = shard.on_append(now, envelope.sender, message)
            elif isinstance(message, Vote) and message.epoch > 0:
                shard = self.shard(message.shard)
                answer = shard.on_vote(now, Vote(message.shard, message.epoch, _released(envelope)))
            else:
                raise Refused("an answer to nothing")
        except Refused:
            self.refused += 1
            raise
        self.gather(shard)
        return self.envelope(envelope.sender, answer)

    def admit(self, envelope: Envelope, now: float) -> None:
        if envelope.cluster != self.config.cluster:
            raise Refused("of another cluster")
        if envelope.to != self.config.local_name:
            raise Refused("for another relay")
        if why := self.roster.admit(envelope.sender, envelope.life, envelope.number, envelope.sole, now):
            raise Refused(why)

    def handle_reply(self, envelope: Envelope, now: float) -> None:
        """An answer to one of ours; one that makes no sense changes nothing."""
        message, shard = envelope.message, self.shards.get(tuple(envelope.message.shard))
        if envelope.cluster != self.config.cluster or shard is None or envelope.sender not in shard.others:
            self.refused += 1
            return
        self.roster.spoke(envelope.sender, now)
        if isinstance(message, Appended):
            shard.on_appended(now, envelope.sender, message)
        elif isinstance(message, Voted):
            shard.on_voted(now, envelope.sender, message)
        self.gather(shard)

    def tick(self, now: float, wall: float = 0.0) -> None:
        self.roster.tick(now)
        forgets = now >= self.forgets_at
        self.forgets_at = now + FORGETS if forgets else self.forgets_at
        for name, shard in list(self.shards.items()):
            shard.tick(now)
            self.gather(shard)
            if forgets:
                shard.contents.forget(wall)
            idle = not shard.contents.items and now >= shard.busy_until() + DONE * self.config.lease
            if idle and shard is not self.own:
                del self.shards[name]
        turns, self.roster.turns = self.roster.turns, []
        self.effects += [("peer", *turn) for turn in turns]

    def write(self, shard: Shard, records: list[Record], now: float) -> int:
        at = shard.write(now, records)
        self.gather(shard)
        return at

    def claim(self, name: ShardName, now: float, journal: list[Record] = ()) -> Shard:
        """An earlier life of ours; journal: what the folder has of it."""
        shard = self.shard(name)
        shard.claim(now, self.sole, journal)
        self.gather(shard)
        return shard

    def renew(self, now: float) -> int:
        """Our shard is another's for good: what comes from here on is of a new life and shard."""
        self.life, self.sole = self.life + 1, True
        self.own = self.shard((self.config.local_name, self.life))
        self.own.open(now)
        self.gather(self.own)
        return self.life

    # -- effects --------------------------------------------------------------------------------------

    def gather(self, shard: Shard) -> None:
        told, shard.effects = shard.effects, []
        for kind, *rest in told:
            if kind == "send":
                self.effects.append(("send", rest[0], self.envelope(*rest)))
            else:
                self.effects.append((kind, shard, *rest))

    def envelope(self, to: str, message) -> Envelope:
        self.number += 1
        return Envelope(
            self.config.cluster, self.config.local_name, self.life, to, self.number, message, self.sole
        )


def _released(envelope: Envelope) -> bool:
    """Only a later life of the same relay can say that one is over."""
    vote = envelope.message
    return vote.released and envelope.sender == vote.shard[0] and envelope.life > vote.shard[1]

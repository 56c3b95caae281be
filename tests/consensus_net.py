"""A cluster of voters in one process: a network and disks that a seed makes fail, and Raft's rules."""

import os
import random
from collections import Counter

from ryestack.control.consensus import NoQuorum, NotLeader, Overloaded
from ryestack.control.consensus_messages import LogEntry, decode
from ryestack.control.consensus_state import Role

from .consensus_voter import Broken, Voter

CALM = dict(tick=12, deliver=60, work=60, propose=6)
FAULTS = dict(drop=6, duplicate=4, crash=2, start=4, cut=2, heal=3, jump=1, compact=3)


class Net:
    """Voters and what lies between them. Each step is drawn from the seed; rules are looked at after each."""

    def __init__(self, seed: int, size: int = 0):
        self.random = random.Random(seed)
        self.names = tuple("abcde"[: size or self.random.choice((3, 3, 5))])
        self.append_bytes = self.random.choice((1, 8, 1000))
        self.now, self.flying, self.cuts = 0.0, [], set()
        self.leaders: dict[int, str] = {}
        self.applied: dict[int, list] = {}
        self.acknowledged: list[list] = []
        self.counts, self.proposals = Counter(), 0
        self.voters = {name: Voter(self, name) for name in self.names}
        self.weights = dict(CALM)
        for kind, weight in FAULTS.items():  # some schedules lack a kind of fault, others have much of it
            self.weights[kind] = weight * self.random.choice((0, 0.5, 1, 3))

    def run(self, steps: int) -> None:
        kinds, weights = list(self.weights), list(self.weights.values())
        for kind in self.random.choices(kinds, weights, k=steps):
            self.step(kind)

    def step(self, kind: str) -> None:
        self.counts[kind] += 1
        voter = self.voters[self.random.choice(self.names)]
        if kind in ("deliver", "drop", "duplicate"):
            self.message(kind)
        elif kind == "heal":
            self.cuts.clear()
        elif kind == "cut":
            self.cut()
        elif kind == "jump":
            voter.offset += self.random.uniform(-5.0, 5.0)
        elif kind == "start":
            if not voter.replica:
                voter.start()
        elif voter.replica:
            self.act(kind, voter)
        self.check()

    def act(self, kind: str, voter: Voter) -> None:
        if kind == "tick":
            self.now += self.random.uniform(0.0, 0.6) / len(self.names)
            voter.replica.tick(voter.now)
        elif kind == "propose":
            self.propose(voter)
        elif kind == "compact":
            voter.compact(self.random.randint(0, 5))
        else:
            getattr(voter, kind)()

    def message(self, kind: str) -> None:
        if not self.flying:
            return
        index = self.random.randrange(len(self.flying)) if self.random.random() < 0.5 else 0
        sender, recipient, body = self.flying[index]
        if kind != "duplicate":
            del self.flying[index]
        if kind != "drop":
            self.arrive(sender, recipient, body)

    def arrive(self, sender: str, recipient: str, body: bytes) -> None:
        voter = self.voters[recipient]
        if voter.replica and (sender, recipient) not in self.cuts:
            voter.replica.receive(decode(body)[0], voter.now)

    def cut(self) -> None:
        one = self.random.choice(self.names)
        others = [name for name in self.names if name != one]
        if self.random.random() < 0.3:
            self.cuts.add((one, self.random.choice(others)))
            return
        side = {one, *self.random.sample(others, self.random.randint(0, len(others) // 2))}
        self.cuts |= {(a, b) for a in self.names for b in self.names if (a in side) != (b in side)}

    def propose(self, voter: Voter) -> None:
        leaders = [v for v in self.voters.values() if v.replica and v.replica.leadership]
        voter = self.random.choice([voter, *leaders])
        self.proposals += 1
        payload = str(self.proposals).encode()
        try:
            position = voter.replica.propose(payload, voter.now)
        except (NotLeader, NoQuorum, Overloaded):
            return
        voter.proposed[position] = payload

    def acknowledge(self, entry: LogEntry) -> None:
        copies = sum(voter.disk.has(entry.position, entry.term) for voter in self.voters.values())
        if copies <= len(self.names) // 2:
            raise Broken(f"{entry.position} is acknowledged with {copies} copies on disk")
        self.acknowledged.append([entry.position, entry.term, entry.payload.decode()])

    def check(self) -> None:
        running = [voter.replica for voter in self.voters.values() if voter.replica]
        for replica in running:
            state = replica.state
            if state.role is Role.LEADER and self.leaders.setdefault(state.term, state.name) != state.name:
                raise Broken(f"{state.name} and {self.leaders[state.term]} lead in term {state.term}")
            if state.role is Role.LEADER:
                self.check_complete(state)
        for index, one in enumerate(running):
            for other in running[index + 1 :]:
                check_match(one.state.log, other.state.log)

    def check_complete(self, state) -> None:
        """A leader has every entry that was committed in a term before its own."""
        for position, term, _ in reversed(self.applied.values()):
            if term < state.term and position > state.log.base and state.log.term_at(position) != term:
                raise Broken(f"{state.name} leads in term {state.term} and lacks {position} of {term}")

    def settle(self, limit: int = 20000) -> None:
        """All faults end: in so many steps all have applied the same, with all that was acknowledged."""
        self.cuts.clear()
        for voter in self.voters.values():
            voter.offset = 0.0
            if not voter.replica:
                voter.start()
        for step in range(limit):
            self.step(self.random.choice(("tick", "deliver", "deliver", "work", "work")))
            if step % 50 == 0 and self.is_settled():
                break
        else:
            raise Broken("no leader that all follow")
        for voter in self.voters.values():
            for position, term, payload in self.acknowledged:
                if voter.state[position - 1] != [position, term, payload]:
                    raise Broken(f"{voter.name} has lost {payload}, acknowledged at {position}")

    def is_settled(self) -> bool:
        states = [voter.replica.state for voter in self.voters.values()]
        leaders = [state for state in states if state.role is Role.LEADER]
        term = max(state.term for state in states)
        ends = {len(voter.state) for voter in self.voters.values()}
        return [s.term for s in leaders] == [term] and ends == {leaders[0].log.last_position}


def check_match(one, other) -> None:
    """Logs that hold an entry of the same term at a position are equal up to there."""
    low = max(one.base, other.base)
    matched = False
    for position in range(min(one.last_position, other.last_position), low, -1):
        mine, theirs = one.entries[position - one.base - 1], other.entries[position - other.base - 1]
        matched = matched or mine.term == theirs.term
        if matched and mine != theirs:
            raise Broken(f"two logs differ at {position} and agree behind it")


def examples(few: int) -> int:
    """How many schedules to play: RYESTACK_TEST_SCHEDULES times the few of CI."""
    return few * int(os.environ.get("RYESTACK_TEST_SCHEDULES", "1"))


class Calm(Net):
    """Three voters without faults but those a test makes."""

    def __init__(self, seed: int = 1, size: int = 3):
        super().__init__(seed, size)

    def go(self, seconds: float) -> None:
        until = self.now + seconds
        while self.now < until:
            self.now += 0.05
            for voter in self.voters.values():
                if voter.replica:
                    voter.replica.tick(voter.now)
            for _ in range(6):
                self.pass_on()

    def pass_on(self) -> None:
        for voter in self.voters.values():
            if voter.replica:
                voter.work()
                voter.work()
        flying, self.flying = self.flying, []
        for sender, recipient, body in flying:
            self.arrive(sender, recipient, body)
        self.check()

    def leader(self):
        return next(v for v in self.voters.values() if v.replica and v.replica.state.role is Role.LEADER)

    def isolate(self, name: str) -> None:
        self.cuts |= {(a, b) for a in self.names for b in self.names if a != b and name in (a, b)}

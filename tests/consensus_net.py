"""A simulated cluster of voters with seeded network and disk faults, and checks of Raft's invariants."""

import os
import random
from collections import Counter

from ryestack.control.consensus import NoQuorum, NotLeader, Overloaded
from ryestack.control.consensus_messages import LogEntry, decode
from ryestack.control.consensus_state import Role

from .consensus_voter import Violation, Voter

BASE_WEIGHTS = dict(tick=12, deliver=60, work=60, propose=6)
FAULT_WEIGHTS = dict(drop=6, duplicate=4, crash=2, start=4, cut=2, heal=3, jump=1, compact=3)


class Net:
    """Voters and their network. Each step is drawn from the seed, and is followed by a check."""

    def __init__(self, seed: int, size: int = 0):
        self.random = random.Random(seed)
        self.names = tuple("abcde"[: size or self.random.choice((3, 3, 5))])
        self.append_bytes = self.random.choice((1, 8, 1000))
        self.now, self.in_flight, self.cuts = 0.0, [], set()
        self.leaders: dict[int, str] = {}
        self.applied: dict[int, list] = {}
        self.acknowledged: list[list] = []
        self.counts, self.proposals = Counter(), 0
        self.voters = {name: Voter(self, name) for name in self.names}
        self.weights = dict(BASE_WEIGHTS)
        for kind, weight in FAULT_WEIGHTS.items():  # vary the mix of faults per seed
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
        if not self.in_flight:
            return
        index = self.random.randrange(len(self.in_flight)) if self.random.random() < 0.5 else 0
        sender, recipient, body = self.in_flight[index]
        if kind != "duplicate":
            del self.in_flight[index]
        if kind != "drop":
            self.arrive(sender, recipient, body)

    def arrive(self, sender: str, recipient: str, body: bytes) -> None:
        voter = self.voters[recipient]
        if voter.replica and (sender, recipient) not in self.cuts:
            voter.replica.receive(decode(body)[0], voter.now)

    def cut(self) -> None:
        first = self.random.choice(self.names)
        others = [name for name in self.names if name != first]
        if self.random.random() < 0.3:
            self.cuts.add((first, self.random.choice(others)))
            return
        side = {first, *self.random.sample(others, self.random.randint(0, len(others) // 2))}
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
            raise Violation(f"{entry.position} is acknowledged with {copies} copies on disk")
        self.acknowledged.append([entry.position, entry.term, entry.payload.decode()])

    def check(self) -> None:
        running = [voter.replica for voter in self.voters.values() if voter.replica]
        for replica in running:
            state = replica.state
            if state.role is Role.LEADER and self.leaders.setdefault(state.term, state.name) != state.name:
                raise Violation(f"{state.name} and {self.leaders[state.term]} lead in term {state.term}")
            if state.role is Role.LEADER:
                self.check_complete(state)
        for index, first in enumerate(running):
            for other in running[index + 1 :]:
                check_match(first.state.log, other.state.log)

    def check_complete(self, state) -> None:
        """Leader completeness: a leader has every entry committed in an earlier term."""
        for position, term, _ in reversed(self.applied.values()):
            if term < state.term and position > state.log.base and state.log.term_at(position) != term:
                raise Violation(f"{state.name} leads in term {state.term} and lacks {position} of {term}")

    def settle(self, limit: int = 20000) -> None:
        """Ends all faults; within `limit` steps all voters must have applied every acknowledged entry."""
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
            raise Violation("no leader that all voters follow")
        for voter in self.voters.values():
            for position, term, payload in self.acknowledged:
                if voter.state[position - 1] != [position, term, payload]:
                    raise Violation(f"{voter.name} has lost {payload}, acknowledged at {position}")

    def is_settled(self) -> bool:
        states = [voter.replica.state for voter in self.voters.values()]
        leaders = [state for state in states if state.role is Role.LEADER]
        term = max(state.term for state in states)
        ends = {len(voter.state) for voter in self.voters.values()}
        return [s.term for s in leaders] == [term] and ends == {leaders[0].log.last_position}


def check_match(first, other) -> None:
    """Log matching: logs with the same term at a position are equal up to that position."""
    low = max(first.base, other.base)
    matched = False
    for position in range(min(first.last_position, other.last_position), low, -1):
        left, right = first.entries[position - first.base - 1], other.entries[position - other.base - 1]
        matched = matched or left.term == right.term
        if matched and left != right:
            raise Violation(f"two logs differ at {position} and match after it")


def examples(few: int) -> int:
    """The number of schedules to run: RYESTACK_TEST_SCHEDULES times the number for CI."""
    return few * int(os.environ.get("RYESTACK_TEST_SCHEDULES", "1"))


class FaultFreeNet(Net):
    """Three voters with no faults other than those that a test injects."""

    def __init__(self, seed: int = 1, size: int = 3):
        super().__init__(seed, size)

    def run_for(self, seconds: float) -> None:
        until = self.now + seconds
        while self.now < until:
            self.now += 0.05
            for voter in self.voters.values():
                if voter.replica:
                    voter.replica.tick(voter.now)
            for _ in range(6):
                self.deliver_all()

    def deliver_all(self) -> None:
        for voter in self.voters.values():
            if voter.replica:
                voter.work()
                voter.work()
        in_flight, self.in_flight = self.in_flight, []
        for sender, recipient, body in in_flight:
            self.arrive(sender, recipient, body)
        self.check()

    def leader(self):
        return next(v for v in self.voters.values() if v.replica and v.replica.state.role is Role.LEADER)

    def isolate(self, name: str) -> None:
        self.cuts |= {(a, b) for a in self.names for b in self.names if a != b and name in (a, b)}

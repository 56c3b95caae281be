"""A simulation of relays and control machines in one thread and from one seed.

Messages are lost, delayed, duplicated and reordered; machines have different versions; relays and machines
restart; entries and scopes change. An oracle keeps the log and checks the entries in force at each relay.
"""

import heapq
import json
import random
from dataclasses import dataclass, field

from ryestack.control import messages
from ryestack.control.catalogue import Catalogue
from ryestack.control.messages import CONTROL_SHARD, SHARED_SHARD, Entry
from ryestack.control.order import Machine
from ryestack.control.publisher import Publisher, Refused
from ryestack.control.subscriber import Subscriber
from ryestack.control.subscription import Identity, PendingRequest

SHARDS_PER_REGION, REGIONS, HOLD = 3, ("eu", "us"), 5.0
BAD = b'"bad"'  # a value that a relay rejects
SETTLE_SECONDS = 40.0


@dataclass
class Relay:
    """A running relay. in_force: entries applied, by key. After a restart only Net.kept is left of it."""

    subscriber: Subscriber
    in_force: dict = field(default_factory=dict)
    highest: dict = field(default_factory=dict)  # key -> highest version in force since its start
    version: int = 0
    timeout: tuple | None = None


class Net:
    """broken: violations found by the oracle. loss, double: shares of messages; late: maximum delay (s)."""

    def __init__(self, seed, relays=3, machines=3, loss=0.0, double=0.0, late=0.02, max_tombstones=1000):
        self.rng, self.now, self.broken = random.Random(seed), 0.0, []
        self.loss, self.double, self.late, self.max_tombstones = loss, double, late, max_tombstones
        self.log: list[list[Entry]] = []  # by version
        self.states = [{}]  # after each version: key -> (shard, value)
        self.names = [f"m{number}" for number in range(machines)]
        self.machines = [Machine(name, f"{name}:1", REGIONS[at % 2]) for at, name in enumerate(self.names)]
        self.publishers, self.down, self.lag = {}, set(), dict.fromkeys(self.names, 0.0)
        self.heap, self.sequence, self.sessions = [], 0, 0
        self.relays: dict[str, Relay] = {}
        self.kept = {}
        self.pending = {}  # token -> (relay, its subscriber, number of the request)
        for name in self.names:
            self.start_machine(name)
        for number in range(relays):
            name = f"r{number}"
            self.change([(f"relay/{name}", CONTROL_SHARD, place(number))])
            self.start_relay(name, number)

    # -- actions -------------------------------------------------------------------------

    def start_machine(self, name):
        """Starts a machine with its part of the log; reports and held polls are lost."""
        self.down.discard(name)
        known = self.publishers[name].catalogue.version if name in self.publishers else 0
        catalogue = Catalogue(self.max_tombstones)
        publisher = Publisher("c", catalogue, 2, random.Random(self.rng.random()), SHARDS_PER_REGION)
        for version in range(1, known + 1):
            publisher.apply(version, self.log[version - 1], self.now)
        self.publishers[name] = publisher

    def stop_machine(self, name):
        self.down.add(name)
        for token in [token for token in self.pending if token[0] == name]:
            del self.pending[token]

    def start_relay(self, name, number):
        self.sessions += 1
        identity = Identity("c", name, self.sessions, REGIONS[number % 2], f"z{number}")
        kept = self.kept.get(name)
        relay_rng = random.Random(self.rng.random())
        relay = Relay(Subscriber(identity, self.machines, HOLD, relay_rng, self.now, kept))
        if kept:
            relay.in_force = {entry.key: entry for entry in kept.entries}
            relay.version = kept.version
        self.relays[name] = relay

    def change(self, entries):
        """Appends a version with these (key, shard, value); machines apply it at their own pace."""
        version = len(self.log) + 1
        self.log.append([Entry(key, version, shard, value) for key, shard, value in entries])
        state = dict(self.states[-1])
        for key, shard, value in entries:
            if value is None:
                state.pop(key, None)
            else:
                state[key] = (shard, value)
        self.states.append(state)

    def run(self, seconds):
        until = self.now + seconds
        while self.now < until:
            self.advance()
            ahead = [self.now + 0.5, *(item[0] for item in self.heap[:1])]
            ahead += [relay.subscriber.wake_at for relay in self.relays.values()]
            ahead += [self.publishers[name].wake_at for name in self.names if name not in self.down]
            ahead += [relay.timeout[0] for relay in self.relays.values() if relay.timeout]
            self.now = max(self.now + 0.001, min(ahead))

    def quiet(self):
        """Ends all faults and starts all machines, after which all relays must become current."""
        self.loss, self.double, self.late = 0.0, 0.0, 0.02
        self.lag = dict.fromkeys(self.names, 0.0)
        for name in list(self.down):
            self.start_machine(name)
        self.run(SETTLE_SECONDS)

    # -- one step ---------------------------------------------------------------------------------

    def advance(self):
        for name in self.names:
            if name not in self.down:
                self.catch_up(name)
        while self.heap and self.heap[0][0] <= self.now:
            _, _, what, arguments = heapq.heappop(self.heap)
            what(*arguments)
        for name in self.names:
            if name not in self.down:
                for token, answer in self.publishers[name].due(self.now):
                    self.answer(token, answer)
        for name, relay in self.relays.items():
            self.drive(name, relay)

    def catch_up(self, name):
        publisher, ready = self.publishers[name], len(self.log)
        if self.lag[name] and self.rng.random() > 1.0 / (1.0 + self.lag[name]):
            return
        while publisher.catalogue.version < ready:
            version = publisher.catalogue.version + 1
            publisher.apply(version, self.log[version - 1], self.now)
            if self.lag[name]:
                return

    def drive(self, name, relay):
        if relay.timeout and self.now >= relay.timeout[0]:
            number, relay.timeout = relay.timeout[1], None
            relay.subscriber.failed(number, self.now)
        step = relay.subscriber.step(self.now)
        if isinstance(step, PendingRequest):
            self.check_request(name, relay, step.request)
            relay.timeout = (self.now + step.timeout, step.number)
            request_key = (name, relay.subscriber, step.number)
            self.send(self.arrive, step.machine.name, messages.encode(step.request), request_key)
        elif step is not None:
            self.apply_update(name, relay, step)

    def apply_update(self, name, relay, update):
        for entry in update.entries:
            if entry.value == BAD:
                return relay.subscriber.reject(entry.key, "it is bad", self.now)
        for key in update.removed:
            relay.in_force.pop(key, None)
        for entry in update.entries:
            if relay.highest.get(entry.key, 0) > entry.version:
                self.broken.append(f"{name}: {entry.key} at {entry.version} after {relay.highest[entry.key]}")
            relay.in_force[entry.key] = entry
            relay.highest[entry.key] = entry.version
        relay.version = update.version
        relay.subscriber.commit(self.now)
        self.check_holdings(name, relay)
        if self.rng.random() < 0.7:  # a kill may happen before it is saved
            self.kept[name] = relay.subscriber.holdings.snapshot()

    def send(self, what, *arguments):
        if self.rng.random() < self.loss:
            return
        for _ in range(2 if self.rng.random() < self.double else 1):
            self.sequence += 1
            item = (self.now + self.rng.uniform(0.0, self.late), self.sequence, what, arguments)
            heapq.heappush(self.heap, item)

    def arrive(self, machine, body, request_key):
        if machine in self.down:
            return
        self.sequence += 1
        token = (machine, self.sequence)
        self.pending[token] = request_key
        try:
            answer = self.publishers[machine].handle(messages.decode_request(body), self.now, token)
        except Refused:
            del self.pending[token]
            return
        if answer is not None:
            self.answer(token, answer)

    def answer(self, token, answer):
        request_key = self.pending.pop(token, None)
        if request_key is not None:
            self.send(self.deliver, request_key, messages.encode(answer))

    def deliver(self, request_key, body):
        name, subscriber, number = request_key
        relay = self.relays[name]
        if relay.subscriber is subscriber:
            subscriber.handle_answer(number, messages.decode_answer(body), self.now)
            if relay.timeout and relay.timeout[1] == number:
                relay.timeout = None

    # -- the oracle -----------------------------------------------------------------------------------

    def check_request(self, name, relay, request):
        if isinstance(request, messages.Poll) and request.applied > 0:
            newest = relay.subscriber.holdings.version
            if request.applied != newest or not self.is_state(relay, request.applied):
                self.broken.append(f"{name} acknowledges {request.applied}, has {relay.version}")

    def check_holdings(self, name, relay):
        if not self.is_state(relay, relay.version):
            self.broken.append(f"{name} has entries that differ from the state at {relay.version}")

    def is_state(self, relay, version):
        shards = relay.subscriber.holdings.shards
        wanted = {key: row for key, row in self.states[version].items() if row[0] in shards}
        return wanted == {key: (entry.shard, entry.value) for key, entry in relay.in_force.items()}

    def check_current(self):
        """After settling, each relay must have its exact scope at the newest version, unless that is bad."""
        scopes = self.publishers[self.names[0]].scopes
        for name, relay in self.relays.items():
            subscriber, shards = relay.subscriber, set(scopes.of(name).shards)
            within = {key: row for key, row in self.states[-1].items() if row[0] in shards}
            if any(value == BAD for _, value in within.values()):
                if subscriber.rejected is None:
                    self.broken.append(f"{name} rejects nothing")
                continue
            if set(subscriber.holdings.shards) != shards or subscriber.holdings.version != len(self.log):
                has = subscriber.holdings.version, sorted(subscriber.holdings.shards)
                self.broken.append(f"{name} has {has}, the newest is {len(self.log)}")
            if not self.is_state(relay, len(self.log)):
                self.broken.append(f"{name} is not current")


def place(number):
    return json.dumps({"region": REGIONS[number % 2], "zone": f"z{number}"}).encode()


def destination(number):
    region = REGIONS[number % 2]
    return f"destination/{number}", f"{region}/{number // 2 % SHARDS_PER_REGION}"


SETTING = ("setting/settings", SHARED_SHARD)

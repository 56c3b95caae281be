"""Costs of the control tier by size: its pure modules and its store; benchmarks/capacity.py runs them.

Relays and machines are objects in this process, messages are encoded and decoded as on the wire, and time is
an argument: no sockets. Only the change log touches a disk.
"""

import json
import random
import tempfile
import time
from pathlib import Path

from capacity_state import REPEATS, chunks, list_row, median_seconds, resident

from ryestack.control import messages
from ryestack.control.assignment import Assignment, RelayMember, shard_of
from ryestack.control.catalogue import Catalogue
from ryestack.control.consensus import Replica
from ryestack.control.messages import CONTROL_SHARD, Entry, Poll
from ryestack.control.order import Machine
from ryestack.control.publisher import Publisher
from ryestack.control.storage import Storage
from ryestack.control.subscriber import Subscriber
from ryestack.control.subscription import Identity, PendingRequest

REGIONS = [f"region-{number}" for number in range(7)]
ZONES = [(REGIONS[number % 7], f"zone-{number:02}") for number in range(16)]
RELAYS = 12_000  # of the publisher's scopes, where destinations are counted
REPLICAS = 3
SCOPE_SHARDS = 15  # of a relay at the size: 7 regions x 8,192 shards x 3 replicas / 12,000 relays
HOLD = 5.0  # seconds, the default of [control]
VOTERS = ("a", "b", "c")


def member(number: int) -> RelayMember:
    region, zone = ZONES[number % len(ZONES)]
    return RelayMember(f"relay-{number:05}", region, zone)


# -- assignment ------------------------------------------------------------------------------------------


def assignment_by_relays(relays: int) -> dict[str, float]:
    """The assignment of all shards: built anew, with one relay gone, and its memory."""
    members = [member(number) for number in range(relays)]
    before = resident()
    built = Assignment(members)
    memory = resident() - before
    return {
        "assignment.build": median_seconds(lambda: Assignment(members), 1),
        "assignment.change": median_seconds(lambda: built.with_changes(left=[members[7].name]), 3),
        "assignment.memory": memory,
    }


# -- a control machine -----------------------------------------------------------------------------------


def destination(number: int, version: int, weight: float = 50.0) -> Entry:
    region, rows = REGIONS[number % 7], [list_row(number, which) for which in range(2)]
    kept = ("name", "zone", "type", "address", "status")
    endpoints = [{**{key: row[key] for key in kept}, "weight": weight} for row in rows]
    value = json.dumps({"region": region, "endpoints": endpoints}, separators=(",", ":")).encode()
    key = f"destination/{number}"
    return Entry(key, version, shard_of(region, key), value)


def relay_entry(number: int, version: int) -> Entry:
    place = member(number)
    value = json.dumps({"region": place.region, "zone": place.zone}).encode()
    return Entry(f"relay/{place.name}", version, CONTROL_SHARD, value)


def publisher_by_destinations(destinations: int) -> dict[str, float]:
    """A machine's memory, one change, one poll that is held, and the answer that a change wakes."""
    publisher, before = Publisher("c", Catalogue(), REPLICAS, random.Random(1)), resident()
    for version, part in enumerate(chunks(destinations), 1):
        publisher.apply(version, [destination(number, version) for number in part], 0.0)
    memory, version = resident() - before, publisher.catalogue.version + 1
    publisher.apply(version, [relay_entry(number, version) for number in range(RELAYS)], 0.0)
    publisher.scopes.refresh(1e6)
    turn = iter(range(10**9))

    def change() -> None:
        version = publisher.catalogue.version + 1
        publisher.apply(version, [destination(next(turn) % destinations, version, 40.0)], 2e6)

    asked = messages.encode(poll_of(publisher, "relay-00007"))

    def poll() -> None:
        answer = publisher.handle(messages.decode_request(asked), 2e6, next(turn))
        assert answer is None
        publisher.due(2e6)

    polled = median_seconds(poll, 99)
    changed = median_seconds(change, 99)
    return {"control.memory": memory, "control.poll": polled, "control.change": changed}


def poll_of(publisher: Publisher, relay: str) -> Poll:
    scope, version = publisher.scopes.of(relay), publisher.catalogue.version
    return Poll("c", relay, 1, "region-0", "zone-00", version, scope.digest, HOLD, version)


# -- a relay's scope -------------------------------------------------------------------------------------


def subscriber_by_entries(entries: int) -> dict[str, float]:
    """A relay that fetches its scope: processor time, bytes and memory; and one change of an entry."""
    publisher = Publisher("c", Catalogue(), REPLICAS, random.Random(1), SCOPE_SHARDS)
    publisher.apply(1, [Entry("relay/r", 1, CONTROL_SHARD, b'{"region":"region-0","zone":"z"}')], 0.0)
    for version, part in enumerate(chunks(entries), 2):
        publisher.apply(version, [scoped(number, version) for number in part], 0.0)
    publisher.scopes.refresh(1e3)
    link = Link(publisher, Subscriber(IDENTITY, [Machine("m", "m:1")], HOLD, random.Random(1), 1e3))
    before, began = resident(), time.process_time()
    link.settle(1e3)
    link.settle(1e3 + HOLD)  # where a held poll comes between the last piece and the version in force
    spent, memory, fetched = time.process_time() - began, resident() - before, link.bytes
    assert len(link.subscriber.holdings.by_key) == entries
    seconds, told = [], []
    for turn in range(REPEATS):
        sent, now = link.bytes, 2e3 + 100.0 * turn
        version = publisher.catalogue.version + 1
        publisher.apply(version, [scoped(turn, version)], now)
        began = time.process_time()
        link.settle(now + 10.0)
        seconds.append(time.process_time() - began)
        told.append(link.bytes - sent)
    return {
        "subscriber.memory": memory,
        "subscriber.fetch": spent,
        "subscriber.fetch_bytes": fetched,
        "subscriber.change": sorted(seconds)[REPEATS // 2],
        "subscriber.change_bytes": sorted(told)[REPEATS // 2],
    }


IDENTITY = Identity("c", "r", 1, "region-0", "z")


def scoped(number: int, version: int) -> Entry:
    """A destination of region 0, in one of the few shards of one relay."""
    entry = destination(7 * number, version)
    return Entry(entry.key, version, shard_of("region-0", entry.key, SCOPE_SHARDS), entry.value)


class Link:
    """One relay and one machine that talk in no time; bytes: of all messages, both ways, heads not."""

    def __init__(self, publisher: Publisher, subscriber: Subscriber):
        self.publisher, self.subscriber, self.bytes, self.number = publisher, subscriber, 0, None

    def settle(self, now: float) -> None:
        """Until the relay's poll is held by the machine and nothing is due."""
        for token, answer in self.publisher.due(now):
            self.hear(token, answer, now)
        while (step := self.subscriber.step(now)) is not None:
            if not isinstance(step, PendingRequest):
                self.subscriber.commit(now)
                continue
            if step.number == self.number:
                return  # it is out
            self.number, body = step.number, messages.encode(step.request)
            self.bytes += len(body)
            answer = self.publisher.handle(messages.decode_request(body), now, step.number)
            if answer is None:
                return
            self.hear(step.number, answer, now)

    def hear(self, number: int, answer, now: float) -> None:
        body = messages.encode(answer)
        self.bytes += len(body)
        self.subscriber.handle_answer(number, messages.decode_answer(body), now)


# -- the change log --------------------------------------------------------------------------------------


class Voter:
    """One voter with a folder of its own."""

    def __init__(self, folder: Path, name: str):
        folder.mkdir()
        self.storage = Storage(folder, "c", name)
        found = self.storage.load()
        self.replica = Replica("c", name, VOTERS, found, random.Random(name), self.storage.read_piece, 0.0)
        self.applied = 0

    def turn(self, now: float) -> list:
        """Store, then give what may be sent."""
        ready = self.replica.take()
        if ready.records:
            self.storage.store(ready.records)
        self.replica.persisted(ready, now)
        self.applied += sum(bool(entry.payload) for entry in ready.committed)
        return ready.messages


def settle(voters: dict[str, Voter], now: float) -> None:
    """Carry messages until nobody has more to say."""
    while any([carry(voters, voter, now) for voter in voters.values()]):
        pass


def carry(voters: dict[str, Voter], voter: Voter, now: float) -> bool:
    out = voter.turn(now)
    for message in out:
        voters[message.recipient].replica.receive(message, now)
    return bool(out)


def elected(voters: dict[str, Voter]) -> tuple[Voter, float]:
    """The leader, and when."""
    now = 0.0
    while not (leaders := [v for v in voters.values() if v.replica.leadership]):
        now += 0.1
        for voter in voters.values():
            voter.replica.tick(now)
        settle(voters, now)
    return leaders[0], now


def consensus_by_changes(changes: int) -> dict[str, float]:
    """Changes one after the other, each on the disk of a majority before the next: seconds, bytes of log."""
    payload = destination(7, 1).value
    with tempfile.TemporaryDirectory() as folder:
        voters = {name: Voter(Path(folder) / name, name) for name in VOTERS}
        leader, now = elected(voters)
        size, began, used = leader.storage.log_bytes, time.perf_counter(), time.process_time()
        for _ in range(changes):
            leader.replica.propose(payload, now)
            settle(voters, now)
        seconds, spent = time.perf_counter() - began, time.process_time() - used
        assert leader.applied == changes
        return {
            "consensus.seconds": seconds,
            "consensus.cpu": spent,
            "consensus.log_bytes": leader.storage.log_bytes - size,
        }

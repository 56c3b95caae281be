"""Costs of a relay's state by size, each in this process alone; benchmarks/capacity.py runs them.

Each function takes a size and returns quantities by name: seconds or bytes. Memory is resident memory
gained, read after a collection; times are medians of repeats within the process.
"""

import gc
import json
import random
import statistics
import tempfile
import time
from collections.abc import Callable, Iterator
from pathlib import Path

from ryestack import interface as it
from ryestack.brain import Brain
from ryestack.peers.groups import group
from ryestack.store.journal import Journal
from ryestack.store.ledger import Ledger
from ryestack.store.owed import Owed, encode_terms
from ryestack.wire.members import Members

ENDPOINTS = 2  # of a destination
BODY = b"x" * 200  # bytes of a message
REPEATS = 9
CHUNK = 2000  # endpoints or messages told at once while state is built, so that no whole input is held
DAY = 86_400.0
ALLOWANCE = 4 * 1024**3  # bytes of a journal: no rewrite within a measurement
RULES = it.Rules(cold_share=0.3, cold_time=3.0, overload_factor=1.5, fall_time=1.0)
TOPIC = it.TopicType("balance", it.Effect.REPEATABLE, 2.0, DAY)


def resident() -> int:
    """Resident memory of this process in bytes."""
    gc.collect()
    rows = Path("/proc/self/status").read_text().splitlines()
    return 1024 * next(int(row.split()[1]) for row in rows if row.startswith("VmRSS"))


def median_seconds(call: Callable[[], object], repeats: int = REPEATS) -> float:
    """Seconds of one call."""
    spent = []
    for _ in range(repeats):
        began = time.perf_counter()
        call()
        spent.append(time.perf_counter() - began)
    return statistics.median(spent)


def chunks(count: int, size: int = CHUNK) -> Iterator[range]:
    return (range(first, min(count, first + size)) for first in range(0, count, size))


def new_brain(max_open: int = 1000) -> Brain:
    settings = it.Settings((TOPIC,), (it.Kind("shop"),), RULES, slots=32, max_open=max_open, max_pushes=12)
    return Brain(settings, 1)


def endpoint(
    destination: int, number: int, listed: it.EndpointStatus = it.EndpointStatus.READY
) -> it.Endpoint:
    name = f"d{destination:06}-{number}"
    return it.Endpoint(name, "abcdefgh"[number], "shop", destination, listed, 50.0)


# -- destinations ----------------------------------------------------------------------------------------


def brain_by_destinations(destinations: int) -> dict[str, float]:
    """The decisions' memory, and the time of a round in which one endpoint of the list changes."""
    brain, before = new_brain(), resident()
    for part in chunks(destinations, max(500, destinations // 20)):
        rows = tuple(endpoint(d, n) for d in part for n in range(ENDPOINTS))
        brain.round(0.0, [it.ListUpdate(rows)])
    del rows
    memory, turn = resident() - before, iter(range(10**9))

    def change() -> None:
        number = next(turn)
        listed = it.EndpointStatus.READY if number % 2 else it.EndpointStatus.DRAINING
        brain.round(1.0 + number, [it.ListUpdate((endpoint(destinations // 2, 0, listed),))])

    return {"brain.memory": memory, "brain.list_change": median_seconds(change)}


def list_row(destination: int, number: int) -> dict:
    """A row as the platform's stand-in writes it."""
    return {
        "name": f"d{destination:06}-{number}", "address": f"10.0.{number}.7:{20_000 + destination % 40_000}",
        "zone": "abcdefgh"[number], "type": "shop", "group": destination, "status": "up", "weight": 50.0,
        "since_ms": 0,
    }  # fmt: skip


def list_by_destinations(destinations: int) -> dict[str, float]:
    """The whole list as JSON: its bytes, the time to read it, and the memory of what is kept of it."""
    members, before = Members(), resident()
    for part in chunks(destinations):
        entries = [list_row(d, n) for d in part for n in range(ENDPOINTS)]
        text = json.dumps({"index": 1, "snapshot": False, "endpoints": entries})
        members.apply_list(json.loads(text))
    del entries, text
    memory = resident() - before
    told = {"index": 1, "snapshot": True, "endpoints": list(members.rows.values())}
    text = json.dumps(told).encode()
    seconds = median_seconds(lambda: Members().apply_list(json.loads(text)), 3)
    return {"list.bytes": len(text), "list.read": seconds, "list.memory": memory}


def members_by_destinations(destinations: int) -> dict[str, float]:
    """One question, one change of a row, and the leaving of one row."""
    members, chance, turn = Members(), random.Random(1), iter(range(10**9))
    entries = [list_row(d, n) for d in range(destinations) for n in range(ENDPOINTS)]
    members.apply_list({"index": 1, "snapshot": True, "endpoints": entries})
    asked = [chance.randrange(destinations) for _ in range(50)]
    known = median_seconds(lambda: [members.has(d) for d in asked], 3) / len(asked)
    unknown = median_seconds(lambda: members.has(destinations + 1))

    def changed(status: str) -> dict:
        number = next(turn)
        row = {**list_row(number % destinations, 0), "status": status}
        return {"index": number + 2, "snapshot": False, "endpoints": [row]}

    learn = median_seconds(lambda: members.apply_list(changed("draining")))
    spent = []
    for _ in range(REPEATS):
        members.apply_list(changed("removed"))
        began = time.perf_counter()
        members.drop_removed()
        spent.append(time.perf_counter() - began)
    return {
        "members.has": known,
        "members.has_unknown": unknown,
        "members.learn": learn,
        "members.leave": statistics.median(spent),
    }


# -- messages --------------------------------------------------------------------------------------------


def brain_by_parked(parked: int) -> dict[str, float]:
    """Messages parked at one destination: the decisions' memory, and a round with one outcome."""
    brain, now = new_brain(max_open=10 * parked), 1.0
    brain.round(0.0, [it.ListUpdate((endpoint(7, 0), endpoint(7, 1)), whole=True)])
    out: dict[str, it.Push] = {}
    before = resident()
    for part in chunks(parked):
        taken = [it.Notification(f"n{i:07}", DAY, 7, "balance") for i in part]
        out |= {a.id: a for a in brain.round(now, taken) if isinstance(a, it.Push)}
    del taken
    memory, spent = resident() - before, []
    while out and len(spent) < REPEATS:
        _, push = out.popitem()
        now += 0.2
        began = time.perf_counter()
        acts = brain.round(now, [it.Outcome(push.id, 0, push.endpoint, it.Result.DELIVERED, 0.1)])
        spent.append(time.perf_counter() - began)
        out |= {a.id: a for a in acts if isinstance(a, it.Push)}
    return {"parked.memory": memory, "parked.round": statistics.median(spent)}


def ledger_by_messages(messages: int) -> dict[str, float]:
    """Messages owed with one push that failed: file, memory, recovery at a start, a rewrite."""
    rules = encode_terms(TOPIC, 12)
    with tempfile.TemporaryDirectory() as folder:
        ledger = Ledger(Journal(folder, ALLOWANCE))
        ledger.recover()
        before = resident()
        for i in range(messages):
            name = f"m{i:07}"
            ledger.take(Owed(name, 2e9, i % 1000, "balance", "acme", "", "", BODY, rules))
            ledger.push(name, 0, 1e9)
            ledger.outcome(name, 0, True)
        memory, size = resident() - before, ledger.journal.size
        ledger.journal.close()
        del ledger
        gc.collect()
        seconds, again = [], None
        for _ in range(3):
            if again:
                again.journal.close()
            again = Ledger(Journal(folder, ALLOWANCE))
            began = time.perf_counter()
            again.recover()
            seconds.append(time.perf_counter() - began)
        rewrite = median_seconds(again.rewrite, 3)
        rewritten = again.journal.size
        again.journal.close()
    return {
        "journal.bytes": size,
        "journal.bytes_rewritten": rewritten,
        "journal.memory": memory,
        "journal.recover": statistics.median(seconds),
        "journal.rewrite": rewrite,
    }


# -- peers -----------------------------------------------------------------------------------------------


def group_by_relays(relays: int) -> dict[str, float]:
    """Who guards one relay."""
    zones = {f"relay-{i:05}": f"zone-{i % 16:02}" for i in range(relays)}
    return {"peers.group": median_seconds(lambda: group("relay-00007", zones, 2))}

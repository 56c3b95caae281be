"""Control machines as processes: changes, loss of the leader or majority, restarts, invalid input."""

import json
import signal
import socket
import time

import pytest

from ryestack.control import consensus_messages, messages
from ryestack.control.consensus_messages import VoteRequest
from ryestack.control.messages import Delta, Fetch, Piece, Poll

from .control_machines import Machines, until

DESTINATION = {
    "region": "eu",
    "endpoints": [{"name": "e1", "zone": "eu-1", "type": "shop", "address": "127.0.0.1:1", "weight": 1}],
}


@pytest.fixture(scope="module")
def machines(tmp_path_factory):
    """Three voters and a follower shared by all tests; each test leaves all of them running, or none."""
    made = Machines(tmp_path_factory.mktemp("machines"))
    made.start()
    yield made
    made.close()


def fetched(machines: Machines, name: str) -> dict[str, int]:
    """All keys of a machine, with their versions."""
    body = messages.encode(Fetch("test", "t", [messages.ALL_SHARDS]))
    code, answer = machines.ask(name, "/control", body)
    piece = messages.decode_answer(answer) if code == 200 else None
    return {entry.key: entry.version for entry in piece.entries} if isinstance(piece, Piece) else {}


def test_the_leader_reports_the_version_in_force_on_all_relays(machines):
    leader = machines.leader()
    machines.commit_change("relay/r1", {"region": "eu", "zone": "eu-1"})
    machines.commit_change("relay/r2", {"region": "eu", "zone": "eu-1"})
    version = machines.commit_change("destination/7", DESTINATION)
    machines.has("f0", version)
    body = messages.encode(Poll("test", "r1", 1, "eu", "eu-1", 0, "", 0.0, applied=version - 1))
    assert machines.ask("f0", "/control", body)[0] == 200
    data = until(lambda: (found := machines.status(leader))["heard"] and found, 20, "the report")
    assert data["in_force"] == version - 1 and data["lagging"] == [{"relay": "r1", "applied": version - 1}]
    assert data["absent"] == ["r2"]
    until(lambda: machines.status(leader)["complete"], 20, "all machines' reports")
    code, body = machines.ask("f0", "/control/destination/7")
    served = json.loads(body)
    assert code == 200 and served["relays"] == ["r1", "r2"] and served["version"] == version
    assert machines.ask("f0", "/control/destination/8")[0] == 404


def test_changes_reach_all_machines_and_survive_the_loss_of_the_leader(machines):
    leader = machines.leader()
    versions = {f"setting/s{n}": machines.commit_change(f"setting/s{n}", {"n": n}) for n in range(5)}
    versions |= {key: version for key, version in fetched(machines, leader).items() if key not in versions}
    machines.has("f0", max(versions.values()))
    assert fetched(machines, "f0") == versions
    machines.end(leader, signal.SIGKILL)
    started_at = time.monotonic()
    versions["setting/after"] = machines.commit_change("setting/after", {})
    print(f"a change is taken {time.monotonic() - started_at:.2f} s after the leader was killed")
    machines.has("f0", versions["setting/after"])
    assert fetched(machines, "f0") == versions
    machines.start(leader)
    machines.has(leader, versions["setting/after"])
    assert fetched(machines, leader) == versions
    for name in list(machines.processes):
        assert machines.end(name) == 0
    machines.start()
    machines.has("f0", versions["setting/after"] + 1)  # a new term's first entry
    for name in machines.names:
        machines.has(name, versions["setting/after"] + 1)
        assert fetched(machines, name) == versions
    assert "Traceback" not in "".join(machines.log(name) for name in machines.names)


def test_without_a_majority_changes_are_refused_and_polls_answered(machines):
    leader = machines.leader()
    version = machines.commit_change("setting/one", {})
    others = [name for name in machines.voters if name != leader]
    code, body = machines.change(others[0], {"key": "setting/two", "value": {}})
    data = json.loads(body)
    assert code == 503 and data["leader"] == leader and data["address"].endswith(str(machines.ports[leader]))
    for name in others:
        machines.end(name, signal.SIGKILL)
    until(lambda: machines.status(leader)["role"] != "leader", 20, "the leader steps down")
    started_at = time.monotonic()
    code, body = machines.change(leader, {"key": "setting/two", "value": {}})
    assert code == 503 and "majority" in json.loads(body)["reason"] and time.monotonic() - started_at < 3.0
    poll = Poll("test", "r9", 1, "eu", "z", 0, messages.scope_digest([messages.SHARED_SHARD]), 0.0)
    code, answer = machines.ask(leader, "/control", messages.encode(poll))
    delta = messages.decode_answer(answer)
    assert code == 200 and isinstance(delta, Delta)
    assert "setting/one" in [entry.key for entry in delta.entries] and delta.version >= version
    machines.start(*others)
    machines.leader()


BAD_CHANGES = [
    (b"\xff\x00", "invalid"),
    (b"[" * 100_000, ""),
    (b'{"changes": []}', "length"),
    (b'{"changes": [{"key": "planet/7", "value": {}}]}', "changes[0] 'planet/7': is not a key"),
    (b'{"changes": [{"key": "setting/a"}]}', "has no value"),
    (b'{"changes": [{"key": "setting/a", "value": 1}]}', "Expected `object`"),
    (b'{"changes": [{"key": "destination/7", "value": {"region": "eu"}}]}', "`endpoints`"),
    (b'{"changes": [{"key": "destination/7", "value": {"region": "e u", "endpoints": []}}]}', "$.region"),
    (b'{"changes": [{"key": "relay/r", "value": {"region": "eu", "zone": "", "weight": 0}}]}', "$.weight"),
    (b'{"changes": [{"key": "setting/a", "delete": true}, {"key": "setting/a", "delete": true}]}', "twice"),
]


def test_bad_input_is_refused_in_one_line_and_service_continues(machines):
    leader = machines.leader()
    for body, why in BAD_CHANGES:
        code, line = machines.ask(leader, "/control/changes", body)
        assert code == 400 and why in line.decode() and line.count(b"\n") == 1, (body[:60], code, line)
    for path in ("/control", "/consensus", "/control/reports"):
        for body in (b"\xff" * 100, b"", b"\x91" * 1000):
            assert machines.ask(leader, path, body)[0] in (400, 409), (path, body[:10])
    assert machines.ask(leader, "/control", b"x" * 2_000_000)[0] in (0, 413)
    assert machines.ask(leader, "/other")[0] == 404
    assert machines.ask(leader, "/control")[0] == 405
    foreign = VoteRequest("other", "v0", leader, 99, False, 99, 99)
    code, line = machines.ask(leader, "/consensus", consensus_messages.encode([foreign]))
    assert code == 409 and b"'other'" in line
    with socket.create_connection(("127.0.0.1", machines.ports[leader])) as raw:
        raw.sendall(b"\x16\x03\x01 no http at all\r\n\r\n")
        assert raw.recv(1000).startswith((b"HTTP/1.0 400", b"HTTP/1.1 400"))
    assert machines.leader() == leader and machines.commit_change("setting/one", {})
    assert "Traceback" not in machines.log(leader)


def refused_start(machines: Machines, name: str, **choices) -> str:
    """Starts a machine that must exit with status 2; returns its last log line."""
    machines.start(name, **choices)
    assert machines.processes.pop(name).wait(60) == 2
    log = machines.log(name)
    assert "Traceback" not in log
    return log.splitlines()[-1]


def test_a_voter_behind_the_compacted_log_receives_and_keeps_a_snapshot(machines):
    leader = machines.leader()
    behind = next(name for name in machines.voters if name != leader)
    machines.end(behind, signal.SIGKILL)
    text = "x" * 60_000
    for number in range(24):  # 23 MB of changes, 4 MB of state
        keys = [f"setting/large-{number % 4}-{n}" for n in range(16)]
        code, _ = machines.change(leader, *({"key": k, "value": {"n": number, "text": text}} for k in keys))
        assert code == 200
    snapshot = machines.folder / leader / "control.snapshot"
    until(lambda: snapshot.exists(), 20, "the leader's snapshot")
    version = machines.status(leader)["version"]
    machines.start(behind)
    machines.has(behind, version)
    assert (machines.folder / behind / "control.snapshot").exists()
    log_bytes = (machines.folder / behind / "control.log").stat().st_size
    assert log_bytes < 12_000_000
    machines.end(behind)
    machines.start(behind)
    machines.has(behind, version)


def test_an_impossible_start_is_refused_in_one_line(machines):
    machines.end("v0")
    path = machines.folder / "v0" / "control.log"
    whole = path.read_bytes()
    assert "is of cluster 'test', this machine of 'other'" in refused_start(machines, "v0", cluster="other")
    path.write_bytes(b"no log at all, but some bytes")
    assert "control.log: no frame found at byte 0" in refused_start(machines, "v0")
    path.write_bytes(whole)
    with socket.create_server(("127.0.0.1", machines.ports["v0"])):
        assert f"127.0.0.1:{machines.ports['v0']}: Address already in use" in refused_start(machines, "v0")
    machines.start("v0")
    until(lambda: machines.status("v0"), 60, "v0 answers again")

"""Runs control machines as processes on loopback: their folders, operator files and requests to them."""

import json
import os
import signal
import subprocess
import sys
import time
import urllib.error
import urllib.request
from pathlib import Path

from ryestack.lab.ports import free_port

ROOT = Path(__file__).resolve().parent.parent
READY_SECONDS = 60.0  # for starts and elections on a busy host


def until(condition, seconds: float, what: str = ""):
    """The result of condition() once it is true; fails after `seconds`."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        if found := condition():
            return found
        time.sleep(0.05)
    raise AssertionError(f"not within {seconds} s: {what}")


class Machines:
    """Voters v0, v1, ... and followers f0, ..., each with a folder and a process."""

    def __init__(self, folder: Path, voters: int = 3, followers: int = 1):
        self.folder = folder
        self.voters = [f"v{n}" for n in range(voters)]
        self.names = self.voters + [f"f{n}" for n in range(followers)]
        self.ports = dict(zip(self.names, [free_port() for _ in self.names], strict=True))
        self.processes: dict[str, subprocess.Popen] = {}

    def operator_file(self, name: str, cluster: str = "test") -> Path:
        folder = self.folder / name
        folder.mkdir(exist_ok=True)
        lines = ["format = 1", "[control]", f'cluster = "{cluster}"', 'role = "machine"', f'name = "{name}"']
        lines += ["hold = 1.0", "replicas = 2"]
        for item in self.names:
            voter = str(item in self.voters).lower()
            lines += ["[[control.machines]]", f'name = "{item}"', f'address = "127.0.0.1:{self.ports[item]}"']
            lines += [f"voter = {voter}"]
        path = folder / "operator.toml"
        path.write_text("\n".join(lines) + "\n")
        return path

    def start(self, *names: str, cluster: str = "test") -> None:
        for name in names or self.names:
            path = self.operator_file(name, cluster)
            environment = {k: v for k, v in os.environ.items() if not k.startswith(("LB_", "RYESTACK_"))}
            environment |= {"RYESTACK_OPERATOR": str(path), "LB_STATE": str(path.parent)}
            environment["PYTHONPATH"] = str(ROOT)
            with open(path.parent / "log", "ab") as log:
                self.processes[name] = subprocess.Popen(
                    [sys.executable, "-m", "ryestack"], env=environment, cwd=ROOT, stdout=log, stderr=log
                )

    def end(self, name: str, number: int = signal.SIGTERM) -> int:
        process = self.processes.pop(name)
        process.send_signal(number)
        return process.wait(10)

    def log(self, name: str) -> str:
        return (self.folder / name / "log").read_text()

    def close(self) -> None:
        for process in self.processes.values():
            process.kill()
            process.wait()

    def ask(self, name: str, path: str, body: bytes | None = None) -> tuple[int, bytes]:
        """(status, body); status 0 if there is no answer."""
        request = urllib.request.Request(f"http://127.0.0.1:{self.ports[name]}{path}", body)
        try:
            with urllib.request.urlopen(request, timeout=6) as answer:
                return answer.status, answer.read()
        except urllib.error.HTTPError as refused:
            with refused:
                return refused.code, refused.read()
        except OSError:
            return 0, b""

    def status(self, name: str) -> dict:
        code, body = self.ask(name, "/control/status")
        return json.loads(body) if code == 200 else {}

    def change(self, name: str, *changes: dict) -> tuple[int, bytes]:
        return self.ask(name, "/control/changes", json.dumps({"changes": changes}).encode())

    def leader(self, seconds: float = READY_SECONDS) -> str:
        """The machine that a majority reports as the leader."""

        def found():
            statuses = [self.status(name) for name in self.voters if name in self.processes]
            leaders = [item["leader"] for item in statuses if item]
            named = max(set(leaders) - {""}, key=leaders.count, default="")
            return named if leaders.count(named) > len(self.voters) // 2 and named in self.processes else ""

        return until(found, seconds, "a leader")

    def commit_change(self, key: str, value: dict, seconds: float = READY_SECONDS) -> int:
        """Submits a change until it is accepted; returns its version."""

        def answered():
            code, body = self.change(self.leader(), {"key": key, "value": value})
            return json.loads(body)["version"] if code == 200 else 0

        return until(answered, seconds, f"change of {key}")

    def has(self, name: str, version: int, seconds: float = READY_SECONDS) -> None:
        until(lambda: self.status(name).get("version", 0) >= version, seconds, f"{name} at {version}")

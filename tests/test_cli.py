"""Commands of the command line: results, exit statuses, and the processes that they start."""

import contextlib
import io
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
import unittest
from functools import partial
from pathlib import Path
from unittest import mock

from ryestack.cli import main
from ryestack.cli.pages import stale
from ryestack.store.journal import Journal
from ryestack.store.ledger import Ledger
from ryestack.store.owed import Owed

from .helpers import config

ROOT = Path(__file__).parent.parent
# Standard error begins so where a signal meets the interpreter before it runs any code of ours.
INTERPRETER_STARTS = (b"Could not import runpy", b"Fatal Python error: init_")
HEAVY = ["typer", "click", "rich", "numpy", "matplotlib", "pydantic", "hdrh", "jinja2"]
HEAVY += ["ryestack.cli", "ryestack.lab", "ryestack.standins"]


def call(*arguments):
    """Runs a command in this process; returns exit status, standard output and standard error."""
    out, err = io.StringIO(), io.StringIO()
    with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
        status = main(list(arguments))
    return status, out.getvalue(), err.getvalue()


class Commands(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = folder.name
        clean = {k: v for k, v in os.environ.items() if not k.startswith(("RYESTACK_", "LB_"))}
        patched = mock.patch.dict(os.environ, clean, clear=True)
        patched.start()
        self.addCleanup(patched.stop)

    def file(self, name, text):
        path = os.path.join(self.folder, name)
        Path(path).write_text(text)
        return path


class CheckAndConfig(Commands):
    def test_check_reports_by_exit_status_and_opens_no_socket(self):
        path = config(self.folder, "127.0.0.1:1")
        bad = self.file("o.toml", "format = 1\n[log]\nx = 1\ny = 2\n")
        with mock.patch.object(socket, "socket", side_effect=AssertionError("a socket")):
            self.assertEqual(call("check", "-c", path)[0], 0)
            status, out, _ = call("check", "-c", path, "-o", bad, "--json")
            self.assertEqual((status, len(json.loads(out)["faults"])), (1, 2))
            wrong = self.file("c.json", '{"name": 3}')
            status, out, _ = call("check", "-c", wrong, "-o", bad)
            self.assertEqual((status, len(out.splitlines())), (1, 3))
        self.assertEqual(call("check", "-c", path + "x")[0], 2)
        self.assertEqual(call("check")[0], 2)

    def test_config_show_schema_and_init(self):
        path = os.path.join(self.folder, "new.toml")
        self.assertEqual(call("config", "init", path)[0], 0)
        self.assertEqual(call("config", "init", path)[0], 2)
        self.assertEqual(call("config", "init", path, "--force")[0], 0)
        status, out, _ = call("config", "show", "-o", path, "--set", "log.level=ERROR", "--json")
        result = json.loads(out)
        self.assertEqual((status, result["log.level"]), (0, {"value": "ERROR", "origin": "flag"}))
        self.assertTrue(result["log.format"]["origin"].startswith(path + ":"))
        self.assertIn("$defs", json.loads(call("config", "schema")[1]))
        status, _, err = call("config", "show", "--set", "log.levle=ERROR")
        self.assertEqual((status, err.count("\n")), (2, 1))
        self.assertEqual(call("config", "show", "--set", "nothing")[0], 2)

    def test_usage_errors_exit_with_two_and_version_prints(self):
        for bad in ("no-such", "load --rate x", "load --shape round", "load --topic a:b:1"):
            self.assertEqual(call(*bad.split())[0], 2, bad)
        self.assertIn("ryestack", json.loads(call("version", "--json")[1]))

    def test_all_faults_of_a_stage_are_reported(self):
        path = self.file("s.toml", '[[endpoint]]\nname = "a"\n[[at]]\nafter = -1\nmod = "x"\n')
        status, _, err = call("standin", "partner", path)
        self.assertEqual((status, len(err.splitlines())), (2, 3))
        self.assertIn("endpoint[0].destination: is missing", err)
        self.assertIn("the nearest is at[0].mode", err)

    def test_pages_are_current(self):
        self.assertEqual(stale(ROOT / "docs"), {})


class JournalCommands(Commands):
    def ledger(self):
        ledger = Ledger(Journal(self.folder, 1_000_000))
        ledger.recover()
        self.addCleanup(ledger.journal.close)
        for name in ("n", "m", "o"):
            ledger.take(Owed(name, time.time() + 9.0, 7, "once", "c", "", "secret-key", b"secret-body"))
        ledger.push("n", 0, time.time())
        ledger.push("m", 0, time.time())
        ledger.outcome("m", 0, True)
        ledger.owe_notice("o", {"state": "failed"})
        return ledger

    def test_show_lists_what_a_running_relay_owes_and_what_may_have_run(self):
        ledger = self.ledger()
        size = ledger.journal.size
        status, out, _ = call("journal", "show", self.folder, "--json")
        result = json.loads(out)
        keys = "pushes", "out", "may_have_run", "notice"
        rows = {r["id"]: tuple(r[key] for key in keys) for r in result["notifications"]}
        failed = {"state": "failed"}
        wanted = {"n": (1, [0], True, None), "m": (1, [], False, None), "o": (0, [], False, failed)}
        self.assertEqual((status, rows, result["sound"]), (0, wanted, True))
        self.assertNotIn("secret", out + call("journal", "show", self.folder)[1])
        self.assertEqual(os.path.getsize(os.path.join(self.folder, "owed")), size)

    def test_verify_accepts_a_torn_tail_and_reports_other_damage(self):
        self.ledger().journal.close()
        path = Path(self.folder) / "owed"
        data = path.read_bytes()
        path.write_bytes(data[:-3])
        status, out, _ = call("journal", "verify", self.folder)
        self.assertEqual((status, "torn tail" in out), (0, True))
        offset = data.index(b'["taken","m"')
        path.write_bytes(data[: offset + 2] + b"X" + data[offset + 3 :])
        status, out, _ = call("journal", "verify", self.folder, "--json")
        result = json.loads(out)
        self.assertEqual((status, result["lost_behind_damage"], result["owed"]), (1, ["o"], 1))
        self.assertEqual(result["damage"][0]["at"], offset - 8)
        path.write_bytes(os.urandom(4096))
        self.assertEqual(call("journal", "show", self.folder)[0], 0)
        self.assertEqual(call("journal", "show", self.folder + "/none")[0], 2)


class Processes(Commands):
    def run_code(self, code, **more):
        return subprocess.run([sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, **more)

    def test_the_relay_imports_no_command_line_or_lab_library(self):
        path = config(self.folder, "127.0.0.1:1")
        code = (
            "import sys, ryestack.__main__, ryestack.lifecycle.service as m\n"
            "from ryestack.lifecycle.assembly import assemble\n"
            f"m.load({{'LB_CONFIG': {path!r}, 'LB_STATE': {self.folder!r}}})\n"
            f"print([n for n in {HEAVY!r} if n in sys.modules])"
        )
        self.assertEqual(self.run_code(code).stdout.strip(), "[]")

    def test_an_invalid_operator_file_gives_a_line_for_each_fault_and_status_two(self):
        bad = self.file("o.toml", "format = 1\n[log]\nx = 1\ny = 2\n")
        env = {**os.environ, "LB_CONFIG": config(self.folder, "127.0.0.1:1"), "LB_STATE": self.folder}
        env["RYESTACK_OPERATOR"] = bad
        command = [sys.executable, "-m", "ryestack"]
        done = subprocess.run(command, cwd=ROOT, env=env, capture_output=True, text=True, timeout=30)
        self.assertEqual((done.returncode, len(done.stderr.splitlines())), (2, 2))
        self.assertTrue(done.stderr.startswith(f"ryestack: {bad}:3: log.x: "))

    def test_ctrl_c_leaves_no_child_process_and_no_traceback(self):
        for delay in (0.1, 0.6, 2.5):  # during the imports, the start of the relay, and the load
            err, status = self.interrupted(delay)
            while err.startswith(INTERPRETER_STARTS):  # none of our code has run yet
                delay += 0.05
                err, status = self.interrupted(delay)
            self.assertNotIn(b"Traceback", err, delay)
            self.assertIn(status, (130, -signal.SIGINT))

    def interrupted(self, delay):
        """Standard error and status of a trial that gets SIGINT after so many seconds."""
        command = [sys.executable, "-m", "ryestack", "try", "--keep", self.folder]
        pipes = {"stdout": subprocess.PIPE, "stderr": subprocess.PIPE}
        # A shell starts background jobs with SIGINT ignored, and child processes inherit this.
        restore_sigint = partial(signal.signal, signal.SIGINT, signal.SIG_DFL)
        with subprocess.Popen(command, cwd=ROOT, preexec_fn=restore_sigint, **pipes) as process:
            time.sleep(delay)
            process.send_signal(signal.SIGINT)
            _, err = process.communicate(timeout=20)
        self.assertEqual(self.relay_processes(), [], delay)
        return err, process.returncode

    def relay_processes(self):
        """Ids of processes that were started with a configuration in this test's folder."""
        marker, found = f"LB_CONFIG={self.folder}".encode(), []
        for entry in Path("/proc").glob("[0-9]*/environ"):
            with contextlib.suppress(OSError):
                if marker in entry.read_bytes():
                    found.append(entry.parent.name)
        return found


class Trial(Commands):
    def test_a_trial_with_faults_and_a_kill_neither_loses_nor_duplicates(self):
        status, out, err = call("try", "--json", "--seed", "3", "--keep", self.folder)
        result = json.loads(out)
        self.assertEqual((status, result["lost"], result["twice"], result["broken"]), (0, 0, 0, []), err)
        self.assertEqual(result["taken"], result["delivered"] + result["throttled"] + result["expired"])
        self.assertGreater(result["delivered"], 200)


if __name__ == "__main__":
    unittest.main()

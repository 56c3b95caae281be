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
HEAVY = ["typer", "click", "rich", "numpy", "matplotlib", "pydantic", "hdrh", "jinja2"]
HEAVY += ["ryestack.cli", "ryestack.lab", "ryestack.standins"]


def call(*arguments):
    """Status, standard output and standard error of one command in this process."""
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


class Checking(Commands):
    def test_good_and_bad_and_missing_by_status_and_without_a_socket(self):
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
        told = json.loads(out)
        self.assertEqual((status, told["log.level"]), (0, {"value": "ERROR", "origin": "flag"}))
        self.assertTrue(told["log.format"]["origin"].startswith(path + ":"))
        self.assertIn("$defs", json.loads(call("config", "schema")[1]))
        status, _, err = call("config", "show", "--set", "log.levle=ERROR")
        self.assertEqual((status, err.count("\n")), (2, 1))
        self.assertEqual(call("config", "show", "--set", "nothing")[0], 2)

    def test_usage_errors_end_with_two_and_version_tells(self):
        for bad in ("no-such", "load --rate x", "load --shape round", "load --topic a:b:1"):
            self.assertEqual(call(*bad.split())[0], 2, bad)
        self.assertIn("ryestack", json.loads(call("version", "--json")[1]))

    def test_a_stage_with_faults_names_them_all(self):
        path = self.file("s.toml", '[[endpoint]]\nname = "a"\n[[at]]\nafter = -1\nmod = "x"\n')
        status, _, err = call("standin", "partner", path)
        self.assertEqual((status, len(err.splitlines())), (2, 3))
        self.assertIn("endpoint[0].destination: is missing", err)
        self.assertIn("the nearest is at[0].mode", err)

    def test_pages_are_current(self):
        self.assertEqual(stale(ROOT / "docs"), {})


class Journals(Commands):
    def ledger(self):
        made = Ledger(Journal(self.folder, 1_000_000))
        made.recover()
        self.addCleanup(made.journal.close)
        for name in ("n", "m", "o"):
            made.take(Owed(name, time.time() + 9.0, 7, "once", "c", "", "secret-key", b"secret-body"))
        made.push("n", 0, time.time())
        made.push("m", 0, time.time())
        made.outcome("m", 0, True)
        made.owe_notice("o", {"state": "failed"})
        return made

    def test_of_a_live_relay_what_is_owed_and_may_have_run(self):
        made = self.ledger()
        size = made.journal.size
        status, out, _ = call("journal", "show", self.folder, "--json")
        told = json.loads(out)
        keys = "pushes", "out", "may_have_run", "notice"
        rows = {r["id"]: tuple(r[key] for key in keys) for r in told["notifications"]}
        failed = {"state": "failed"}
        wanted = {"n": (1, [0], True, None), "m": (1, [], False, None), "o": (0, [], False, failed)}
        self.assertEqual((status, rows, told["sound"]), (0, wanted, True))
        self.assertNotIn("secret", out + call("journal", "show", self.folder)[1])
        self.assertEqual(os.path.getsize(os.path.join(self.folder, "owed")), size)

    def test_a_torn_tail_is_sound_and_damage_within_is_not(self):
        self.ledger().journal.close()
        path = Path(self.folder) / "owed"
        data = path.read_bytes()
        path.write_bytes(data[:-3])
        status, out, _ = call("journal", "verify", self.folder)
        self.assertEqual((status, "torn tail" in out), (0, True))
        at = data.index(b'["taken","m"')
        path.write_bytes(data[: at + 2] + b"X" + data[at + 3 :])
        status, out, _ = call("journal", "verify", self.folder, "--json")
        told = json.loads(out)
        self.assertEqual((status, told["lost_behind_damage"], told["owed"]), (1, ["o"], 1))
        self.assertEqual(told["damage"][0]["at"], at - 8)
        path.write_bytes(os.urandom(4096))
        self.assertEqual(call("journal", "show", self.folder)[0], 0)
        self.assertEqual(call("journal", "show", self.folder + "/none")[0], 2)


class Processes(Commands):
    def run_it(self, code, **more):
        return subprocess.run([sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, **more)

    def test_what_run_starts_loads_nothing_heavy(self):
        path = config(self.folder, "127.0.0.1:1")
        code = (
            "import sys, ryestack.__main__, ryestack.lifecycle.service as m\n"
            "from ryestack.lifecycle.assembly import assemble\n"
            f"m.load({{'LB_CONFIG': {path!r}, 'LB_STATE': {self.folder!r}}})\n"
            f"print([n for n in {HEAVY!r} if n in sys.modules])"
        )
        self.assertEqual(self.run_it(code).stdout.strip(), "[]")

    def test_a_bad_operator_file_is_a_line_a_fault_and_status_two(self):
        bad = self.file("o.toml", "format = 1\n[log]\nx = 1\ny = 2\n")
        env = {**os.environ, "LB_CONFIG": config(self.folder, "127.0.0.1:1"), "LB_STATE": self.folder}
        env["RYESTACK_OPERATOR"] = bad
        command = [sys.executable, "-m", "ryestack"]
        done = subprocess.run(command, cwd=ROOT, env=env, capture_output=True, text=True, timeout=30)
        self.assertEqual((done.returncode, len(done.stderr.splitlines())), (2, 2))
        self.assertTrue(done.stderr.startswith(f"ryestack: {bad}:3: log.x: "))

    def test_ctrl_c_leaves_no_child_and_no_traceback(self):
        command = [sys.executable, "-m", "ryestack", "try", "--keep", self.folder]
        for patience in (0.1, 0.6, 2.5):  # while it loads, while it starts, while it hands in
            pipes = {"stdout": subprocess.PIPE, "stderr": subprocess.PIPE}
            # A shell starts background jobs with the signal ignored, and so would be what we start.
            heard = partial(signal.signal, signal.SIGINT, signal.SIG_DFL)
            with subprocess.Popen(command, cwd=ROOT, preexec_fn=heard, **pipes) as process:
                time.sleep(patience)
                process.send_signal(signal.SIGINT)
                _, err = process.communicate(timeout=20)
            if not err.startswith(b"Could not import runpy"):  # the interpreter's own, before any of ours
                self.assertNotIn(b"Traceback", err, patience)
            self.assertIn(process.returncode, (130, -signal.SIGINT))
            self.assertEqual(self.relays(), [], patience)

    def relays(self):
        """Processes that were started with a configuration in our folder."""
        mark, found = f"LB_CONFIG={self.folder}".encode(), []
        for entry in Path("/proc").glob("[0-9]*/environ"):
            with contextlib.suppress(OSError):
                if mark in entry.read_bytes():
                    found.append(entry.parent.name)
        return found


class Trial(Commands):
    def test_the_main_job_with_faults_and_a_kill_loses_and_doubles_nothing(self):
        status, out, err = call("try", "--json", "--seed", "3", "--keep", self.folder)
        told = json.loads(out)
        self.assertEqual((status, told["lost"], told["twice"], told["broken"]), (0, 0, 0, []), err)
        self.assertEqual(told["taken"], told["delivered"] + told["throttled"] + told["expired"])
        self.assertGreater(told["delivered"], 200)


if __name__ == "__main__":
    unittest.main()

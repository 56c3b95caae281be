"""The library that makes system calls fail: each fault occurs as set, only there, and is counted."""

import errno
import os
import subprocess
import sys
import tempfile
import time
import unittest
from pathlib import Path

from ryestack.lab.soak.fault_control import Fault, FaultControl, build

PROBE = """
import os, socket, sys, time
folder, operation = sys.argv[1:]
def result_of(call):
    try:
        return call()
    except OSError as error:
        return -error.errno
def accept():
    server = socket.create_server(("127.0.0.1", 0))
    client = socket.create_connection(server.getsockname())
    return server.accept() and 0
def write(path):
    fd = os.open(path, os.O_CREAT | os.O_WRONLY)
    return os.write(fd, b"x" * 100)
print({
    "clock": lambda: round(time.time() - float(os.environ["NOW"])),
    "accept": lambda: result_of(accept),
    "write": lambda: result_of(lambda: write(f"{folder}/state/file")),
    "elsewhere": lambda: result_of(lambda: write(f"{folder}/file")),
    "create": lambda: result_of(lambda: write(f"{folder}/state/new")),
}[operation]())
"""


class Faults(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.temporary = tempfile.TemporaryDirectory()
        cls.folder = Path(cls.temporary.name)
        (cls.folder / "state").mkdir()
        cls.library = build(cls.folder)

    @classmethod
    def tearDownClass(cls):
        cls.temporary.cleanup()

    def probe(self, operation: str) -> int:
        """The result of one operation in a process of its own, or minus its errno."""
        command = [sys.executable, "-c", PROBE, str(self.folder), operation]
        environment = {**os.environ, **self.control.environment(self.library, self.folder / "state")}
        environment["NOW"] = str(time.time())
        done = subprocess.run(command, env=environment, capture_output=True, check=True, timeout=30)
        return int(done.stdout)

    def setUp(self):
        self.control = FaultControl(self.folder / "control")
        self.addCleanup(self.control.close)
        (self.folder / "state" / "file").write_bytes(b"")

    def test_the_wall_clock_is_stepped_for_that_process_only(self):
        self.control.step_wall_clock(-3600.0)
        self.assertAlmostEqual(self.probe("clock"), -3600, delta=5)

    def test_a_call_fails_as_set_and_is_counted(self):
        self.control.set(Fault.ACCEPT_FAILS, 1.0, errno.ENFILE)
        self.assertEqual(self.probe("accept"), -errno.ENFILE)
        self.assertEqual(self.control.injected(), {"ACCEPT_FAILS": 1})
        self.control.clear()
        self.assertEqual(self.probe("accept"), 0)

    def test_writes_fail_or_are_short_in_the_given_folder_only(self):
        self.control.set(Fault.WRITE_FAILS, 1.0, errno.ENOSPC)
        self.assertEqual(self.probe("write"), -errno.ENOSPC)
        self.assertEqual(self.probe("elsewhere"), 100)
        self.control.set(Fault.WRITE_FAILS, 0.0)
        self.control.set(Fault.WRITE_SHORT, 1.0)
        self.assertIn(self.probe("write"), range(1, 100))
        self.control.clear()
        self.control.set(Fault.OPEN_FAILS, 1.0, errno.EIO)
        self.assertEqual(self.probe("create"), -errno.EIO)


if __name__ == "__main__":
    unittest.main()
